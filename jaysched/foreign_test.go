package jaysched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// numbers returns a generator of odd numbers between two bounds.
func numbers(least, most int64) *rapid.Generator[int64] {
	return rapid.OneOf(rapid.SampledFrom([]int64{least, most, 0, most - 1, most / 1000}), rapid.Int64Range(least, most))
}

// times returns a generator of odd durations, as the platform's numbers of milliseconds give them.
func times() *rapid.Generator[time.Duration] {
	return rapid.Map(numbers(-math.MaxInt64/int64(time.Millisecond), math.MaxInt64/int64(time.Millisecond)), func(n int64) time.Duration { return time.Duration(n) * time.Millisecond })
}

// foreignWorker draws an entry of the list of workers that another program may have written.
func foreignWorker(t *rapid.T, id string) jayport.Worker {
	const maxCapacity = 1 << 40
	return jayport.Worker{
		ID: id, Addr: "10.0.0.1:1", Pool: "seats", Labels: []string{"a"}, Rack: rapid.SampledFrom([]string{"", "r0-w0", "r1"}).Draw(t, "rack"),
		Incarnation: jayport.Incarnation(numbers(0, math.MaxInt64).Draw(t, "incarnation")),
		Capacity:    jaypool.Resources{ProcessorsMilli: numbers(0, maxCapacity).Draw(t, "processors"), MemoryMegabytes: numbers(0, maxCapacity).Draw(t, "memory"), Accelerators: numbers(0, maxCapacity).Draw(t, "accelerators")},
		Draining:    rapid.Bool().Draw(t, "draining"), DrainLeft: times().Draw(t, "drainLeft"), Warming: times().Draw(t, "warming"), Clock: times().Draw(t, "clock"),
	}
}

// foreignReport draws a report with runs that do not exist.
func foreignReport(t *rapid.T, job string) jayport.Report {
	index := func(name string) int { return int(numbers(math.MinInt64, math.MaxInt64).Draw(t, name)) }
	report := jayport.Report{Clock: times().Draw(t, "clock"), Partial: rapid.Bool().Draw(t, "partial")}
	for n := range rapid.IntRange(0, 4).Draw(t, "runs") {
		task := jayport.TaskID{Job: rapid.SampledFrom([]string{job, "", "\x00"}).Draw(t, "job"), Occurrence: index("occurrence"), Step: index("step"), Index: 3 + max(0, index("index"))%(math.MaxInt-3)}
		run := jayport.RunRef{Task: task, Number: numbers(0, 1<<50).Draw(t, "number")}
		if n%2 == 0 {
			report.Active = append(report.Active, jayport.ActiveRun{Run: run, Speed: index("speed"), Load: numbers(math.MinInt64, math.MaxInt64).Draw(t, "load")})
			continue
		}
		report.Ended = append(report.Ended, jayport.EndedRun{Number: numbers(0, 1<<50).Draw(t, "end"), Run: run, Ending: jayport.Ending(rapid.IntRange(0, 6).Draw(t, "ending"))})
	}
	return report
}

// TestForeignWorkersDoNotStopAPool guards against a pool that ends, or whose tasks wait, beside
// entries of another program in the list of workers.
func TestForeignWorkersDoNotStopAPool(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newHarness(t, 2)
		job := newSpec("0000000000000001", 1, func(s *jayspec.Step) { s.Tasks = 3 })
		list := func() {
			listed := []jayport.Worker{w.workers["w0"].info, w.workers["w1"].info}
			for n := range rapid.IntRange(0, 4).Draw(r, "foreign") {
				listed = append(listed, foreignWorker(r, fmt.Sprint("foreign", n)))
			}
			w.pool.Listed(listed, w.now)
		}
		perform := func() {
			for _, a := range w.pool.Decide(w.now) {
				renewal, renews := a.(RenewLease)
				if to, call := calledWorker(a); !call || w.workers[to.ID] != nil {
					w.perform(a)
				} else if renews && rapid.Bool().Draw(r, "answers") {
					w.pool.Reported(to, foreignReport(r, job.ID), w.now, w.now)
				} else if renews {
					w.pool.ReportFailed(renewal.To, w.now)
				} else if start, starts := a.(StartRun); starts {
					w.pool.StartAnswered(to, start.Order.Run, times().Draw(r, "clock"), &jayport.RefusedError{Reason: jayport.RefusedMalformed, Clock: times().Draw(r, "clock")}, w.now)
				}
			}
			w.record()
		}
		list()
		declare(w, job)
		for range 100 {
			perform()
			w.now += 100 * time.Millisecond
			list()
			for _, f := range w.workers {
				for run := range f.active {
					f.end(run, jayport.EndedDone)
				}
				w.pool.Reported(f.workerRef(), f.report(w.now), w.now, w.now)
			}
			w.pool.Demand(w.now)
		}
		if state, _ := w.pool.StateOf(job.ID); state != StateDone {
			r.Fatalf("the job is %v after 10 s beside two sound workers", state)
		}
	})
}
