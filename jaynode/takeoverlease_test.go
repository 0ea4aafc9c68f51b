package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against the loss of all runs of a pool: its next owner reads the jobs for longer than the leases last,
// and renews none of them until it has read everything.
func TestLeasesAreRenewedDuringALongTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		for _, id := range []string{"w0", "w1"} {
			w.workers.leases[id] = w.clock() + leaseTime // of the former owner
		}
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		for range 24 {
			w.refreshClaimsFor(500 * time.Millisecond)
			is.True(!w.duty.loaded.Load())
			is.True(w.workers.lease("w0") > w.clock())
			is.True(w.workers.lease("w1") > w.clock())
		}
	})
}
