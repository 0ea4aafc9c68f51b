package jaysched

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// burstEnd is the time at which a run ends.
type burstEnd struct {
	at     time.Duration
	worker string
	run    jayport.RunRef
}

type burstEnds []burstEnd

func (e burstEnds) Len() int           { return len(e) }
func (e burstEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e burstEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *burstEnds) Push(x any)        { *e = append(*e, x.(burstEnd)) }
func (e *burstEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// burst simulates a burst of a queue on a pool: four seconds with more jobs than the workers
// can do, each job one step of eight tasks of 0.8 s. The pool decides after each event, as it
// does for its owner.
type burst struct {
	pool   *Pool
	now    time.Duration
	ends   burstEnds
	active map[string]map[jayport.RunRef]jayport.ActiveRun
	number map[string]int64
	done   int
}

func newBurst(workers int) *burst {
	r := &burst{
		pool:   NewPool("seats", Settings{Lease: 4 * time.Second, Stop: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond, FarFactor: 1.5}),
		now:    time.Minute,
		active: map[string]map[jayport.RunRef]jayport.ActiveRun{},
		number: map[string]int64{},
	}
	var list []jayport.Worker
	for n := range workers {
		id := fmt.Sprintf("w%03d", n)
		list = append(list, jayport.Worker{ID: id, Addr: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 64000, MemoryMegabytes: 262144}})
		r.active[id] = map[jayport.RunRef]jayport.ActiveRun{}
	}
	r.pool.Listed(list, r.now)
	r.decide()
	for _, w := range list {
		r.report(w.ID, nil)
	}
	return r
}

func (r *burst) decide() {
	for _, a := range r.pool.Decide(r.now) {
		start, ok := a.(StartRun)
		if !ok {
			continue
		}
		run := start.Order.Run
		r.active[start.To.ID][run] = jayport.ActiveRun{Run: run, Speed: 100}
		heap.Push(&r.ends, burstEnd{at: r.now + 800*time.Millisecond + time.Duration(run.Task.Index)*7*time.Millisecond, worker: start.To.ID, run: run})
		r.pool.StartAnswered(start.To, run, r.now, nil, r.now)
	}
	if batch := r.pool.TakeBatch(); batch != nil {
		r.pool.BatchRecorded(batch, r.now)
	}
}

func (r *burst) report(worker string, ended []jayport.EndedRun) {
	report := jayport.Report{Clock: r.now, Ended: ended}
	for _, a := range r.active[worker] {
		report.Active = append(report.Active, a)
	}
	r.pool.Reported(refOf(worker), report, r.now, r.now)
	r.decide()
}

func (r *burst) end(e burstEnd) {
	delete(r.active[e.worker], e.run)
	r.number[e.worker]++
	r.done++
	r.report(e.worker, []jayport.EndedRun{{Number: r.number[e.worker], Run: e.run, Ending: jayport.EndedDone}})
}

func (r *burst) play(jobs, aSecond int) {
	for n := range jobs {
		due := time.Minute + time.Duration(n)*time.Second/time.Duration(aSecond)
		for len(r.ends) > 0 && r.ends[0].at <= due {
			e := heap.Pop(&r.ends).(burstEnd)
			r.now = e.at
			r.end(e)
		}
		r.now = due
		r.pool.Declare(&jayspec.Job{
			ID: fmt.Sprintf("%016x", n), Queue: "q", Pool: "seats",
			Policy: jayspec.Policy{Attempts: 4, Stretch: 1.6, Objective: 600 * time.Millisecond},
			Steps: []jayspec.Step{{
				Tasks: 8, Estimate: 800 * time.Millisecond,
				Need: jaypool.Resources{ProcessorsMilli: int64(4000 + n%7*700), MemoryMegabytes: 23000},
			}},
		}, r.now)
		r.decide()
	}
	for len(r.ends) > 0 {
		e := heap.Pop(&r.ends).(burstEnd)
		r.now = e.at
		r.end(e)
	}
}

// BenchmarkRush measures the time that the pool's owner spends on one task while its queue
// grows to several hundred jobs: 80 workers, 140 jobs a second.
func BenchmarkRush(b *testing.B) {
	tasks := 0
	for b.Loop() {
		r := newBurst(80)
		r.play(560, 140)
		tasks += r.done
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(tasks), "µs/task")
}

// BenchmarkReport measures the time that the pool's owner spends on one report without changes,
// by the pool's size, while each worker runs eight tasks.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{80, 1450, 2900} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r := newBurst(workers)
			r.fill(workers * 8)
			for b.Loop() {
				r.report("w000", nil)
			}
		})
	}
}

// fill starts jobs of eight tasks each until the given number of tasks run.
func (r *burst) fill(tasks int) {
	for n := range tasks / 8 {
		r.pool.Declare(&jayspec.Job{
			ID: fmt.Sprintf("%016x", n), Queue: "q", Pool: "seats",
			Policy: jayspec.Policy{Attempts: 4, Stretch: 1.6, Objective: 600 * time.Millisecond},
			Steps:  []jayspec.Step{{Tasks: 8, Estimate: 800 * time.Millisecond, Need: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 23000}}},
		}, r.now)
	}
	r.decide()
}
