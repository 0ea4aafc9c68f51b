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

// Guards against a suspected service task that is without a run for as long as the owner of its pool changes:
// the worker of its recorded trial does not answer.
func TestWaitForASilentWorkerOfATrialIsCarriedOver(t *testing.T) {
	for _, c := range []struct {
		name string
		// begun says that the recorded run has begun.
		begun bool
		most  time.Duration
	}{
		{"the run has begun", true, testFormerWait + 12*placementWaitInterval},
		{"the run has not begun", false, maxServiceInterruption},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 3)
			declare(w, service("a", 1))
			for range isolatedAfter {
				w.reportFor(2 * time.Second)
				w.crashWorker(w.running()["a.0.0.0"])
			}
			task := w.pool.jobs["a"].occurrences[0].steps[0].tasks[0]
			if c.begun {
				w.reportFor(2 * time.Second)
			} else {
				w.pool.Decide(w.now)
				w.pool.BatchRecorded(w.pool.TakeBatch(), w.now) // the trial; its owner is lost before the placement
			}
			trial := task.recordedTrial()
			is.True(trial.run > 0)
			is.Equal(task.placement() != nil, c.begun)
			clear(w.workers[trial.worker].active)
			w.workers[trial.worker].silent = true
			waited := time.Duration(0)
			for term := int64(2); w.running()["a.0.0.0"] == "" && waited < 48*time.Second; term++ {
				w = w.succeedTimed(term)
				w.reportFor(4 * time.Second)
				waited += 4 * time.Second
			}
			t.Logf("task without a run for %v", waited)
			is.True(waited <= c.most)
		})
	}
}
