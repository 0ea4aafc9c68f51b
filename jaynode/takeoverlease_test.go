package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayownership"
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

// Guards against two owners that act at the same time: the next one renews leases before the former one may rely
// on the takeover delay no more.
func TestNoLeaseIsGrantedDuringTheLongestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		time.Sleep(jayownership.MaxTakeoverDelay() - time.Millisecond)
		_, renews := w.workers.counts()
		is.Equal(renews, 0)
	})
}

// Guards against a run that goes on while the next owner starts its task elsewhere: an owner that is cut off from
// the store during its takeover goes on renewing the leases.
func TestLeasesEndDuringATakeoverWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		time.Sleep(ownershipTimeout - time.Second)
		is.True(w.workers.lease("w0") > w.clock())
		time.Sleep(formerLeaseWait - ownershipTimeout + time.Second)
		is.True(w.workers.lease("w0") < w.clock())
	})
}

// Guards against tasks that wait for reports which the workers have given during the takeover.
func TestReportsOfALongTakeoverAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		w.refreshClaimsFor(5 * time.Second)
		for _, id := range []string{"w0", "w1"} {
			w.workers.setLate(id, 5*time.Second)
		}
		w.entry.store.set(func(s *faultyStore) { s.refuseReads = "" })
		w.refreshClaimsFor(700 * time.Millisecond)
		starts, _ := w.workers.counts()
		is.Equal(starts, 2)
	})
}
