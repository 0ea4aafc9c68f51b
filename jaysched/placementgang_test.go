package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// Guards against a gang of a service of which only some members start, and which waits for as long as these run:
// a worker has closed while the placements were recorded.
func TestGangOfAServiceStartsTogether(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	w.storeUnavailable = true
	declare(w, newSpec("a", 1, longRunning, func(s *jayspec.Step) { s.Gang, s.Tasks, s.MaxPerInstance = true, 2, 1 }))
	chosen := w.pool.jobs["a"].occurrences[0].steps[0].tasks[0].runs[0].worker.ID
	w.workers[chosen].info.Draining = true
	w.list()
	w.storeUnavailable = false
	w.pass(time.Second)
	is.Equal(len(w.running()), 2)
	is.Equal(w.starts("a.0.0.1"), 1) // not before the other one, alone
	numbers := map[int64]bool{}
	for _, f := range w.workers {
		for ref := range f.active {
			numbers[ref.Number] = true
		}
	}
	is.Equal(len(numbers), 1)
}
