package jaysched

import (
	"cmp"
	"slices"
	"time"
)

// place starts all tasks that can be started now, in the order of the queue.
func (p *Pool) place(now time.Duration) {
	formerRuns := p.formerRunsPossible(now)
	p.reviewFormerRuns(now)
	p.noRoom = p.noRoom[:0]
	p.lackedRoom = false
	p.updatePossibleUse(now)
	defer p.recordReachedQuotas(now)
	defer p.reportWaits(formerRuns, now) // may reach quotas
	defer p.reportHold(formerRuns, now)
	defer p.reviewHeldBack(formerRuns, now)
	p.reviewPlacements(formerRuns)
	p.updatePlacementWaits(now)
	p.clearReservations()
	p.updateBusyTimes(now)
	if p.OwnerUnconfirmed() {
		return
	}
	p.placeProbes(formerRuns, now)
	for _, j := range p.open {
		if p.startsLeft <= 0 {
			return
		}
		if j.waiting == 0 || j.foundInStore && p.hasUnprocessedRuns(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(now) {
					p.placeStep(s, formerRuns, now)
				}
			}
		}
	}
}

func (p *Pool) placeStep(s *step, formerRuns bool, now time.Duration) {
	if s.job.advised {
		p.requestAdvice(s, now)
	}
	if s.decl.RackLocal {
		s.rack = p.rackFor(s, now)
	}
	if s.decl.Gang {
		p.placeGang(s, formerRuns, now)
		return
	}
	noRoom := p.smallerNeedUnmet(s) && !p.slowWorkerSuits(s, now)
	p.lackedRoom = p.lackedRoom || noRoom && !p.fitsNoWorker(needOf(s))
	for n := 0; n < len(s.tasks) || !noRoom; n++ {
		if p.startsLeft <= 0 || noRoom && !s.suspected && !s.decl.LongRunning {
			return
		}
		untouched := n >= len(s.tasks)
		t := s.taskAt(n)
		if t == nil {
			return
		}
		if !t.waiting() || !p.mayStart(t, formerRuns, now) {
			if untouched {
				return // the later tasks do not differ from it
			}
			if s.decl.LongRunning && !noRoom && t.waiting() && p.mayKeepForWaiting(t, now) {
				noRoom = !p.keepPlace(t, now)
			}
			continue
		}
		if noRoom && !p.mayReserve(t, now) && p.placeOf(t) == nil {
			continue
		}
		if !p.quotaAllows(s, 1) {
			return
		}
		noRoom = !p.placeTask(t, now) || noRoom
	}
}

// mayStart reports whether a waiting task may start as far as its former runs and the owner are
// concerned. formerRuns says that a former owner may have started the restored tasks.
func (p *Pool) mayStart(t *task, formerRuns bool, now time.Duration) bool {
	if now < t.notBefore || p.heldForFormerOwner(t, formerRuns, now) {
		return false
	}
	if now < p.formerRuns.heldUntil && t.awaitsFormerTrial() && !t.trialsArePlaced() {
		return false
	}
	if t.step.job.unsettled() {
		return false
	}
	if t.mayRunUnreported && !p.right.Covers(p.formerRuns.overAt) {
		return false
	}
	return p.right.Covers(max(t.lostAt, t.step.job.ownerNeededAt))
}

// placeTask starts a task, or reserves a worker for it. It returns false if the other tasks of
// its step find no worker either.
func (p *Pool) placeTask(t *task, now time.Duration) (tryNext bool) {
	w := p.chooseWorker(t, now)
	if w == nil && p.hasWaitedLong(t, now) {
		if w = p.chooseIsolated(t, isolatedStart, now); w == nil {
			w = p.chooseClosed(t, now)
		}
	}
	if w == nil {
		return p.noWorkerFound(t, now)
	}
	number := p.nextRun(t.lastRun)
	if !p.admitTrial(t, w, number, now) {
		w.reservedFor = t
		p.reservedForSuspects++
		return true
	}
	p.start(t, w, number, now)
	return true
}

// noWorkerFound handles a task for which no worker has room, and reserves a worker where that
// helps. It returns false if the other tasks of its step find no worker either.
func (p *Pool) noWorkerFound(t *task, now time.Duration) (tryNext bool) {
	p.lackedRoom = p.lackedRoom || !p.fitsNoWorker(t.need())
	if t.isolation() > watched {
		p.reserveIsolated(t, now)
		return true
	}
	p.noteNoRoom(t.step)
	p.noteTooLarge(t.step, now)
	return p.reserve(t, now)
}

// noteNoRoom records a need that found no worker, if the only reason is a lack of room.
func (p *Pool) noteNoRoom(s *step) {
	if s.decl.RequiredLabel == "" && s.decl.MaxPerInstance == 0 && !s.job.advised {
		p.noRoom = append(p.noRoom, needOf(s))
	}
}

// smallerNeedUnmet reports whether a step with no smaller need has just found no worker: while
// jobs are placed, room only decreases. In a burst with hundreds of waiting jobs this avoids
// checking every worker for each of them.
func (p *Pool) smallerNeedUnmet(s *step) bool {
	need := needOf(s)
	for _, missing := range p.noRoom {
		if need.Fits(missing) {
			return true
		}
	}
	return false
}

// placeGang starts all members of a gang together, or none.
func (p *Pool) placeGang(s *step, formerRuns bool, now time.Duration) {
	var chosen []*worker
	for _, t := range s.tasks {
		if !t.waiting() || !p.mayStart(t, formerRuns, now) {
			return
		}
	}
	if p.reviewGang(s, now) {
		return
	}
	if !p.quotaAllows(s, len(s.tasks)) {
		return
	}
	number := p.nextRun(s.gangRun)
	for _, t := range s.tasks {
		w := p.chooseWorker(t, now)
		if w == nil {
			break
		}
		// Room is reserved immediately, so that the choice for the next member accounts for it.
		w.free = w.free.Sub(needOf(s))
		s.countPlaced(w, 1)
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		w.free = w.free.Add(needOf(s))
		s.countPlaced(w, -1)
	}
	if len(chosen) < len(s.tasks) {
		p.lackedRoom = p.lackedRoom || !p.fitsNoWorker(needOf(s))
		return
	}
	admitted := true
	for n, t := range s.tasks {
		admitted = p.admitTrial(t, chosen[n], number, now) && admitted
	}
	if !admitted {
		return
	}
	s.gangRun = number
	for n, t := range s.tasks {
		p.start(t, chosen[n], number, now)
	}
}

// chooseWorker returns the worker for a task, or nil if none has room.
func (p *Pool) chooseWorker(t *task, now time.Duration) *worker {
	return p.chooseIsolated(t, isolatedRun, now)
}

// chooseIsolated returns the worker for a task, or nil if none has room. No task is isolated more
// strictly than strictest.
func (p *Pool) chooseIsolated(t *task, strictest isolation, now time.Duration) *worker {
	if w := p.recordedWorker(t); w != nil && p.obstacleTo(w, t, strictest, now) == noObstacle {
		return w
	}
	if w := p.placeOf(t); w != nil && p.obstacleTo(w, t, strictest, now) == noObstacle {
		return w
	}
	var best *worker
	for _, w := range p.sorted {
		if p.obstacleTo(w, t, strictest, now) != noObstacle {
			continue
		}
		if best == nil || p.better(t, w, best, now) {
			best = w
		}
	}
	return best
}

// allows reports whether a task may start on a worker now.
func (p *Pool) allows(w *worker, t *task, now time.Duration) bool {
	return p.obstacleTo(w, t, isolatedRun, now) == noObstacle
}

// obstacleTo returns what keeps a task from starting on a worker now, if no task is isolated more
// strictly than strictest.
func (p *Pool) obstacleTo(w *worker, t *task, strictest isolation, now time.Duration) obstacle {
	switch {
	case w.reservedFor != nil && w.reservedFor != t && !w.isKeptFor(t):
		return reserved
	case !w.free.Fits(t.need()):
		return lacksRoom
	case len(p.kept) > 0 && w.keptForbids(t):
		return reserved
	}
	if o := p.obstacleBesidesRoom(w, t, now); o != noObstacle {
		return o
	}
	if w.isolationForbids(t, strictest) {
		return isolated
	}
	return noObstacle
}

// allowsIgnoringRoom reports whether a task may start on a worker, apart from the worker's free
// room.
func (p *Pool) allowsIgnoringRoom(w *worker, t *task, now time.Duration) bool {
	return p.obstacleBesidesRoom(w, t, now) == noObstacle
}

// obstacleBesidesRoom returns what keeps a task from starting on a worker, apart from the worker's
// free room and other tasks.
func (p *Pool) obstacleBesidesRoom(w *worker, t *task, now time.Duration) obstacle {
	if o := p.obstacleBesidesAdvice(w, t.step, now); o != noObstacle || !t.step.job.advised {
		return o
	}
	if _, ok := t.step.ticketFor(w.ID, now); !ok {
		return notAdvised
	}
	return noObstacle
}

// obstacleBesidesAdvice returns what keeps the tasks of a step from starting on a worker, apart
// from the worker's free room, other tasks, and the advisor's answer.
func (p *Pool) obstacleBesidesAdvice(w *worker, s *step, now time.Duration) obstacle {
	switch {
	case !w.usable():
		return notUsable
	case !p.right.Covers(w.joinedAt):
		return notConfirmed
	case w.unaccountedRuns > 0 || len(w.withheldFor) > 0:
		return unaccounted
	case now < w.fullUntil || w.health.refuses(now):
		return refusing
	case !s.decl.LongRunning && (w.health.avoided(now) || w.health.awaitsTrial()):
		return avoided
	case s.decl.RequiredLabel != "" && !slices.Contains(w.Labels, s.decl.RequiredLabel):
		return wrongLabel
	case s.decl.MaxPerInstance > 0 && s.placed[w] >= s.decl.MaxPerInstance:
		return limitReached
	case p.tooSlowFor(w, s, now):
		return tooSlow
	default:
		return noObstacle
	}
}

// better reports whether worker a suits a task better than worker b. The criteria, in this
// order: a worker on which the task did not fail; for a suspect, a worker where a crash does
// the least harm; near the task's data; on the rack of a rack-local step; a healthy worker; one
// that is not slow; and the least free room, so that other workers stay empty. While the pool is
// contracting, workers that are busy anyway precede those with less room.
func (p *Pool) better(t *task, a, b *worker, now time.Duration) bool {
	asSuspect := 0
	if t.isolation() > watched {
		asSuspect = t.betterForSuspect(a, b, now)
	}
	return cmp.Or(
		compareBool(slices.Contains(t.failedOn, a.ID), slices.Contains(t.failedOn, b.ID)),
		asSuspect,
		compareBool(farFromData(t.step, a), farFromData(t.step, b)),
		compareBool(offRack(t.step, a), offRack(t.step, b)),
		compareBool(a.health.onTrial(), b.health.onTrial()),
		compareBool(a.pace.slow, b.pace.slow),
		p.compareBusy(t, a, b, now),
		cmp.Compare(a.free.ProcessorsMilli, b.free.ProcessorsMilli),
	) < 0
}

func farFromData(s *step, w *worker) bool {
	return s.decl.DataRack != "" && s.decl.DataRack != w.Rack
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
