package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayreturn"
	"jaythread/jayspec"
)

// learn lets a pool observe durations of the test's queue, which differ from the declared second
// by a factor in both directions.
func learn(p *Pool, factor float64) {
	s := &step{job: &job{spec: &jayspec.Job{Queue: "q"}}, decl: &jayspec.Step{Estimate: time.Second}}
	for range 2 * minObservations {
		p.durations.observe(s, time.Duration(factor*float64(time.Second)))
		p.durations.observe(s, time.Duration(float64(time.Second)/factor))
	}
}

// newOutlookHarness returns a harness in which jobs, each a second of the only worker, wait for
// a time while the fleet's owner reports.
func newOutlookHarness(t *testing.T, waiting int, factor float64, length time.Duration, arriving ...Arriving) *harness {
	t.Helper()
	w := newHarness(t, 1)
	w.pool.settings.RejectHopeless = true
	learn(w.pool, factor)
	declare(w, newSpec("first", 1, tasks(4, 1000, 100)))
	for n := range waiting {
		declare(w, newSpec(fmt.Sprint("old", n), 1, tasks(4, 1000, 100)))
	}
	w.passWithFleet(length, arriving...)
	return w
}

// passWithFleet lets time pass while the fleet's owner reports.
func (w *harness) passWithFleet(d time.Duration, arriving ...Arriving) {
	for until := w.now + d; w.now < until; {
		w.pool.SetArriving(arriving, w.now)
		w.pass(50 * time.Millisecond)
	}
}

func TestOrderChangesAtOnceWhenWaitingWorkMakesJobsLate(t *testing.T) {
	// Guards against a burst in which every job becomes slightly late in turn until capacity has
	// been insufficient for several moves.
	begins := func(name, expected string, waiting int, factor float64, arriving ...Arriving) {
		t.Run(name, func(t *testing.T) {
			w := newOutlookHarness(t, waiting, factor, 2500*time.Millisecond, arriving...)
			declare(w, newSpec("new", 1, tasks(4, 1000, 100)))
			w.passWithFleet(100*time.Millisecond, arriving...)
			w.finish("first", 0, jayport.EndedDone)
			is.New(t).True(w.pool.jobs[expected].started)
		})
	}
	begins("the job that can be on time", "new", 6, 1)
	begins("by target where durations are predicted badly", "old0", 6, 3)
	begins("by target while hosts arrive in time", "old0", 1, 1, Arriving{CapacityMilli: 40_000, In: 100 * time.Millisecond})
	t.Run("by target without word of the fleet's owner", func(t *testing.T) {
		w := newOutlookHarness(t, 6, 1, time.Second)
		w.pass(outlookTTL)
		declare(w, newSpec("new", 1, tasks(4, 1000, 100)))
		w.pass(500 * time.Millisecond)
		w.finish("first", 0, jayport.EndedDone)
		is.New(t).True(w.pool.jobs["old0"].started)
	})
}

func TestQueueWithoutEstimatesIsNotPredictable(t *testing.T) {
	// Guards against an owner that ends on a queue all of whose jobs declare no estimate.
	w := newOutlookHarness(t, 6, 1, time.Second)
	job := newSpec("none", 1, func(s *jayspec.Step) { s.Estimate = 0 })
	job.Queue = "none"
	declare(w, job)
	w.passWithFleet(300 * time.Millisecond)
	is.New(t).True(!w.pool.jobs["none"].forecast.queue.predictable)
}

func TestDeadlineStatusHasHysteresis(t *testing.T) {
	// Guards against a queue that is reordered at each review, and against a job that is given up
	// for a task that is about to end.
	is := is.New(t)
	w := newOutlookHarness(t, 6, 1.2, 1500*time.Millisecond)
	j := w.pool.jobs["old0"]
	at := j.target - time.Second
	review := func(now time.Duration) deadlineStatus {
		w.pool.reviewByOutlook(j, now)
		return j.deadlineStatus
	}
	is.Equal(review(at-50*time.Millisecond), onTime)
	is.Equal(review(at+50*time.Millisecond), late)
	is.Equal(review(at-50*time.Millisecond), late)
	is.Equal(review(at-500*time.Millisecond), onTime)
	j = w.pool.jobs["first"]
	is.True(w.pool.forecastOf(j, 0.2, w.now+5*time.Second).takes < 300*time.Millisecond)
}

func TestAdmit(t *testing.T) {
	const longEnough = 1900 * time.Millisecond
	admit := func(name string, rejected bool, waiting int, length time.Duration, change func(*harness, *jayspec.Job), arriving ...Arriving) {
		t.Run(name, func(t *testing.T) {
			w := newOutlookHarness(t, waiting, 1, length, arriving...)
			job := newSpec("new", 1, tasks(4, 1000, 100))
			if change != nil {
				change(w, job)
			}
			is.New(t).Equal(w.pool.Admit(job, w.now).Rejected, rejected)
		})
	}
	admit("a hopeless job", true, 12, longEnough, nil)
	admit("a job that ends late and is of use", false, 7, longEnough, nil)
	admit("while hosts may still arrive", false, 12, 1500*time.Millisecond, nil)
	admit("while hosts on their way are there in time", false, 12, longEnough, nil, Arriving{CapacityMilli: 8000, In: time.Second})
	admit("a more urgent job", false, 12, longEnough, func(_ *harness, j *jayspec.Job) { j.Policy.Priority = -1 })
	admit("a shorter job that is served first", false, 12, longEnough, func(_ *harness, j *jayspec.Job) {
		j.Steps[0].Estimate, j.Policy.Objective = 10*time.Millisecond, 500*time.Millisecond
	})
	admit("a long-running job", false, 12, longEnough, func(_ *harness, j *jayspec.Job) { longRunning(&j.Steps[0]) })
	admit("a scheduled job", false, 12, longEnough, func(_ *harness, j *jayspec.Job) { j.Schedule.Occurrences = 1 })
	admit("a queue with unknown durations", false, 12, longEnough, func(_ *harness, j *jayspec.Job) { j.Queue = "other" })
	admit("a stored job", false, 12, longEnough, func(_ *harness, j *jayspec.Job) { j.ID = "old3" })
	// Guards against "not run" for a job that the append of another request stores.
	admit("a repeated request in flight", false, 12, longEnough, func(w *harness, j *jayspec.Job) { w.pool.Expect(j, w.now) })
	// Guards against the same when one of two admitted requests failed and the append of the other
	// has no answer yet.
	admit("a job that may be stored", false, 12, longEnough, func(w *harness, j *jayspec.Job) {
		w.pool.outlook.beganAt = w.now
		w.pool.Admit(j, w.now)
		w.pool.Admit(j, w.now+unansweredTTL/2)
		w.pool.AppendEnded(j.ID)
		w.pool.outlook.beganAt = 0
		w.now += unansweredTTL - time.Second
		w.passWithFleet(2 * time.Second)
	})
	// Guards against rejections by an owner that does not know the pool's jobs and workers yet: the
	// places were lost with the former owner.
	admit("a new owner", false, 12, longEnough, func(w *harness, _ *jayspec.Job) { w.pool.outlook.beganAt = w.now - newOwnerTime/2 })
	admit("no word of the fleet's owner", false, 12, longEnough, func(w *harness, _ *jayspec.Job) { w.pass(outlookTTL + time.Millisecond) })
}

func TestRejectedJobsReturnInOrder(t *testing.T) {
	// Guards against rejected jobs that return all at once, and against newcomers that take the
	// capacity that was promised to them.
	is := is.New(t)
	w := newOutlookHarness(t, 12, 1, 2*time.Second)
	four := tasks(4, 1000, 100)
	retryAfter := func(id string) time.Duration { return w.pool.Admit(newSpec(id, 1, four), w.now).RetryAfter }
	first := retryAfter("a")
	is.Equal(first, 12*time.Second)
	is.Equal(retryAfter("b"), 13*time.Second)
	is.Equal(retryAfter("a"), first) // it came at once
	is.Equal(w.pool.Places(), 2)
	w.passWithFleet(first - 4*time.Second)
	w.pool.outlook.waiting, w.pool.outlook.waitingMilli = map[int]*waitingWork{}, 0
	w.pool.outlook.waiting[0] = &waitingWork{}
	w.pool.outlook.waiting[0].byStatus[onTime].add(w.now, 4000*7.9)
	is.True(retryAfter("newcomer") > 0) // the promised work counts
	w.now += 4 * time.Second
	w.pool.outlook.arrivingAt, w.pool.outlook.reviewedAt = w.now, w.now
	is.Equal(retryAfter("a"), time.Duration(0))
	is.Equal(w.pool.Places(), 2)
	// Guards against a place that outlives its job: another entry stored it meanwhile.
	w.pool.Restore(newSpec("b", 1, four), nil, w.now)
	is.Equal(w.pool.Places(), 1)
}

// arrive lets jobs of a second arrive for a time, and returns how many of them were rejected.
func (w *harness) arrive(every, d time.Duration) (rejected int) {
	for until := w.now + d; w.now < until; w.passWithFleet(every) {
		job := newSpec(fmt.Sprint("arriving", w.now), 1, tasks(4, 1000, 100))
		if w.pool.Admit(job, w.now).Rejected {
			rejected++
			continue
		}
		declare(w, job)
	}
	return rejected
}

func TestLateJobIsRejectedForArrivingWork(t *testing.T) {
	// Guards against late jobs that are accepted by the work that waits when they arrive, and are
	// overtaken by every later job for as long as the overload lasts.
	job := newSpec("new", 1, tasks(4, 1000, 100))
	admit := func(name string, rejected bool, change func(*Pool)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newOutlookHarness(t, 4, 1, 300*time.Millisecond)
			w.arrive(100*time.Millisecond, 2*time.Second)
			o := w.pool.outlook
			o.beganAt -= time.Minute // the overload lasts since lastRoomAt
			o.places = jayreturn.New()
			c := &waitingWork{}
			c.byStatus[onTime].add(w.now, 4000*4)
			c.byStatus[onTime].add(w.now+time.Hour, 4000*2) // served before a late job too
			o.waiting[0] = c
			change(w.pool)
			admission := w.pool.Admit(job, w.now)
			is.Equal(admission.Rejected, rejected)
			if !rejected {
				return
			}
			is.Equal(admission.RetryAfter, 9*time.Second) // 2.3 s of overload, then 6 s of waiting work
			w.passWithFleet(admission.RetryAfter)
			c = &waitingWork{}
			c.byStatus[onTime].add(w.now, 4000*7.9)
			o.waiting[0] = c
			is.True(w.pool.Admit(newSpec("newcomer", 1, tasks(4, 1000, 100)), w.now).Rejected)
			is.True(!w.pool.Admit(job, w.now).Rejected) // it returns in its turn
		})
	}
	admit("while it arrives", true, func(*Pool) {})
	admit("not by a new owner, which knows no arrivals", false, func(p *Pool) { p.offeredWork = offeredWork{} })
	admit("not with too few arrivals for a rate", false, func(p *Pool) { p.offeredWork.arrivals = p.offeredWork.arrivals[:rateJobs-1] })
	admit("not for less urgent arrivals", false, func(p *Pool) {
		for n := range p.offeredWork.arrivals {
			p.offeredWork.arrivals[n].priority = 1
		}
	})
	admit("not where jobs are served by target", false, func(p *Pool) { p.outlook.queues["q"].predictable = false })
	admit("where all queues are served by status", true, func(p *Pool) {
		p.outlook.queues["q"].predictable, p.outlook.overloaded = false, true
	})
}

func TestLongOverloadIsKnownInUnpredictableQueues(t *testing.T) {
	// Guards against an outlook that ignores the order by status in queues that are predicted badly.
	w := newOutlookHarness(t, 30, 3, 300*time.Millisecond)
	w.arrive(100*time.Millisecond, 5*time.Second)
	is.New(t).True(w.pool.overload("q", 0, w.now).Remaining > 0)
}

func TestShortOverloadRejectsNothing(t *testing.T) {
	// Guards against rejections for a burst whose hosts are still on their way.
	w := newOutlookHarness(t, 0, 1, 300*time.Millisecond)
	is.New(t).Equal(w.arrive(50*time.Millisecond, w.pool.settings.MoveTime), 0)
}

// BenchmarkReview measures a review of 20,000 waiting jobs while the pool is overloaded, with the
// part off and on, and a decision on an arriving job, also while work arrives and 20,000 places are
// taken.
func BenchmarkReview(b *testing.B) {
	job := newSpec("new", 2)
	job.Policy.Objective = 10 * time.Second
	for _, name := range []string{"off", "on", "admission", "overtaken"} {
		b.Run(name, func(b *testing.B) {
			r := newBurst(200)
			r.pool.settings.RejectHopeless, r.pool.lackedRoom = name != "off", true
			learn(r.pool, 1.2)
			for n := range 20_000 {
				j := newSpec(fmt.Sprintf("%016x", n), 2, tasks(8, 4000, 23000))
				j.Policy.Objective += time.Duration(n) * time.Millisecond / 4
				r.pool.Declare(j, r.now)
			}
			review := func() {
				r.now += reviewInterval
				r.pool.SetArriving([]Arriving{{CapacityMilli: 640_000, In: time.Second}}, r.now)
				r.pool.reviewDeadlines(r.now)
			}
			for range 20 {
				review()
			}
			admit := func(n int) {
				job.ID = fmt.Sprint(n)
				if !r.pool.Admit(job, r.now).Rejected {
					b.Fatal("accepted")
				}
				r.pool.TakeEvents()
			}
			first := 0
			for ; name == "overtaken" && first < 20_000; first++ {
				r.pool.addArrival(job, time.Second, r.now)
				admit(first)
			}
			for n := first; b.Loop(); n++ {
				if name == "off" || name == "on" {
					review()
					continue
				}
				admit(n)
			}
		})
	}
}

// TestWorkThatFitsNoWorkerRejectsNoOther guards against jobs that are rejected beside free workers: a few others, whose
// tasks are larger than any worker, counted as waiting work.
func TestWorkThatFitsNoWorkerRejectsNoOther(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 4)
	w.pool.settings.RejectHopeless = true
	learn(w.pool, 1)
	for n := range 8 {
		declare(w, newSpec(fmt.Sprint("large", n), 1, tasks(1000, 500, 5000)))
	}
	w.passWithFleet(5 * time.Second)
	is.True(!w.pool.LacksRoom())
	is.True(!w.pool.Admit(newSpec("sound", 1), w.now).Rejected)
	declare(w, newSpec("sound", 1))
	w.passWithFleet(time.Second)
	is.True(w.pool.jobs["sound"].started)
	is.Equal(w.pool.jobs["sound"].deadlineStatus, onTime)
}
