package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

func TestEndedJobsExpire(t *testing.T) {
	// Symptom: after some days the store takes no job any more.
	// Sequence: jobs come and end; their records are kept for ever.
	// Cause: nobody removed what need not be shown any more.
	is := is.New(t)
	w := newWorld(t, 2)
	declare(w, newSpec("a", 1))
	declare(w, newSpec("b", 1))
	w.finish("a", 0, jayport.EndedDone)
	is.Equal(len(w.pool.Expired(w.now+time.Hour, time.Minute, 10)), 0) // not recorded
	w.record()
	is.Equal(len(w.pool.Expired(w.now+time.Second, time.Minute, 10)), 0) // still shown
	is.Equal(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	is.Equal(len(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10)), 0) // under way
	w.pool.Removed([]string{"a"}, false)
	is.Equal(w.pool.Expired(w.now+2*time.Minute, time.Minute, 10), []string{"a"})
	wantState(t, w, "a", StateDone)
	w.pool.Removed([]string{"a"}, true)
	_, known := w.pool.StateOf("a", w.now)
	is.True(!known)
	wantState(t, w, "b", Running)
}
