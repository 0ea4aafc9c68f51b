package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

func TestDeadlineStatus(t *testing.T) {
	// A step takes a second; a job has twice the duration of its chain and a second more, and
	// is of use up to three times that.
	status := func(name string, steps int, after time.Duration, expected deadlineStatus, change ...func(*jayspec.Step)) {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 0)
			declare(w, newSpec("j", steps, change...))
			is.New(t).Equal(w.pool.deadlineStatusOf(w.pool.jobs["j"], w.now+after), expected)
		})
	}
	status("a new job", 1, 0, onTime)
	status("a job that can just be on time", 1, 2*time.Second, onTime)
	status("a job that cannot be on time", 1, 2*time.Second+1, late)
	status("a job that can just be of use", 1, 8*time.Second, late)
	status("a job that cannot be of use", 1, 8*time.Second+1, expired)
	status("sequential steps", 2, 3*time.Second, onTime)
	status("sequential steps, late", 2, 3*time.Second+1, late)
	status("long-running tasks", 1, time.Hour, onTime, longRunning)
	t.Run("the time already run counts", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		j := w.pool.jobs["j"]
		is.Equal(w.pool.deadlineStatusOf(j, w.now+600*time.Millisecond), onTime)
		w.pass(600 * time.Millisecond)
		is.True(w.pool.remainingOccurrenceTime(j.occurrences[0], w.now) <= 400*time.Millisecond)
	})
}

// newOverloadedHarness returns a harness in which jobs wait for a pool with a single worker for
// a time.
func newOverloadedHarness(t *testing.T, waiting int, length time.Duration) *harness {
	t.Helper()
	w := newHarness(t, 1)
	four := tasks(4, 1000, 100)
	declare(w, newSpec("first", 1, four))
	for n := range waiting {
		declare(w, newSpec(fmt.Sprint("old", n), 1, four))
	}
	for began := w.now; w.now-began < length; {
		w.pass(50 * time.Millisecond)
	}
	declare(w, newSpec("new", 1, four))
	w.finish("first", 0, jayport.EndedDone)
	return w
}

func TestOverloadedPoolServesOnTimeJobsFirst(t *testing.T) {
	// Guards against a burst in which every job is late, even those that arrive when it is
	// over: jobs wait for longer than the time they have, and each time a worker is free, the
	// oldest of them starts, which is already late. Jobs were served by target, whatever their
	// result was still worth.
	overload := time.Duration(overloadedAfter * float64(1500*time.Millisecond+reportDelay))
	begins := func(name string, waiting int, length time.Duration, expected string) {
		t.Run(name, func(t *testing.T) {
			w := newOverloadedHarness(t, waiting, length)
			is.New(t).True(w.pool.jobs[expected].started)
		})
	}
	begins("by target while hosts may still arrive", 12, overload-200*time.Millisecond, "old0")
	begins("the new job once no host arrives", 12, overload+200*time.Millisecond, "new")
	begins("by target while the waiting jobs can be done in time", 2, overload+200*time.Millisecond, "old0")
}

func TestDemandReportsExpiredJobs(t *testing.T) {
	is := is.New(t)
	w := newOverloadedHarness(t, 12, 5*time.Second)
	is.Equal(w.pool.Demand(w.now).ExpiredMilli, int64(0)) // late, and still of use
	for range 80 {
		w.pass(50 * time.Millisecond)
	}
	is.Equal(w.pool.Demand(w.now).ExpiredMilli, int64(12*4*1000))
	is.True(w.pool.Demand(w.now).NeedMilli >= 13*4*1000) // they are done nevertheless
}
