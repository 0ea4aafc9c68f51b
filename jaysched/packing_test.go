package jaysched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// wantWorkers checks the minimum number of workers that a pool demands.
func wantWorkers(t *testing.T, w *harness, want int) {
	t.Helper()
	is.New(t).Equal(w.pool.Demand(w.now).WorkersAtLeast, want)
}

// tasks returns a change that sets the number of tasks of a step and what each of them needs,
// in thousandths of a core and megabytes.
func tasks(count int, milli, megabytes int64) func(*jayspec.Step) {
	return func(s *jayspec.Step) {
		s.Tasks, s.Need.ProcessorsMilli, s.Need.MemoryMegabytes = count, milli, megabytes
	}
}

// maxPerInstance returns a change that limits a step's tasks on each worker.
func maxPerInstance(most int) func(*jayspec.Step) {
	return func(s *jayspec.Step) { s.MaxPerInstance = most }
}

func TestLimitPerInstanceRaisesDemandForWorkers(t *testing.T) {
	// Guards against a long-running task that waits for ten seconds after it has failed: its
	// step may run one task on each worker, half of the workers are closed for a wave, and the
	// pool demanded only as many workers as its tasks need cores.
	w := newHarness(t, 1)
	declare(w, newSpec("a", 1, tasks(7, 1000, 100), maxPerInstance(1)))
	wantWorkers(t, w, 0) // it can wait for the others
	declare(w, newSpec("b", 1, longRunning))
	wantWorkers(t, w, 1) // the worker that they are on
	declare(w, newSpec("c", 1, longRunning, tasks(7, 1000, 100), maxPerInstance(2)))
	wantWorkers(t, w, 4)
	declare(w, newSpec("d", 1, longRunning, tasks(7, 1000, 100), maxPerInstance(1)))
	wantWorkers(t, w, 8) // beside b and c there is no room on the first worker
}

func TestTasksWithoutRoomRaiseDemandForWorkers(t *testing.T) {
	// Guards against long-running tasks that wait for twenty seconds while hundreds of hosts
	// are on standby: long-running jobs take half of the memory of each worker, another one has
	// tasks that need most of a worker's memory, and the pool counted only cores, of which it
	// had more than enough.
	t.Run("long-running tasks", func(t *testing.T) {
		w := newHarness(t, 3)
		declare(w, newSpec("a", 1, longRunning, tasks(3, 100, 500), maxPerInstance(1)))
		w.reports()
		wantWorkers(t, w, 3)
		declare(w, newSpec("b", 1, longRunning, tasks(2, 100, 800)))
		wantWorkers(t, w, 5)
		w.addWorker("w3")
		w.addWorker("w4")
		w.list()
		w.run()
		w.reports()
		wantWorkers(t, w, 5)
		is.New(t).Equal(len(w.running()), 5)
	})
	t.Run("tasks that end by themselves", func(t *testing.T) {
		w := newHarness(t, 3)
		declare(w, newSpec("a", 1, longRunning, tasks(3, 100, 500), maxPerInstance(1)))
		w.reports()
		declare(w, newSpec("b", 1, tasks(3, 100, 400)))
		wantWorkers(t, w, 3) // they fit
		declare(w, newSpec("c", 1, tasks(3, 100, 300)))
		wantWorkers(t, w, 3) // they fit once others have ended
		declare(w, newSpec("d", 1, tasks(3, 100, 600)))
		wantWorkers(t, w, 6) // they can never fit
	})
	t.Run("tasks that may already run somewhere do not count", func(t *testing.T) {
		w := newHarness(t, 1, WithFence(2, 2), WithFormerOwner(10*time.Minute))
		w.workers["w0"].silent = true
		w.pool.Restore(newSpec("a", 1, longRunning, tasks(3, 100, 800)), nil, w.now)
		wantWorkers(t, w, 0)
	})
}

func TestTasksOnClosedWorkersRaiseDemandForWorkers(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("a", 1, longRunning, tasks(2, 100, 800)))
	w.reports()
	w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
	wantWorkers(t, w, 2)
	is.Equal(w.pool.newPacking(w.now).workers(), 1)
}

func TestCoresWithoutFreeMemoryAreBlocked(t *testing.T) {
	// Guards against jobs that wait for workers in a burst although the pool has as many as it
	// demanded: long-running tasks take most of the memory and few of the cores of half of the
	// workers, short tasks need both, and cores without free memory counted as usable.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("a", 1, longRunning, tasks(1, 400, 800)))
	w.reports()
	before := w.pool.Demand(w.now).NeedMilli
	is.Equal(before, int64(400)) // no other task needs the remaining cores
	declare(w, newSpec("b", 1, tasks(2, 1000, 400)))
	w.reports()
	// A worker of 4000 and 1000 MB has 200 MB left: room for 500 of its remaining 3600.
	is.True(w.pool.Demand(w.now).NeedMilli-2000-before >= 3100)
	w.finish("b", 0, jayport.EndedDone)
}

// Guards against an advised service task that never runs: the advisor has refused all workers, whose
// room counts, so no other one is demanded.
func TestWorkersThatMustNotRunAStepHaveNoRoomForIt(t *testing.T) {
	w := newHarness(t, 2)
	spec := newSpec("j", 1, longRunning)
	spec.Policy.Advised = true
	declare(w, spec)
	w.advise(3 * time.Second)
	w.reports()
	is.New(t).True(w.pool.Demand(w.now).WorkersAtLeast > 2)
}

// Guards against a pool that draws ever more hosts for a service task that the advisor allows on none
// of them.
func TestSearchForAWorkerThatMayRunAStepSlowsDown(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 2)
	spec := newSpec("j", 1, longRunning)
	spec.Policy.Advised = true
	declare(w, spec)
	w.advise(3 * time.Second)
	demands := func() bool { return w.pool.Demand(w.now).WorkersAtLeast > len(w.pool.sorted) }
	try := func(workers int) {
		w.pass(100 * time.Millisecond)
		for range workers {
			w.addWorker(fmt.Sprintf("w%d", len(w.workers)))
		}
		w.list()
		w.run()
		w.reports()
		for range workers/minAdviceWorkers + 1 {
			w.advise(3 * time.Second)
		}
	}
	is.True(demands())
	try(2 * maxTriedAtOnce) // a burst of other tasks; the search goes on
	for range maxTriedAtOnce - 1 {
		is.True(demands())
		try(1)
	}
	for n := range 3 {
		is.True(!demands())
		w.pass((w.pool.settings.MoveTime + reportDelay) << n)
		is.True(demands())
		try(1)
	}
}

// firstFit counts the workers that some tasks need, one task at a time.
func firstFit(size jaypool.Resources, steps []unplacedStep) int {
	type room struct {
		left   jaypool.Resources
		placed map[*step]int
	}
	var rooms []*room
	for _, u := range steps {
		for range u.tasks {
			most := u.decl.MaxPerInstance
			at := slices.IndexFunc(rooms, func(r *room) bool {
				return r.left.Fits(u.decl.Need) && (most == 0 || r.placed[u.step] < most)
			})
			if at < 0 {
				at = len(rooms)
				rooms = append(rooms, &room{left: size, placed: map[*step]int{}})
			}
			rooms[at].left = rooms[at].left.Sub(u.decl.Need)
			rooms[at].placed[u.step]++
		}
	}
	return len(rooms)
}

// TestPackingCountsWhatSingleTasksNeed guards against a demand for other numbers of workers since the tasks of
// a step are packed together.
func TestPackingCountsWhatSingleTasksNeed(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		size := jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 1000}
		k := &packing{pool: NewPool("seats", Settings{}), size: size}
		var steps []unplacedStep
		for range 1 + random.IntN(8) {
			decl := &jayspec.Step{
				Tasks:          1 + random.IntN(40),
				Need:           jaypool.Resources{ProcessorsMilli: random.Int64N(5000), MemoryMegabytes: random.Int64N(800)},
				MaxPerInstance: random.IntN(4),
			}
			steps = append(steps, unplacedStep{step: &step{decl: decl, job: &job{spec: &jayspec.Job{}}}, tasks: decl.Tasks})
		}
		for _, u := range steps {
			k.place(u.step, u.tasks)
		}
		if got, want := k.workers(), firstFit(size, steps); got != want {
			t.Fatalf("seed %d: %d workers instead of %d", seed, got, want)
		}
	}
}
