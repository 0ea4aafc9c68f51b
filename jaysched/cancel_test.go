package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// executeLate makes a worker carry out a start whose answer was lost.
func executeLate(w *harness, id string, run jayport.RunRef) {
	w.workers[id].active[run] = jayport.ActiveRun{Run: run, Speed: 100}
}

// reportAgain delivers the next reports of all workers.
func reportAgain(w *harness) {
	w.now += 1500 * time.Millisecond
	for _, f := range w.workers {
		if !f.silent {
			w.pool.Reported(f.workerRef(), f.report(w.now), w.now, w.now)
		}
	}
	w.run()
}

// startOf returns the first start order of a task.
func startOf(t *testing.T, w *harness, task string) StartRun {
	t.Helper()
	for _, a := range w.sent {
		if s, ok := a.(StartRun); ok && s.Order.Run.Task.String() == task {
			return s
		}
	}
	t.Fatalf("%s was not started", task)
	return StartRun{}
}

func TestLateStartOfACancelledJobIsStopped(t *testing.T) {
	// Guards against tasks of a cancelled job that continue for seconds: a start gets no
	// answer, the job is cancelled, and the worker carries out the start afterwards. The
	// cancellation considered only runs known to be active.
	lostStarts := func(a Action) bool { _, start := a.(StartRun); return start }
	t.Run("the worker continues to answer", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.lose = lostStarts
		declare(w, newSpec("j", 1))
		late := startOf(t, w, "j.0.0.0")
		w.pool.Cancel("j", w.now)
		executeLate(w, late.To.ID, late.Order.Run)
		w.run()
		reportAgain(w)
		is.Equal(len(w.running()), 0)
	})
	t.Run("the worker was silent until its lease had ended", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.lose = lostStarts
		declare(w, newSpec("j", 1))
		late := startOf(t, w, "j.0.0.0")
		w.pool.Cancel("j", w.now)
		w.workers[late.To.ID].silent = true
		for range 10 {
			w.now += 600 * time.Millisecond
			w.pool.ReportFailed(late.To, w.now)
			w.run()
		}
		executeLate(w, late.To.ID, late.Order.Run)
		w.workers[late.To.ID].silent = false
		reportAgain(w)
		is.Equal(len(w.running()), 0)
	})
	t.Run("the stop gets no answer either", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		lost := 0
		w.lose = func(a Action) bool {
			if _, stop := a.(StopRun); stop {
				lost++
				return lost <= 3
			}
			return lostStarts(a)
		}
		declare(w, newSpec("j", 1))
		late := startOf(t, w, "j.0.0.0")
		executeLate(w, late.To.ID, late.Order.Run)
		w.pool.Cancel("j", w.now)
		for range 5 {
			reportAgain(w)
		}
		is.Equal(len(w.running()), 0)
	})
}

func TestNextOwnerStopsRunsOfACancelledJob(t *testing.T) {
	// Guards against tasks of a cancelled job that continue without limit: a job is cancelled,
	// its owner is lost before the stop, and the next owner has read only that the job has
	// ended, or has not read the job at all. Runs without an open job were not stopped.
	for name, restore := range map[string]func(*Pool, time.Duration){
		"its end is recorded":      func(p *Pool, now time.Duration) { p.RestoreEnded("j", "", Canceled, now) },
		"its records were removed": func(*Pool, time.Duration) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := newHarness(t, 2)
			declare(first, newSpec("j", 1))
			is.True(len(first.running()) > 0)
			next := newHarness(t, 0, WithFence(9, 2), WithFormerOwner(first.now+15*time.Second))
			next.now, next.workers = first.now, first.workers
			restore(next.pool, next.now)
			next.list()
			next.run()
			reportAgain(next)
			is.Equal(len(next.running()), 0)
		})
	}
}
