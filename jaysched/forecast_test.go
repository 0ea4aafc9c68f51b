package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

func TestRandomVariationIsNotGrowth(t *testing.T) {
	// Guards against a third of the hosts being idle within a burst: jobs arrive and end one at
	// a time, so the pool's usage varies, and each rise was extrapolated.
	is := is.New(t)
	w := newHarness(t, 40)
	declared := 0
	for _, jobs := range []int{20, 21, 21, 21, 22, 22, 22, 23} {
		for ; declared < jobs; declared++ {
			declare(w, newSpec(fmt.Sprint("j", declared), 1))
		}
		w.reports()
		if jobs > 20 {
			is.Equal(w.pool.Demand(w.now).NeedMilli, int64(2000*declared))
		}
		w.pass(200 * time.Millisecond)
		if jobs == 20 {
			w.pass(3 * time.Second)
		}
	}
}

func TestBurstIsPredictedWhileThereIsRoom(t *testing.T) {
	// Guards against hosts that arrive a second late in a burst: the pool has free room when
	// the burst begins, so its first jobs run immediately, and only waiting tasks were taken as
	// an indication of a burst.
	is := is.New(t)
	w := newHarness(t, 40)
	for n := range 20 {
		declare(w, newSpec(fmt.Sprint("j", n), 4))
		w.pass(25 * time.Millisecond)
	}
	w.reports()
	// Forty jobs a second of four steps, each of which uses two cores for a second.
	need := w.pool.Demand(w.now).NeedMilli
	is.True(need > 100_000)
	is.True(need < 320_000)
}

func TestPoolLacksRoomWhileTasksWait(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.reports()
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks = 5 })) // there is room for four
	is.True(w.pool.LacksRoom())
	w.addWorker("w9")
	w.list()
	w.run()
	w.reports()
	w.run()
	is.True(!w.pool.LacksRoom())
}

func TestJobsWaitingToBeStoredCountAsDemand(t *testing.T) {
	// Guards against jobs that wait for an additional host move after an outage of the store in
	// a burst: the jobs waiting to be stored did not count as demand, so hosts were requested
	// only when the store was available again.
	is := is.New(t)
	w := newHarness(t, 1)
	before := w.pool.Demand(w.now).NeedMilli
	var specs []*jayspec.Job
	for n := range 40 {
		spec := newSpec(fmt.Sprint("j", n), 4)
		specs = append(specs, spec)
		w.now += 20 * time.Millisecond
		w.pool.Expect(spec, w.now)
		w.pool.Expect(spec, w.now) // its caller retries
	}
	expected := w.pool.Demand(w.now).NeedMilli
	is.True(expected > 4*before)
	work := 0.0
	for _, a := range w.pool.offeredWork.arrivals {
		work += a.work
	}
	for _, spec := range specs {
		w.pool.Declare(spec, w.now)
	}
	after := 0.0
	for _, a := range w.pool.offeredWork.arrivals {
		after += a.work
	}
	is.Equal(work, after) // each counts once
	is.Equal(len(w.pool.expected), 0)
	w.pool.Expect(newSpec("never", 1), w.now)
	w.now += 2 * expectedTTL
	w.pool.Expect(newSpec("later", 1), w.now)
	is.Equal(len(w.pool.expected), 1)
}

func TestRateOfUrgentJobsBesideManyLessUrgentOnes(t *testing.T) {
	// Guards against a rate of urgent jobs that is zero, or that of a single large job, because
	// the window is chosen by the less urgent jobs that arrive faster.
	var o offeredWork
	for n := range rateJobs {
		o.add(arrival{at: time.Duration(n) * 100 * time.Millisecond, work: 1000})
	}
	alone := o.overtaking(0, 2*time.Second)
	for range 3 * rateJobs {
		o.add(arrival{at: 1900 * time.Millisecond, priority: 1, work: 1000})
	}
	is.New(t).Equal(o.overtaking(0, 2*time.Second), alone)
}
