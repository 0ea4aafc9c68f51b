package jaysched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaytrial"
)

// Guards against giving up a task for losses of workers that it did not cause.
func TestOtherTasksAreNotGivenUp(t *testing.T) {
	t.Run("when another task crashes workers", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3)
		w.pool.Declare(newSpec("crasher", 1, single), w.now)
		for n := range 4 {
			w.pool.Declare(newSpec(fmt.Sprint("j", n), 1), w.now)
		}
		w.run()
		w.crashLoop(0, "crasher.0.0.0")
		w.record()
		wantState(t, w, "crasher", StateFailed)
		for n := range 4 {
			id := fmt.Sprint("j", n)
			w.finish(id, 0, jayport.EndedDone)
			w.record()
			wantState(t, w, id, StateDone)
		}
		is.Equal(len(w.running()), 0)
	})
	t.Run("when a machine fails repeatedly", func(t *testing.T) {
		w := newHarness(t, 3)
		declare(w, newSpec("j", 1, single))
		for range 10 {
			for _, id := range sortedKeys(w.workers) {
				if w.workers[id].info.Addr == "w0:1" {
					w.crashWorker(id)
				}
			}
			w.reportFor(time.Second)
		}
		wantState(t, w, "j", Running)
	})
	t.Run("when a machine returns under another address", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("j", 1, longRunning, func(s *jayspec.Step) { s.MaxPerInstance = 1 }))
		w.reportFor(4 * time.Second)
		w.inventoryLoses("w1")
		w.addWorker("w1+i")
		w.workers["w1+i"].info.Rack = "r0-w1"
		w.list()
		w.run()
		is.Equal(w.starts("j.0.0.1"), 2)
		w.workers["w1+i"].silent = true
		w.pass(time.Second)
		w.inventoryLoses("w1+i")
		wantState(t, w, "j", Running)
	})
	t.Run("when a pool loses worker after worker", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 8)
		for n := range 6 {
			w.pool.Declare(newSpec(fmt.Sprint("j", n), 1, single), w.now)
		}
		w.run()
		for n := range 10 {
			w.crashWorker(sortedKeys(w.workers)[n*3%8])
			w.reportFor(300 * time.Millisecond)
		}
		w.reportFor(time.Second)
		w.record()
		for n := range 6 {
			wantState(t, w, fmt.Sprint("j", n), Running)
		}
		is.Equal(len(w.running()), 6)
	})
	t.Run("when half of the workers of a pool are lost again and again", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 12)
		for n, id := range sortedKeys(w.workers) {
			w.workers[id].info.Rack = fmt.Sprint("r", n%4)
		}
		w = relist(w)
		declare(w, newSpec("j", 1, longRunning, func(s *jayspec.Step) { s.Tasks, s.MaxPerInstance = 8, 1 }))
		for n := range 3 * maxCrashes {
			for k, id := range sortedKeys(w.workers) {
				if (k+n)%2 == 0 {
					w.crashWorker(id)
				}
			}
			w.run()
			w.reportFor(1500 * time.Millisecond)
		}
		w.reportFor(maxCrashDelay + time.Second)
		is.Equal(len(w.running()), 8)
	})
	t.Run("when a rack loses power", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 6)
		for _, f := range w.workers {
			f.info.Rack = "r" + f.info.ID[1:]
		}
		for _, id := range []string{"w0", "w1", "w2"} {
			w.workers[id].info.Rack = "lost"
		}
		w = relist(w)
		declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks, s.MaxPerInstance = 6, 1 }))
		lost := map[string]bool{"w0": true, "w1": true, "w2": true}
		var left []string
		for id := range w.workers {
			if lost[id] {
				w.workers[id].silent = true
				w.pool.ReportFailed(refOf(id), w.now)
			} else {
				left = append(left, id)
			}
		}
		w.now += time.Millisecond
		w.pool.InventoryRead(left, w.now, w.now)
		for n := range 6 {
			is.True(w.pool.jobs["j"].occurrences[0].steps[0].tasks[n].isolation() <= watched)
		}
	})
	t.Run("when another task crashes the workers of a small rack one after the other", func(t *testing.T) {
		// Each worker is the only one of its rack while it runs.
		w := newHarness(t, 0)
		w.pool.Declare(newSpec("crasher", 1, single), w.now)
		w.pool.Declare(newSpec("j", 1), w.now)
		for n := range 2 * maxStartsOfCrasher {
			id := fmt.Sprint("w", n)
			w.addWorker(id)
			w.workers[id].info.Rack = "r"
			w.list()
			w.run()
			w.reportFor(2 * startRiskTime)
			if strings.HasPrefix(w.running()["crasher.0.0.0"], id) {
				w.inventoryLoses(id)
			}
		}
		w.record()
		wantState(t, w, "crasher", StateFailed)
		wantState(t, w, "j", Running)
	})
	t.Run("when a draining worker is lost", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		w.reportFor(2 * startRiskTime)
		w.workers["w0"].info.Draining = true
		w.list()
		w.crashWorker("w0")
		is.Equal(len(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes), 0)
	})
	t.Run("when workers are lost long after its start", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 3)
		declare(w, newSpec("j", 1, longRunning))
		for range 2 * maxCrashes {
			w.reportFor(crashRiskTime + time.Second)
			w.crashWorkersOf(0, "j.0.0.0")
		}
		wantState(t, w, "j", Running)
		is.Equal(len(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes), 0)
	})
}

// relist returns a new harness with the same workers.
func relist(w *harness) *harness {
	next := newHarness(w.t, 0)
	next.workers, next.now = w.workers, w.now
	next.list()
	next.run()
	return next
}

func TestSuspects(t *testing.T) {
	// lostAtStart loses the worker of a job's two tasks just after their start.
	lostAtStart := func(w *harness) {
		declare(w, newSpec("j", 1))
		for _, id := range w.running() {
			if _, there := w.workers[id]; there {
				w.crashWorker(id)
			}
		}
	}
	t.Run("start only on workers without recent starts, and no run starts beside them", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		lostAtStart(w)
		w.run()
		is.Equal(len(w.running()), 2)
		at := w.running()["j.0.0.0"]
		declare(w, newSpec("k", 1))
		is.True(w.running()["k.0.0.0"] != at)
		is.True(w.running()["k.0.0.1"] != at)
	})
	t.Run("share their worker once they have settled", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		lostAtStart(w)
		w.run()
		declare(w, newSpec("k", 1))
		is.Equal(len(w.running()), 2)
		w.reportFor(2 * startRiskTime)
		is.Equal(len(w.running()), 4)
		is.Equal(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].isolation(), watched)
	})
	t.Run("start once their run is recorded, or after a timeout", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		w.storeUnavailable = true
		lostAtStart(w)
		w.run()
		is.Equal(len(w.running()), 0)
		w.reportFor(jaytrial.RecordTimeout - startRiskTime)
		is.Equal(len(w.running()), 0)
		w.reportFor(2 * startRiskTime)
		is.Equal(len(w.running()), 2)
	})
	t.Run("are recorded without delay", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("before", 1))
		declare(w, newSpec("j", 1))
		w.finish("before", 0, jayport.EndedDone)
		w.record()
		is.True(!w.pool.Recordable(w.now))
		w.pool.Ended(refOf(w.running()["j.0.0.0"]), "test", w.now)
		is.True(w.pool.Recordable(w.now))
	})
	t.Run("shorten the delay of the next report", func(t *testing.T) {
		w := newHarness(t, 1)
		lostAtStart(w)
		w.sent = nil
		w.run()
		w.reportFor(time.Millisecond)
		for id := range w.workers {
			is.New(t).Equal(renewals(w.sent)[id].Order.Wait, startRiskTime)
		}
	})
	t.Run("find a worker during a burst", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("j", 1, single))
		lost := w.running()["j.0.0.0"]
		for n := range 60 {
			other := newSpec(fmt.Sprintf("k%02d", n), 1, single)
			other.Policy.Priority = 1
			w.pool.Declare(other, w.now)
		}
		w.run()
		delete(w.workers, lost)
		w.pool.Ended(refOf(lost), "not in the inventory", w.now)
		w.list()
		for n := 0; w.starts("j.0.0.0") < 2; n++ {
			is.True(n < 10)
			w.endFirstRuns(100 * time.Millisecond)
		}
	})
	t.Run("reserve no more than a share of the workers", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 4)
		spec := newSpec("j", 1)
		spec.Steps[0].Tasks = 4
		declare(w, spec)
		for n := range 60 {
			other := newSpec(fmt.Sprintf("k%02d", n), 1, single)
			other.Policy.Priority = 1
			w.pool.Declare(other, w.now)
		}
		lost := w.running()["j.0.0.0"]
		w.run()
		delete(w.workers, lost)
		w.pool.Ended(refOf(lost), "not in the inventory", w.now)
		w.list()
		w.endFirstRuns(time.Millisecond)
		reserved := 0
		for _, worker := range w.pool.sorted {
			if worker.reservedFor != nil {
				reserved++
			}
		}
		is.Equal(reserved, 1) // of the three that are left
	})
	t.Run("are not named while a partitioned worker may be alive", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, single))
		w.silenceUntilLeaseEnds("w0")
		is.Equal(w.pool.workers["w0"].contact, lapsed)
		first := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0]
		is.Equal(len(first.crashes), 0)
		w.crashWorker("w0")
		is.Equal(len(first.crashes), 1) // now the loss is known
	})
	t.Run("are cleared once the partitioned worker answers again", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, single))
		w.silenceUntilLeaseEnds("w0")
		w.workers["w0"].silent = false
		for ref := range w.workers["w0"].active {
			w.workers["w0"].end(ref, jayport.EndedLapsed)
		}
		w.reportFor(2 * startRiskTime)
		w.silenceUntilLeaseEnds("w0")
		w.crashWorker("w0")
		crashes := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes
		is.Equal(len(crashes), 1)
		is.Equal(crashes[0].run, int64(2))
	})
}

// silenceUntilLeaseEnds makes a worker silent until its lease has ended.
func (w *harness) silenceUntilLeaseEnds(id string) {
	w.workers[id].silent = true
	for range silentAfter {
		w.pool.ReportFailed(refOf(id), w.now)
	}
	w.pass(10 * time.Second)
}

// Guards against suspects that are not isolated because each of their losses is taken for the
// loss of their rack.
func TestLossesOfWholeRacks(t *testing.T) {
	t.Run("count from the second on", func(t *testing.T) {
		is := is.New(t)
		withRack := crash{worker: "w", rack: "r", atStart: true, probability: certainProbability, rackLost: true}
		suspect := &task{crashes: []crash{withRack}}
		is.True(suspect.isolation() <= watched)
		suspect.crashes = append(suspect.crashes, withRack)
		is.Equal(suspect.isolation(), isolatedRun)
	})
	t.Run("do not include workers that joined after the others were lost", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		for _, f := range w.workers {
			f.info.Rack = "r"
		}
		w = relist(w)
		for id := range w.workers {
			w.pool.ReportFailed(refOf(id), w.now)
		}
		clear(w.workers)
		w.pool.InventoryRead(nil, w.now, w.now)
		w.now += rackLossWindow / 4
		w.addWorker("next")
		w.workers["next"].info.Rack = "r"
		w.list()
		declare(w, newSpec("j", 1, single))
		w.inventoryLoses("next")
		crashes := w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes
		is.Equal(len(crashes), 1)
		is.True(!crashes[0].rackLost)
	})
}

// endFirstRuns ends the first run on each worker, in the order of the tasks, after a time.
func (w *harness) endFirstRuns(after time.Duration) {
	w.now += after
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		runs := slices.SortedFunc(maps.Keys(f.active), func(a, b jayport.RunRef) int { return compareTasks(a.Task, b.Task) })
		if len(runs) > 0 {
			f.end(runs[0], jayport.EndedDone)
		}
		w.pool.Reported(f.workerRef(), f.report(w.now), w.now, w.now)
	}
	w.run()
}

func TestChoiceOfWorkersForSuspects(t *testing.T) {
	now := time.Minute
	suspect := &task{crashes: []crash{{rack: "lost"}}}
	at := func(rack string, age time.Duration, runs int) *worker {
		w := newWorker(jayport.Worker{ID: rack, Rack: rack}, now-age)
		for n := range runs {
			w.runs[jayport.RunRef{Number: int64(n)}] = nil
		}
		return w
	}
	prefers := func(name string, a, b *worker) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(suspect.betterForSuspect(a, b, now) < 0)
			is.True(suspect.betterForSuspect(b, a, now) > 0)
		})
	}
	prefers("a worker in another rack", at("r1", time.Second, 3), at("lost", time.Minute, 0))
	prefers("a worker that joined long ago", at("r1", crashRiskTime, 3), at("r2", crashRiskTime-time.Second, 0))
	prefers("a worker with fewer runs", at("r1", crashRiskTime, 1), at("r2", crashRiskTime, 2))
}
