package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// TestDoneJobIsShownOnlyOnceRecorded guards against a job that is shown as done and runs again: its end
// was not recorded, and was lost with its owner, its worker and the entry that kept it.
func TestDoneJobIsShownOnlyOnceRecorded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	spec := newSpec("j", 1)
	declare(w, spec)
	w.storeUnavailable = true
	w.finish("j", 0, jayport.EndedDone)
	for range 100 {
		w.pass(100 * time.Millisecond)
		wantState(t, w, "j", Running)
	}
	is.Equal(w.pool.Demand(w.now).Loads[0].Runs, 1) // its end would be lost with the worker
	w.storeUnavailable = false
	batch := w.record()
	wantState(t, w, "j", StateDone)
	w.pass(time.Second)
	is.Equal(w.pool.Demand(w.now).Loads[0].Runs, 0)
	t.Run("it stays done though its owner and its worker are lost", func(t *testing.T) {
		is := is.New(t)
		next := newHarness(t, 1, WithFence(2, 2))
		next.pool.RestoreEnded(spec.ID, "", OutcomeOf(batch.Progress["j"]), next.now)
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 0)
		next.record()
		wantState(t, next, "j", StateDone)
	})
}

func TestEndsAreAcknowledgedOnlyOnceRecorded(t *testing.T) {
	// Guards against a task that runs twice although its first end was known: a worker reports
	// an end, the owner acknowledges it and is lost before it is recorded, and the next owner
	// does not know of the end.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	w.finish("j", 0, jayport.EndedDone)
	w.pass(time.Second)
	is.Equal(len(w.workers["w0"].ended), 2)
	w.record()
	w.pass(time.Second)
	is.Equal(len(w.workers["w0"].ended), 0)
}

func TestEndsOfTasksAreRecordedTogether(t *testing.T) {
	// In a burst a pool's tasks end every few milliseconds. Recorded one at a time, they take
	// most of the calls that the store allows.
	recordable := func(t *testing.T, w *harness, want bool) {
		t.Helper()
		is.New(t).Equal(w.pool.Recordable(w.now), want)
	}
	t.Run("the end of a task waits for others", func(t *testing.T) {
		w := newHarness(t, 1)
		declare(w, newSpec("j", 2))
		w.finish("j", 0, jayport.EndedDone)
		w.record()
		w.finish("j", 1, jayport.EndedFailed)
		recordable(t, w, false)
		w.now += recordDelay
		recordable(t, w, true)
	})
	t.Run("the end of a job does not wait", func(t *testing.T) {
		w := newHarness(t, 1)
		declare(w, newSpec("j", 2))
		w.finish("j", 0, jayport.EndedDone)
		w.record()
		w.finish("j", 1, jayport.EndedDone)
		recordable(t, w, true)
	})
}

func TestJobsAreServedByPriority(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 0)
	later := newSpec("a", 1)
	later.Policy.Priority = 1
	declare(w, later)
	w.now += time.Second
	declare(w, newSpec("b", 1))
	w.addWorker("w0")
	w.workers["w0"].info.Capacity.ProcessorsMilli = 2000 // room for one job
	w.list()
	w.run()
	is.Equal(w.starts("b.0.0.0"), 1)
	is.Equal(w.starts("a.0.0.0"), 0)
}

func TestRefusalOfARepeatedStartDoesNotFreeTheTask(t *testing.T) {
	// Guards against a task that is started again after it was done: the answer to a start is
	// lost, the repeated start is refused for lack of room, the task is started elsewhere and
	// done, and the first start is carried out seconds late. The refusal of the second start
	// was taken for that of the first.
	is := is.New(t)
	w := newHarness(t, 2)
	first := true
	w.lose = func(a Action) bool {
		_, start := a.(StartRun)
		return start && first
	}
	declare(w, newSpec("j", 1))
	first = false
	r := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].runs[0]
	id := r.worker.ID
	w.lose = func(a Action) bool { stop, ok := a.(StopRun); return ok && stop.To.ID == id }
	r.attempt = 2
	w.pool.StartAnswered(refOf(id), r.ref(), w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
	starts := w.starts("j.0.0.0")
	w.run()
	is.Equal(r.phase, stopping)
	is.Equal(w.starts("j.0.0.0"), starts) // not before the stop is confirmed
	w.lose = func(Action) bool { return false }
	w.pass(2 * time.Second)
	w.reports()
	w.pass(time.Second)
	is.True(w.starts("j.0.0.0") > starts)
}
