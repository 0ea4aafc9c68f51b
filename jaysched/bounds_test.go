package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// The tests of this file check each time and share that decisions depend on, as literal
// numbers: with the constant's name, the test would change together with the constant.

// changesAt checks that a condition changes at a time: it differs shortly before and shortly
// after.
func changesAt(t *testing.T, name string, until time.Duration, so func(after time.Duration) bool) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		slack := until / 10
		before, after := so(until-slack), so(until+slack)
		if before == after {
			t.Errorf("%v at %v and at %v", before, until-slack, until+slack)
		}
	})
}

// decideUnanswered lets time pass without any answer and returns all actions.
func (w *harness) decideUnanswered(d time.Duration) (actions []Action) {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		actions = append(actions, w.pool.Decide(w.now)...)
	}
	return actions
}

// count counts the actions of a type.
func count[A Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

func TestBoundsOfOrders(t *testing.T) {
	changesAt(t, "a start without an answer is sent again after 0.1 s", 100*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.lose = func(a Action) bool { _, start := a.(StartRun); return start }
		declare(w, newSpec("j", 1, tasks(1, 1000, 100)))
		w.decideUnanswered(after)
		return w.starts("j.0.0.0") == 1 && w.pool.workers["w0"].inOrder[0].attempt == 1
	})
	changesAt(t, "a start whose outcome was not reported is sent again after 5.1 s", 5100*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.Declare(newSpec("j", 1, tasks(1, 1000, 100)), w.now)
		return count[StartRun](w.decideUnanswered(after)) == 1
	})
	changesAt(t, "a refused task is started again after 20 ms", 20*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.Declare(newSpec("j", 1, tasks(1, 1000, 100)), w.now)
		start := w.pool.Decide(w.now)[0].(StartRun)
		w.pool.StartAnswered(refOf("w0"), start.Order.Run, w.now, &jayport.RefusedError{Reason: jayport.RefusedNoRoom}, w.now)
		return count[StartRun](w.decideUnanswered(after)) == 0
	})
	changesAt(t, "a failed task is started again after 10 ms", 10*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1, tasks(1, 1000, 100)))
		f := w.workers["w0"]
		f.end(w.pool.workers["w0"].inOrder[0].ref(), jayport.EndedFailed)
		w.pool.Reported(refOf("w0"), f.report(w.now), w.now, w.now)
		return count[StartRun](w.decideUnanswered(after)) == 0
	})
}

func TestRunNumbersRiseWithEachOwner(t *testing.T) {
	// A worker refuses a run whose number is not above that of a run that ended there. An owner
	// does not know all runs of the former owners, so its own numbers begin above theirs.
	for term, first := range map[int64]int64{1: 1, 2: 10_001, 7: 60_001} {
		t.Run(fmt.Sprint("owner ", term), func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 1, WithFence(9, term))
			is.Equal(w.pool.nextRun(0), first)
			is.Equal(w.pool.nextRun(first+4), first+5)
		})
	}
}

func TestLeasesAllowForSlowClocks(t *testing.T) {
	// A worker's clock may be two percent slow: a lease of ten seconds may last 10.2.
	is := is.New(t)
	w := newWorker(jayport.Worker{ID: "w"}, 0)
	w.recordClock(time.Hour, time.Minute)
	is.Equal(w.leaseUntil(time.Minute, 10*time.Second), time.Hour+10*time.Second)
	is.True(w.leaseBound >= time.Minute+10200*time.Millisecond)
	is.True(w.leaseBound <= time.Minute+10250*time.Millisecond)
}

func TestBoundsOfReports(t *testing.T) {
	t.Run("an idle worker may delay its report by a second", func(t *testing.T) {
		is.New(t).Equal(newHarness(t, 1).pool.workers["w0"].reportWait(), time.Second)
	})
	t.Run("a worker whose runs end soon may delay its report by 0.4 s", func(t *testing.T) {
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		is.New(t).Equal(w.pool.workers["w0"].reportWait(), 400*time.Millisecond)
	})
	// pause returns the delay until the pool asks the worker again after an event.
	pause := func(happened func(w *harness)) time.Duration {
		w := newHarness(t, 1)
		declare(w, newSpec("j", 1))
		happened(w)
		return w.pool.workers["w0"].askAt - w.now
	}
	t.Run("a worker with ends that are not recorded is asked again after 0.1 s", func(t *testing.T) {
		is.New(t).Equal(pause(func(w *harness) {
			f := w.workers["w0"]
			f.end(w.pool.workers["w0"].inOrder[0].ref(), jayport.EndedDone)
			w.pool.Reported(refOf("w0"), f.report(w.now), w.now, w.now)
		}), 100*time.Millisecond)
	})
	t.Run("a silent worker is asked again after 0.2 s", func(t *testing.T) {
		is.New(t).Equal(pause(func(w *harness) {
			w.pool.ReportFailed(refOf("w0"), w.now)
			w.pool.ReportFailed(refOf("w0"), w.now)
		}), 200*time.Millisecond)
	})
	changesAt(t, "the end of a task waits up to 40 ms to be recorded with others", 40*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.batchRecordedAt = w.now
		return w.pool.Recordable(w.now + after)
	})
}

func TestBoundsOfWorkers(t *testing.T) {
	changesAt(t, "an incarnation that has ended is not taken for a new worker for 6 s", 6*time.Second, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.Ended(refOf("w0"), "test", w.now)
		w.now += after
		w.list()
		return w.pool.workers["w0"] != nil
	})
	changesAt(t, "an order to vacate holds for 2 s", 2*time.Second, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.SetVacating([]Vacate{{Worker: "w0"}}, w.now)
		w.pool.vacate(w.now + after)
		return w.pool.workers["w0"].closed
	})
	changesAt(t, "a worker that fails is avoided for 1 s at first", time.Second, func(after time.Duration) bool {
		return failing(2).avoided(after)
	})
	changesAt(t, "a worker that fails is avoided for at most 8 s", 8*time.Second, func(after time.Duration) bool {
		return failing(12).avoided(after)
	})
	changesAt(t, "an unhealthy worker is avoided for 0.5 s", 500*time.Millisecond, func(after time.Duration) bool {
		var h health
		h.recordRefusal(jayport.RefusedUnhealthy, 0)
		return h.refuses(after)
	})
	t.Run("a worker is not avoided after one failure", func(t *testing.T) {
		is.New(t).True(!failing(1).avoided(1) && !failing(1).onTrial())
	})
	changesAt(t, "unknown jobs are remembered for a minute", time.Minute, func(after time.Duration) bool {
		w := newHarness(t, 1)
		w.pool.JobsKnown(w.now)
		w.pool.mayBecomeKnown(w.pool.workers["w0"], jayport.RunRef{Task: jayport.TaskID{Job: "x"}}, w.now)
		w.pool.JobsKnown(w.now + after)
		return len(w.pool.unknownJobs.seenAt) > 0
	})
}

// failing returns the health of a worker on which runs of as many different steps failed in a
// row.
func failing(times int) *health {
	h := &health{}
	for n := range times {
		h.recordFailure(jayport.StepID{Job: fmt.Sprint(n)}, false, 0)
	}
	return h
}

func TestBoundsOfMigration(t *testing.T) {
	// mayMigrate returns whether a run with an expected remaining time migrates, in a job with
	// a slack beyond that.
	mayMigrate := func(left, slack time.Duration) bool {
		w := newHarness(t, 2)
		spec := newSpec("j", 1, tasks(1, 1000, 100), func(s *jayspec.Step) { s.Checkpoint, s.Estimate = true, left })
		spec.Policy.Stretch, spec.Policy.Objective = 1, slack
		declare(w, spec)
		return w.pool.mayMigrate(w.pool.workers["w0"].inOrder[0], w.pool.jobs["j"].submittedAt)
	}
	changesAt(t, "a run that ends within 0.9 s stays", 900*time.Millisecond, func(left time.Duration) bool {
		return mayMigrate(left, time.Minute)
	})
	changesAt(t, "a run whose job has less than 1.5 s of slack stays", 1500*time.Millisecond, func(slack time.Duration) bool {
		return mayMigrate(2*time.Second, slack)
	})
	t.Run("a run that migrates leaves its worker in 0.25 s", func(t *testing.T) {
		w := newHarness(t, 2)
		spec := newSpec("j", 1, tasks(1, 1000, 100), func(s *jayspec.Step) { s.Checkpoint, s.Estimate = true, 5*time.Second })
		spec.Policy.Objective = time.Minute
		declare(w, spec)
		is.New(t).Equal(w.pool.timeToEmpty(w.pool.workers["w0"].inOrder[0], w.now), 250*time.Millisecond)
	})
	changesAt(t, "a new owner stops nothing for 0.8 s after a worker's first report", 800*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1, WithFence(9, 2))
		declare(w, newSpec("j", 1, longRunning))
		worker := w.pool.workers["w0"]
		return w.pool.formerStopsEnded(worker.inOrder[0].task.step, worker.firstReportAt+after)
	})
}

func TestBoundsOfForecasts(t *testing.T) {
	t.Run("growth is measured over 0.8 s", func(t *testing.T) {
		is := is.New(t)
		grown := func(first time.Duration) int64 {
			var g trend
			g.growth(0, time.Second, first)
			g.growth(1000, time.Second, 800*time.Millisecond)
			g.growth(1000, time.Second, 900*time.Millisecond)
			return g.growth(1000, time.Second, time.Second)
		}
		is.Equal(grown(190*time.Millisecond), int64(0)) // the first sample is outside the window
		is.True(grown(210*time.Millisecond) > 0)
		is.Equal(grown(500*time.Millisecond) > 0, true)
	})
	t.Run("a slope needs three samples", func(t *testing.T) {
		is := is.New(t)
		var g trend
		g.growth(0, time.Second, 0)
		is.Equal(g.growth(1000, time.Second, 100*time.Millisecond), int64(0))
		is.True(g.growth(2000, time.Second, 200*time.Millisecond) > 0)
	})
	t.Run("the rate is that of the last twelve jobs", func(t *testing.T) {
		var o offeredWork
		now := 10 * time.Second
		for n := 19; n >= 0; n-- {
			work := 1.0
			if n < 7 {
				work = 10
			}
			o.add(arrival{at: now - time.Duration(n)*100*time.Millisecond, work: work, chain: time.Second})
		}
		rate, _ := o.rate(now)
		is.New(t).True(rate > 60 && rate < 65) // seven jobs of work ten and five of work one in 1.2 s
	})
	t.Run("the rate is taken over half a second at least", func(t *testing.T) {
		var o offeredWork
		for range 20 {
			o.add(arrival{at: time.Minute, work: 1, chain: time.Second})
		}
		rate, _ := o.rate(time.Minute)
		is.New(t).Equal(rate, 40.0)
	})
	changesAt(t, "the rate is taken over two seconds at most", 2*time.Second, func(after time.Duration) bool {
		var o offeredWork
		o.add(arrival{at: time.Minute, work: 1, chain: time.Second})
		rate, _ := o.rate(time.Minute + after)
		return rate > 0
	})
	changesAt(t, "a job that is about to be stored is remembered for 5 s", 5*time.Second, func(after time.Duration) bool {
		w := newHarness(t, 0)
		w.pool.Expect(newSpec("j", 1), w.now)
		w.pool.Expect(newSpec("other", 1), w.now+after)
		_, expected := w.pool.expected["j"]
		return expected
	})
	t.Run("a declared estimate counts for five observations", func(t *testing.T) {
		// Tasks take twice as long as declared: after five of them the prediction is halfway,
		// on the logarithmic scale.
		is := is.New(t)
		w := newHarness(t, 0)
		declare(w, newSpec("j", 1))
		s := w.pool.jobs["j"].occurrences[0].steps[0]
		for range 5 {
			w.pool.durations.observe(s, 2*time.Second)
		}
		learned := w.pool.durations.predict("q", time.Second)
		is.True(learned > 1380*time.Millisecond && learned < 1450*time.Millisecond)
	})
	t.Run("durations below 10 ms count as 10 ms", func(t *testing.T) {
		is := is.New(t)
		is.Equal(logSeconds(5*time.Millisecond), logSeconds(10*time.Millisecond))
		is.True(logSeconds(11*time.Millisecond) > logSeconds(10*time.Millisecond))
	})
}

func TestBoundsOfOverload(t *testing.T) {
	changesAt(t, "a pool is overloaded after 4.25 s without room", 4250*time.Millisecond, func(length time.Duration) bool {
		return newOverloadedHarness(t, 12, length).pool.jobs["new"].started
	})
	t.Run("deadline status is reviewed ten times a second", func(t *testing.T) {
		w := newHarness(t, 1)
		w.pool.deadlineReviewAt = 0
		w.pool.reviewDeadlines(w.now)
		is.New(t).Equal(w.pool.deadlineReviewAt-w.now, 100*time.Millisecond)
	})
	changesAt(t, "a late job is of use up to three times its allowed time", 9*time.Second-time.Second, func(after time.Duration) bool {
		w := newHarness(t, 0)
		declare(w, newSpec("j", 1))
		return w.pool.deadlineStatusOf(w.pool.jobs["j"], w.now+after) == expired
	})
	changesAt(t, "a worker is reserved for a long-running task after 1.7 s", 1700*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1)
		declare(w, newSpec("short", 1, tasks(4, 1000, 100)))
		declare(w, newSpec("service", 1, longRunning, tasks(1, 1000, 800)))
		w.decideUnanswered(after)
		return w.pool.workers["w0"].reservedFor != nil
	})
}

func TestBoundsOfTimeouts(t *testing.T) {
	// timeouts returns the timeouts of orders and reports when each answer takes the given
	// time.
	timeouts := func(took time.Duration) (order, report time.Duration) {
		l := NewLatency()
		for range 200 {
			l.Answered(took, false)
		}
		return l.OrderTimeout().Round(time.Millisecond), l.ReportTimeout().Round(time.Millisecond)
	}
	timeout := func(took, order, report time.Duration) {
		t.Run(took.String(), func(t *testing.T) {
			is := is.New(t)
			gotOrder, gotReport := timeouts(took)
			is.Equal(gotOrder, order)
			is.Equal(gotReport, report)
		})
	}
	timeout(time.Millisecond, 150*time.Millisecond, 250*time.Millisecond)
	timeout(10*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond)
	timeout(50*time.Millisecond, 400*time.Millisecond, 700*time.Millisecond)
	timeout(300*time.Millisecond, 1200*time.Millisecond, 1200*time.Millisecond)
	timeout(time.Second, 1600*time.Millisecond, 1600*time.Millisecond)
	t.Run("requests for a first report", func(t *testing.T) {
		// Guards against a new owner that gets no report of hundreds of workers for ten seconds,
		// since it gives up each answer before it can arrive.
		is := is.New(t)
		l := NewLatency()
		is.Equal(l.RenewalTimeout(0), l.ReportTimeout())
		is.Equal(l.RenewalTimeout(1), 2*l.ReportTimeout())
		is.Equal(l.RenewalTimeout(30), maxCongestedTimeout)
	})
	t.Run("the mean follows an eighth of each difference", func(t *testing.T) {
		l := NewLatency()
		l.Answered(80*time.Millisecond, false)
		is.New(t).Equal(l.OrderTimeout(), 300*time.Millisecond)
	})
	t.Run("each slow answer reduces the starts in flight by a twentieth", func(t *testing.T) {
		l := NewLatency()
		l.Sent()
		l.Answered(time.Second, false)
		is.New(t).Equal(l.Starts(), 243) // of 256
	})
}

func TestBoundsOfAdvice(t *testing.T) {
	// named checks how many workers the first request names.
	named := func(name string, workers, waiting, expected int) {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, workers)
			spec := newSpec("j", 1, tasks(waiting, 1000, 100))
			spec.Policy.Advised = true
			declare(w, spec)
			ask, _ := w.lastAsked()
			is.New(t).Equal(len(ask.Workers), expected)
		})
	}
	named("four workers at least", 40, 1, 4)
	named("two for each task", 40, 9, 18)
	named("thirty at most", 40, 30, 30)
	changesAt(t, "a failed request is repeated after 0.1 s", 100*time.Millisecond, func(after time.Duration) bool {
		w := newAdvisedHarness(t)
		ask, _ := w.lastAsked()
		w.pool.AdviceAnswered(ask, jayport.Advice{}, errLost, w.now, w.now)
		return count[AskAdvice](w.decideUnanswered(after)) == 0
	})
	changesAt(t, "a ticket is not used in its last 0.15 s", 150*time.Millisecond, func(left time.Duration) bool {
		w := newAdvisedHarness(t)
		w.advise(10*time.Second, "w0")
		s := w.pool.jobs["j"].occurrences[0].steps[0]
		_, ok := s.ticketFor("w0", s.advice.tickets["w0"].until-left)
		return ok
	})
}

func TestBoundsOfThrottle(t *testing.T) {
	t.Run("best-effort runs are slowed to two fifths, to a sixth, and are suspended below a tenth", func(t *testing.T) {
		is := is.New(t)
		var p throttle
		for _, slowed := range []int{60, 84, 100} {
			p.slowDown(0)
			is.Equal(p.slowed, slowed)
		}
	})
	t.Run("they are sped up by a quarter of full speed", func(t *testing.T) {
		p := throttle{slowed: 100}
		p.speedUp(0)
		is.New(t).Equal(p.slowed, 75)
	})
	changesAt(t, "a suspension without effect ends after 3 s", 3*time.Second, func(after time.Duration) bool {
		p := throttle{slowed: 100}
		p.slowDown(after)
		return p.slowed == 0
	})
	t.Run("no throttling follows for 10 s", func(t *testing.T) {
		p := throttle{slowed: 100}
		p.slowDown(time.Minute)
		is.New(t).Equal(p.at, 70*time.Second)
	})
}

func TestBoundsOfConfirmationAndEstimates(t *testing.T) {
	changesAt(t, "a failed request for confirmation is repeated after 0.2 s", 200*time.Millisecond, func(after time.Duration) bool {
		w := newHarness(t, 1, WithReplaceableOwner(0, time.Second))
		w.decideUnanswered(10 * time.Millisecond)
		w.pool.OwnerConfirmed(w.now, errLost, w.now)
		return count[ConfirmOwner](w.decideUnanswered(after)) == 0
	})
	t.Run("declared estimates are assumed to vary by half", func(t *testing.T) {
		// Tasks that are declared to take one and four seconds all take two: after ten of each,
		// nearly nine tenths of the difference are gone, on the logarithmic scale.
		is := is.New(t)
		w := newHarness(t, 0)
		short, long := newSpec("short", 1), newSpec("long", 1, func(s *jayspec.Step) { s.Estimate = 4 * time.Second })
		declare(w, short)
		declare(w, long)
		for range 10 {
			for _, id := range []string{"short", "long"} {
				w.pool.durations.observe(w.pool.jobs[id].occurrences[0].steps[0], 2*time.Second)
			}
		}
		ratio := w.pool.durations.predict("q", 4*time.Second).Seconds() / w.pool.durations.predict("q", time.Second).Seconds()
		is.True(ratio > 1.15 && ratio < 1.22)
	})
}
