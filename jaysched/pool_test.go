package jaysched

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

func TestStepsRunInOrder(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 2))
	is.Equal(len(w.running()), 2) // the second step waits
	wantState(t, w, "j", Running)
	w.finish("j", 0, jayport.EndedDone)
	is.Equal(len(w.running()), 2)
	w.finish("j", 1, jayport.EndedDone)
	wantState(t, w, "j", Running) // not recorded yet
	w.record()
	wantState(t, w, "j", StateDone)
}

func TestJobDeclaredTwiceIsOneJob(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 1))
	w.finish("j", 0, jayport.EndedDone)
	w.record()
	is.True(!w.pool.Declare(newSpec("j", 1), w.now))
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestLostStartIsRepeatedWithTheSameRun(t *testing.T) {
	// Guards against two runs of a task at the same time: the answer to a start is lost, the
	// task is started elsewhere, and the first worker has started it nevertheless. A lost
	// answer was handled like a refusal.
	is := is.New(t)
	w := newHarness(t, 2)
	losses := 2
	w.lose = func(a Action) bool {
		_, start := a.(StartRun)
		if start && losses > 0 {
			losses--
			return true
		}
		return false
	}
	declare(w, newSpec("j", 1))
	w.pass(resendDelay)
	w.pass(resendDelay)
	is.Equal(len(w.running()), 2)
	is.Equal(w.starts("j.0.0.0"), 1)
	is.Equal(w.starts("j.0.0.1"), 1)
}

func TestRefusedStartIsRepeatedWithANewRun(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.Declare(newSpec("j", 1), w.now)
	actions := w.pool.Decide(w.now)
	first := actions[0].(StartRun)
	w.pool.StartAnswered(first.To, first.Order.Run, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
	w.pass(refusedRetryDelay)
	is.Equal(w.starts(first.Order.Run.Task.String()), 1)
	is.Equal(w.running()[first.Order.Run.Task.String()], "w0")
	for ref := range w.workers["w0"].active {
		if ref.Task == first.Order.Run.Task {
			is.Equal(ref.Number, int64(2)) // a new run
		}
	}
}

func TestSilentWorkerKeepsItsTasksUntilItsLeaseEnds(t *testing.T) {
	// Guards against two runs of a task at the same time: a worker is partitioned and
	// continues, and its tasks are started elsewhere. A worker without answers was taken for
	// one that has ended.
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 1))
	w.workers["w0"].silent = true
	w.workers["w1"].silent = true
	w.pass(2 * time.Second) // the worker counts as silent
	w.pool.ReportFailed(refOf("w0"), w.now)
	w.pool.ReportFailed(refOf("w1"), w.now)
	w.addWorker("w2")
	w.list()
	w.pass(time.Second)
	is.Equal(w.starts("j.0.0.0"), 1)
	w.pass(5 * time.Second)
	is.Equal(w.starts("j.0.0.0"), 2)
	is.Equal(len(w.workers["w2"].active), 2)
}

func TestEndOfASupersededRunIsIgnored(t *testing.T) {
	// Guards against a job that is done while one of its tasks runs: a worker is partitioned
	// beyond its lease, its task is started elsewhere, and the worker returns and reports that
	// the task had ended. The old end was attributed to the present run.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	first := w.workers["w0"]
	first.silent = true
	w.pool.ReportFailed(refOf("w0"), w.now)
	w.addWorker("w1")
	w.list()
	w.pass(10 * time.Second)
	is.Equal(len(w.workers["w1"].active), 2)
	first.silent = false
	for ref := range first.active {
		first.end(ref, jayport.EndedDone)
	}
	w.pass(time.Second)
	w.reports()
	w.record()
	wantState(t, w, "j", Running)
	w.finish("j", 0, jayport.EndedDone)
	w.record()
	wantState(t, w, "j", StateDone)
	is.Equal(w.starts("j.0.0.0"), 2)
}

func TestFailedTask(t *testing.T) {
	t.Run("is restarted, and its job fails after the allowed attempts", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 4)
		spec := newSpec("j", 1)
		spec.Steps[0].Tasks = 1
		declare(w, spec)
		for range 2 {
			w.finish("j", 0, jayport.EndedFailed)
			w.pass(20 * time.Second)
		}
		wantState(t, w, "j", Running)
		w.finish("j", 0, jayport.EndedFailed)
		w.record()
		wantState(t, w, "j", StateFailed)
		is.Equal(w.starts("j.0.0.0"), 3)
	})
	t.Run("an end that is reported twice counts once", func(t *testing.T) {
		// Guards against a job that fails before its attempts are used up: an owner records a
		// failure and is lost before it acknowledges it, and the next owner counts the same
		// failure again. Failures were counted without their run numbers.
		is := is.New(t)
		w := newHarness(t, 4)
		spec := newSpec("j", 1)
		spec.Steps[0].Tasks = 1
		declare(w, spec)
		w.finish("j", 0, jayport.EndedFailed)
		progress := w.pool.TakeBatch().Progress["j"]
		next := newHarness(t, 0, WithFence(9, 2))
		next.workers = w.workers
		next.pool.Restore(spec, progress, next.now)
		next.list()
		next.run()
		task := next.pool.jobs["j"].occurrences[0].steps[0].tasks[0]
		is.Equal(len(task.failedRuns), 1)
	})
	t.Run("other endings are not failures", func(t *testing.T) {
		for _, how := range []jayport.Ending{jayport.EndedStopped, jayport.EndedLapsed, jayport.EndedBroken, jayport.EndedAlone} {
			w := newHarness(t, 2)
			spec := newSpec("j", 1)
			declare(w, spec)
			for range 5 {
				w.finish("j", 0, how)
				w.pass(time.Second)
			}
			w.record()
			wantState(t, w, "j", Running)
		}
	})
}

func TestCancelledJobIsStoppedAndNeverStartedAgain(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 2))
	is.True(w.pool.Cancel("j", w.now))
	is.True(!w.pool.Recorded("j"))
	w.run()
	is.Equal(len(w.running()), 0)
	w.record()
	wantState(t, w, "j", StateCanceled)
	w.pass(10 * time.Second)
	w.reports()
	is.Equal(len(w.running()), 0)
	is.True(!w.pool.Cancel("other", w.now))
}

func TestLongRunningTasksAreAlwaysRestarted(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.LongRunning = true }))
	for range 6 {
		w.finish("j", 0, jayport.EndedFailed)
		w.pass(10 * time.Second)
		is.Equal(len(w.running()), 2)
	}
	w.record()
	wantState(t, w, "j", Running)
}

func TestLimitPerInstance(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks, s.MaxPerInstance = 4, 1 }))
	is.Equal(len(w.running()), 3)
	for _, f := range w.workers {
		is.Equal(len(f.active), 1)
	}
}

func TestRequiredLabel(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	w.workers["w1"].info.Labels = []string{"a", "gpu"}
	w.addWorker("w2")
	w.workers["w2"].info.Labels = []string{"a", "gpu"}
	w.list()
	w.run()
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.RequiredLabel = "gpu" }))
	is.Equal(len(w.workers["w2"].active), 2)
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	gang := func(s *jayspec.Step) { s.Gang, s.Need.ProcessorsMilli = true, 3000 }
	declare(w, newSpec("wide", 1, gang, func(s *jayspec.Step) { s.Tasks = 3 }))
	is.Equal(len(w.running()), 0)
	declare(w, newSpec("j", 1, gang))
	is.Equal(len(w.running()), 2)
	// The end of one member ends the whole gang.
	for _, f := range w.workers {
		for ref := range f.active {
			f.end(ref, jayport.EndedDone)
		}
		break
	}
	w.pass(time.Millisecond)
	w.reports()
	w.record()
	wantState(t, w, "j", StateDone)
}

func TestScheduledJobWaitsForItsTime(t *testing.T) {
	is := is.New(t)
	start := time.UnixMilli(0)
	w := newHarness(t, 2, WithDueTimes(func(at time.Time) time.Duration { return at.Sub(start) }))
	spec := newSpec("j", 1)
	spec.Schedule = jayspec.Schedule{Occurrences: 2, First: start.Add(w.now + time.Second), Interval: 3 * time.Second}
	declare(w, spec)
	is.Equal(len(w.running()), 0)
	w.pass(999 * time.Millisecond)
	is.Equal(len(w.running()), 0)
	w.pass(10 * time.Millisecond)
	is.Equal(len(w.running()), 2)
	w.pass(3 * time.Second)
	is.Equal(len(w.running()), 4) // occurrences may overlap
	w.finish("j", 0, jayport.EndedDone)
	w.record()
	wantState(t, w, "j", StateDone)
}

func TestDrainingWorkerGetsNoNewRuns(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.workers["w0"].info.Draining = true
	w.list()
	declare(w, newSpec("j", 1))
	is.Equal(len(w.running()), 0)
}

func TestRunsEndWithTheirIncarnation(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 1))
	at := w.running()["j.0.0.0"]
	delete(w.workers, at)
	w.pool.Ended(refOf(at), "test", w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 2)
	is.True(errors.Is(errLost, jayport.ErrNoAnswer))
}
