package jaysched

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// Guards against two runs of a service task: its owner is lost before the run is recorded, and the next one
// waits for no worker.
func TestServiceTaskStartsOnceItsPlacementIsRecorded(t *testing.T) {
	t.Run("no order is sent before", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		w.storeUnavailable = true
		declare(w, service("a", 1))
		w.pass(time.Second)
		is.Equal(w.starts("a.0.0.0"), 0)
		is.True(!slices.ContainsFunc(w.pool.TakeEvents(), func(e Event) bool { return e.Kind == RunStarted }))
		w.storeUnavailable = false
		w.pass(time.Millisecond)
		is.Equal(w.starts("a.0.0.0"), 1)
		is.True(w.running()["a.0.0.0"] != "")
	})
	t.Run("a worker that has closed meanwhile gets no order", func(t *testing.T) {
		// Guards against a start on a worker that drains: the store took long to record the run.
		is := is.New(t)
		w := newHarness(t, 2)
		w.storeUnavailable = true
		declare(w, service("a", 1))
		chosen := w.pool.jobs["a"].occurrences[0].steps[0].tasks[0].runs[0].worker.ID
		w.workers[chosen].info.Draining = true
		w.list()
		w.storeUnavailable = false
		w.pass(time.Second)
		is.Equal(w.starts("a.0.0.0"), 1)
		is.True(w.running()["a.0.0.0"] != chosen)
	})
	t.Run("a job that is cancelled meanwhile does not run", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		w.storeUnavailable = true
		declare(w, service("a", 1))
		w.pool.Cancel("a", w.now)
		w.storeUnavailable = false
		w.pass(time.Second)
		w.reports()
		is.Equal(w.starts("a.0.0.0"), 0)
		is.Equal(len(w.running()), 0)
	})
}

// succeedSince is succeed for an owner that knows from which term on all owners record placements.
func (w *harness) succeedSince(term, since int64, progress *jaywire.JobProgress) *harness {
	next := newHarness(w.t, 0, WithFence(term, term), WithFormerOwner(w.now+15*time.Second), WithPlacementsSince(since))
	next.now, next.workers = w.now, w.workers
	next.pool.Restore(service("a", 1), progress, next.now)
	next.pool.TakenOver(next.now)
	next.list()
	readInventory(next)
	next.run()
	return next
}

// Guards against two runs of a service task, and against a task that waits for each silent worker: which
// workers a former owner may have used depends on what it has recorded.
func TestServiceTaskWaitsForTheWorkerOfItsPlacement(t *testing.T) {
	for _, c := range []struct {
		name string
		// since is the first term whose owners record placements; recorded says that there is a record.
		since    int64
		recorded bool
		// silent is the kind of worker that does not answer.
		silent string
		waits  bool
	}{
		{"its worker is silent", 1, true, "own", true},
		{"another worker is silent", 1, true, "other", false},
		{"no run is recorded", 1, false, "other", false},
		{"a former owner was of an earlier version", 2, true, "other", true},
		{"a former owner without a record was of an earlier version", 2, false, "other", true},
		{"no owner records placements", 0, true, "other", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, 3)
			declare(w, service("a", 1))
			var progress *jaywire.JobProgress
			if c.recorded {
				progress = w.pool.jobs["a"].progress()
			}
			own := w.running()["a.0.0.0"]
			for _, id := range sortedKeys(w.workers) {
				clear(w.workers[id].active) // the run has ended, which the first owner has not learned
				w.workers[id].silent = (id == own) == (c.silent == "own")
			}
			next := w.succeedSince(2, c.since, progress)
			next.reportFor(time.Second)
			is.New(t).Equal(next.starts("a.0.0.0") == 0, c.waits)
			next.reportFor(15 * time.Second)
			is.New(t).Equal(next.starts("a.0.0.0"), 1)
		})
	}
}

// Guards against services that wait for each silent worker after an upgrade, under all further owners: the
// placements of runs that an earlier version has started are not recorded.
func TestPlacementsAreCompletedAfterAnUpgrade(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	upgraded := w.succeedSince(2, 2, nil)
	own := upgraded.running()["a.0.0.0"]
	upgraded.pass(recordDelay)
	progress := upgraded.record().Progress["a"]
	is.Equal(progress.Steps[0].Tasks[0].Placement.Worker, own)
	for _, id := range sortedKeys(upgraded.workers) {
		upgraded.workers[id].silent = id != own
	}
	clear(upgraded.workers[own].active)
	upgraded.addWorker("w9")
	next := upgraded.succeedSince(3, 2, progress)
	next.reportFor(time.Second)
	is.Equal(next.starts("a.0.0.0"), 1)
}

// Guards against two runs of a service task: its owner was replaced while the store recorded the run, and the
// next owner has waited until the leases of that owner must have ended.
func TestServiceTaskIsNotStartedByAnOwnerThatMayBeReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		waits  time.Duration
		paused bool
	}{
		"the store took longer than the owner may act": {waits: 12 * time.Second},
		"the owner was paused":                         {waits: time.Second, paused: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2, WithReplaceableOwner(time.Minute, 10*time.Second))
			w.storeUnavailable = true
			declare(w, service("a", 1))
			batch, asked := w.pool.TakeBatch(), w.now
			w.now += c.waits
			if c.paused {
				w.pool.OwnerPaused(w.now)
			}
			w.pool.SetConfirmedAt(asked)
			w.pool.BatchRecorded(batch, w.now)
			w.storeUnavailable = false
			w.run()
			is.Equal(w.starts("a.0.0.0"), 0)
			w.pool.OwnerConfirmed(w.now, nil, w.now)
			w.reportFor(time.Second)
			is.Equal(w.starts("a.0.0.0"), 1)
		})
	}
}

// Guards against a start that brings a worker over its capacity: its room has changed while the store recorded
// the run.
func TestServiceTaskIsNotStartedOnAWorkerThatLacksRoomMeanwhile(t *testing.T) {
	foreign := jayport.RunRef{Task: jayport.TaskID{Job: "x"}, Number: 1}
	for name, change := range map[string]func(w *harness, f *fakeWorker){
		"it has less capacity": func(_ *harness, f *fakeWorker) { f.info.Capacity.ProcessorsMilli = 500 },
		"it has a run that the pool does not know": func(w *harness, f *fakeWorker) {
			f.active[foreign] = jayport.ActiveRun{Run: foreign, Speed: 100}
			w.lose = func(a Action) bool { _, stop := a.(StopRun); return stop }
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 1)
			w.storeUnavailable = true
			declare(w, service("a", 1))
			change(w, w.workers["w0"])
			w.list()
			w.reports()
			w.storeUnavailable = false
			w.run()
			is.Equal(w.starts("a.0.0.0"), 0)
		})
	}
}

// Guards against members of a gang that end alone: the worker of another one has been lost or closed while the
// store recorded the gang.
func TestGangOfAServiceStartsTogetherOnceRecorded(t *testing.T) {
	for name, change := range map[string]func(w *harness, f *fakeWorker){
		"a worker has closed": func(_ *harness, f *fakeWorker) { f.info.Draining = true },
		"a worker has shrunk": func(_ *harness, f *fakeWorker) { f.info.Capacity.ProcessorsMilli = 500 },
		"a worker has been lost": func(w *harness, f *fakeWorker) {
			w.pool.Ended(f.workerRef(), "test", w.now)
			delete(w.workers, f.info.ID)
		},
		"the other one has closed": func(w *harness, _ *fakeWorker) { w.workers["w1"].info.Draining = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2)
			w.storeUnavailable = true
			declare(w, newSpec("a", 1, longRunning, func(s *jayspec.Step) { s.Gang, s.MaxPerInstance = true, 1 }))
			change(w, w.workers["w0"])
			w.list()
			w.storeUnavailable = false
			w.pass(time.Millisecond)
			is.Equal(w.starts("a.0.0.0")+w.starts("a.0.0.1"), 0)
			w.addWorker("w8")
			w.addWorker("w9")
			w.list()
			w.reportFor(time.Second)
			is.Equal(w.starts("a.0.0.0"), 1)
			is.Equal(w.starts("a.0.0.1"), 1)
			is.Equal(len(w.running()), 2)
		})
	}
}

// Guards against a service task that is given up for crashes of workers on which it has never run: they are lost
// while the store does not record the task.
func TestServiceTaskThatWasNotSentIsNoSuspect(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 12)
	w.storeUnavailable = true
	declare(w, newSpec("a", 1, single, longRunning))
	placed := w.pool.jobs["a"].occurrences[0].steps[0].tasks[0]
	for range 2 * maxStartsOfCrasher {
		is.Equal(len(placed.runs), 1)
		w.crashWorker(placed.runs[0].worker.ID)
		w.pass(time.Second)
	}
	is.Equal(len(placed.crashes), 0)
	w.storeUnavailable = false
	w.run()
	is.Equal(w.starts("a.0.0.0"), 1)
}

// Guards against two runs of a service task after an upgrade: an owner of an earlier version has stored and begun
// the job without a record, and the next owner has read it late.
func TestRunThatAnEarlierVersionHasStartedIsRecorded(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 3)
	declare(first, service("a", 1))
	own := first.running()["a.0.0.0"]
	next := newHarness(t, 0, WithFence(2, 2), WithFormerOwner(first.now+15*time.Second), WithPlacementsSince(2))
	next.now, next.workers = first.now, first.workers
	next.pool.JobsKnown(next.now - time.Second)
	next.pool.TakenOver(next.now)
	next.list()
	next.run()
	readInventory(next)
	reportAgain(next)
	is.True(next.pool.DeclareFound(service("a", 1), next.now))
	next.run()
	if early := next.record(); early != nil {
		is.Equal(early.Progress["a"].GetPlacementsTerm(), uint32(0)) // the run is not known yet
	}
	reportAgain(next)
	next.now += recordDelay
	progress := next.record().Progress["a"]
	is.Equal(progress.PlacementsTerm, uint32(2))
	is.Equal(progress.Steps[0].Tasks[0].Placement.Worker, own)
	is.Equal(next.starts("a.0.0.0"), 0)
}

// Guards against a service that waits for each silent worker, under all further owners of a pool that has had
// one of an earlier version: the service has not been started yet, and has no record.
func TestServiceWithoutARunIsRecordedAfterAnUpgrade(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 0, WithFence(2, 2), WithPlacementsSince(2))
	declare(w, service("a", 1))
	w.pass(recordDelay)
	batch := w.record()
	is.True(batch != nil)
	w.addWorker("w0")
	w.addWorker("w1")
	w.workers["w1"].silent = true
	next := w.succeedSince(3, 2, batch.Progress["a"])
	next.reportFor(time.Second)
	is.Equal(next.starts("a.0.0.0"), 1)
}

// Guards against a burst of orders on the owner's link that the limit of starts in flight does not bound: it did
// not count runs that were being recorded.
func TestRecordedRunsStartWithinTheLimitOfStarts(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 8)
	w.storeUnavailable = true
	declare(w, service("a", 8))
	w.pool.SetStarts(3)
	w.record()
	w.run()
	is.Equal(len(w.running()), 3)
	w.pool.SetStarts(5)
	w.run()
	is.Equal(len(w.running()), 8)
}
