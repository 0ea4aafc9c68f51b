package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against a worker that is never used again: it is cut off from its owner and from the
// store until its lease has ended and its heartbeat has expired, and continues as the same
// incarnation.
func TestWorkerThatReturnsFromACutIsUsedAgain(t *testing.T) {
	for _, incarnation := range []jayport.Incarnation{0, 1000} {
		t.Run(fmt.Sprint("incarnation ", incarnation), func(t *testing.T) {
			is := is.New(t)
			w := newIncarnationHarness(t, 1, incarnation)
			w.reportFor(time.Second)
			declare(w, newSpec("j", 1, single))
			f := w.workers["a"]
			is.Equal(len(f.active), 1)
			w.silenceFor("a", time.Second)
			w.pool.Listed(nil, w.now)
			w.pass(w.pool.settings.Lease)
			is.Equal(w.pool.workers["a"], nil) // it counts as ended
			for ref := range f.active {
				f.end(ref, jayport.EndedLapsed)
			}
			f.silent = false
			w.pass(endedHeartbeatTTL)
			w.listAndReport()
			is.Equal(len(f.active), 1) // the task runs there again
		})
	}
}
