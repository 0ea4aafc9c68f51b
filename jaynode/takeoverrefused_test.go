package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// fencingWorkers are workers that have seen the fence of a later owner.
type fencingWorkers struct{ *fakeWorkers }

// Renew refuses the order.
func (f fencingWorkers) Renew(to jayport.WorkerRef, o jayport.LeaseOrder, timeout time.Duration) (jayport.Report, error) {
	if _, err := f.fakeWorkers.Renew(to, o, timeout); err != nil {
		return jayport.Report{}, err
	}
	return jayport.Report{}, &jayport.RefusedError{Reason: jayport.RefusedFenced, Clock: f.clock()}
}

// Guards against an owner that was replaced during its takeover, while it is cut off from the store, and goes on
// calling the workers that have refused its fence.
func TestTakeoverEndsWhenAWorkerRefusesItsFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		w.entry.node.ports.Workers = fencingWorkers{w.workers}
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicProgress, errUnreachable })
		w.start(t)
		time.Sleep(10 * time.Second)
		_, renews := w.workers.counts()
		t.Logf("%d requests to 2 workers that refuse the fence", renews)
		is.True(renews <= 2)
		is.True(w.duty.ctx.Err() != nil)
	})
}
