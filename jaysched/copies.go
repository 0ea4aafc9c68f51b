package jaysched

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// copyInterval is the time between two searches for straggling tasks.
	copyInterval = 100 * time.Millisecond
	// copyRatio is the ratio of elapsed to predicted time from which a task is a straggler: a
	// task that has taken twice as long as predicted is expected to take as long again.
	copyRatio = 2
	// maxRunsOfTask is the maximum number of runs of a task, the copy included.
	maxRunsOfTask = 2
	// minWinShare is the share of the recent copies of tasks on sound workers that must have ended
	// first before several such copies may run at a time: where tasks last long by themselves, a
	// copy only takes room. Below that share one copy runs at a time, and copyTrialInterval passes
	// between the starts of two copies.
	minWinShare       = 0.2
	copyTrialInterval = time.Second
	// winDecay is the factor by which earlier copies count for less with each new one, so that
	// a change is noticed within some tens of copies.
	winDecay = 0.95
)

// copies are the copies in a pool, and how the recent ones ended.
type copies struct {
	searchAt time.Duration
	// trialAt is when the next copy may start while they are not worthwhile.
	trialAt time.Duration
	// won and lost count the recent copies of tasks on workers that are not known as slow.
	won, lost float64
}

// worthwhile reports whether copies of tasks on sound workers end first often enough.
func (c *copies) worthwhile() bool {
	return c.won >= minWinShare*(c.won+c.lost+1)
}

// ended counts a copy that has ended: won is one if the copy ended first, and zero if not.
func (c *copies) ended(won float64) {
	c.won, c.lost = c.won*winDecay+won, c.lost*winDecay+1-won
}

// startCopies starts copies of straggling tasks of speculative steps.
//
// It handles this load: a step waits for its last task, which lasts much longer than the others
// by its worker or by chance. The copies use only capacity that no waiting task needs, within
// a share of the pool's capacity, so that they delay no other job.
func (p *Pool) startCopies(now time.Duration) {
	if p.settings.CopyShare <= 0 || now < p.copies.searchAt || p.startsLeft <= 0 || p.OwnerUnconfirmed() || p.formerRunsPossible(now) {
		return
	}
	p.copies.searchAt = now + copyInterval
	if p.lackedRoom {
		p.stopCopies(now)
		return
	}
	capacity, used, trials := 0.0, 0.0, 0
	var stragglers []*run
	for _, w := range p.sorted {
		if w.usable() {
			capacity += w.worth(w.Capacity.ProcessorsMilli)
		}
		for _, r := range w.inOrder {
			if r.copied {
				used += float64(r.need.ProcessorsMilli)
				if !r.copyOfSlow {
					trials++
				}
			}
			if p.straggles(r, now) {
				stragglers = append(stragglers, r)
			}
		}
	}
	slices.SortStableFunc(stragglers, func(a, b *run) int { return cmp.Compare(a.task.step.job.target, b.task.step.job.target) })
	for _, r := range stragglers {
		need := float64(r.need.ProcessorsMilli)
		if p.startsLeft <= 0 {
			return
		}
		if used+need > p.settings.CopyShare*capacity || !p.quotaAllows(r.task.step, 1) {
			continue
		}
		if !r.worker.pace.slow && !p.copies.worthwhile() && (trials > 0 || now < p.copies.trialAt) {
			continue
		}
		if w := p.fasterWorker(r, now); w != nil {
			p.startCopy(r, w, now)
			used += need
			if !r.worker.pace.slow {
				trials++
				p.copies.trialAt = now + copyTrialInterval
			}
		}
	}
}

// stopCopies stops copies of tasks on sound workers while tasks wait for room: the other run of
// their task goes on.
func (p *Pool) stopCopies(now time.Duration) {
	for _, w := range p.sorted {
		for _, r := range w.inOrder {
			if r.copied && !r.copyOfSlow && r.phase == running && r.task.hasOtherRun(r) {
				p.recordEvent(Event{Kind: RunStopped, Worker: w.ID, Run: r.ref(), Detail: "a copy, and tasks wait for room"}, now)
				p.stop(r, "roomNeeded", now)
				p.copies.ended(0)
			}
		}
	}
}

// hasOtherRun reports whether another run of a task is running on a connected worker.
func (t *task) hasOtherRun(r *run) bool {
	return slices.ContainsFunc(t.runs, func(other *run) bool {
		return other != r && other.phase == running && other.worker.contact == connected
	})
}

// straggles reports whether the task of a run should get a copy.
func (p *Pool) straggles(r *run, now time.Duration) bool {
	t := r.task
	s := t.step
	if !s.decl.Speculative || s.decl.Gang || s.decl.Fills || s.decl.LongRunning || s.suspected || s.job.advised {
		return false
	}
	if r.phase != running || t.done || len(t.runs) >= maxRunsOfTask || r.worker.contact != connected || s.job.outcome != Open {
		return false
	}
	known, learned := p.speeds.byQueue[s.job.spec.Queue]
	if !learned || !known.Learned() || s.decl.Estimate <= 0 {
		return false
	}
	takes := p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	ran := r.worker.pace.reportedAt - r.confirmedAt
	if ran < copyRatio*takes && (!r.worker.pace.slow || p.remainingTime(r, now) < copyRatio*takes) {
		return false
	}
	return now+takes <= s.job.submittedAt+maxLateFactor*(s.job.target-s.job.submittedAt)
}

// startCopy starts a copy of a straggling task on another worker.
func (p *Pool) startCopy(r *run, w *worker, now time.Duration) {
	t := r.task
	number := p.nextRun(t.lastRun)
	p.start(t, w, number, now)
	copied := t.runs[len(t.runs)-1]
	copied.copied, copied.copyOfSlow = true, r.worker.pace.slow
	takes := p.durations.predict(t.step.job.spec.Queue, t.step.decl.Estimate)
	detail := fmt.Sprintf("run %d on %s has taken %v of a predicted %v", r.number, r.worker.ID, (now - r.confirmedAt).Round(time.Millisecond), takes.Round(time.Millisecond))
	p.recordEvent(Event{Kind: CopyStarted, Worker: w.ID, Run: copied.ref(), Detail: detail, Since: now - r.worker.pace.reportedAt}, now)
}

// adoptCopy marks the later run of a task with two runs, which a former owner started, as its
// copy.
func (p *Pool) adoptCopy(t *task) {
	if p.settings.CopyShare <= 0 || len(t.runs) < maxRunsOfTask {
		return
	}
	latest := slices.MaxFunc(t.runs, func(a, b *run) int { return cmp.Compare(a.number, b.number) })
	latest.copied = true
}

// copyEnded records whether the copy of a task that is done has won or lost. r is the run that
// ended first, or nil if it is not known. The caller stops the other run afterwards.
func (p *Pool) copyEnded(t *task, r *run, now time.Duration) {
	if r != nil && r.copied {
		if !r.copyOfSlow {
			p.copies.ended(1)
		}
		p.recordEvent(Event{Kind: CopyWon, Worker: r.worker.ID, Run: r.ref(), Waited: now - r.confirmedAt}, now)
		return
	}
	for _, other := range t.runs {
		if other.copied {
			if !other.copyOfSlow && other.phase != stopping && other.phase != stopped {
				p.copies.ended(0)
			}
			p.recordEvent(Event{Kind: CopyLost, Worker: other.worker.ID, Run: other.ref(), Waited: now - other.confirmedAt}, now)
		}
	}
}
