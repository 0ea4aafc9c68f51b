package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// takeOver returns the harness of a new owner after the loss of the first owner: the workers
// continue, and no progress was recorded.
func takeOver(t *testing.T, w *harness, specs ...*jayspec.Job) *harness {
	t.Helper()
	next := newHarness(t, 0, WithFence(9, 2), WithFormerOwner(w.now+15*time.Second))
	next.now = w.now
	next.workers = w.workers
	for _, spec := range specs {
		next.pool.Restore(spec, nil, next.now)
	}
	next.pool.TakenOver(next.now)
	next.list()
	return next
}

func readInventory(w *harness) {
	var ids []string
	for id := range w.workers {
		ids = append(ids, id)
	}
	w.pool.InventoryRead(ids, w.now, w.now)
}

func TestTakeover(t *testing.T) {
	t.Run("runs are adopted and continue", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 1)
		declare(first, spec)
		next := takeOver(t, first, spec)
		readInventory(next)
		next.run()
		is.Equal(next.starts("j.0.0.0"), 0)
		is.Equal(len(next.running()), 2)
		next.finish("j", 0, jayport.EndedDone)
		next.record()
		wantState(t, next, "j", StateDone)
	})
	t.Run("no task starts twice before each worker has reported", func(t *testing.T) {
		// Guards against a task that is started again after a run has ended as done: an owner
		// is lost, and the next one starts unfinished tasks before the workers have reported
		// their runs. A worker that had not reported was taken for an idle one.
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 1)
		declare(first, spec)
		next := takeOver(t, first, spec)
		for _, f := range next.workers {
			f.silent = true
		}
		next.addWorker("w9")
		next.list()
		readInventory(next)
		next.run()
		next.pass(3 * time.Second)
		is.Equal(next.starts("j.0.0.0"), 0)
		// A job that was submitted after the takeover need not wait.
		declare(next, newSpec("later", 1))
		is.Equal(len(next.workers["w9"].active), 2)
		// Once no lease of the former owner can last, the task is started.
		next.pass(13 * time.Second)
		is.Equal(next.starts("j.0.0.0"), 1)
	})
	t.Run("a worker that only the inventory knows counts too", func(t *testing.T) {
		// Guards against the same failure on a worker that is partitioned from the store, so
		// that its heartbeat has expired, while its owner still reaches it and is lost: the
		// next owner knew only the workers on the list.
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 1)
		declare(first, spec)
		next := takeOver(t, first, spec)
		next.run()
		is.Equal(next.starts("j.0.0.0"), 0) // the inventory has not been read yet
		next.pool.InventoryRead([]string{"w0", "w1", "hidden"}, next.now, next.now)
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 0)
	})
	t.Run("a worker that leaves the list before it has reported counts too", func(t *testing.T) {
		// Guards against a task that is started after it had used up its attempts: an owner is
		// lost while the store is unavailable, the workers' heartbeats expire in the meantime,
		// and the next owner drops the workers that are no longer listed, with their ends. A
		// worker that had not reported was taken for one without ends.
		is := is.New(t)
		first := newHarness(t, 1)
		spec := newSpec("j", 1)
		declare(first, spec)
		next := takeOver(t, first, spec)
		hidden := next.workers["w0"]
		hidden.silent = true
		next.run()
		readInventory(next)
		delete(next.workers, "w0")
		next.addWorker("w9")
		next.list()
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 0)
		// The inventory shows that the worker has ended.
		next.pool.InventoryRead([]string{"w9"}, next.now, next.now)
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 1)
	})
	t.Run("the end of an older run does not exclude a newer one", func(t *testing.T) {
		// Guards against two runs of a task at the same time: a task is stopped on one worker
		// and started on another, the owner is lost before it acknowledges the end, and the
		// next owner receives the end first. Any report about a task counted as information
		// where it runs.
		is := is.New(t)
		first := newHarness(t, 1)
		spec := newSpec("j", 1)
		spec.Steps[0].Tasks = 1
		declare(first, spec)
		first.addWorker("w1")
		first.list()
		first.run()
		first.workers["w0"].info.Draining = true
		first.list()
		first.finish("j", 0, jayport.EndedStopped)
		is.Equal(len(first.workers["w1"].active), 1)
		next := takeOver(t, first, spec)
		next.workers["w0"].info.Draining = false
		next.workers["w1"].silent = true
		next.list()
		readInventory(next)
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 0)
		next.workers["w1"].silent = false
		next.pass(time.Second)
		is.Equal(next.starts("j.0.0.0"), 0) // adopted, and continues
		is.Equal(len(next.running()), 1)
	})
	t.Run("run numbers are above those of all former owners", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 1)
		spec := newSpec("j", 1)
		declare(first, spec)
		next := takeOver(t, first, spec)
		readInventory(next)
		next.run()
		next.finish("j", 0, jayport.EndedStopped)
		for ref := range next.workers["w0"].active {
			is.True(ref.Number > runNumbersPerTerm)
		}
		is.Equal(len(next.running()), 2)
	})
	t.Run("done tasks stay done", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 2)
		declare(first, spec)
		first.finish("j", 0, jayport.EndedDone)
		progress := first.record().Progress["j"]
		next := newHarness(t, 0, WithFence(9, 2))
		next.workers = first.workers
		next.pool.Restore(spec, progress, next.now)
		next.list()
		next.run()
		is.Equal(next.starts("j.0.0.0"), 0)
		is.Equal(len(next.running()), 2) // the second step
	})
	t.Run("runs of ended jobs are stopped", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 1)
		declare(first, newSpec("j", 1))
		next := takeOver(t, first)
		next.pool.RestoreEnded("j", "", Canceled, next.now)
		next.run()
		is.Equal(len(next.running()), 0)
		wantState(t, next, "j", StateCanceled)
	})
}

func TestProgressKeepsCheckpoints(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	spec := newSpec("j", 1, func(s *jayspec.Step) { s.Checkpoint = true })
	declare(w, spec)
	f := w.workers["w0"]
	for ref := range f.active {
		delete(f.active, ref)
		f.ended = append(f.ended, jayport.EndedRun{Number: f.next, Run: ref, Ending: jayport.EndedStopped, Checkpoint: "half"})
		f.next++
	}
	w.pass(time.Millisecond)
	w.reports()
	resumed := 0
	for _, a := range w.sent {
		if s, ok := a.(StartRun); ok && s.Order.Checkpoint == "half" {
			resumed++
		}
	}
	is.Equal(resumed, 2)
}

func TestPartialReportEndsNoRun(t *testing.T) {
	// Guards against a task that is started a second time while it runs: the row of the task in
	// its worker's report is unreadable, and a run without a readable row was taken for one
	// that has vanished.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	is.Equal(w.starts("j.0.0.0"), 1)
	for id := range w.workers {
		w.now += time.Second
		w.pool.Reported(refOf(id), jayport.Report{Clock: w.now, Partial: true}, w.now, w.now)
	}
	w.sent = append(w.sent, w.pool.Decide(w.now)...)
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestStateIsNotAnsweredBeforeWorkersHaveReported(t *testing.T) {
	// Guards against a job that was shown as running and is shown as queued: its owner is lost, and
	// the next one is asked before the workers have reported its runs and their ends. The content
	// of the store was taken for complete.
	is := is.New(t)
	first := newHarness(t, 2)
	spec := newSpec("j", 1, func(s *jayspec.Step) { s.MaxPerInstance = 1 })
	declare(first, spec)
	first.finish("j", 0, jayport.EndedDone)
	wantState(t, first, "j", Running)
	next := takeOver(t, first, spec)
	next.workers["w1"].silent = true
	next.run()
	readInventory(next)
	is.True(!next.pool.StateKnown("j", next.now))
	next.workers["w1"].silent = false
	next.now += silentRetryDelay
	next.run()
	is.True(next.pool.StateKnown("j", next.now))
	next.record()
	wantState(t, next, "j", StateDone)
	t.Run("a lost worker delays the answer for a limited time", func(t *testing.T) {
		is := is.New(t)
		third := takeOver(t, first, spec)
		third.workers["w1"].silent = true
		third.run()
		is.True(!third.pool.StateKnown("j", third.now))
		is.True(third.pool.StateKnown("j", third.now+takeoverReportTimeout))
		is.True(third.pool.StateKnown("unknown", third.now))
	})
}

// Guards against restored tasks that wait for up to 14 s, until all leases of the former owner must
// have ended, since another instance of a growing pool is always about to join.
func TestWorkersThatJoinAfterATakeoverHoldNoTasks(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 2)
	spec := newSpec("j", 1)
	declare(first, spec)
	next := takeOver(t, first, spec)
	next.workers["w0"].silent, next.workers["w1"].silent = true, true
	next.run()
	readInventory(next)
	for _, f := range next.workers {
		f.silent = false
		clear(f.active)
	}
	next.pool.InventoryRead([]string{"w0", "w1", "joining"}, next.now, next.now)
	next.addWorker("silent")
	next.workers["silent"].silent = true
	next.list()
	next.pass(time.Second)
	is.Equal(next.starts("j.0.0.0"), 1)
}
