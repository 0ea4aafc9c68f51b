package jaynode

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPatience(t *testing.T) {
	is := is.New(t)
	var p patience
	settle := func(took time.Duration) {
		for range 100 {
			p.note(took)
		}
	}
	is.Equal(p.order(), orderLeast) // nothing is known yet
	settle(3 * time.Millisecond)
	is.Equal(p.order(), orderLeast)
	is.Equal(p.report(), reportLeast)
	settle(10 * time.Millisecond)
	is.True(p.order() > 250*time.Millisecond && p.order() < orderMost)
	settle(time.Second)
	is.Equal(p.order(), orderMost)
	is.Equal(p.report(), reportMost)
	settle(2 * time.Millisecond)
	is.Equal(p.order(), orderLeast)
}
