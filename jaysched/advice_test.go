package jaysched

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// newAdvisedHarness returns a harness with a job of two tasks in a queue with an advisor.
func newAdvisedHarness(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, 6)
	spec := newSpec("j", 1)
	spec.Policy.Advised = true
	declare(w, spec)
	return w
}

// lastAsked returns the newest request to the advisor and the number of requests.
func (w *harness) lastAsked() (ask AskAdvice, count int) {
	for _, a := range w.sent {
		if asked, ok := a.(AskAdvice); ok {
			ask, count = asked, count+1
		}
	}
	return ask, count
}

func (w *harness) advise(valid time.Duration, good ...string) {
	ask, _ := w.lastAsked()
	a := jayport.Advice{Tickets: map[string]string{}, Valid: valid}
	for _, id := range good {
		a.Tickets[id] = "ticket-" + id
	}
	w.pool.AdviceAnswered(ask, a, nil, w.now, w.now)
	w.run()
}

func (w *harness) startsWithTicket(ticket string) int {
	count := 0
	for _, a := range w.sent {
		if start, ok := a.(StartRun); ok && start.Order.Ticket == ticket {
			count++
		}
	}
	return count
}

func TestAdvisedStepsStartWithTickets(t *testing.T) {
	t.Run("only where the advisor allows", func(t *testing.T) {
		// Guards against jobs that never run because each start is refused for lack of a
		// ticket: the tasks of a queue with an advisor were started anywhere, without asking
		// the advisor.
		is := is.New(t)
		w := newAdvisedHarness(t)
		is.Equal(len(w.running()), 0)
		ask, count := w.lastAsked()
		is.Equal(count, 1)
		is.Equal(len(ask.Workers), 4) // a few, not all
		w.advise(3*time.Second, ask.Workers[2])
		is.Equal(len(w.running()), 2)
		is.Equal(w.startsWithTicket("ticket-"+ask.Workers[2]), 2)
	})
	t.Run("others are asked about if too few may run it", func(t *testing.T) {
		is := is.New(t)
		w := newAdvisedHarness(t)
		first, _ := w.lastAsked()
		w.advise(3 * time.Second)
		second, count := w.lastAsked()
		is.Equal(count, 2)
		is.Equal(len(second.Workers), 2) // the remaining workers
		for _, id := range second.Workers {
			for _, before := range first.Workers {
				is.True(id != before)
			}
		}
		w.advise(3*time.Second, second.Workers...)
		is.Equal(len(w.running()), 2)
	})
	t.Run("a ticket that has expired is not used", func(t *testing.T) {
		is := is.New(t)
		w := newAdvisedHarness(t)
		ask, _ := w.lastAsked()
		w.advise(100*time.Millisecond, ask.Workers...)
		is.Equal(len(w.running()), 0)
	})
	t.Run("an advisor that does not answer is asked again", func(t *testing.T) {
		is := is.New(t)
		w := newAdvisedHarness(t)
		ask, _ := w.lastAsked()
		w.pool.AdviceAnswered(ask, jayport.Advice{}, errors.New("lost"), w.now, w.now)
		w.pass(time.Second)
		_, count := w.lastAsked()
		is.Equal(count, 2)
	})
	t.Run("a refused ticket is requested again", func(t *testing.T) {
		is := is.New(t)
		w := newAdvisedHarness(t)
		ask, _ := w.lastAsked()
		w.lose = func(a Action) bool { _, start := a.(StartRun); return start }
		w.advise(3*time.Second, ask.Workers...)
		runs := w.pool.workers[ask.Workers[0]].inOrder
		is.True(len(runs) > 0)
		for _, r := range slices.Clone(runs) {
			w.pool.StartAnswered(refOf(r.worker.ID), r.ref(), w.now, &jayport.RefusedError{Reason: jayport.RefusedNoTicket}, w.now)
			_, ok := r.task.step.ticketFor(r.worker.ID, w.now)
			is.True(!ok)
		}
	})
}

func TestAdvisedStepAsksAboutWorkersThatItMayUse(t *testing.T) {
	// Guards against a task with room that waits without a bound: the only workers with a
	// ticket were ones that could not take it, and no other was asked about.
	start := func(t *testing.T, change func(*jayspec.Step)) *harness {
		t.Helper()
		w := newHarness(t, 6)
		spec := newSpec("j", 1, change)
		spec.Policy.Advised = true
		declare(w, spec)
		return w
	}
	t.Run("beside one task of the step for each worker", func(t *testing.T) {
		is := is.New(t)
		w := start(t, func(s *jayspec.Step) { s.MaxPerInstance = 1 })
		w.advise(time.Hour, "w0", "w1")
		is.Equal(len(w.running()), 2)
		w.pool.Ended(refOf("w1"), "test", w.now)
		delete(w.workers, "w1")
		w.run()
		w.advise(time.Hour, "w4")
		is.Equal(len(w.running()), 2)
	})
	t.Run("beside workers that failed their last runs", func(t *testing.T) {
		is := is.New(t)
		w := start(t, func(*jayspec.Step) {})
		for n := range avoidAfter {
			w.pool.workers["w0"].health.recordFailure(jayport.StepID{Step: n}, false, w.now)
			w.pool.workers["w1"].health.recordFailure(jayport.StepID{Step: n}, false, w.now)
		}
		w.advise(time.Hour, "w0", "w1")
		is.Equal(len(w.running()), 0)
		w.advise(time.Hour, "w4", "w5")
		is.Equal(len(w.running()), 2)
	})
	t.Run("in a pool that short tasks fill", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		declare(w, newSpec("short", 1, func(s *jayspec.Step) { s.Need.ProcessorsMilli = 2000 }))
		is.Equal(len(w.running()), 2)
		spec := newSpec("j", 1, longRunning)
		spec.Policy.Advised = true
		declare(w, spec)
		w.pass(w.pool.settings.MoveTime + reportDelay)
		w.advise(time.Hour, "w0")
		is.True(w.pool.workers["w0"].reservedFor != nil)
	})
}

// Guards against an advised task that waits although other workers have room: those with a ticket
// are avoided, and no others are asked about.
func TestOthersAreAskedAboutWhileWorkersWithATicketAreAvoided(t *testing.T) {
	is := is.New(t)
	w := newAdvisedHarness(t)
	first, _ := w.lastAsked()
	for _, id := range first.Workers {
		w.pool.workers[id].health.avoidUntil = w.now + maxAvoidTime
	}
	w.advise(maxAvoidTime, first.Workers...)
	w.reportFor(maxAvoidTime / 2)
	_, count := w.lastAsked()
	is.True(count > 1)
}
