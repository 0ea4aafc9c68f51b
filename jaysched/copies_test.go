package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

const straggler = "j00.0.0.0"

func speculative(s *jayspec.Step) { s.Speculative = true }

// withCopy returns a harness whose straggling task has a copy, and the workers of both runs.
func withCopy(t *testing.T) (w *harness, original, copied string) {
	t.Helper()
	w = newSpeedHarness(t, 3, 0.5)
	declare(w, newSpec("j00", 1, speculative, func(s *jayspec.Step) { s.Tasks = 1 }))
	original = w.running()[straggler]
	w.pace(2500*time.Millisecond, original)
	for id, f := range w.workers {
		if len(f.active) > 0 && id != original {
			copied = id
		}
	}
	is.New(t).Equal(w.starts(straggler), maxRunsOfTask)
	return w, original, copied
}

func TestCopies(t *testing.T) {
	t.Run("a straggling task of a speculative step gets one copy", func(t *testing.T) {
		is := is.New(t)
		w, original, copied := withCopy(t)
		w.pace(3*time.Second, original, copied)
		is.Equal(w.starts(straggler), maxRunsOfTask)
	})
	t.Run("tasks of other steps get none", func(t *testing.T) {
		is := is.New(t)
		w := newSpeedHarness(t, 3, 0.5)
		fill(w, 1)
		w.pace(4*time.Second, "w0", "w1", "w2")
		is.Equal(w.starts(straggler), 1)
	})
	t.Run("the copies stay within their share", func(t *testing.T) {
		is := is.New(t)
		w := newSpeedHarness(t, 3, 0.05)
		fill(w, 1, speculative)
		w.pace(4*time.Second, "w0", "w1", "w2")
		is.Equal(w.starts(straggler), 1)
	})
	t.Run("the demand does not grow by copies", func(t *testing.T) {
		is := is.New(t)
		w, _, _ := withCopy(t)
		is.Equal(w.pool.usage(w.now).milli, int64(1000))
	})
	t.Run("a copy that takes room from waiting tasks is stopped", func(t *testing.T) {
		is := is.New(t)
		w, original, _ := withCopy(t)
		declare(w, newSpec("k", 1, func(s *jayspec.Step) { s.Tasks = 11 }))
		w.pass(copyInterval)
		w.pass(copyInterval)
		is.Equal(w.running()[straggler], original)
	})
}

// Guards against a task that is done twice: its copy has ended first, the order to stop the other
// run is lost, and that run's end arrives after the job's.
func TestEndOfTheOriginalAfterItsCopy(t *testing.T) {
	is := is.New(t)
	w, original, copied := withCopy(t)
	w.lose = func(a Action) bool {
		_, stop := a.(StopRun)
		return stop
	}
	w.endAll(copied)
	is.Equal(w.pool.jobs["j00"].outcome, Done)
	w.endAll(original)
	w.record()
	w.pass(time.Second)
	is.Equal(w.starts(straggler), maxRunsOfTask)
	wantState(t, w, "j00", StateDone)
	events := w.countEvents(map[EventKind]int{})
	is.Equal(events[CopyStarted], 1)
	is.Equal(events[CopyWon], 1)
	is.Equal(events[CopyLost], 0)
}

// Guards against a third run: the owner is lost while a copy runs, and the next one knows of the
// two runs only from the workers' reports.
func TestTakeoverWithRunningCopies(t *testing.T) {
	is := is.New(t)
	first, original, copied := withCopy(t)
	next := takeOver(t, first, newSpec("j00", 1, speculative, func(s *jayspec.Step) { s.Tasks = 1 }))
	next.pool.settings = first.pool.settings
	learnDurations(next.pool)
	next.workers[copied].silent = true
	readInventory(next)
	next.pace(3*time.Second, original, copied)
	is.Equal(next.starts(straggler), 0) // the other run is not known yet
	next.workers[copied].silent = false
	next.pace(3*time.Second, original, copied)
	is.Equal(next.starts(straggler), 0)
	is.Equal(len(next.pool.jobs["j00"].occurrences[0].steps[0].tasks[0].runs), maxRunsOfTask)
	next.endAll(copied)
	is.Equal(next.countEvents(map[EventKind]int{})[CopyWon], 1)
}

// Guards against a task without a run, or with a third one: the worker of the straggling run stops
// reporting, and its lease ends while the copy runs.
func TestWorkerOfTheOriginalStopsReporting(t *testing.T) {
	is := is.New(t)
	w, original, copied := withCopy(t)
	w.workers[original].silent = true
	w.pool.ReportFailed(refOf(original), w.now)
	w.pace(6*time.Second, original, copied)
	is.Equal(w.countEvents(map[EventKind]int{})[RunLost], 1)
	clear(w.workers[original].active) // the worker ends its runs when its lease ends
	is.Equal(w.running()[straggler], copied)
	is.Equal(w.starts(straggler), maxRunsOfTask)
	w.endAll(copied)
	is.Equal(w.pool.jobs["j00"].outcome, Done)
}

// Guards against a decision that changes although the part is off: a run of a task with two runs
// was taken for a copy after a takeover, and stopped when its host was to be vacated.
func TestNoRunIsACopyWithThePartOff(t *testing.T) {
	is := is.New(t)
	first, _, _ := withCopy(t)
	next := takeOver(t, first, newSpec("j00", 1, speculative, func(s *jayspec.Step) { s.Tasks = 1 }))
	readInventory(next)
	next.reports()
	runs := next.pool.jobs["j00"].occurrences[0].steps[0].tasks[0].runs
	is.Equal(len(runs), maxRunsOfTask)
	for _, r := range runs {
		is.True(!r.copied)
	}
}
