package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// stopsLost says that the answers to stops are lost.
func stopsLost(a Action) bool { _, stop := a.(StopRun); return stop }

// stopFirst orders the first of two closed workers of an eviction to be vacated. The run there is being
// stopped, with a place on w2, until the harness loses nothing.
func stopFirst(t *testing.T) *harness {
	w := eviction(t)
	w.lose = stopsLost
	w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
	w.run()
	return w
}

func (w *harness) loseNothing() { w.lose = func(Action) bool { return false } }

// stopped reports whether a run of a task was ordered to stop.
func (w *harness) stopped(task string) bool {
	for _, a := range w.sent {
		if s, ok := a.(StopRun); ok && s.Run.Task.String() == task {
			return true
		}
	}
	return false
}

// drain drains a worker.
func (w *harness) drain(id string) {
	w.workers[id].info.Draining = true
	w.list()
}

func TestSecondServiceTaskIsNotStoppedWhileTheFirstWaits(t *testing.T) {
	t.Run("for room", func(t *testing.T) {
		// Guards against a service that lacks a task for as long as a wave lasts: the second one took the room
		// that a new worker brought.
		is := is.New(t)
		w := stopFirst(t)
		w.drain("w2")
		w.loseNothing()
		vacate(w, "w0", time.Second)
		is.Equal(w.running(), map[string]string{"j.0.0.1": "w1"})
		w.addWorker("w3")
		w.list()
		w.vacateBoth(time.Second)
		is.True(!w.stopped("j.0.0.1"))
		is.Equal(w.running(), map[string]string{"j.0.0.0": "w3", "j.0.0.1": "w1"})
	})
	t.Run("for its start", func(t *testing.T) {
		// Guards against a service that lacks two tasks at once: its owner may start no run for a while.
		is := is.New(t)
		w := eviction(t)
		w.addWorker("w3")
		w.list()
		w.run()
		w.pool.SetStarts(0)
		vacate(w, "w0", time.Second)
		is.True(w.stopped("j.0.0.0"))
		w.vacateBoth(time.Second)
		is.True(!w.stopped("j.0.0.1"))
		w.pool.SetStarts(10)
		w.vacateBoth(time.Second)
		is.Equal(len(w.running()), 2)
		is.True(w.stopped("j.0.0.1"))
	})
}

func TestKeptPlace(t *testing.T) {
	changes := func(name string, change func(w *harness)) {
		t.Run("is replaced when its worker "+name, func(t *testing.T) {
			// Guards against a service task that waits for room on a worker that cannot run it.
			w := stopFirst(t)
			w.addWorker("w3")
			change(w)
			w.list()
			w.run()
			w.loseNothing()
			vacate(w, "w0", time.Second)
			is.New(t).Equal(w.running()["j.0.0.0"], "w3")
		})
	}
	changes("drains", func(w *harness) { w.workers["w2"].info.Draining = true })
	changes("leaves", func(w *harness) { delete(w.workers, "w2") })
	changes("lacks the room", func(w *harness) { w.workers["w2"].info.Capacity.MemoryMegabytes = 100 })
	short := func(w *harness, megabytes int64) {
		w.pool.Declare(newSpec("short", 1, single, func(s *jayspec.Step) { s.Need.MemoryMegabytes = megabytes }), w.now)
		w.pass(time.Millisecond)
	}
	t.Run("holds no more room than its task needs", func(t *testing.T) {
		w := stopFirst(t)
		short(w, 400)
		is.New(t).True(w.running()["short.0.0.0"] != "")
	})
	t.Run("is forgotten when the job is cancelled", func(t *testing.T) {
		w := stopFirst(t)
		w.pool.Cancel("j", w.now)
		short(w, 600)
		is.New(t).Equal(w.running()["short.0.0.0"], "w2")
	})
	t.Run("keeps its worker in the pool", func(t *testing.T) {
		// Guards against a stopped service task without room: its next worker, without runs, went to another
		// pool.
		for _, l := range stopFirst(t).pool.Demand(time.Minute).Loads {
			if l.Worker == "w2" {
				is.New(t).Equal(l.LongRuns, 1)
			}
		}
	})
}

// Guards against a service task that a wave or an upgrade ends: it was started on a worker that drains, or that
// is about to be taken since it is empty.
func TestServiceTaskThatWaitsLongUsesNoWorkerThatIsEmptied(t *testing.T) {
	for _, c := range []struct {
		name     string
		occupied bool
		draining bool
		starts   int
	}{
		{"a closed worker that keeps a service", true, false, 1},
		{"a closed worker without runs", false, false, 0},
		{"a draining worker", true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, 1)
			if c.occupied {
				declare(w, service("a", 1))
			}
			w.workers["w0"].info.Draining = c.draining
			w.list()
			w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
			declare(w, service("b", 1))
			vacate(w, "w0", 3*time.Second)
			is.New(t).Equal(w.starts("b.0.0.0"), c.starts)
		})
	}
}

// Guards against a service task that is without a run for as long as the next owner takes to take over: an owner that
// was about to leave had stopped it for a wave.
func TestLeavingOwnerStopsNoServiceTasks(t *testing.T) {
	is := is.New(t)
	w := eviction(t)
	w.pool.Leave()
	is.Equal(w.vacateBoth(time.Second), 2)
	is.Equal(len(w.workers["w2"].active), 0)
	w.workers["w0"].info.Draining = true
	w.list()
	w.pass(time.Millisecond)
	w.reports()
	is.Equal(len(w.workers["w2"].active), 1)
}
