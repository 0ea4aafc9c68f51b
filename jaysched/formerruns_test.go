package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// takeOverIdle returns the harness of a new owner of a service task that runs nowhere. The workers
// named silent do not answer, and the inventory has been read.
func takeOverIdle(t *testing.T, silent ...string) *harness {
	t.Helper()
	first := newHarness(t, 3)
	spec := newSpec("j", 1, single, longRunning)
	declare(first, spec)
	next := takeOver(t, first, spec)
	for _, f := range next.workers {
		clear(f.active)
	}
	for _, id := range silent {
		next.workers[id].silent = true
	}
	next.run()
	readInventory(next)
	return next
}

// wantStarts checks how often the service task has been started within a time.
func wantStarts(t *testing.T, w *harness, within time.Duration, want int) {
	t.Helper()
	w.pass(within)
	is.New(t).Equal(w.starts("j.0.0.0"), want)
}

func TestHoldOfTasksAfterATakeover(t *testing.T) {
	t.Run("a worker that has reported and left the list holds no tasks", func(t *testing.T) {
		// Guards against a service task that waits for up to 14 s after each change of the owner,
		// since the inventory still has a worker that has reported to this owner and has left.
		next := takeOverIdle(t, "w2")
		wantStarts(t, next, time.Second, 0)
		delete(next.workers, "w1")
		next.list()
		for range silentAfter + 1 {
			next.pool.ReportFailed(refOf("w1"), next.now)
			next.pass(silentRetryDelay)
		}
		next.workers["w2"].silent = false
		next.pool.InventoryRead([]string{"w0", "w1", "w2"}, next.now, next.now)
		wantStarts(t, next, time.Second, 1)
	})
	t.Run("a worker that has reported and returns to the list holds no tasks", func(t *testing.T) {
		// Guards against the same wait for a worker that was cut off from the store for a time.
		next := takeOverIdle(t, "w2")
		w1 := next.workers["w1"]
		delete(next.workers, "w1")
		next.list()
		for range silentAfter + 1 {
			next.pool.ReportFailed(refOf("w1"), next.now)
			next.pass(silentRetryDelay)
		}
		next.workers["w1"], w1.silent = w1, true
		next.list()
		next.workers["w2"].silent = false
		wantStarts(t, next, time.Second, 1)
	})
	t.Run("an older list of the inventory does not replace a newer one", func(t *testing.T) {
		// Guards against a service task that is held for workers that have left: the list of the
		// fleet's owner may be older than the one that the pool's owner has read.
		next := takeOverIdle(t, "w2")
		asked := next.now
		next.pass(time.Second)
		delete(next.workers, "w2")
		next.list()
		next.pool.InventoryRead([]string{"w0", "w1"}, next.now, next.now)
		next.pool.InventoryRead([]string{"w0", "w1", "w2"}, asked, next.now)
		wantStarts(t, next, time.Second, 1)
	})
	t.Run("workers that join continually hold no tasks", func(t *testing.T) {
		// Guards against a service task that waits for as long as hosts are moved to the pool.
		next := takeOverIdle(t, "w2")
		wantStarts(t, next, time.Second, 0)
		next.addWorker("joined")
		next.workers["joined"].silent = true
		next.list()
		next.workers["w2"].silent = false
		next.pool.InventoryRead([]string{"w0", "w1", "w2", "joined", "joining"}, next.now, next.now)
		wantStarts(t, next, time.Second, 1)
	})
	t.Run("an inventory from before the end of the takeover releases no tasks", func(t *testing.T) {
		// Guards against two runs of a task: the former owner, which does not know yet that it is
		// replaced, starts it on a worker that has joined since the inventory was read.
		first := newHarness(t, 1)
		spec := newSpec("j", 1, single, longRunning)
		declare(first, spec)
		next := takeOver(t, first, spec)
		next.pool.TakenOver(next.now + 100*time.Millisecond)
		clear(next.workers["w0"].active)
		readInventory(next)
		wantStarts(t, next, 50*time.Millisecond, 0)
		next.now += 100 * time.Millisecond
		next.pool.InventoryRead([]string{"w0", "joined"}, next.now, next.now)
		wantStarts(t, next, 3*time.Second, 0)
		next.pool.InventoryRead([]string{"w0"}, next.now, next.now)
		wantStarts(t, next, time.Second, 1)
	})
}

// Guards against a task that is started while a former owner may still start it: that owner may use
// any worker that existed before the takeover was complete.
func TestWorkersOfTheTakeoverHoldTasksUntilTheyReport(t *testing.T) {
	next := takeOverIdle(t, "w0", "w1", "w2")
	next.addWorker("w9")
	next.list()
	for range 4 {
		readInventory(next)
		wantStarts(t, next, time.Second, 0)
	}
	declare(next, newSpec("later", 1, func(s *jayspec.Step) { s.Tasks = 1 }))
	is.New(t).Equal(next.starts("later.0.0.0"), 1)
	for _, f := range next.workers {
		f.silent = false
	}
	wantStarts(t, next, time.Second, 1)
}

// Guards against two runs of a task: its end stands behind one of a job that may still become known,
// and the worker that lists both counts as one without unknown ends.
func TestUnprocessedEndsHoldTasks(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 2)
	spec := newSpec("j", 1, single)
	declare(first, spec)
	next := takeOver(t, first, spec)
	next.pool.JobsKnown(next.now - time.Second)
	for _, f := range next.workers {
		for run := range f.active {
			f.end(jayport.RunRef{Task: jayport.TaskID{Job: "unknown"}, Number: 1}, jayport.EndedDone)
			f.end(run, jayport.EndedDone)
		}
	}
	readInventory(next)
	next.run()
	next.pass(unrecordedDelay)
	is.Equal(next.starts("j.0.0.0"), 0)
	next.pool.JobsKnown(next.now)
	next.now += unrecordedDelay
	next.reports()
	next.record()
	wantState(t, next, "j", StateDone)
	is.Equal(next.starts("j.0.0.0"), 0)
}
