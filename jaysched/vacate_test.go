package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

func longRunning(s *jayspec.Step) { s.LongRunning, s.MayMiss = true, 1 }

// vacate tells the pool to empty a worker, as the fleet's owner does several
// times a second, and lets time pass.
func vacate(w *world, id string, period time.Duration) {
	for passed := time.Duration(0); passed < period; passed += 100 * time.Millisecond {
		w.pool.SetVacating([]Vacate{{Worker: id}}, w.now)
		w.pass(100 * time.Millisecond)
		w.reports()
	}
}

func vacated(w *world, id string) bool {
	for _, l := range w.pool.Demand(w.now).Loads {
		if l.Worker == id {
			return l.Vacated
		}
	}
	return false
}

func TestVacating(t *testing.T) {
	t.Run("an idle worker is vacated at once and opened again later", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		is.True(vacated(w, "w0"))
		declare(w, newSpec("j", 1))
		is.Equal(len(w.running()), 0)
		// The fleet's owner is lost: its order expires.
		w.pass(vacateOrderTTL)
		is.Equal(len(w.running()), 2)
	})
	t.Run("long-running tasks move one by one", func(t *testing.T) {
		// Symptom: more tasks of a step are away than it can miss.
		// Sequence: a host with several tasks of a step is emptied for
		// maintenance; all are stopped at once.
		// Cause: nobody waited until the first one was at work again.
		is := is.New(t)
		w := newWorld(t, 1)
		declare(w, newSpec("j", 1, longRunning))
		w.reports()
		w.addWorker("w1")
		w.list()
		w.run()
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		w.run()
		is.Equal(len(w.workers["w0"].active), 1)
		vacate(w, "w0", 2*time.Second)
		is.Equal(len(w.workers["w0"].active), 0)
		is.Equal(len(w.workers["w1"].active), 2)
		is.True(vacated(w, "w0"))
	})
	t.Run("a long-running task that has nowhere to go stays", func(t *testing.T) {
		// Symptom: a task that is to last does not run, though it did before.
		// Sequence: the only worker with room is emptied for maintenance.
		// Cause: the task was stopped before there was another place for it.
		is := is.New(t)
		w := newWorld(t, 1)
		declare(w, newSpec("j", 1, longRunning))
		w.reports()
		vacate(w, "w0", time.Second)
		is.Equal(len(w.running()), 2)
	})
	t.Run("other tasks end by themselves", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		declare(w, newSpec("j", 1))
		vacate(w, "w0", time.Second)
		is.Equal(len(w.running()), 2)
		is.True(!vacated(w, "w0"))
	})
	t.Run("unless it is urgent", func(t *testing.T) {
		// Symptom: a wave is late though most of its time was left.
		// Sequence: a host runs a task that takes longer than the wave.
		// Cause: the host waited for the task to end by itself.
		is := is.New(t)
		w := newWorld(t, 1)
		declare(w, newSpec("j", 1))
		w.reports()
		w.pool.SetVacating([]Vacate{{Worker: "w0", Urgent: true}}, w.now)
		w.run()
		w.reports()
		is.True(vacated(w, "w0"))
	})
}

func TestDemand(t *testing.T) {
	t.Run("is what runs or could run now", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(0))
		declare(w, newSpec("j", 2, func(s *jayspec.Step) { s.Tasks = 6 }))
		w.pass(2 * time.Second)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(6000))
	})
	t.Run("runs ahead of a rush", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 1)
		for n := range 10 {
			declare(w, newSpec(string(rune('a'+n)), 1))
			w.pool.Demand(w.now)
			w.pass(100 * time.Millisecond)
		}
		// Two cores more every tenth of a second: twenty now, and 34 more when
		// a host that is moved now has come.
		between(t, time.Duration(w.pool.Demand(w.now).NeedMilli), 45_000, 56_000)
		w.pass(2 * time.Second)
		is.Equal(w.pool.Demand(w.now).NeedMilli, int64(20_000))
	})
}

func TestWorkerThatFailsAllIsAvoided(t *testing.T) {
	// Symptom: jobs fail although they could be done.
	// Sequence: a worker fails whatever it starts, at once, and so has always
	// room; it takes an attempt of one task after the other.
	// Cause: nobody counted a worker's own failures.
	is := is.New(t)
	w := newWorld(t, 2)
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

func TestNoTaskIsStoppedWhileAFormerOwnersStopsMayBeUnderWay(t *testing.T) {
	// Symptom: one more task of a step is away than it can miss.
	// Sequence: an owner stops a task to empty its worker and is replaced; the
	// worker lists the run as active until it has ended; the new owner stops as
	// many others as the step can miss.
	// Cause: a run that was ending was taken for one at work.
	is := is.New(t)
	w := newWorld(t, 2, WithFence(7, 2))
	declare(w, newSpec("j", 1, longRunning))
	w.reports()
	w.addWorker("w9")
	w.list()
	w.run()
	is.True(!w.pool.stopsSettled(w.pool.jobs["j"].occurrences[0].steps[0], w.now))
	busy := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].runs[0].worker.ID
	running := len(w.workers[busy].active)
	w.pool.SetVacating([]Vacate{{Worker: busy}}, w.now)
	w.run()
	is.Equal(len(w.workers[busy].active), running) // none yet
	vacate(w, busy, 3*time.Second)
	is.Equal(len(w.workers[busy].active), 0)
}
