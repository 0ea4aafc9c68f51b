package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that is started again after its end was recorded: a worker ends that has reported to the
// next owner of the pool and never to this one, which does not know that it was replaced.
func TestEndOfAnUnreportedWorkerNeedsOwnerConfirmation(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(w *harness, own string)
	}{
		{"it leaves the inventory", func(w *harness, own string) { w.inventoryLoses(own) }},
		{"the leases of former owners must have ended", func(w *harness, _ string) { w.pass(testFormerWait) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first := newHarness(t, 3)
			spec := newSpec("j", 1, single)
			declare(first, spec)
			own := first.running()["j.0.0.0"]
			next := newHarness(t, 0, WithFence(2, 2), WithReplaceableOwner(first.now+time.Second, time.Minute))
			next.workers, next.now = first.workers, first.now
			next.workers[own].silent = true
			next.pool.HoldFormerRuns(next.now, next.now+testFormerWait)
			next.pool.Restore(spec, nil, next.now)
			next.pool.TakenOver(next.now)
			next.list()
			next.pass(2 * time.Second)
			readInventory(next)
			next.pass(time.Second)
			c.end(next, own)
			next.pass(time.Second)
			is.Equal(next.starts("j.0.0.0"), 0)
			next.pool.OwnerConfirmed(next.now, nil, next.now)
			next.pass(time.Second)
			is.Equal(next.starts("j.0.0.0"), 1)
		})
	}
}
