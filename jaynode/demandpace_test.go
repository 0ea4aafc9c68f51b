package jaynode

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against owners of the fleet and of pools that have no processor time for anything else: a
// pool without an owner that can answer was asked again at once, since quotas were pending for it.
func TestPoolWithoutOwnerIsAskedAtIntervals(t *testing.T) {
	requests := func(answered bool) int {
		p, count := &demandPace{}, 0
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			if p.due("orders", true, now) {
				count++
				p.sent("orders")
				p.ended(answered, now)
			}
		}
		return count
	}
	is := is.New(t)
	is.True(requests(false) <= int(time.Second/demandInterval)+1)
	is.Equal(requests(true), 1000) // pending quotas are sent at once
	p := &demandPace{}
	p.sent("a")
	is.True(!p.due("b", true, time.Hour)) // one request at a time
	p.ended(true, time.Hour)
	is.True(!p.due("a", false, time.Hour))
	is.True(p.due("b", false, time.Hour))
	is.True(p.due("a", false, time.Hour+demandInterval))
}
