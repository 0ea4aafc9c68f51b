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
	is.Equal(len(w.pool.Expired(w.now+time.Hour, time.Minute, 10)), 0) // not recorded
	w.record()
	is.Equal(len(w.pool.Expired(w.now+time.Second, time.Minute, 10)), 0) // still shown
	is.Equal(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	is.Equal(len(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10)), 0) // removal in progress
	w.pool.Removed([]string{"a"}, false)
	is.Equal(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	wantState(t, w, "a", StateDone)
	w.pool.Removed([]string{"a"}, true)
	_, known := w.pool.StateOf("a")
	is.True(!known)
	wantState(t, w, "b", Running)
}
