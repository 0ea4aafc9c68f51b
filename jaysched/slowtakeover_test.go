package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against a task that is started again though it is done: the takeover took longer than the leases of
// the former owner could last, and the new owner waited for no report of the task's worker.
func TestSlowTakeoverWaitsForReports(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 2)
	spec := newSpec("j", 1, single)
	declare(first, spec)
	own := first.running()["j.0.0.0"]
	next := newHarness(t, 0, WithFence(2, 2))
	next.workers, next.now = first.workers, first.now
	next.pool.HoldFormerRuns(next.now, next.now+testFormerWait)
	next.now += testFormerWait + time.Second
	next.pool.Restore(spec, nil, next.now)
	next.pool.TakenOver(next.now)
	for ref := range next.workers[own].active {
		next.workers[own].end(ref, jayport.EndedDone)
	}
	next.workers[own].silent = true // its answer takes some time
	next.list()
	readInventory(next)
	next.run()
	next.pass(100 * time.Millisecond)
	is.Equal(next.starts("j.0.0.0"), 0)
	next.workers[own].silent = false
	next.pass(silentRetryDelay)
	next.record()
	wantState(t, next, "j", StateDone)
	is.Equal(next.starts("j.0.0.0"), 0)
}
