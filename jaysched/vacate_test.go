package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

func longRunning(s *jayspec.Step) { s.LongRunning, s.MayMiss = true, 1 }

// vacate orders the pool to vacate a worker, as the fleet's owner does several times a second,
// and lets time pass.
func vacate(w *harness, id string, period time.Duration) {
	for passed := time.Duration(0); passed < period; passed += 100 * time.Millisecond {
		w.pool.SetVacating([]Vacate{{Worker: id}}, w.now)
		w.pass(100 * time.Millisecond)
		w.reports()
	}
}

func vacated(w *harness, id string) bool {
	for _, l := range w.pool.Demand(w.now).Loads {
		if l.Worker == id {
			return l.Vacated
		}
	}
	return false
}

// stopDetails takes the pool's events and returns the details of those of stopped runs.
func (w *harness) stopDetails() (details []string) {
	for _, e := range w.pool.TakeEvents() {
		if e.Kind == RunStopped {
			details = append(details, e.Detail)
		}
	}
	return details
}

func TestVacating(t *testing.T) {
	t.Run("an idle worker is vacated immediately and opened again later", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		is.True(vacated(w, "w0"))
		declare(w, newSpec("j", 1))
		is.Equal(len(w.running()), 0)
		// The fleet's owner is lost: its order expires.
		w.pass(jayport.ClosedTime)
		is.Equal(len(w.running()), 2)
	})
	t.Run("a worker stays closed while a replaced owner of the fleet may act", func(t *testing.T) {
		// Guards against a task that is ended by a late move: the fleet's next owner did not
		// name the worker, and the pool started tasks on it before the command arrived.
		is := is.New(t)
		w := newHarness(t, 1)
		w.pool.SetFleetFence(3, w.now)
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		w.pass(100 * time.Millisecond)
		w.pool.SetFleetFence(8, w.now)
		w.pool.SetVacating(nil, w.now)
		declare(w, newSpec("j", 1))
		is.Equal(len(w.running()), 0)
		is.True(!vacated(w, "w0")) // the next owner must order it itself
		w.pass(jayport.ClosedTime)
		w.pool.SetVacating(nil, w.now)
		w.run()
		is.Equal(len(w.running()), 2)
	})
	t.Run("long-running tasks move one by one", func(t *testing.T) {
		// Guards against more unavailable tasks of a step than it can miss: a host with several
		// tasks of a step is vacated for maintenance, and all were stopped together, before the
		// first one was available again.
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, longRunning))
		w.reports()
		w.addWorker("w1")
		w.list()
		w.run()
		w.pool.TakeEvents()
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		w.run()
		is.Equal(w.stopDetails(), []string{"vacating, room on w1"})
		is.Equal(len(w.workers["w0"].active), 1)
		vacate(w, "w0", 2*time.Second)
		is.Equal(len(w.workers["w0"].active), 0)
		is.Equal(len(w.workers["w1"].active), 2)
		is.True(vacated(w, "w0"))
	})
	t.Run("a long-running task without room elsewhere stays", func(t *testing.T) {
		// Guards against a long-running task that no longer runs: the only worker with room is
		// vacated for maintenance, and the task was stopped although no other worker had room.
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, longRunning))
		w.reports()
		vacate(w, "w0", time.Second)
		is.Equal(len(w.running()), 2)
	})
	t.Run("other tasks end by themselves", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		vacate(w, "w0", time.Second)
		is.Equal(len(w.running()), 2)
		is.True(!vacated(w, "w0"))
	})
	t.Run("other tasks are stopped if the order is urgent", func(t *testing.T) {
		// Guards against a wave that is late although most of its time was left: a host has a
		// task that takes longer than the wave, and the host waited for the task to end by
		// itself.
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		w.reports()
		w.pool.SetVacating([]Vacate{{Worker: "w0", Urgent: true}}, w.now)
		w.run()
		is.Equal(w.stopDetails(), []string{"vacating", "vacating"})
		w.reports()
		is.True(vacated(w, "w0"))
	})
}

func TestDemand(t *testing.T) {
	t.Run("covers tasks that run or could run now", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(0))
		declare(w, newSpec("j", 2, func(s *jayspec.Step) { s.Tasks = 6 }))
		w.pass(2 * time.Second)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(6000))
	})
	t.Run("predicts a burst", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		for n := range 10 {
			declare(w, newSpec(string(rune('a'+n)), 1))
			w.pool.Demand(w.now)
			w.pass(100 * time.Millisecond)
		}
		// Two cores more every tenth of a second: twenty now, and 34 more when a host that is
		// requested now has arrived.
		wantBetween(t, time.Duration(w.pool.Demand(w.now).NeedMilli), 45_000, 56_000)
		w.pass(2 * time.Second)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(20_000))
	})
}

func TestFailingWorkerIsAvoided(t *testing.T) {
	// Guards against jobs that fail although they could be done: a worker fails each run
	// immediately, so it always has room and uses up an attempt of one task after the other.
	// Failures were not counted by worker.
	is := is.New(t)
	w := newHarness(t, 2)
	bad := w.workers["w0"]
	for n := range 6 {
		spec := newSpec(string(rune('a'+n)), 1)
		spec.Steps[0].Tasks = 1
		declare(w, spec)
		for ref := range bad.active {
			bad.end(ref, jayport.EndedFailed)
		}
		w.pass(20 * time.Millisecond)
		w.reports()
	}
	failures := bad.next - 1
	is.True(failures <= 3)
	wantState(t, w, "a", Running)
}

func TestNoRunIsStoppedWhileStopsOfAFormerOwnerMayBePending(t *testing.T) {
	// Guards against one more unavailable task of a step than it can miss: an owner stops a
	// task to vacate its worker and is replaced, the worker lists the run as active until it
	// has ended, and the new owner stops as many others as the step can miss. A run that was
	// ending counted as available.
	is := is.New(t)
	w := newHarness(t, 2, WithFence(7, 2))
	declare(w, newSpec("j", 1, longRunning))
	w.reports()
	w.addWorker("w9")
	w.list()
	w.run()
	is.True(!w.pool.formerStopsEnded(w.pool.jobs["j"].occurrences[0].steps[0], w.now))
	busy := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].runs[0].worker.ID
	running := len(w.workers[busy].active)
	w.pool.SetVacating([]Vacate{{Worker: busy}}, w.now)
	w.run()
	is.Equal(len(w.workers[busy].active), running) // none yet
	vacate(w, busy, 3*time.Second)
	is.Equal(len(w.workers[busy].active), 0)
}

// eviction is a service with a task on each of two workers, which are closed, while a third worker
// has room for one of them.
func eviction(t *testing.T) *harness {
	w := newHarness(t, 2)
	spec := service("j", 2)
	spec.Steps[0].MayMiss = 2
	spec.Steps[0].Need.MemoryMegabytes = 600
	declare(w, spec)
	w.reports()
	w.addWorker("w2")
	w.list()
	w.run()
	return w
}

// vacateBoth orders the pool to vacate two workers and lets time pass. It returns the number of tasks
// of the service that run at the end.
func (w *harness) vacateBoth(period time.Duration) (running int) {
	for range period / (100 * time.Millisecond) {
		w.pool.SetVacating([]Vacate{{Worker: "w0"}, {Worker: "w1"}}, w.now)
		w.pass(100 * time.Millisecond)
		w.reports()
	}
	return len(w.workers["w0"].active) + len(w.workers["w1"].active) + len(w.workers["w2"].active)
}

// Guards against a service task that waits for as long as a wave lasts: two tasks are stopped
// together, and both counted on the same room elsewhere.
func TestEvictedTasksDoNotCountOnTheSameRoom(t *testing.T) {
	is := is.New(t)
	w := eviction(t)
	is.Equal(w.vacateBoth(3*time.Second), 2)
}

// Guards against a service task that waits for as long as short tasks fill each gap: while its run on
// a closed worker was ending, a short task took the room elsewhere that the stop counted on.
func TestShortTasksDoNotTakeTheRoomOfAnEvictedTask(t *testing.T) {
	is := is.New(t)
	w := eviction(t)
	w.lose = func(a Action) bool { _, stop := a.(StopRun); return stop }
	w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
	w.run()
	w.pool.Declare(newSpec("short", 1, single, func(s *jayspec.Step) { s.Need.MemoryMegabytes = 600 }), w.now)
	w.pass(time.Millisecond)
	w.lose = func(Action) bool { return false }
	vacate(w, "w0", time.Second)
	is.Equal(w.running()["j.0.0.0"], "w2")
}

// Guards against a service task that waits for as long as a wave lasts: the only workers with room
// for it are closed, and are not emptied before the tasks on them find room elsewhere.
func TestServiceTaskThatWaitsLongUsesAClosedWorker(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 3))
	declare(w, service("b", 1))
	w.reports()
	from := w.running()["b.0.0.0"]
	var closed []Vacate
	for _, id := range sortedKeys(w.workers) {
		if id != from {
			closed = append(closed, Vacate{Worker: id})
		}
	}
	order := func() { w.pool.SetVacating(closed, w.now) }
	order()
	w.crashWorker(from)
	w.workers[from+"+i"].info.Capacity.MemoryMegabytes = 150 // room for one task
	w.list()
	for range 30 {
		order()
		w.pass(100 * time.Millisecond)
		w.reports()
	}
	is.Equal(len(w.running()), 4)
}
