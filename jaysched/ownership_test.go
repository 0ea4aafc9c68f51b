package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayownership"
)

// newConfirmedHarness returns a harness whose owner was confirmed at its beginning and receives
// no further confirmation by itself.
func newConfirmedHarness(t *testing.T, workers int) *harness {
	w := newHarness(t, 0, WithReplaceableOwner(time.Minute+time.Second, 10*time.Second))
	for _, id := range []string{"w0", "w1", "w2"}[:workers] {
		w.addWorker(id)
	}
	w.list()
	w.run()
	return w
}

// confirms counts the requests to confirm the owner.
func confirms(w *harness) int {
	count := 0
	for _, a := range w.sent {
		if _, ok := a.(ConfirmOwner); ok {
			count++
		}
	}
	return count
}

func TestLeaseExpiryNeedsOwnerConfirmation(t *testing.T) {
	// Guards against tasks that are started again after their runs have ended and were
	// recorded: an owner is partitioned from the store and paused; the next owner renews the
	// leases and records the ends; the first one resumes, takes the leases it had granted for
	// expired, and starts the tasks on a worker that has just joined and has seen no fence.
	is := is.New(t)
	w := newConfirmedHarness(t, 1)
	declare(w, newSpec("j", 1))
	is.Equal(w.starts("j.0.0.0"), 1)
	w.workers["w0"].silent = true
	w.addWorker("w1")
	w.list()
	for range 10 {
		w.now += 600 * time.Millisecond
		w.pool.ReportFailed(refOf("w0"), w.now)
		w.run()
	}
	is.Equal(w.starts("j.0.0.0"), 1)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 2)
}

func TestWorkerIsUsedOnceTheOwnerIsConfirmed(t *testing.T) {
	// Guards against a task that runs on a new worker while the next owner runs it elsewhere:
	// an owner that was replaced finds a worker that has just joined and has seen no fence yet,
	// before it learns that it was replaced. The list of workers was newer than the
	// confirmation of the owner.
	is := is.New(t)
	w := newConfirmedHarness(t, 0)
	w.now += 2 * time.Second
	declare(w, newSpec("j", 1))
	w.addWorker("w0")
	w.list()
	w.run()
	is.Equal(w.starts("j.0.0.0"), 0)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, errLost, w.now)
	w.run()
	is.Equal(confirms(w), 1) // not repeated immediately
	w.now += jayownership.ConfirmRetryDelay
	w.run()
	is.Equal(confirms(w), 2)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestUnconfirmedOwnerDoesNothing(t *testing.T) {
	// Guards against leases that a former owner renews after the next one has waited for their
	// end: an owner receives no answer from the store for longer than its successor waits, and
	// renews the leases of workers that only it reaches.
	is := is.New(t)
	w := newConfirmedHarness(t, 1)
	w.now += 11 * time.Second
	declare(w, newSpec("j", 1))
	is.Equal(w.pool.Decide(w.now), nil) // the request is already pending
	is.Equal(w.starts("j.0.0.0"), 0)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestOwnerWaitsForConfirmationAfterAPause(t *testing.T) {
	// Guards against a job that was shown as done and is shown as running again: the host of an
	// owner is paused for three seconds, the next owner ends a job, and the first one resumes
	// and answers from its outdated state before it learns that it was replaced.
	is := is.New(t)
	w := newConfirmedHarness(t, 1)
	declare(w, newSpec("j", 1))
	w.now += 3 * time.Second
	w.pool.OwnerPaused(w.now)
	is.True(w.pool.OwnerUnconfirmed())
	declare(w, newSpec("k", 1))
	is.Equal(w.starts("k.0.0.0"), 0)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	is.True(!w.pool.OwnerUnconfirmed())
	w.run()
	is.Equal(w.starts("k.0.0.0"), 1)
}
