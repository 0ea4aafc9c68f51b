package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// ownedUntil returns a world whose owner knew at its beginning that nobody had
// replaced it, and learns no more of it by itself.
func ownedUntil(t *testing.T, workers int) *world {
	w := newWorld(t, 0, WithReplaceableOwner(time.Minute+time.Second, 10*time.Second))
	for _, id := range []string{"w0", "w1", "w2"}[:workers] {
		w.addWorker(id)
	}
	w.list()
	w.run()
	return w
}

// confirms counts the requests whether the owner was replaced.
func confirms(w *world) int {
	count := 0
	for _, a := range w.sent {
		if _, ok := a.(ConfirmOwner); ok {
			count++
		}
	}
	return count
}

func TestLeaseIsOverOnlyForAnOwner(t *testing.T) {
	// Symptom: tasks are started again after their runs have ended as done, and
	// these ends were recorded.
	// Sequence: an owner is cut off from the store and freezes; the next one takes
	// over, renews the leases, and records the ends; the first one wakes four
	// seconds later, takes the leases that it had granted for over, and starts the
	// tasks on a worker that has just joined and seen no fence.
	// Cause: a lease counted as over by what this owner had granted, whatever
	// another one had.
	is := is.New(t)
	w := ownedUntil(t, 1)
	declare(w, newSpec("j", 1))
	is.Equal(w.starts("j.0.0.0"), 1)
	w.workers["w0"].silent = true
	w.addWorker("w1")
	w.list()
	for range 10 {
		w.now += 600 * time.Millisecond
		w.pool.Silent(refOf("w0"), w.now)
		w.run()
	}
	is.Equal(w.starts("j.0.0.0"), 1)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 2)
}

func TestWorkerIsUsedOnceTheOwnerIsConfirmed(t *testing.T) {
	// Symptom: a task runs on a new worker while the next owner runs it elsewhere.
	// Sequence: an owner that was replaced finds a worker that has just joined and
	// has seen no fence yet, before it learns of the claim.
	// Cause: the list of workers was newer than the word that it is the owner.
	is := is.New(t)
	w := ownedUntil(t, 0)
	w.now += 2 * time.Second
	declare(w, newSpec("j", 1))
	w.addWorker("w0")
	w.list()
	w.run()
	is.Equal(w.starts("j.0.0.0"), 0)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, errLost, w.now)
	w.run()
	is.Equal(confirms(w), 1) // not again at once
	w.now += confirmRetryDelay
	w.run()
	is.Equal(confirms(w), 2)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestOwnerWithoutWordDoesNothing(t *testing.T) {
	// Symptom: leases that a former owner renews go on after the next one has waited
	// for their end.
	// Sequence: an owner hears nothing of the store for longer than its successor
	// waits, and renews the leases of workers that only it reaches.
	// Cause: nothing bounded for how long an owner goes on without word.
	is := is.New(t)
	w := ownedUntil(t, 1)
	w.now += 11 * time.Second
	declare(w, newSpec("j", 1))
	is.Equal(w.pool.Decide(w.now), nil) // it has asked already
	is.Equal(w.starts("j.0.0.0"), 0)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.run()
	is.Equal(w.starts("j.0.0.0"), 1)
}

func TestWokenOwnerWaitsForWord(t *testing.T) {
	// Symptom: a job that was shown as done is shown as running.
	// Sequence: the machine of a pool's owner is paused for three seconds; the next
	// owner ends a job and its caller is answered; the first one wakes, and is asked
	// before it learns of the claim.
	// Cause: it answered with what it knew of the job, however long ago.
	is := is.New(t)
	w := ownedUntil(t, 1)
	declare(w, newSpec("j", 1))
	w.now += 3 * time.Second
	w.pool.Doubt(w.now)
	is.True(w.pool.InDoubt())
	declare(w, newSpec("k", 1))
	is.Equal(w.starts("k.0.0.0"), 0)
	is.Equal(confirms(w), 1)
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	is.True(!w.pool.InDoubt())
	w.run()
	is.Equal(w.starts("k.0.0.0"), 1)
}
