package jaysched

import (
	"slices"
	"time"

	"jaythread/jaypool"
)

// keptPlace is room on a worker that is kept for a task of a service.
//
// It handles this load: a wave closes workers with tasks of services while short tasks fill each gap.
// The room elsewhere that a stop counts on would be taken before the stopped run has ended, and the task
// would wait for as long as the wave or the burst lasts.
type keptPlace struct {
	task   *task
	worker *worker
}

// keepPlace keeps a place for the next run of a task, if some worker has room. It reports whether there is
// one.
func (p *Pool) keepPlace(t *task, now time.Duration) bool {
	if p.placeOf(t) != nil {
		return true
	}
	w := p.chooseWorker(t, now)
	if w == nil {
		return false
	}
	w.kept = append(w.kept, t)
	p.kept = append(p.kept, keptPlace{task: t, worker: w})
	return true
}

// placeOf returns the worker that has a place kept for a task, or nil.
func (p *Pool) placeOf(t *task) *worker {
	for _, k := range p.kept {
		if k.task == t {
			return k.worker
		}
	}
	return nil
}

// forgetPlace forgets the place that is kept for a task, if any.
func (p *Pool) forgetPlace(t *task) {
	p.kept = slices.DeleteFunc(p.kept, func(k keptPlace) bool {
		if k.task != t {
			return false
		}
		k.worker.kept = slices.DeleteFunc(k.worker.kept, func(other *task) bool { return other == t })
		return true
	})
}

// reviewKept forgets the places that are not needed any more. A task whose place has become unsuitable gets
// another one, if there is any.
func (p *Pool) reviewKept(now time.Duration) {
	for n := len(p.kept) - 1; n >= 0; n-- { // places are forgotten and appended
		k := p.kept[n]
		needed := k.task.needsPlace()
		if needed && p.suits(k, now) {
			continue
		}
		p.forgetPlace(k.task)
		if needed && (!k.task.waiting() || p.withinQuota(k.task.step, 1)) {
			p.keepPlace(k.task, now)
		}
	}
}

// needsPlace reports whether a task is without a run, or will be once its run has been stopped.
func (t *task) needsPlace() bool {
	if t.step.job.outcome != Open || t.done || t.parked {
		return false
	}
	for _, r := range t.runs {
		if r.phase != stopping && r.phase != stopped {
			return false
		}
	}
	return true
}

// suits reports whether a place is suitable. While the task's run is being stopped, obstacles that pass do not
// count.
func (p *Pool) suits(k keptPlace, now time.Duration) bool {
	if k.task.waiting() {
		return p.withinQuota(k.task.step, 1) && p.allows(k.worker, k.task, now)
	}
	return k.worker.usable() && k.worker.free.Fits(k.task.need())
}

// keepNextPlace keeps a place for the task of a run that is to be stopped, and reports whether the run may be
// stopped. Only tasks of services need a place, and those that wait precede it.
func (p *Pool) keepNextPlace(r *run, now time.Duration) bool {
	if !r.task.step.decl.LongRunning {
		return true
	}
	p.keepForWaiting(now)
	return p.keepPlace(r.task, now)
}

// keepForWaiting keeps places for the waiting tasks of all services, once in a pass over the runs of closed
// workers.
func (p *Pool) keepForWaiting(now time.Duration) {
	v := &p.vacating
	if v.keptIn == v.pass {
		return
	}
	v.keptIn = v.pass
	for _, j := range p.open {
		if !j.longRunning {
			return // the other jobs follow
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(now) {
					p.keepForStep(s, now)
				}
			}
		}
	}
}

func (p *Pool) keepForStep(s *step, now time.Duration) {
	for _, t := range s.tasks {
		if t.waiting() && p.mayKeepForWaiting(t, now) && !p.keepPlace(t, now) {
			return
		}
	}
}

// mayKeepForWaiting reports whether a place may be kept for a waiting task: it is known to be without a run,
// and is no suspect, for which a whole worker may be reserved.
func (p *Pool) mayKeepForWaiting(t *task, now time.Duration) bool {
	s := t.step
	return s.decl.LongRunning && !s.decl.Gang && !s.job.unsettled() && p.withinQuota(s, 1) &&
		!p.heldForFormerOwner(t, t.mayRunUnreported && p.formerRunsPossible(now), now) && !t.awaitsFormerTrial() && t.isolation() <= watched
}

// awaitsRun reports whether a task of a step waits for a run. Tasks that wait for the quota of their
// organisation do not count: a stop makes room in it.
func (p *Pool) awaitsRun(s *step) bool {
	return s.waiting > 0 && p.withinQuota(s, 1)
}

// keptForbids reports whether a task must not start on a worker since places are kept there for other tasks.
// A suspect must not start beside a place of another job, whose task could not join it.
func (w *worker) keptForbids(t *task) bool {
	if len(w.kept) == 0 || w.isKeptFor(t) {
		return false
	}
	room, alike := w.free, t.step.placed[w]
	for _, other := range w.kept {
		switch {
		case other.step.job != t.step.job && t.isolation() > watched:
			return true
		case other.step == t.step:
			alike++
		}
		room = room.Sub(other.need())
	}
	most := t.step.decl.MaxPerInstance
	return !room.Fits(t.need()) || most > 0 && alike >= most
}

// isKeptFor reports whether the worker has a place kept for a task.
func (w *worker) isKeptFor(t *task) bool {
	return slices.Contains(w.kept, t)
}

// lacksRoomBesideKept reports whether the places that are kept on a worker leave no room for a task beside
// long-running ones.
func (w *worker) lacksRoomBesideKept(t *task) bool {
	return !w.roomBesideLongRuns().Sub(w.keptBeside(t)).Fits(t.need())
}

// keptBeside returns the room that is kept on a worker for other tasks.
func (w *worker) keptBeside(t *task) (total jaypool.Resources) {
	for _, other := range w.kept {
		if other != t {
			total = total.Add(other.need())
		}
	}
	return total
}

// chooseClosed returns the worker for a task that has waited long, among the closed ones that are not emptied
// soon since tasks of services stay there, or nil.
//
// It handles this load: during a wave only closed workers have room for a task of a service. They are not
// emptied before the tasks of services on them find room elsewhere.
func (p *Pool) chooseClosed(t *task, now time.Duration) *worker {
	var best *worker
	for _, w := range p.vacating.withServices {
		if p.allowsThoughClosed(w, t, now) && w.keepsService() && (best == nil || p.better(t, w, best, now)) {
			best = w
		}
	}
	return best
}

// keepsService reports whether the worker is usable but for being closed, and has a run of a service that is
// not being stopped.
func (w *worker) keepsService() bool {
	return w.closed && w.connectedAndListed() && slices.ContainsFunc(w.inOrder, func(r *run) bool {
		return r.task.step.decl.LongRunning && r.phase == running
	})
}

// allowsThoughClosed reports whether a task may start on a closed worker, apart from its being closed.
func (p *Pool) allowsThoughClosed(w *worker, t *task, now time.Duration) bool {
	w.closed = false
	o := p.obstacleTo(w, t, isolatedStart, now)
	w.closed = true
	return o == noObstacle
}
