package jaysched

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// maxAdviceWorkers limits the workers in one request: the advisor takes longer for each
	// worker named, and requests are answered one at a time.
	maxAdviceWorkers = 30
	// adviceWorkersPerTask is how many workers are asked about for each waiting task: some of
	// them must not run the step.
	adviceWorkersPerTask = 2
	// minAdviceWorkers is the minimum number of workers asked about.
	minAdviceWorkers = 4
	// adviceRetryDelay is the delay before a failed request is repeated.
	adviceRetryDelay = 100 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used: a start takes some
	// milliseconds to arrive.
	ticketMargin = 150 * time.Millisecond
)

// AskAdvice asks the advisor which of some workers may run a step.
type AskAdvice struct {
	Step    jayport.StepID
	Workers []string
}

func (AskAdvice) isAction() {}

// advice is what the advisor has answered about a step. Its answer about a worker does not
// change, but its tickets expire.
type advice struct {
	tickets map[string]ticket
	// refused holds the workers that must not run the step.
	refused map[string]bool
	// tried counts the refused workers that had joined after triedAt, which is then set to the time
	// of their refusal. Before, triedAt is the time of the first refusal, or zero.
	tried   int
	triedAt time.Duration
	asking  bool
	askAt   time.Duration
}

// ticket is the advisor's permission for one worker.
type ticket struct {
	text  string
	until time.Duration
}

// ticketFor returns the ticket of a worker, or false if it has no valid one.
func (s *step) ticketFor(worker string, now time.Duration) (string, bool) {
	t, ok := s.advice.tickets[worker]
	return t.text, ok && now+ticketMargin < t.until
}

// requestAdvice asks about workers if those that may run the step lack room for all waiting
// tasks. It asks only about a few, those with the most free room. For tasks that may reserve a
// worker, what long-running tasks leave of it counts as its room.
func (p *Pool) requestAdvice(s *step, now time.Duration) {
	if s.advice.asking || now < s.advice.askAt {
		return
	}
	reserves := s.waitingTask(func(t *task) bool { return p.mayReserve(t, now) }) != nil
	missing := s.waiting
	var unknown []*worker
	for _, w := range p.sorted {
		room := w.free
		if reserves {
			room = w.roomBesideLongRuns()
		}
		if s.advice.refused[w.ID] || !room.Fits(needOf(s)) || p.obstacleBesidesAdvice(w, s, now) != noObstacle {
			continue
		}
		if _, ok := s.ticketFor(w.ID, now); ok {
			missing--
		} else {
			unknown = append(unknown, w)
		}
	}
	if missing <= 0 || len(unknown) == 0 {
		return
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(b.free.ProcessorsMilli, a.free.ProcessorsMilli) })
	count := min(len(unknown), maxAdviceWorkers, max(minAdviceWorkers, adviceWorkersPerTask*missing))
	ask := AskAdvice{Step: s.id}
	for _, w := range unknown[:count] {
		ask.Workers = append(ask.Workers, w.ID)
	}
	s.advice.asking = true
	p.actions = append(p.actions, ask)
}

// AdviceAnswered handles the answer to a request that was sent at the time asked. A failed
// request is repeated.
func (p *Pool) AdviceAnswered(a AskAdvice, got jayport.Advice, err error, asked, now time.Duration) {
	s := p.stepOf(a.Step)
	if s == nil {
		return
	}
	s.advice.asking = false
	if err != nil {
		s.advice.askAt = now + adviceRetryDelay
		return
	}
	for _, id := range a.Workers {
		if w, known := p.workers[id]; known && w.joinedAt > asked {
			// A ticket is valid only for the incarnation of the worker that it was issued for.
			continue
		}
		if text, good := got.Tickets[id]; good {
			s.advice.permit(id, ticket{text: text, until: asked + got.Valid})
		} else {
			s.advice.refuse(id, p.workers[id], now)
		}
	}
}

// permit records a worker's ticket.
func (a *advice) permit(id string, t ticket) {
	if a.tickets == nil {
		a.tickets = map[string]ticket{}
	}
	a.tickets[id] = t
}

// refuse records that a worker, which may have left, must not run the step.
func (a *advice) refuse(id string, w *worker, now time.Duration) {
	if a.refused == nil {
		a.refused = map[string]bool{}
	}
	a.refused[id] = true
	switch {
	case a.triedAt == 0:
		a.triedAt = now
	case w != nil && w.joinedAt > a.triedAt:
		// Workers that join together are one trial: most of them have joined for other tasks.
		a.tried++
		a.triedAt = now
	}
}

const (
	// maxTriedAtOnce is the number of additional workers that a step tries one after the other: as
	// many as the advisor is asked about at least.
	maxTriedAtOnce = minAdviceWorkers
	// maxTrialDoublings limits the delay between further trials to a thousand times the time in
	// which a host arrives: an advisor that refuses all workers must not draw ever more hosts into
	// the pool.
	maxTrialDoublings = 10
)

// seeksWorker reports whether the pool demands another worker for a step in place of those that
// the advisor has refused. After maxTriedAtOnce additional ones were refused too, it does so after
// delays that double, the first being the time in which a host arrives: until then the pool may give
// them back.
func (s *step) seeksWorker(delay, now time.Duration) bool {
	a := &s.advice
	if len(a.refused) == 0 {
		return false
	}
	more := a.tried - maxTriedAtOnce
	return more < 0 || now >= a.triedAt+delay<<min(more, maxTrialDoublings)
}

// mustNotRun reports whether a worker has no room for a step because the advisor has refused the
// worker. While the step seeks no other worker, the room of a refused one counts, so that the pool
// demands no host.
func (p *Pool) mustNotRun(w *worker, s *step, now time.Duration) bool {
	return s.advice.refused[w.ID] && s.seeksWorker(p.settings.MoveTime+reportDelay, now)
}

// forgetAdvice discards the advice about an incarnation of a worker that has ended.
func (p *Pool) forgetAdvice(w *worker) {
	for _, j := range p.open {
		if !j.advised {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				delete(s.advice.tickets, w.ID)
				delete(s.advice.refused, w.ID)
			}
		}
	}
}

// stepOf returns a step of an open job, or nil.
func (p *Pool) stepOf(id jayport.StepID) *step {
	j, known := p.jobs[id.Job]
	if !known {
		return nil
	}
	return j.stepOf(id)
}
