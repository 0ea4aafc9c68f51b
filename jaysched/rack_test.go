package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

func TestRackLocalStep(t *testing.T) {
	// Guards against a step that takes several times as long as it should: its tasks must be on
	// one rack, but a worker of a small rack has the least room left and gets the first task.
	// The choice of a worker ignored the rack.
	racks := func(t *testing.T, change ...func(*jayspec.Step)) map[string]int {
		w := newHarness(t, 0)
		for n := range 6 {
			w.addWorker(fmt.Sprint("w", n))
			w.workers[fmt.Sprint("w", n)].info.Rack = []string{"small", "large", "large"}[n%3]
		}
		w.list()
		w.run()
		w.reports()
		occupant := newSpec("a", 1)
		declare(w, occupant)
		w.reports()
		change = append(change, func(s *jayspec.Step) { s.Tasks, s.RackLocal = 10, true })
		declare(w, newSpec("b", 1, change...))
		w.pass(50 * time.Millisecond)
		w.reports()
		on := map[string]int{}
		for _, f := range w.workers {
			for ref := range f.active {
				if ref.Task.Job == "b" {
					on[f.info.Rack]++
				}
			}
		}
		return on
	}
	t.Run("runs on one rack", func(t *testing.T) {
		is.New(t).Equal(racks(t), map[string]int{"large": 10})
	})
	t.Run("a gang runs on one rack", func(t *testing.T) {
		is.New(t).Equal(racks(t, func(s *jayspec.Step) { s.Gang = true }), map[string]int{"large": 10})
	})
	t.Run("runs on several racks if no rack has room for all tasks", func(t *testing.T) {
		on := racks(t, func(s *jayspec.Step) { s.Need.ProcessorsMilli = 1600 })
		is.New(t).Equal(on["large"], 8)
		is.New(t).True(on["small"] >= 1)
	})
}
