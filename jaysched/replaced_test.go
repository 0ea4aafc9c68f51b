package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayownership"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// newReplacedHarness returns a harness whose owner was replaced without knowing it: a task runs on
// w0, and w1 has not heard of the next owner.
func newReplacedHarness(t *testing.T) *harness {
	t.Helper()
	w := newConfirmedHarness(t, 1)
	declare(w, newSpec("j", 1, single))
	is.New(t).Equal(w.starts("j.0.0.0"), 1)
	w.now += time.Second // the owner is confirmed up to here
	w.addWorker("w1")
	w.list()
	w.run()
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.now += time.Second
	return w
}

// wantStartAfterConfirmation checks that a task is started again only once the owner is confirmed.
func wantStartAfterConfirmation(t *testing.T, w *harness, task string, before int) {
	t.Helper()
	is := is.New(t)
	w.run()
	is.Equal(w.starts(task), before)
	asked := confirms(w)
	w.pass(jayownership.ConfirmRetryDelay)
	is.True(confirms(w) > 0 && asked > 0)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts(task), before+1)
}

// Guards against tasks that a replaced owner starts after the next one has recorded their ends: it
// concludes that their runs are over from something other than their ends.
func TestLostRunIsRestartedOnceTheOwnerIsConfirmed(t *testing.T) {
	t.Run("the worker has left the inventory", func(t *testing.T) {
		w := newReplacedHarness(t)
		w.workers["w0"].silent = true
		w.pool.ReportFailed(refOf("w0"), w.now)
		w.pool.InventoryRead([]string{"w1"}, w.now, w.now)
		wantStartAfterConfirmation(t, w, "j.0.0.0", 1)
	})
	t.Run("another incarnation answers", func(t *testing.T) {
		w := newReplacedHarness(t)
		w.pool.Ended(refOf("w0"), "another incarnation answers", w.now)
		wantStartAfterConfirmation(t, w, "j.0.0.0", 1)
	})
	t.Run("the report lacks the run", func(t *testing.T) {
		w := newReplacedHarness(t)
		clear(w.workers["w0"].active)
		w.pool.Reported(refOf("w0"), jayport.Report{Clock: w.now}, w.now, w.now)
		wantStartAfterConfirmation(t, w, "j.0.0.0", 1)
	})
}

// Guards against a job that two owners begin: the next one has stored it, and the former one reads it
// before it reads that it was replaced.
func TestFoundJobBeginsOnceTheOwnerIsConfirmed(t *testing.T) {
	w := newReplacedHarness(t)
	w.pool.DeclareFound(newSpec("k", 1, single), w.now)
	wantStartAfterConfirmation(t, w, "k.0.0.0", 0)
}

// Guards against tasks that are started again while they run: the inventory does not have a worker yet
// that is listed and answers.
func TestAnsweringWorkerIsNotEndedByTheInventory(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("j", 1, single))
	w.now += 100 * time.Millisecond // its next report is not due yet
	w.pool.InventoryRead(nil, w.now, w.now)
	is.Equal(len(w.pool.workers), 2)
	w.pool.InventoryRead([]string{"w1"}, w.now, w.now)
	w.now += time.Millisecond
	w.pool.InventoryRead(nil, w.now, w.now)
	is.Equal(sortedKeys(w.pool.workers), []string{"w0"}) // the inventory had w1
	for id := range w.workers {
		w.pool.ReportFailed(refOf(id), w.now)
	}
	w.workers["w0"].silent, w.workers["w1"].silent = true, true
	w.pool.InventoryRead(nil, w.now, w.now)
	is.Equal(len(w.pool.workers), 0)
}

// Guards against tasks that are started while a former owner's run of them continues: the worker lists
// the run in a row that cannot be read.
func TestPartialReportDoesNotEndTheWaitForFormerRuns(t *testing.T) {
	is := is.New(t)
	w := takeOverIdle(t, "w2")
	w.pool.Reported(refOf("w2"), jayport.Report{Clock: w.now, Partial: true}, w.now, w.now)
	w.pass(time.Second)
	is.Equal(w.starts("j.0.0.0"), 0)
	w.pool.Reported(refOf("w2"), jayport.Report{Clock: w.now}, w.now, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

// Guards against a job that two owners begin: a caller repeats its request, the former owner and the
// next one both store the job, and a worker that has not reported to the next one runs it.
func TestJobThatTwoOwnersStoreWaitsForUnreportedWorkers(t *testing.T) {
	is := is.New(t)
	w := takeOverIdle(t, "w2")
	declare(w, newSpec("k", 1, single))
	w.pass(time.Second)
	is.Equal(w.starts("k.0.0.0"), 0)
	w.pool.Reported(refOf("w2"), jayport.Report{Clock: w.now}, w.now, w.now)
	w.run()
	is.Equal(w.starts("k.0.0.0"), 1)
}

// Guards against the same fault after the jobs of the takeover are known: the store has two records of the
// job, or may have had two.
func TestJobOfTwoRecordsWaitsForUnreportedWorkers(t *testing.T) {
	for name, read := range map[string]func(w *harness, job *jayspec.Job){
		"both are read": func(w *harness, job *jayspec.Job) {
			w.pool.DeclareFound(job, w.now)
			w.pool.DeclareFound(job, w.now)
		},
		"the newest is read": func(w *harness, job *jayspec.Job) {
			w.pool.JobsReloaded()
			w.pool.DeclareFound(job, w.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := takeOverIdle(t, "w2")
			w.pool.JobsKnown(w.now)
			job := newSpec("k", 1, single)
			declare(w, job)
			read(w, job)
			for range 8 {
				w.pass(time.Second)
				w.pool.JobsKnown(w.now)
			}
			is.Equal(w.starts("k.0.0.0"), 0)
			w.pool.Reported(refOf("w2"), jayport.Report{Clock: w.now}, w.now, w.now)
			w.run()
			is.Equal(w.starts("k.0.0.0"), 1)
		})
	}
}

// Guards against jobs that wait for as long as a worker is cut off, though no former owner has stored them.
func TestJobOfOneRecordDoesNotWaitForUnreportedWorkers(t *testing.T) {
	is := is.New(t)
	w := takeOverIdle(t, "w2")
	w.pool.JobsKnown(w.now)
	early, late := newSpec("early", 1, single), newSpec("late", 1, single)
	declare(w, early)
	w.pool.DeclareFound(early, w.now)
	w.pass(2 * time.Second)
	declare(w, late)
	is.Equal(w.starts("early.0.0.0"), 0)
	known := jayownership.StoredByFormerUntil(w.pool.formerRuns.takenOverAt)
	w.pool.JobsKnown(known - time.Nanosecond)
	w.run()
	is.Equal(w.starts("early.0.0.0"), 0)
	w.pool.JobsKnown(known)
	w.run()
	is.Equal(w.starts("early.0.0.0"), 1)
	is.Equal(w.starts("late.0.0.0"), 0) // its own record may not have been read yet
	w.pool.DeclareFound(late, w.now)
	w.pool.JobsKnown(w.now)
	w.run()
	is.Equal(w.starts("late.0.0.0"), 1)
	declare(w, newSpec("later", 1, single))
	is.Equal(w.starts("later.0.0.0"), 1)
}

// Guards against the same fault by the former owner: it stores a job long after the next one has taken over,
// which has begun it.
func TestStoredJobBeginsOnceTheOwnerWasConfirmedRecently(t *testing.T) {
	w := newReplacedHarness(t)
	declare(w, newSpec("j1", 1, single))
	is.New(t).Equal(w.starts("j1.0.0.0"), 1)
	w.now += time.Millisecond
	w.pool.Declare(newSpec("k", 1, single), w.now)
	wantStartAfterConfirmation(t, w, "k.0.0.0", 0)
}

// Guards against the same fault on a worker whose report of the job came before the job itself.
func TestJobThatTwoOwnersStoreWaitsForTheNextReport(t *testing.T) {
	is := is.New(t)
	w := takeOverIdle(t)
	w.pool.JobsKnown(w.now)
	w.workers["w2"].end(jayport.RunRef{Task: jayport.TaskID{Job: "k"}, Number: 1}, jayport.EndedDone)
	w.pool.Reported(refOf("w2"), w.workers["w2"].report(w.now), w.now, w.now)
	w.pool.Declare(newSpec("k", 1, single), w.now)
	for _, a := range w.pool.Decide(w.now) {
		start, _ := a.(StartRun)
		is.True(start.Order.Run.Task.Job != "k")
	}
}

// endAll ends all runs of a worker.
func (f *fakeWorker) endAll(ending jayport.Ending) {
	for ref := range f.active {
		f.end(ref, ending)
	}
}

// Guards against a task that two owners start again: a replaced owner hears that a run has ended without
// success, as the next one does, and starts the task on a worker that the next one has not reached.
func TestEndedRunIsRestartedOnceTheOwnerIsConfirmed(t *testing.T) {
	for _, ending := range []jayport.Ending{jayport.EndedFailed, jayport.EndedStopped} {
		t.Run(ending.String(), func(t *testing.T) {
			w := newReplacedHarness(t)
			w.workers["w0"].endAll(ending)
			w.pool.Reported(refOf("w0"), w.workers["w0"].report(w.now), w.now, w.now)
			w.now += failureRetryDelay
			wantStartAfterConfirmation(t, w, "j.0.0.0", 1)
		})
	}
}

// Guards against a task that two owners start: a former owner used a worker that was on the list before
// the inventory had it, and the next one does not wait for that worker's report.
func TestListedWorkerThatTheInventoryLacksMayHaveFormerRuns(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 3)
	spec := newSpec("j", 1, single)
	declare(first, spec)
	next := takeOver(t, first, spec)
	for _, f := range next.workers {
		clear(f.active)
	}
	next.pool.TakenOver(next.now)
	next.list()
	next.pool.InventoryRead([]string{"w0", "w1"}, next.now, next.now) // w2 is listed
	for _, id := range []string{"w0", "w1"} {
		next.pool.Reported(refOf(id), next.workers[id].report(next.now), next.now, next.now)
	}
	next.pool.Decide(next.now)
	is.True(next.pool.formerRunsPossible(next.now))
}

// Guards against restored tasks that wait for up to 14 s for an entry of the list that is no worker: no
// inventory has it, and nothing answers.
func TestListedEntryThatDoesNotAnswerHoldsNoTasksForLong(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 3)
	spec := newSpec("j", 1, single)
	declare(first, spec)
	next := takeOver(t, first, spec)
	for _, f := range next.workers {
		clear(f.active)
	}
	next.workers["w2"].silent = true
	next.run()
	for range 4 {
		next.pool.InventoryRead([]string{"w0", "w1"}, next.now, next.now)
		next.pass(500 * time.Millisecond)
	}
	is.Equal(next.starts("j.0.0.0"), 1)
}

// Guards against a second start by an owner that was replaced without knowing it: a worker that has not reported
// to it has reported the end of the task to the next owner, and is gone.
func TestLossOfAnUnreportedWorkerWaitsForTheConfirmation(t *testing.T) {
	for _, c := range []string{"it was listed", "it was in the inventory only", "its lease must have ended"} {
		t.Run(c, func(t *testing.T) {
			is := is.New(t)
			first := newHarness(t, 2)
			spec := newSpec("j", 1, single)
			declare(first, spec)
			own := first.running()["j.0.0.0"]
			next := newHarness(t, 0, WithFence(2, 2), WithFormerOwner(first.now+15*time.Second), WithReplaceableOwner(first.now, 16*time.Second))
			next.now, next.workers = first.now, first.workers
			next.pool.Restore(spec, nil, next.now)
			next.pool.TakenOver(next.now)
			next.workers[own].silent = true
			if c == "it was in the inventory only" {
				delete(next.workers, own)
			}
			next.list()
			next.pool.InventoryRead([]string{"w0", "w1"}, next.now, next.now)
			next.run()
			next.reports()
			is.Equal(next.starts("j.0.0.0"), 0)
			if c == "its lease must have ended" {
				next.reportFor(15 * time.Second)
			} else {
				next.now += time.Second
				delete(next.workers, own)
				next.list()
				var left []string
				for id := range next.workers {
					left = append(left, id)
				}
				next.pool.InventoryRead(left, next.now, next.now)
			}
			next.run()
			next.reports()
			is.Equal(next.starts("j.0.0.0"), 0) // the next owner may know more
			next.pool.OwnerConfirmed(next.now, nil, next.now)
			next.reportFor(time.Second)
			is.Equal(next.starts("j.0.0.0"), 1)
		})
	}
}
