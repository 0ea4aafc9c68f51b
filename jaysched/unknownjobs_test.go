package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// newTakeoverOfUnknownJob returns the harness of a new owner that does not know a job which the
// former owner has stored and begun.
func newTakeoverOfUnknownJob(t *testing.T) (w *harness, job string) {
	t.Helper()
	first := newHarness(t, 2)
	declare(first, newSpec("j", 1))
	w = newHarness(t, 0, WithFence(9, 2), WithFormerOwner(first.now+15*time.Second))
	w.now, w.workers = first.now, first.workers
	w.pool.JobsKnown(w.now - time.Second)
	w.list()
	w.run()
	readInventory(w)
	return w, "j"
}

func TestUnknownJobOfAFormerOwner(t *testing.T) {
	// Guards against a task that is started again after a run has ended as done, by a new owner
	// with a slow store: the new owner reads the jobs; the former one, which does not know of
	// it yet, stores and begins one more job; its tasks end; the new owner asks the workers,
	// and reads the job later. Ends of an unknown job were discarded.
	t.Run("is done if its runs have ended in the meantime", func(t *testing.T) {
		is := is.New(t)
		w, job := newTakeoverOfUnknownJob(t)
		w.finish(job, 0, jayport.EndedDone)
		w.record()
		reportAgain(w)
		is.True(w.pool.DeclareFound(newSpec(job, 1), w.now))
		w.run()
		is.Equal(w.starts("j.0.0.0"), 0) // its workers are asked first
		reportAgain(w)
		w.record()
		wantState(t, w, job, StateDone)
		is.Equal(w.starts("j.0.0.0"), 0)
	})
	t.Run("continues if it runs", func(t *testing.T) {
		is := is.New(t)
		w, job := newTakeoverOfUnknownJob(t)
		running := len(w.running())
		is.True(w.pool.DeclareFound(newSpec(job, 1), w.now))
		reportAgain(w)
		is.Equal(len(w.running()), running)
		is.Equal(w.starts("j.0.0.0"), 0)
		w.finish(job, 0, jayport.EndedDone)
		w.record()
		wantState(t, w, job, StateDone)
	})
	t.Run("is stopped if no owner has stored it", func(t *testing.T) {
		is := is.New(t)
		w, _ := newTakeoverOfUnknownJob(t)
		reportAgain(w)
		is.True(len(w.running()) > 0)
		w.pool.JobsKnown(w.now)
		reportAgain(w)
		is.Equal(len(w.running()), 0)
	})
}

// Guards against a host that is moved with a run of a job that the owner does not know yet, or with the
// end of such a run: its worker was reported as vacated.
func TestWorkerWithRunsOfAnUnknownJobIsNotVacated(t *testing.T) {
	vacated := func(w *harness) (workers int) {
		w.pool.SetVacating([]Vacate{{Worker: "w0"}, {Worker: "w1"}}, w.now)
		for _, l := range w.pool.Demand(w.now).Loads {
			if l.Vacated {
				workers++
			}
		}
		return workers
	}
	t.Run("while it runs", func(t *testing.T) {
		is := is.New(t)
		w, _ := newTakeoverOfUnknownJob(t)
		is.True(len(w.running()) > 0)
		is.Equal(vacated(w), 1) // the other one
	})
	t.Run("while its end is not processed", func(t *testing.T) {
		is := is.New(t)
		w, job := newTakeoverOfUnknownJob(t)
		for index := range len(w.running()) {
			w.finish(job, index, jayport.EndedDone)
		}
		reportAgain(w)
		is.Equal(len(w.running()), 0)
		is.Equal(vacated(w), 1)
	})
}

func TestFoundJobWaitsForWorkersThatHaveNotReported(t *testing.T) {
	// Guards against a task that runs twice after a takeover: the former owner has begun a job
	// on a worker that does not answer the next one, which finds the job afterwards. Only jobs
	// that were read during the takeover waited for the reports of the workers.
	is := is.New(t)
	w, job := newTakeoverOfUnknownJob(t)
	w.workers["w0"].silent = true
	next := newHarness(t, 0, WithFence(11, 3), WithFormerOwner(w.now+15*time.Second))
	next.now, next.workers = w.now, w.workers
	next.list()
	next.run()
	readInventory(next)
	is.True(next.pool.DeclareFound(newSpec(job, 1), next.now))
	next.run()
	is.Equal(next.starts("j.0.0.0"), 0)
}

func TestFoundJobBeginsAtOnce(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.JobsKnown(w.now)
	is.True(w.pool.DeclareFound(newSpec("j", 1), w.now))
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestFoundJobDoesNotWaitForLapsedWorker(t *testing.T) {
	// Guards against a job that is not begun for as long as a worker does not answer that had
	// reported a run of it, although the lease of that run has ended.
	is := is.New(t)
	w, job := newTakeoverOfUnknownJob(t)
	for _, f := range w.workers {
		f.silent = true
	}
	w.addWorker("w9")
	w.list()
	w.run()
	is.True(w.pool.DeclareFound(newSpec(job, 1), w.now))
	for range 20 {
		w.pass(time.Second)
	}
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestEndBehindThatOfAnUnknownJobIsNotMissing(t *testing.T) {
	// Guards against a task that is started again after a run has ended as done: its end was in
	// the worker's list behind that of a job that was not known yet, and was not processed, so
	// that the run counted as one that had vanished.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks = 1 }))
	w.pool.JobsKnown(w.now)
	w.now += time.Millisecond
	f := w.workers["w0"]
	f.end(jayport.RunRef{Task: jayport.TaskID{Job: "unknown"}, Number: 1}, jayport.EndedDone)
	w.finish("j", 0, jayport.EndedDone)
	w.pass(100 * time.Millisecond)
	is.Equal(w.starts("j.0.0.0"), 1)
	w.pool.JobsKnown(w.now)
	w.reports()
	w.record()
	wantState(t, w, "j", StateDone)
}

// Guards against two runs of a task: the worker that runs it leaves the list before the new owner has
// read the task's job, and is forgotten although its lease lasts.
func TestWorkerWithRunsOfAnUnknownJobIsKeptUntilItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.JobsKnown(w.now - time.Second)
	run := jayport.RunRef{Task: jayport.TaskID{Job: "late"}, Number: 1}
	w.workers["w0"].active[run] = jayport.ActiveRun{Run: run, Speed: 100}
	w.reports()
	w.now += unrecordedDelay
	w.reports() // its lease is renewed
	delete(w.workers, "w0")
	w.list()
	for range silentAfter + 1 {
		w.pool.ReportFailed(refOf("w0"), w.now)
		w.pass(silentRetryDelay)
	}
	is.Equal(len(w.pool.workers), 1)
	w.pass(5 * time.Second)
	w.pass(time.Millisecond)
	is.Equal(len(w.pool.workers), 0)
}
