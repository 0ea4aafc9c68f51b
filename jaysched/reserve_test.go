package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaytrial"
)

// newFullHarness returns a harness with two workers that short tasks fill.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, 2)
	declare(w, newSpec("short", 1, func(s *jayspec.Step) { s.Tasks, s.Need.ProcessorsMilli = 4, 2000 }))
	is.New(t).Equal(len(w.running()), 4)
	return w
}

// reservations counts the workers that are reserved.
func (w *harness) reservations() int {
	count := 0
	for _, worker := range w.pool.workers {
		if worker.reservedFor != nil {
			count++
		}
	}
	return count
}

func large(s *jayspec.Step) {
	s.Tasks, s.Need = 1, jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 100}
}

func TestLongRunningTasksReserveAtTheSameTime(t *testing.T) {
	// Guards against long-running tasks that wait for each other's reservation: while one task
	// lacked room, no worker was reserved for any other that needs as much.
	w := newFullHarness(t)
	declare(w, newSpec("a", 1, longRunning, large))
	declare(w, newSpec("b", 1, longRunning, large))
	w.pass(w.pool.settings.MoveTime + reportDelay)
	is.New(t).Equal(w.reservations(), 2)
}

func TestSuspectReservesBehindWaitingTasks(t *testing.T) {
	// Guards against a suspect that waits for as long as a burst lasts: no worker was reserved
	// for it while a task before it in the queue lacked room.
	w := newFullHarness(t)
	declare(w, newSpec("a", 1, large))
	suspect := newSpec("suspect", 1, large)
	suspect.Policy.Objective = time.Hour
	declare(w, suspect)
	for run := range int64(isolatedAfter) {
		w.pool.jobs["suspect"].occurrences[0].steps[0].holdTask(0).addCrash(crash{run: run})
	}
	w.run()
	is.New(t).Equal(w.reservations(), 1)
}

func TestRefusedTaskReservesInTime(t *testing.T) {
	// Guards against a long-running task that waits without a bound in a full pool: each refused
	// start began the wait anew after which a worker is reserved for it.
	is := is.New(t)
	w := newHarness(t, 1)
	w.lose = func(Action) bool { return true }
	declare(w, newSpec("a", 1, longRunning, large))
	w.now += w.pool.settings.MoveTime + reportDelay
	run := jayport.RunRef{Task: jayport.TaskID{Job: "a"}, Number: 1}
	w.pool.StartAnswered(refOf("w0"), run, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
	refused := w.pool.jobs["a"].occurrences[0].steps[0].tasks[0]
	is.True(refused.waiting())
	is.True(w.pool.reserve(refused, w.now+maxFullTime))
}

func TestGangOfSuspectsIsRecordedTogether(t *testing.T) {
	// Guards against a gang that waits for a second for each of its members while the store is
	// unavailable: the next run of each suspect was recorded after that of the one before.
	is := is.New(t)
	w := newHarness(t, 2)
	w.storeUnavailable = true
	spec := newSpec("gang", 1, func(s *jayspec.Step) { s.Gang, s.Tasks = true, 4 })
	w.pool.Declare(spec, w.now)
	for _, suspect := range w.pool.jobs["gang"].occurrences[0].steps[0].tasks {
		suspect.addCrash(crash{run: 1, atStart: true})
	}
	w.run()
	is.Equal(len(w.running()), 0)
	w.pass(jaytrial.RecordTimeout)
	is.Equal(len(w.running()), 4)
}
