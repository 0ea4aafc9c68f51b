package jaymember

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPeerClock(t *testing.T) {
	// Guards against starting tasks a second time while they run. The fleet's owner read
	// the inventory, worked out the age of the list and was paused for four seconds
	// before it sent that age to a pool's owner. Workers that joined the pool and got
	// tasks meanwhile were not in the list, which seemed only 0.2 s old.
	is := is.New(t)
	const ahead = time.Hour // by which the other clock is ahead
	// The other entry writes its answer at 10 s; this entry receives it 0.3 s later.
	c := PeerClock{Clock: 10*time.Second + ahead, HeardAt: 10300 * time.Millisecond}
	for _, read := range []time.Duration{9 * time.Second, 10100 * time.Millisecond, 12 * time.Second} {
		told := c.ToPeer(read)
		is.True(told <= read+ahead)                      // never too late
		is.True(told >= read+ahead-300*time.Millisecond) // and at most the transit time too early
	}
	for _, acted := range []time.Duration{9 * time.Second, 10100 * time.Millisecond, 12 * time.Second} {
		by := c.ToLocal(acted + ahead)
		is.True(by >= acted)                      // never too early
		is.True(by <= acted+300*time.Millisecond) // and at most the transit time too late
	}
}
