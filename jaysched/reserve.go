package jaysched

import (
	"time"
)

// reserve reserves a worker for a long-running task that has found no room for longer than a
// host takes to arrive: no other task starts there until the task fits. It reports whether
// there is such a worker.
//
// It handles this load: a pool has more short tasks waiting than its workers can do, and no
// host will arrive. A long-running task takes most of a worker's memory; that much room is
// never free at once, since short tasks fill each gap, and the task would wait for as long as
// the burst lasts.
func (p *Pool) reserve(t *task, now time.Duration) (reserved bool) {
	if !p.hasWaitedLong(t, now) {
		return false
	}
	var best *worker
	bestIn := time.Duration(0)
	for _, w := range p.sorted {
		if w.reservedFor != nil || !w.roomBesideLongRuns().Fits(t.need()) ||
			len(p.kept) > 0 && w.lacksRoomBesideKept(t) || !p.allowsIgnoringRoom(w, t, now) {
			continue
		}
		if in := p.timeToFree(w, now); best == nil || in < bestIn {
			best, bestIn = w, in
		}
	}
	if best == nil {
		return false
	}
	best.reservedFor = t
	return true
}

// mayReserve reports whether a worker is reserved for a task that finds no room: for a suspect,
// and for a long-running task that has waited long enough.
func (p *Pool) mayReserve(t *task, now time.Duration) bool {
	return t.isolation() > watched || p.hasWaitedLong(t, now)
}

// hasWaitedLong reports whether a long-running task has waited for longer than a host takes to
// arrive. Such a task is separated from suspects, and as a suspect from others, only as strictly as
// isolatedStart: each worker may have a run that is to be isolated for crashRiskTime, while the
// service lacks a task.
//
// For how long a task has waited under former owners is not known. It counts as long: otherwise a
// task would not start while owners change within that time.
func (p *Pool) hasWaitedLong(t *task, now time.Duration) bool {
	if !t.step.decl.LongRunning {
		return false
	}
	underFormerOwner := t.step.job.inherited && t.droppedAt == 0
	return underFormerOwner || now-t.waitingSince() >= p.settings.MoveTime+reportDelay
}

// timeToFree returns the expected remaining time of the runs of a worker that end by
// themselves.
func (p *Pool) timeToFree(w *worker, now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.inOrder {
		if !r.task.step.decl.LongRunning {
			longest = max(longest, p.remainingTime(r, now))
		}
	}
	return longest
}

// waitingSince returns since when a task without a run could have one.
func (t *task) waitingSince() time.Duration {
	return max(t.step.readyAt, t.droppedAt)
}

// clearReservations removes the reservations of all workers.
func (p *Pool) clearReservations() {
	for _, w := range p.sorted {
		w.reservedFor = nil
	}
	p.reservedForSuspects = 0
}
