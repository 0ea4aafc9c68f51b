package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// maxServiceWait is the time within which a service task that has room must run again.
const maxServiceWait = 3 * time.Second

// loseAll crashes all workers.
func (w *harness) loseAll() {
	w.t.Helper()
	for _, id := range sortedKeys(w.workers) {
		w.crashWorker(id)
	}
	w.run()
}

// service returns a service with a number of tasks, each on its own worker.
func service(id string, tasks int) *jayspec.Job {
	return newSpec(id, 1, longRunning, func(s *jayspec.Step) { s.Tasks, s.MaxPerInstance = tasks, 1 })
}

// Guards against service tasks that wait ten seconds beside free workers: each worker has just
// started a suspect of another service, and was lost twice for a reason unrelated to the tasks.
func TestServiceTasksDoNotWaitForSuspectsOfOthers(t *testing.T) {
	const workers = 3
	t.Run("a task that is not suspected", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		for range isolatedAfter {
			w.reportFor(2 * time.Second)
			w.loseAll()
		}
		w.reportFor(startRiskTime)
		is.Equal(len(w.running()), workers)
		declare(w, service("b", 1))
		w.reportFor(maxServiceWait)
		is.True(w.running()["b.0.0.0"] != "")
	})
	t.Run("tasks that are suspects themselves", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		declare(w, service("b", workers))
		w.reportFor(2 * time.Second)
		is.Equal(len(w.running()), 2*workers)
		for range isolatedAfter {
			w.loseAll()
			w.reportFor(maxServiceWait)
		}
		is.Equal(len(w.running()), 2*workers)
	})
	t.Run("short tasks start on no worker with a suspect", func(t *testing.T) {
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		for range isolatedAfter {
			w.reportFor(2 * time.Second)
			w.loseAll()
		}
		w.reportFor(startRiskTime)
		declare(w, newSpec("short", 1, single))
		w.reportFor(maxServiceWait)
		is.New(t).Equal(w.running()["short.0.0.0"], "")
	})
}

// succeed returns the harness of a new owner that restores jobs with their recorded progress; all
// workers report.
func (w *harness) succeed(term int64, specs ...*jayspec.Job) *harness {
	next := newHarness(w.t, 0, WithFence(term, term), WithFormerOwner(w.now+15*time.Second), WithPlacementsSince(1))
	next.now, next.workers = w.now, w.workers
	for _, spec := range specs {
		next.pool.Restore(spec, w.pool.jobs[spec.ID].progress(), next.now)
	}
	next.list()
	readInventory(next)
	next.run()
	return next
}

// Guards against service tasks that wait beside free workers for as long as the owner changes: they
// were on lost workers, and each owner counted anew how long they wait, and took all runs that it
// found for ones that had just begun.
func TestServiceTasksDoNotWaitAnewForEachOwner(t *testing.T) {
	is := is.New(t)
	const workers = 3
	w := newHarness(t, workers)
	services := []*jayspec.Job{service("a", workers), service("b", workers)}
	for _, spec := range services {
		declare(w, spec)
	}
	w.reportFor(2 * time.Second)
	for range isolatedAfter {
		w.loseAll()
		w.reportFor(maxServiceWait)
	}
	w.loseAll()
	for term := range int64(10) {
		w = w.succeed(term+2, services...)
		w.reportFor(time.Second)
	}
	is.Equal(len(w.running()), 2*workers)
}

// Guards against a service task that is delayed by seconds after each takeover although it crashes
// nothing: the recorded run of a suspect had ended and its worker had forgotten the end, and the
// next owner counted the run as one more lost worker.
func TestRunThatEndedIsNoLossAfterATakeover(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	spec := service("j", 1)
	declare(w, spec)
	for range isolatedAfter {
		w.reportFor(2 * time.Second)
		w.crashWorker(w.running()["j.0.0.0"])
	}
	w.reportFor(time.Second)
	w.pool.SetStarts(0) // the owner is lost before the task runs again
	w.finish("j", 0, jayport.EndedFailed)
	w.record()
	w.reportFor(time.Second)
	for _, f := range w.workers {
		is.Equal(len(f.ended), 0)
	}
	before := len(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes)
	next := w.succeed(2, spec)
	is.Equal(len(next.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes), before)
}
