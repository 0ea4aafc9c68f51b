package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// failAll ends all runs on the workers as failed.
func (w *harness) failAll() {
	for _, f := range w.workers {
		for ref := range f.active {
			f.end(ref, jayport.EndedFailed)
		}
	}
}

// onePerWorker gives a step one long-running task for each of two workers.
func onePerWorker(s *jayspec.Step) { s.Tasks, s.MaxPerInstance, s.LongRunning = 2, 1, true }

// serviceRestartTime is how long a service task may wait for a worker that has room once nothing
// fails any more.
const serviceRestartTime = 7 * time.Second

// Guards against a service task that waits for a worker for as long as it is avoided after many
// failures.
func TestServiceTaskStartsSoonAfterTheLastFailure(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	for n := range 6 {
		declare(w, newSpec(string(rune('a'+n)), 1, single, longRunning))
		for failed := w.workers["w0"].next; w.workers["w0"].next == failed; {
			w.failAll()
			w.reportFor(startRiskTime)
		}
		w.pool.Cancel(string(rune('a'+n)), w.now)
	}
	declare(w, newSpec("last", 1, single, longRunning))
	w.reportFor(serviceRestartTime)
	is.True(len(w.running()) > 0)
}

// Guards against a service task that never runs again: its workers are on trial, and the trial
// run, a service task, never ends as done.
func TestServiceTasksEndATrial(t *testing.T) {
	t.Run("after runs of two services failed on each worker", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("a", 1, onePerWorker))
		declare(w, newSpec("b", 1, onePerWorker))
		w.failAll()
		w.reportFor(minAvoidTime + trialTime + time.Second)
		is.Equal(len(w.running()), 4)
	})
	t.Run("beside a service task that did not fail", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("stays", 1, single, longRunning))
		for _, id := range []string{"a", "b"} {
			declare(w, newSpec(id, 1, single))
			for ref := range w.workers["w0"].active {
				if ref.Task.Job == id {
					w.workers["w0"].end(ref, jayport.EndedFailed)
				}
			}
			w.reports()
		}
		is.True(w.pool.workers["w0"].health.onTrial())
		w.reportFor(minAvoidTime + startRiskTime)
		is.Equal(len(w.running()), 2) // the trial run
		w.finish("a", 0, jayport.EndedDone)
		w.run()
		is.Equal(w.starts("b.0.0.0"), 2)
		is.True(!w.pool.workers["w0"].health.onTrial())
	})
	t.Run("not before it has run for some time", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("a", 1, single, longRunning))
		declare(w, newSpec("b", 1, single, longRunning))
		w.failAll()
		w.reportFor(minAvoidTime + trialTime/2)
		is.Equal(len(w.running()), 1)
	})
}
