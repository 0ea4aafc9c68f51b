package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCalmWait is how long a service task may be without a run in calm time, as the users' rules state.
const maxCalmWait = 7 * time.Second

// Guards against a service task that is without a run for longer than the users' rules allow: its worker and the
// owner of its pool are lost together, and the worker stays in the inventory.
func TestServiceTaskWaitsForASilentWorkerWithinTheRule(t *testing.T) {
	for _, interval := range []time.Duration{40 * time.Second, 8 * time.Second, 4 * time.Second, 2 * time.Second} {
		t.Run("owners change every "+interval.String(), func(t *testing.T) {
			w := newHarness(t, 3)
			declare(w, service("a", 1))
			own := w.running()["a.0.0.0"]
			clear(w.workers[own].active)
			w.workers[own].silent = true
			waited := time.Duration(0)
			for term := int64(2); w.running()["a.0.0.0"] == "" && waited < 48*time.Second; term++ {
				w = w.succeedTimed(term)
				for began := w.now; w.running()["a.0.0.0"] == "" && w.now-began < interval; waited += time.Second {
					w.reportFor(time.Second)
				}
			}
			t.Logf("task without a run for %v", waited)
			is.New(t).True(waited <= maxCalmWait)
		})
	}
}
