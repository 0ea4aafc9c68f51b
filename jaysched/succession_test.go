package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxServiceInterruption is how long a service task may be without a run while other workers have room
// for it.
const maxServiceInterruption = 6 * time.Second

// Guards against a service task that is without a run beside free workers for as long as the owner of its
// pool changes: a worker without any run does not answer, and each owner holds the task for it anew.
func TestIdleSilentWorkerHoldsNoServiceTask(t *testing.T) {
	for _, interval := range []time.Duration{40 * time.Second, 8 * time.Second, 4 * time.Second} {
		t.Run("owners change every "+interval.String(), func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 10)
			spec := service("a", 4)
			declare(w, spec)
			w.reportFor(2 * time.Second)
			running := w.running()
			for _, id := range sortedKeys(w.workers) {
				if len(w.workers[id].active) == 0 {
					w.workers[id].silent = true
					break
				}
			}
			w.crashWorker(running["a.0.0.0"])
			waited := time.Duration(0)
			for term := int64(2); w.running()["a.0.0.0"] == "" && waited < 48*time.Second; term++ {
				w = w.succeed(term, spec)
				for began := w.now; w.running()["a.0.0.0"] == "" && w.now-began < interval; waited += time.Second {
					w.reportFor(time.Second)
				}
			}
			t.Logf("task without a run for %v", waited)
			is.True(waited <= maxServiceInterruption)
		})
	}
}
