package jaysched

import (
	"fmt"
	"testing"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// wave is a pool of 280 workers that services and short tasks fill, with 1,150 jobs waiting. 28 of the
// workers are closed.
type wave struct {
	*burst
	closed []Vacate
}

// newWave returns a wave with services of as many tasks each, one at most on a worker. Small workers join that
// have room for services only.
func newWave(services, tasks int, memory int64, small int) *wave {
	r := &wave{burst: &burst{
		pool:   NewPool("seats", Settings{Lease: 4 * time.Second, Stop: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond, FarFactor: 1.5, FairShares: true}),
		now:    time.Minute,
		active: map[string]map[jayport.RunRef]jayport.ActiveRun{},
		number: map[string]int64{},
	}}
	list := r.join(nil, "w", 280, 32_000)
	for n := range services {
		r.pool.Declare(newSpec(fmt.Sprint("service", n), 1, longRunning, func(s *jayspec.Step) {
			s.Tasks, s.MaxPerInstance = tasks, 1
			s.Need = jaypool.Resources{ProcessorsMilli: 100, MemoryMegabytes: memory}
		}), r.now)
	}
	r.decide()
	r.fill(280*3 + 1150*8)
	for _, w := range list {
		r.report(w.ID, nil)
	}
	r.join(list, "x", small, 400)
	for n := range 28 {
		r.closed = append(r.closed, Vacate{Worker: list[n*10].ID})
	}
	return r
}

// join adds workers to the list, which report once.
func (r *wave) join(list []jayport.Worker, prefix string, count int, milli int64) []jayport.Worker {
	for n := range count {
		id := fmt.Sprintf("%s%03d", prefix, n)
		list = append(list, jayport.Worker{ID: id, Addr: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: milli, MemoryMegabytes: 120_000}})
		r.active[id] = map[jayport.RunRef]jayport.ActiveRun{}
	}
	r.pool.Listed(list, r.now)
	r.decide()
	for _, w := range list[len(list)-count:] {
		r.report(w.ID, nil)
	}
	return list
}

// step makes one decision. Stops are not answered.
func (r *wave) step(n int) {
	if n%100 == 0 {
		r.pool.SetVacating(r.closed, r.now)
	}
	r.now += time.Millisecond
	for _, w := range r.pool.sorted {
		w.askAt = MaxDuration // renewals are not answered
	}
	for _, a := range r.pool.Decide(r.now) {
		if start, ok := a.(StartRun); ok {
			r.pool.StartAnswered(start.To, start.Order.Run, r.now, nil, r.now)
		}
	}
	r.pool.TakeEvents()
}

// stopping counts the runs that are being stopped.
func (r *wave) stopping() (count int) {
	for _, w := range r.pool.sorted {
		for _, run := range w.inOrder {
			if run.phase == stopping {
				count++
			}
		}
	}
	return count
}

// BenchmarkDecisionDuringWave measures the decision after each report while workers with services are closed
// and 1,150 jobs wait: with room for the services elsewhere, without, and while tasks of services wait since
// each worker may run only one.
func BenchmarkDecisionDuringWave(b *testing.B) {
	for _, c := range []struct {
		name            string
		services, tasks int
		memory          int64
		small           int
	}{
		{"room", 56, 5, 50_000, 20},
		{"noRoom", 56, 5, 50_000, 0},
		{"waiting", 10, 282, 5000, 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := newWave(c.services, c.tasks, c.memory, c.small)
			for n := 0; b.Loop(); n++ {
				r.step(n)
			}
			b.ReportMetric(float64(r.stopping()), "stopping")
		})
	}
}
