package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// testFormerWait is how long after a takeover the leases of former owners may last in tests.
const testFormerWait = 15 * time.Second

// succeedTimed is succeed for an owner that knows when the former one was fenced.
func (w *harness) succeedTimed(term int64) *harness {
	next := newHarness(w.t, 0, WithFence(term, term), WithPlacementsSince(1))
	next.now, next.workers = w.now, w.workers
	next.pool.HoldFormerRuns(next.now, next.now+testFormerWait)
	next.pool.Restore(service("a", 1), w.pool.jobs["a"].progress(), next.now)
	next.pool.TakenOver(next.now)
	next.list()
	readInventory(next)
	next.run()
	return next
}

// lastTo returns the latest renewal that was sent to a worker.
func (w *harness) lastTo(id string) (order RenewLease) {
	for _, a := range w.sent {
		if r, ok := a.(RenewLease); ok && r.To.ID == id {
			order = r
		}
	}
	return order
}

// Guards against a service task that is without a run for as long as the owner of its pool changes: the worker
// of its placement does not answer, and each owner waits anew until the leases of all former ones must have ended.
func TestWaitForASilentWorkerIsCarriedOver(t *testing.T) {
	for _, interval := range []time.Duration{40 * time.Second, 8 * time.Second, 4 * time.Second} {
		t.Run("owners change every "+interval.String(), func(t *testing.T) {
			w := newHarness(t, 3)
			declare(w, service("a", 1))
			own := w.running()["a.0.0.0"]
			clear(w.workers[own].active)
			w.workers[own].silent = true
			waited, owners := time.Duration(0), time.Duration(0)
			for ; w.running()["a.0.0.0"] == "" && waited < 48*time.Second; owners++ {
				w = w.succeedTimed(int64(owners) + 2)
				for began := w.now; w.running()["a.0.0.0"] == "" && w.now-began < interval; waited += time.Second {
					w.reportFor(time.Second)
				}
			}
			t.Logf("task without a run for %v under %d owners", waited, owners)
			is.New(t).True(waited <= testFormerWait+owners*placementWaitInterval)
		})
	}
}

// Guards against two runs of a service task: a worker answers after its silence and gets a lease, its owner is
// lost, and the next one takes the recorded wait for one for a worker without a lease.
func TestWorkerGetsNoLeaseBeforeItsWaitIsReset(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	own := w.running()["a.0.0.0"]
	w.workers[own].silent = true
	second := w.succeedTimed(2)
	second.reportFor(4 * time.Second)
	waited := second.pool.jobs["a"].progress().Steps[0].Tasks[0].Placement.WaitedMillis
	is.True(waited >= 3000)
	second.storeUnavailable = true
	second.workers[own].silent = false
	second.reportFor(time.Second)
	is.Equal(second.lastTo(own).Order.LeaseUntil, time.Duration(0))
	second.workers[own].silent = true
	second.reportFor(time.Second)
	second.storeUnavailable = false
	second.reportFor(time.Second)
	is.Equal(second.starts("a.0.0.0"), 0) // its lease of the first owner may last
	second.workers[own].silent = false
	second.reportFor(time.Second)
	is.True(second.lastTo(own).Order.LeaseUntil > 0)
	is.Equal(second.pool.jobs["a"].progress().Steps[0].Tasks[0].Placement.WaitedMillis, uint32(0))
}
