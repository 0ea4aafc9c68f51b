package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a service task that waits for room although hosts are on standby: a worker without any run
// does not answer, and the pool demands no worker for any task meanwhile, anew under each owner.
func TestSilentWorkerDoesNotHideTheDemandOfServices(t *testing.T) {
	for _, c := range []struct {
		name string
		// more is the number of tasks of a service that is submitted to the new owner.
		more, want int
	}{
		{"a restored task without a run", 0, 3},
		{"a service of the new owner", 5, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHarness(t, 4)
			spec := service("a", 3)
			declare(w, spec)
			w.reportFor(2 * time.Second)
			lost := w.running()["a.0.0.0"]
			for _, id := range sortedKeys(w.workers) {
				w.workers[id].silent = len(w.workers[id].active) == 0
			}
			delete(w.workers, lost)
			w.pool.Ended(refOf(lost), "another incarnation answers", w.now)
			w.list()
			next := w.succeed(2, spec)
			if c.more > 0 {
				declare(next, service("b", c.more))
			}
			next.reportFor(time.Second)
			is.New(t).Equal(next.pool.Demand(next.now).WorkersAtLeast, c.want)
		})
	}
}

// Guards against a service task that waits for an instance for as long as another worker of its service is silent:
// the pool counts neither that worker nor the task that may run there, and has as many hosts as it asks for.
func TestSilentWorkerOfAServiceIsNeeded(t *testing.T) {
	w := newHarness(t, 4)
	spec := service("a", 4)
	declare(w, spec)
	w.reportFor(2 * time.Second)
	running := w.running()
	w.workers[running["a.0.0.1"]].silent = true
	lost := running["a.0.0.0"]
	delete(w.workers, lost)
	w.pool.Ended(refOf(lost), "another incarnation answers", w.now)
	w.list()
	next := w.succeed(2, spec)
	next.reportFor(time.Second)
	is.New(t).Equal(next.pool.Demand(next.now).WorkersAtLeast, 4)
}
