package jaysched

import (
	"slices"
	"time"
)

// heldBackInterval is the least time between two reviews of whether starts are held back. With a
// long queue a review costs as much as a decision, and an owner whose starts are held back may
// lack processors.
const heldBackInterval = 100 * time.Millisecond

// StartsHeldBack reports whether in the latest review a task had room on a worker and waited only
// because of the limit of starts in flight.
func (p *Pool) StartsHeldBack() bool {
	return p.heldBack
}

// reviewHeldBack records whether the limit of starts holds tasks back, once all starts that it
// allows have been decided on.
func (p *Pool) reviewHeldBack(formerRuns bool, now time.Duration) {
	if p.startsLeft > 0 || p.OwnerUnconfirmed() {
		p.heldBack = false
		return
	}
	if now < p.heldBackAt+heldBackInterval {
		return
	}
	p.heldBackAt = now
	p.heldBack = slices.ContainsFunc(p.open, func(j *job) bool { return p.couldStart(j, formerRuns, now) })
}

// couldStart reports whether any task of a job could start now if there were no limit of starts.
func (p *Pool) couldStart(j *job, formerRuns bool, now time.Duration) bool {
	if j.waiting == 0 || j.foundInStore && p.hasUnprocessedRuns(j) {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting > 0 && s.ready(now) && p.stepCouldStart(s, formerRuns, now) {
				return true
			}
		}
	}
	return false
}

// stepCouldStart reports whether any task of a step could start now if there were no limit of
// starts. The first task that waits and is not isolated stands for the later ones: if it has no
// room, this is noted for the steps that need as much or more. Gangs do not count: whether all
// members find room is known only once they are placed.
func (p *Pool) stepCouldStart(s *step, formerRuns bool, now time.Duration) bool {
	if s.decl.Gang || p.smallerNeedUnmet(s) && !p.slowWorkerSuits(s, now) || !p.withinQuota(s, 1) {
		return false
	}
	could := false
	s.waitingTask(func(t *task) (decided bool) {
		if !p.mayStart(t, formerRuns, now) {
			return false
		}
		could = slices.ContainsFunc(p.sorted, func(w *worker) bool { return p.allows(w, t, now) })
		if !could && t.isolation() <= watched {
			p.noteNoRoom(s)
			return true
		}
		return could
	})
	return could
}
