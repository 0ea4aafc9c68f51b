package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaytrial"
	"jaythread/jaywire"
)

// nextOwner returns the harness of the owner that takes over from a lost one, with the progress that
// is recorded of a job. Every worker that is left has reported.
func nextOwner(w *harness, spec *jayspec.Job, progress *jaywire.JobProgress, term int64) *harness {
	w.t.Helper()
	next := newHarness(w.t, 0, WithFence(term, term), WithFormerOwner(w.now+15*time.Second))
	next.now, next.workers, next.sent, next.lose, next.storeUnavailable = w.now, w.workers, w.sent, w.lose, w.storeUnavailable
	next.pool.Restore(spec, progress, next.now)
	next.list()
	readInventory(next)
	next.run()
	return next
}

// suspectedHarness returns a harness in which both tasks of a job have lost their worker, which left
// the inventory just after their start.
func suspectedHarness(t *testing.T, spec *jayspec.Job, change func(*harness)) *harness {
	t.Helper()
	w := newHarness(t, 6)
	declare(w, spec)
	is.New(t).Equal(w.running()["j.0.0.0"], w.running()["j.0.0.1"])
	change(w)
	w.inventoryLoses(w.running()["j.0.0.0"])
	return w
}

// wantCrashes checks the number of losses that are attributed to each task of a job.
func wantCrashes(t *testing.T, w *harness, job string, want int) {
	t.Helper()
	w.pool.jobs[job].eachTask(func(task *task) { is.New(t).Equal(len(task.crashes), want) })
}

func isStart(a Action) bool {
	_, start := a.(StartRun)
	return start
}

// Guards against a sound job that is given up after quick changes of the owner: each has recorded the
// next run of a suspect, and no worker was lost since.
func TestOwnersWithoutLossesDoNotCountAsCrashes(t *testing.T) {
	changes := func(name string, change func(*harness), starts int) {
		t.Run(name, func(t *testing.T) {
			spec := newSpec("j", 1)
			w := suspectedHarness(t, spec, change)
			for term := int64(2); term <= 4; term++ {
				w = nextOwner(w, spec, w.pool.jobs["j"].progress(), term)
			}
			is := is.New(t)
			is.Equal(w.pool.jobs["j"].outcome.String(), Open.String())
			is.Equal(w.starts("j.0.0.0"), starts)
			wantCrashes(t, w, "j", 1)
			w.lose, w.storeUnavailable = func(Action) bool { return false }, false
			w.reportFor(2 * jaytrial.RecordTimeout)
			w.finish("j", 0, jayport.EndedDone)
			w.record()
			wantState(t, w, "j", StateDone)
		})
	}
	changes("the owner is lost before the start", func(w *harness) { w.storeUnavailable = true }, 1)
	changes("the start is lost with its owner", func(w *harness) { w.lose = isStart }, 5)
}

// Guards against a loss that is attributed to a task although its worker was not lost: the worker
// answered without the run, and then the owner is lost.
func TestTrialsThatAreOverDoNotCountAsCrashes(t *testing.T) {
	over := func(name string, crashes int, end func(w *harness, worker string)) {
		t.Run(name, func(t *testing.T) {
			spec := newSpec("j", 1, single)
			w := newHarness(t, 6)
			declare(w, spec)
			w.crashWorkersOf(0, "j.0.0.0")
			worker := w.running()["j.0.0.0"]
			end(w, worker)
			delete(w.workers, worker)
			w = nextOwner(w, spec, w.pool.jobs["j"].progress(), 2)
			wantCrashes(t, w, "j", crashes)
		})
	}
	over("the worker does not know the run any more", 1, func(w *harness, worker string) {
		clear(w.workers[worker].active)
		w.pool.Reported(refOf(worker), w.workers[worker].report(w.now), w.now, w.now)
	})
	over("the worker has refused the start", 1, func(w *harness, worker string) {
		for ref := range w.workers[worker].active {
			w.pool.StartAnswered(refOf(worker), ref, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
		}
	})
	t.Run("the loss is attributed after the lease has ended", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, single))
		w.crashWorkersOf(0, "j.0.0.0")
		task, worker := w.pool.jobs["j"].earliest().steps[0].tasks[0], w.running()["j.0.0.0"]
		w.silenceUntilLeaseEnds(worker)
		w.pool.Ended(refOf(worker), "another incarnation answers", w.now)
		is.Equal(len(task.crashes), 2)
		is.Equal(task.holdTrials().Latest().Run, int64(0))
	})
	over("the worker was lost long after the start", 0, func(w *harness, worker string) {
		w.reportFor(crashRiskTime + time.Second)
		w.pool.jobs["j"].earliest().steps[0].tasks[0].ownCheckpoint = "half" // the task has a record
	})
}

// Guards against a task that is started without limit: each of its owners is lost with the worker that
// the task has crashed.
func TestSuspectIsGivenUpThoughItsOwnersAreLostWithIt(t *testing.T) {
	is := is.New(t)
	spec := newSpec("j", 1, single)
	w := newHarness(t, maxStartsOfCrasher+1)
	declare(w, spec)
	w.crashWorkersOf(0, "j.0.0.0")
	for term := int64(2); w.pool.jobs["j"].outcome == Open; term += 2 {
		w = nextOwner(w, spec, w.pool.jobs["j"].progress(), term) // adopts the run
		progress := w.pool.jobs["j"].progress()
		delete(w.workers, w.running()["j.0.0.0"])
		w = nextOwner(w, spec, progress, term+1)
		is.True(w.starts("j.0.0.0") <= maxStartsOfCrasher)
	}
	is.Equal(w.pool.jobs["j"].outcome.String(), Failed.String())
}

// Guards against a task that is started a sixth time: two owners in a row are lost with a worker that the
// task has crashed at its start, so that it is no suspect, and the later losses may be by chance.
func TestUnsuspectedTaskIsGivenUpThoughTwoOwnersAreLostWithIt(t *testing.T) {
	is := is.New(t)
	spec := newSpec("j", 1, single)
	w := newHarness(t, maxStartsOfCrasher+1)
	declare(w, spec)
	for term := int64(2); term <= 3; term++ {
		progress := w.pool.jobs["j"].progress() // the loss is not recorded
		delete(w.workers, w.running()["j.0.0.0"])
		w = nextOwner(w, spec, progress, term)
	}
	for w.crashWorkersOf(0, "j.0.0.0") > 0 {
		w.pool.jobs["j"].eachTask(func(task *task) {
			for n := range task.crashes {
				task.crashes[n].probability = certainProbability
			}
		})
	}
	w.record()
	wantState(t, w, "j", StateFailed)
	is.True(w.starts("j.0.0.0") <= maxStartsOfCrasher)
}

// Guards against a record that grows with the number of tasks that an owner restarts.
func TestRecordOfUnsuspectedTrialsIsLimited(t *testing.T) {
	is := is.New(t)
	spec := newSpec("j", 1, func(s *jayspec.Step) { s.Tasks = 2 * maxUnsuspectedTrials })
	w := newHarness(t, maxUnsuspectedTrials)
	w = nextOwner(w, spec, nil, 2)
	is.Equal(len(w.running()), 2*maxUnsuspectedTrials)
	is.Equal(len(w.pool.jobs["j"].progress().Steps[0].Tasks), maxUnsuspectedTrials)
}

// Guards against a suspect whose run is looked for on another worker than that on which it began.
func TestSuspectStartsOnTheRecordedWorker(t *testing.T) {
	admitted := func(t *testing.T) (w *harness, recorded string) {
		t.Helper()
		w = newHarness(t, 4)
		declare(w, newSpec("j", 1, single))
		w.storeUnavailable = true
		w.crashWorkersOf(0, "j.0.0.0")
		w.record()
		return w, w.pool.jobs["j"].earliest().steps[0].tasks[0].holdTrials().Stored().Worker
	}
	t.Run("although another one suits it better", func(t *testing.T) {
		w, recorded := admitted(t)
		w.pool.workers[recorded].pace.slow = true
		w.run()
		is.New(t).Equal(w.running()["j.0.0.0"], recorded)
	})
	t.Run("or on another one, which is recorded without delay", func(t *testing.T) {
		is := is.New(t)
		w, recorded := admitted(t)
		w.workers[recorded].info.Draining = true
		w.list()
		w.run()
		is.Equal(len(w.running()), 1)
		is.True(w.pool.recordNow)
		is.Equal(w.pool.jobs["j"].earliest().steps[0].tasks[0].recordedTrial().worker, w.running()["j.0.0.0"])
	})
}

// Guards against a suspect that starts before it is known whether its previous run was lost with the
// worker: the worker is still listed and does not answer.
func TestSuspectWaitsForTheWorkerOfItsTrial(t *testing.T) {
	ends := func(name string, crashes int, end func(*harness, *fakeWorker)) {
		t.Run(name, func(t *testing.T) {
			spec := newSpec("j", 1, single)
			w := newHarness(t, 4)
			declare(w, spec)
			w.crashWorkersOf(0, "j.0.0.0")
			f := w.workers[w.running()["j.0.0.0"]]
			f.silent = true
			clear(f.active)
			for term := int64(2); term <= 3; term++ {
				w = nextOwner(w, spec, w.pool.jobs["j"].progress(), term)
			}
			w.reportFor(time.Second)
			wantCrashes(t, w, "j", 1)
			is := is.New(t)
			is.True(w.pool.NeedsInventory(w.now))
			is.Equal(len(w.running()), 0)
			end(w, f)
			w.run()
			wantCrashes(t, w, "j", crashes)
			is.Equal(len(w.running()), 1)
		})
	}
	ends("which is gone", 2, func(w *harness, f *fakeWorker) { w.inventoryLoses(f.info.ID) })
	ends("which answers without the run", 1, func(w *harness, f *fakeWorker) {
		f.silent = false
		w.reports()
	})
	ends("until no lease of the former owner can last", 1, func(w *harness, _ *fakeWorker) { w.reportFor(15 * time.Second) })
	t.Run("of which another incarnation answers", func(t *testing.T) {
		spec := newSpec("j", 1, single)
		w := newHarness(t, 4)
		declare(w, spec)
		for _, id := range []string{"w1", "w2", "w3"} {
			w.workers[id].info.Incarnation = 2
		}
		w.list()
		w.crashWorkersOf(0, "j.0.0.0")
		w.restart(w.running()["j.0.0.0"], 3)
		wantCrashes(t, nextOwner(w, spec, w.pool.jobs["j"].progress(), 2), "j", 2)
	})
	t.Run("which is listed and not in the inventory", func(t *testing.T) {
		is := is.New(t)
		spec := newSpec("j", 1, single)
		w := newHarness(t, 4)
		declare(w, spec)
		w.crashWorkersOf(0, "j.0.0.0")
		lost := w.workers[w.running()["j.0.0.0"]]
		next := newHarness(t, 0, WithFence(2, 2), WithFormerOwner(w.now+15*time.Second))
		next.now, next.workers = w.now, w.workers
		next.pool.Restore(spec, w.pool.jobs["j"].progress(), next.now)
		next.list()
		delete(next.workers, lost.info.ID)
		readInventory(next)
		next.run()
		is.Equal(len(next.running()), 0)
		is.True(next.pool.NeedsInventory(next.now))
		readInventory(next)
		next.run()
		wantCrashes(t, next, "j", 2)
		is.Equal(len(next.running()), 1)
	})
}
