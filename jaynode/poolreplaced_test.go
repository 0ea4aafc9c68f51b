package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that two owners start: the takeover took seconds, and the former owner was
// confirmed, and renewed leases, until the next one had fenced it.
func TestFormerLeasesAreAwaitedFromTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2, "w1")
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		w.start(t)
		w.refreshClaimsFor(5 * time.Second)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
		w.refreshClaimsFor(ownershipTimeout + leaseTime)
		starts, _ := w.workers.counts()
		is.Equal(starts, 0)
		w.refreshClaimsFor(7 * time.Second)
		starts, _ = w.workers.counts()
		is.Equal(starts, 2)
	})
}
