package jaysched

import (
	"slices"
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

// Guards against a service task that never runs again: the workers with room have failed runs, and
// no run that ends as done makes them trusted.
func TestServiceTasksRunOnWorkersThatFailedRuns(t *testing.T) {
	t.Run("after runs of two services failed on each worker", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("a", 1, onePerWorker))
		declare(w, newSpec("b", 1, onePerWorker))
		w.failAll()
		w.reportFor(serviceRestartTime)
		is.Equal(len(w.running()), 4)
	})
	t.Run("while short runs are kept off", func(t *testing.T) {
		is := is.New(t)
		w := failingTwo(t)
		declare(w, newSpec("service", 1, single, longRunning))
		is.Equal(len(w.running()), 1)
		w.reportFor(minAvoidTime + startRiskTime)
		is.Equal(len(w.running()), 2) // one of the others is the trial
		is.True(w.pool.workers["w0"].health.onTrial())
	})
	t.Run("after growing delays", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("a", 1, single, longRunning))
		for range 100 {
			w.failAll()
			w.reportFor(50 * time.Millisecond)
		}
		is.True(w.starts("a.0.0.0") < 15) // in 5 s
		w.reportFor(maxFailureRetryDelay)
		is.Equal(len(w.running()), 1)
	})
}

// failingTwo returns a harness with one worker on which a run of each of two short tasks has failed.
func failingTwo(t *testing.T) *harness {
	w := newHarness(t, 1)
	declare(w, newSpec("a", 1, single))
	declare(w, newSpec("b", 1, single))
	w.failAll()
	w.reports()
	is := is.New(t)
	is.True(w.pool.workers["w0"].health.onTrial())
	is.True(slices.ContainsFunc(w.pool.TakeEvents(), func(e Event) bool { return e.Kind == WorkerAvoided && e.Worker == "w0" }))
	return w
}

func TestTrialOfAWorker(t *testing.T) {
	trial := func(name string, then func(t *testing.T, w *harness)) {
		t.Run(name, func(t *testing.T) {
			w := failingTwo(t)
			w.reportFor(minAvoidTime + startRiskTime)
			is.New(t).Equal(len(w.running()), 1)
			then(t, w)
		})
	}
	trial("ends with a run that is done", func(t *testing.T, w *harness) {
		is := is.New(t)
		w.finish("a", 0, jayport.EndedDone)
		w.run()
		is.Equal(w.starts("b.0.0.0"), 2)
		is.True(!w.pool.workers["w0"].health.onTrial())
		is.True(slices.ContainsFunc(w.pool.TakeEvents(), func(e Event) bool { return e.Kind == WorkerTrusted && e.Worker == "w0" }))
	})
	trial("is followed by another one, later, if the run fails", func(t *testing.T, w *harness) {
		is := is.New(t)
		w.failAll()
		w.reportFor(minAvoidTime + startRiskTime)
		is.Equal(len(w.running()), 0)
		w.reportFor(minAvoidTime)
		is.Equal(len(w.running()), 1)
	})
	trial("is followed by another one if the run vanishes", func(t *testing.T, w *harness) {
		is := is.New(t)
		clear(w.workers["w0"].active)
		w.reportFor(startRiskTime)
		is.Equal(len(w.running()), 1)
		is.True(w.pool.workers["w0"].health.onTrial())
	})
	trial("is one run at a time", func(t *testing.T, w *harness) {
		declare(w, newSpec("c", 1, single))
		is.New(t).Equal(len(w.running()), 1)
	})
	t.Run("begins beside a service task that did not fail", func(t *testing.T) {
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
	})
}

// Guards against a service task that doesn't run although a worker has room: the trial run of the
// worker, a short task, takes long.
func TestServiceTaskDoesNotWaitForALongTrial(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("a", 1, single))
	declare(w, newSpec("b", 1, single))
	w.failAll()
	w.reportFor(minAvoidTime + time.Second)
	is.Equal(len(w.running()), 1) // the trial run
	declare(w, newSpec("service", 1, single, longRunning))
	w.reportFor(maxAvoidTime)
	is.Equal(w.starts("service.0.0.0"), 1)
}

// Guards against a service task that doesn't run on healthy workers: tasks of two other services,
// which fail wherever they run, are the workers' trial run each time.
func TestTasksThatAlwaysFailDoNotKeepOthersFromRunning(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("bad1", 1, longRunning))
	declare(w, newSpec("bad2", 1, longRunning))
	w.failFor(3*time.Second, "w0", "w1")
	declare(w, newSpec("service", 1, single, longRunning))
	w.failFor(2*maxAvoidTime, "w0", "w1")
	is.True(w.starts("service.0.0.0") > 0)
}

// failFor fails all runs on some workers except those of the job "service", for some time.
func (w *harness) failFor(d time.Duration, workers ...string) (failures int) {
	const runTime = 40 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += runTime {
		for _, id := range workers {
			f := w.workers[id]
			for ref := range f.active {
				if ref.Task.Job != "service" {
					f.end(ref, jayport.EndedFailed)
					failures++
				}
			}
		}
		w.now += runTime
		w.reports()
	}
	return failures
}

// Guards against jobs that fail although they could be done: a worker on trial that fails each
// short run is given one after the other without a pause and uses up the attempts of their tasks.
func TestWorkerOnTrialDoesNotUseUpAttempts(t *testing.T) {
	for name, services := range map[string]int{"without services": 0, "beside a service": 2} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2)
			if services > 0 {
				declare(w, newSpec("service", 1, onePerWorker, func(s *jayspec.Step) { s.Need.ProcessorsMilli = 500 }))
			}
			jobs := []string{"a", "b", "c", "d"}
			for _, id := range jobs {
				declare(w, newSpec(id, 1, func(s *jayspec.Step) { s.Tasks, s.Need.ProcessorsMilli = 8, 800 }))
			}
			w.failFor(2*time.Second, "w0")
			for _, id := range jobs {
				is.New(t).Equal(w.pool.jobs[id].outcome, Open)
			}
		})
	}
}
