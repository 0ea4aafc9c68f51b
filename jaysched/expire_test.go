package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

func TestEndedJobsExpire(t *testing.T) {
	// Guards against a store that fills up after some days and accepts no more jobs: the
	// records of ended jobs were kept forever.
	is := is.New(t)
	w := newHarness(t, 2)
	declare(w, newSpec("a", 1))
	declare(w, newSpec("b", 1))
	w.finish("a", 0, jayport.EndedDone)
	is.Equal(len(expiredJobs(w, w.now+time.Hour, time.Minute, 10)), 0) // not recorded
	w.record()
	is.Equal(len(expiredJobs(w, w.now+time.Second, time.Minute, 10)), 0) // still shown
	is.Equal(expiredJobs(w, w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	is.Equal(len(expiredJobs(w, w.now+2*time.Minute, time.Minute, 10)), 0) // removal in progress
	w.pool.Removed([]string{"a"}, false)
	is.Equal(expiredJobs(w, w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	wantState(t, w, "a", StateDone)
	w.pool.Removed([]string{"a"}, true)
	_, known := w.pool.StateOf("a", w.now)
	is.True(!known)
	wantState(t, w, "b", Running)
}

// expiredJobs returns the expired jobs that were submitted.
func expiredJobs(w *harness, now, retain time.Duration, most int) []string {
	jobs, _ := w.pool.Expired(now, retain, most)
	return jobs
}
