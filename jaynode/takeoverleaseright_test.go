package jaynode

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against runs that end although their owner is confirmed: a takeover that takes longer than ownershipTimeout
// renews the leases by its fence only.
func TestConfirmedOwnerRenewsThroughoutItsTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		w.refreshClaimsFor(formerLeaseWait + leaseTime)
		is.True(!w.duty.loaded.Load())
		is.True(w.workers.lease("w0") > w.clock())
	})
}

// unreachableReports are workers that answer no requests for reports while lost is set.
type unreachableReports struct {
	*fakeWorkers
	lost atomic.Bool
}

// Renew returns no answer from lost workers.
func (u *unreachableReports) Renew(to jayport.WorkerRef, o jayport.LeaseOrder, timeout time.Duration) (jayport.Report, error) {
	if u.lost.Load() {
		time.Sleep(timeout)
		return jayport.Report{}, errUnreachable
	}
	return u.fakeWorkers.Renew(to, o, timeout)
}

// Guards against starts on lost workers: they have answered during the takeover and then fallen silent.
func TestReportOfASilentWorkerIsNotUsedAfterTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		workers := &unreachableReports{fakeWorkers: w.workers}
		w.entry.node.ports.Workers = workers
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		w.refreshClaimsFor(3 * time.Second)
		workers.lost.Store(true)
		w.refreshClaimsFor(5 * time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads = "" })
		w.refreshClaimsFor(2 * time.Second)
		is.True(w.duty.loaded.Load())
		starts, renews := w.workers.counts()
		is.True(renews > 0)
		is.Equal(starts, 0)
	})
}
