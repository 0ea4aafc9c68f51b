package jaysched

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"jaythread/jaypool"
	"jaythread/jayspec"
)

// growthShapes are pools with wide jobs, by what they consist of. Each is built for a number of tasks.
var growthShapes = map[string]func(t *testing.T, tasks int) *harness{
	"tasks that fit on no worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		for n := range 8 {
			w.declareWide(fmt.Sprint("j", n), tasks, func(s *jayspec.Step) { s.Need.MemoryMegabytes = 300_000 })
		}
		return w
	},
	"jobs of one task that fits on no worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		for n := range tasks {
			w.declareWide(fmt.Sprint("j", n), 1, func(s *jayspec.Step) { s.Need.MemoryMegabytes = 300_000 })
		}
		return w
	},
	"tasks that run beside a slow worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Checkpoint = true })
		w.slowDown("w8")
		return w
	},
	"tasks of which half run beside a slow worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) {
			s.Checkpoint = true
			s.Need.ProcessorsMilli = 2 * 9 * 64_000 / int64(tasks)
		})
		w.slowDown("w8")
		return w
	},
	"tasks that run on workers to be released": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Estimate, s.Need.ProcessorsMilli = time.Millisecond, 6 })
		w.pool.SetContracting(true, w.now+time.Hour)
		w.pool.SetVacating([]Vacate{{Worker: "w1", Migrate: true, Restart: true}}, w.now)
		return w
	},
	"tasks that run longer than predicted": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		for range 100 {
			w.pool.speeds.errorsOf("q").Add(0)
		}
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Estimate, s.Need.ProcessorsMilli = time.Second, 6 })
		w.now += time.Minute
		w.reports()
		return w
	},
	"tasks of single steps beside a slow worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.slowDown("w8")
		job := newSpec("j", tasks, func(s *jayspec.Step) { s.Need.ProcessorsMilli, s.Checkpoint = 20, true })
		for n := range job.Steps {
			job.Steps[n].Tasks, job.Steps[n].After, job.Steps[n].Estimate = 1, nil, time.Minute
		}
		job.Policy.Objective = time.Hour
		w.pool.Declare(job, w.now)
		w.run()
		return w
	},
	"service tasks that fit on no worker": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.LongRunning, s.Need.MemoryMegabytes = true, 300_000 })
		return w
	},
	"service tasks of which each worker runs one": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.LongRunning, s.MaxPerInstance = true, 1 })
		return w
	},
	"service tasks of which a worker is closed": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.LongRunning, s.MayMiss = true, 1 })
		w.pool.SetVacating([]Vacate{{Worker: "w1"}}, w.now)
		return w
	},
	"tasks that run": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Checkpoint = true })
		return w
	},
	"jobs of one task that wait for room": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("large", 9, func(s *jayspec.Step) { s.Need.ProcessorsMilli = 64_000 })
		for n := range tasks {
			w.declareWide(fmt.Sprint("j", n), 1)
		}
		return w
	},
	"a gang that waits for room": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("large", 9, func(s *jayspec.Step) { s.Need.ProcessorsMilli = 60_000 })
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Gang, s.Need.ProcessorsMilli = true, 9*64_000/int64(tasks) })
		return w
	},
	"speculative tasks that run late": func(t *testing.T, tasks int) *harness {
		w := newWidePool(t)
		w.declareWide("j", tasks, func(s *jayspec.Step) { s.Speculative, s.Estimate = true, time.Second })
		w.now += 10 * time.Second
		return w
	},
}

// newWidePool returns a pool of nine large workers.
func newWidePool(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, 0)
	w.pool.settings.WorkerSpeeds, w.pool.settings.CopyShare = true, 0.1
	for n := range 9 {
		id := fmt.Sprint("w", n)
		w.addWorker(id)
		w.workers[id].info.Capacity = jaypool.Resources{ProcessorsMilli: 64_000, MemoryMegabytes: 262_144}
	}
	w.list()
	w.run()
	return w
}

// declareWide declares a job of one step and starts what can be started.
func (w *harness) declareWide(id string, tasks int, change ...func(*jayspec.Step)) {
	w.t.Helper()
	job := newSpec(id, 1, append([]func(*jayspec.Step){func(s *jayspec.Step) {
		s.Tasks, s.Need, s.Estimate = tasks, jaypool.Resources{ProcessorsMilli: 20, MemoryMegabytes: 1}, time.Minute
	}}, change...)...)
	job.Policy.Objective = time.Hour
	w.pool.Declare(job, w.now)
	if tasks > 1 {
		w.pool.SetStarts(math.MaxInt)
		w.run()
		w.record()
	}
}

// slowDown makes a worker count as slow.
func (w *harness) slowDown(id string) {
	slow := w.pool.workers[id]
	slow.pace.slow, slow.pace.factor, slow.pace.slowSince = true, 6.5, w.now
	w.pool.countSlow()
	w.pool.speeds.reviewAt = w.now + time.Hour
}

// growthCalls are the calls that the goroutine of a pool's owner makes.
var growthCalls = map[string]func(w *harness){
	"Decide":      func(w *harness) { w.pool.Decide(w.now) },
	"Demand":      func(w *harness) { w.pool.Demand(w.now) },
	"QuotaReport": func(w *harness) { w.pool.QuotaReport(true, w.now) },
}

// fastest returns the least processor time of some calls, each at another time. Busy processes beside the test
// do not count.
func (w *harness) fastest(call func(*harness)) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	least := MaxDuration
	for range 15 {
		w.now += 200 * time.Millisecond
		began := threadTime(w.t)
		call(w)
		least = min(least, threadTime(w.t)-began)
	}
	return least
}

// threadTime returns the processor time that the present thread has used.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}

// TestCallsGrowWithTheWidthOfJobs guards against leases that lapse: the owner of a pool renews them in the
// goroutine that makes these calls, and one call took seconds with wide jobs.
func TestCallsGrowWithTheWidthOfJobs(t *testing.T) {
	const narrow, wide = 2500, 10_000
	const maxPower = 1.5
	for shape, build := range growthShapes {
		t.Run(shape, func(t *testing.T) {
			small, large := build(t, narrow), build(t, wide)
			for name, call := range growthCalls {
				// Shorter times show nothing about growth, and hold up no lease.
				short, long := max(small.fastest(call), time.Millisecond), large.fastest(call)
				power := math.Log(float64(long)/float64(short)) / math.Log(wide/narrow)
				t.Logf("%s: %v with %d tasks, %v with %d, power %.1f", name, short, narrow, long, wide, power)
				if power > maxPower {
					t.Errorf("%s grows with the power %.1f of the width", name, power)
				}
			}
		})
	}
}
