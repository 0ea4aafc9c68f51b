package jaysched

import (
	"fmt"
	"testing"
	"time"

	"jaythread/jaypool"
	"jaythread/jayspec"
)

// BenchmarkPlaceWithSlowWorkers measures a decision with full workers and 20,000 waiting jobs,
// without the part, with it, and with a quarter of the workers known as slow and empty.
func BenchmarkPlaceWithSlowWorkers(b *testing.B) {
	const workers, waiting = 350, 20_000
	for _, mode := range []string{"off", "on", "a quarter slow"} {
		b.Run(mode, func(b *testing.B) {
			r := newBurst(workers)
			r.pool.settings.WorkerSpeeds = mode != "off"
			learnDurations(r.pool)
			if mode == "a quarter slow" {
				for n, w := range r.pool.sorted {
					if n%4 == 0 {
						w.pace.slow, w.pace.factor, w.pace.slowSince = true, 6.5, r.now
					}
				}
				r.pool.countSlow()
			}
			r.fill(workers * 8)
			for n := range waiting {
				r.pool.Declare(&jayspec.Job{
					ID: fmt.Sprintf("w%016x", n), Queue: "q", Pool: "seats",
					Policy: jayspec.Policy{Attempts: 4, Stretch: 1.6, Objective: 600 * time.Millisecond},
					Steps:  []jayspec.Step{{Tasks: 8, Estimate: 800 * time.Millisecond, Need: jaypool.Resources{ProcessorsMilli: 9000, MemoryMegabytes: 23000}}},
				}, r.now)
			}
			r.decide()
			for b.Loop() {
				r.now += 50 * time.Millisecond
				for id := range r.active {
					r.pool.workers[id].pace.reportedAt = r.now
				}
				r.decide()
			}
		})
	}
}
