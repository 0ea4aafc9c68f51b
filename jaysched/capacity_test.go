package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// resizeWorker changes the capacity in a worker's heartbeat.
func (w *harness) resizeWorker(id string, milli, megabytes int64) {
	w.workers[id].info.Capacity = jaypool.Resources{ProcessorsMilli: milli, MemoryMegabytes: megabytes}
	w.list()
	w.run()
}

// Guards against starts beyond a capacity that has shrunk, and against unused room after it has
// grown.
func TestCapacityChanges(t *testing.T) {
	t.Run("runs beyond it continue, and no run starts until there is room", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1)) // takes 2000
		w.resizeWorker("w0", 1500, 1000)
		is.Equal(len(w.running()), 2)
		declare(w, newSpec("k", 1, single))
		is.Equal(w.starts("k.0.0.0"), 0)
		for ref := range w.workers["w0"].active {
			w.workers["w0"].end(ref, jayport.EndedDone)
			break
		}
		w.reports()
		is.Equal(w.starts("k.0.0.0"), 0) // 1000 of 1500 are taken
		w.finish("j", 0, jayport.EndedDone)
		is.Equal(w.starts("k.0.0.0"), 1)
	})
	t.Run("each resource counts separately", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		w.resizeWorker("w0", 4000, 250)
		declare(w, newSpec("k", 1, single))
		is.Equal(w.starts("k.0.0.0"), 0) // 200 of 250 megabytes are taken
	})
	t.Run("a run that is being stopped still takes room", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		w.lose = func(a Action) bool { _, stop := a.(StopRun); return stop }
		w.pool.Cancel("j", w.now)
		w.run()
		w.resizeWorker("w0", 2500, 1000)
		declare(w, newSpec("k", 1, single))
		is.Equal(w.starts("k.0.0.0"), 0)
		w.lose = func(Action) bool { return false }
		w.pass(resendDelay)
		w.reports()
		is.Equal(w.starts("k.0.0.0"), 1)
	})
	t.Run("additional room is used immediately", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.resizeWorker("w0", 1000, 1000)
		declare(w, newSpec("j", 1))
		is.Equal(len(w.running()), 1)
		w.resizeWorker("w0", 4000, 1000)
		is.Equal(len(w.running()), 2)
	})
	t.Run("to zero, and back", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.resizeWorker("w0", 0, 0)
		declare(w, newSpec("j", 1))
		is.Equal(len(w.running()), 0)
		is.True(w.pool.workers["w0"].listed)
		w.resizeWorker("w0", 4000, 1000)
		is.Equal(len(w.running()), 2)
	})
	t.Run("a start without an answer is not sent again beyond it", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.lose = func(a Action) bool { _, start := a.(StartRun); return start }
		declare(w, newSpec("j", 1, single))
		w.resizeWorker("w0", 500, 1000)
		w.sent = nil
		w.pass(resendDelay)
		is.Equal(count[StartRun](w.sent), 0)
		is.Equal(count[StopRun](w.sent), 1)
		w.lose = func(Action) bool { return false }
		w.reportFor(time.Second)
		is.Equal(len(w.pool.workers["w0"].runs), 0) // the task may start elsewhere
	})
	t.Run("gangs and limits per worker observe it", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		w.resizeWorker("w0", 1000, 1000)
		w.resizeWorker("w1", 500, 1000)
		declare(w, newSpec("gang", 1, func(s *jayspec.Step) { s.Gang = true }))
		declare(w, newSpec("apart", 1, func(s *jayspec.Step) { s.MaxPerInstance = 1 }))
		is.Equal(w.starts("gang.0.0.0"), 0)
		is.Equal(w.starts("apart.0.0.0"), 1)
		is.Equal(w.starts("apart.0.0.1"), 0)
		w.resizeWorker("w0", 4000, 1000)
		is.Equal(w.starts("gang.0.0.0"), 1)
	})
	t.Run("no run is started beside unknown runs of another owner", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		stray := jayport.RunRef{Task: jayport.TaskID{Job: "unknown"}, Number: 1}
		w.workers["w0"].active[stray] = jayport.ActiveRun{Run: stray, Speed: 100}
		w.lose = func(a Action) bool { _, stop := a.(StopRun); return stop }
		w.reportFor(time.Second)
		declare(w, newSpec("j", 1))
		is.Equal(w.starts("j.0.0.0"), 0)
		w.lose = func(Action) bool { return false }
		w.reportFor(time.Second)
		is.Equal(w.starts("j.0.0.0"), 1)
	})
	t.Run("a new owner uses the capacity that the worker reports", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 1)
		spec := newSpec("j", 1)
		declare(first, spec)
		first.resizeWorker("w0", 2500, 1000)
		next := takeOver(t, first, spec)
		readInventory(next)
		next.run()
		declare(next, newSpec("k", 1, single))
		is.Equal(next.starts("k.0.0.0"), 0)
		next.resizeWorker("w0", 3000, 1000)
		is.Equal(next.starts("k.0.0.0"), 1)
	})
}

// Guards against repeated starts on a worker that has less room than its heartbeat shows.
func TestStartsAreDelayedAfterRefusalsForLackOfRoom(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	refused := 0
	for n := range 30 {
		w.pool.Declare(newSpec(fmt.Sprint("j", n), 1), w.now)
	}
	for end := w.now + 6*time.Second; w.now < end; w.now += time.Millisecond {
		for _, a := range w.pool.Decide(w.now) {
			if s, ok := a.(StartRun); ok {
				refused++
				w.pool.StartAnswered(s.To, s.Order.Run, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
			}
		}
	}
	is.True(refused < 50) // four at a time, after increasing delays
	is.True(w.pool.workers["w0"].fullFor == maxFullTime)
	t.Run("an accepted start ends the delay", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.pool.Declare(newSpec("j", 1, single), w.now)
		first := w.pool.Decide(w.now)[0].(StartRun)
		w.pool.StartAnswered(first.To, first.Order.Run, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
		is.Equal(w.pool.workers["w0"].fullFor, refusedRetryDelay)
		w.pass(refusedRetryDelay)
		is.Equal(len(w.running()), 1)
		is.Equal(w.pool.workers["w0"].fullFor, time.Duration(0))
	})
	t.Run("a new capacity is used immediately", func(t *testing.T) {
		is := is.New(t)
		w.resizeWorker("w0", 1000, 1000)
		is.Equal(len(w.running()), 1)
	})
}

func TestTaskThatFitsNoWorker(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	w.resizeWorker("w0", 500, 1000)
	w.resizeWorker("w1", 800, 1000)
	declare(w, newSpec("j", 1))
	w.reportFor(time.Second)
	var said []Event
	for _, e := range w.pool.TakeEvents() {
		if e.Kind == TaskTooLarge {
			said = append(said, e)
		}
	}
	is.Equal(len(said), 1) // recorded once
	is.Equal(said[0].Job, "j")
	is.Equal(said[0].Detail, "step 0 needs 1000m,100MB, the largest worker has 800m,1000MB")
	is.True(w.pool.Demand(w.now).WorkersAtLeast > 0) // an instance is requested
	w.resizeWorker("w1", 2000, 1000)
	is.Equal(len(w.running()), 2)
}

func TestDemandReportsPresentCapacities(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	w.resizeWorker("w0", 1500, 1000)
	l := w.pool.Demand(w.now).Loads[0]
	is.Equal(l.CapacityMilli, int64(1500))
	is.Equal(l.UsedMilli, int64(2000))
}
