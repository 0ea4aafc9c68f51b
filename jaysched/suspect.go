package jaysched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// startRiskTime is how long a run must have been on a worker before its start no longer
	// counts as a possible cause of a crash of the worker.
	startRiskTime = 250 * time.Millisecond
	// crashRiskTime is how long a run must have been on a worker before it is not suspected at
	// all.
	crashRiskTime = 10 * time.Second
	// isolatedAfter is the number of losses after which a suspect shares no worker with other
	// jobs.
	isolatedAfter = 2
	// isolatedShare is the maximum share of the workers that is reserved for suspects.
	isolatedShare = 0.5
)

// isolation is how strictly a task is separated from those of other jobs.
type isolation uint8

const (
	// unsuspected tasks are not known to have caused a loss.
	unsuspected isolation = iota
	// watched tasks were on a worker that was lost, long after their start.
	watched
	// isolatedStart tasks start only on a worker where all runs of other jobs are past their
	// startRiskTime, and no run of another job starts there until the task is past its own.
	isolatedStart
	// isolatedRun tasks share their worker only with runs of their own job and with runs that
	// are past their crashRiskTime.
	isolatedRun
)

// isolation is derived from the losses that a task may have caused. One loss together with a
// rack may be a coincidence; a task that is present at such losses repeatedly may crash all
// workers of a rack.
func (t *task) isolation() isolation {
	if len(t.crashes) == 0 {
		return unsuspected
	}
	counted, startSuspected := 0, false
	for _, c := range t.crashes {
		if !c.rackLost || len(t.crashes) >= isolatedAfter {
			counted++
			startSuspected = startSuspected || c.atStart && !c.disproved
		}
	}
	switch {
	case counted >= isolatedAfter:
		return isolatedRun
	case startSuspected:
		return isolatedStart
	default:
		return watched
	}
}

// pastStartRisk reports whether the worker has survived a run for startRiskTime.
func (r *run) pastStartRisk() bool {
	return r.survivedFor(startRiskTime)
}

// pastCrashRisk reports whether the worker has survived a run for crashRiskTime, so that the
// run is not expected to crash it.
func (r *run) pastCrashRisk() bool {
	return r.survivedFor(crashRiskTime)
}

// survivedFor reports whether the worker has answered at least a given time after it confirmed
// a run. A start without an answer may be carried out at any time.
func (r *run) survivedFor(d time.Duration) bool {
	return r.confirmedAt > 0 && r.worker.lastAnswerAt >= r.confirmedAt+d
}

// suspects returns the runs that may have caused the loss of a worker, and whether they had
// just been started: such runs are more likely causes than any that the worker has survived for
// longer. If the worker is draining or closed, its loss is attributed only to runs that had
// just been started.
func (w *worker) suspects() (runs []*run, atStart bool) {
	var untrusted []*run
	for _, r := range w.inOrder {
		if r.phase == unrecorded {
			continue // it was not sent
		}
		if !r.pastStartRisk() {
			runs = append(runs, r)
		}
		if !r.pastCrashRisk() {
			untrusted = append(untrusted, r)
		}
	}
	switch {
	case len(runs) > 0:
		return runs, true
	case w.Draining || w.closed:
		return nil, false
	default:
		return untrusted, false
	}
}

// crashedWorker reports whether the task may have crashed a worker.
func (t *task) crashedWorker(worker string) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.worker == worker })
}

// crashedInRack reports whether the task may have crashed a worker in a rack.
func (t *task) crashedInRack(rack string) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.rack == rack })
}

// betterForSuspect compares two workers for a suspect. It prefers a rack in which the task lost
// no worker, a worker that the task did not lose, and one that joined some time ago: a worker
// that fails repeatedly by itself joined recently. On a worker with fewer runs, a crash loses
// less.
func (t *task) betterForSuspect(a, b *worker, now time.Duration) int {
	return cmp.Or(
		compareBool(t.crashedInRack(a.Rack), t.crashedInRack(b.Rack)),
		compareBool(t.crashedWorker(a.ID), t.crashedWorker(b.ID)),
		compareBool(now-a.joinedAt < crashRiskTime, now-b.joinedAt < crashRiskTime),
		cmp.Compare(len(a.runs), len(b.runs)),
	)
}

// clearSuspicions withdraws the suspicions against runs that a worker has survived.
func (p *Pool) clearSuspicions(w *worker, now time.Duration) {
	if w.suspected == 0 {
		return
	}
	for _, r := range w.inOrder {
		switch {
		case r.isolation == unsuspected || len(r.task.crashes) == 0:
		case r.pastCrashRisk():
			r.task.crashes = nil
			p.endTrial(r.task, r.number)
			p.markChanged(r.task.step.job)
			p.recordEvent(Event{Kind: TaskCleared, Worker: w.ID, Run: r.ref(), Detail: "trusted", Waited: now - r.orderedAt}, now)
		case r.pastStartRisk() && r.task.isolation() == isolatedStart:
			for n := range r.task.crashes {
				r.task.crashes[n].disproved = true
			}
			p.recordEvent(Event{Kind: TaskCleared, Worker: w.ID, Run: r.ref(), Detail: "its start crashed nothing", Waited: now - r.orderedAt}, now)
		}
	}
}

// isolationForbids reports whether a task must not start on a worker because it, or a run on
// the worker, is suspected. No task is isolated more strictly than strictest.
func (w *worker) isolationForbids(t *task, strictest isolation) bool {
	own := t.isolation()
	if own <= watched && w.suspected == 0 {
		return false
	}
	return slices.ContainsFunc(w.inOrder, func(r *run) bool {
		if r.task.step.job == t.step.job {
			return false
		}
		switch min(max(own, r.isolation), strictest) {
		case isolatedRun:
			return !r.pastCrashRisk()
		case isolatedStart:
			return !r.pastStartRisk()
		default:
			return false
		}
	})
}

// reserveIsolated reserves a worker for a suspect that no worker can take now: in a burst each
// gap is filled immediately, and there would never be a worker without a run that has just been
// started.
func (p *Pool) reserveIsolated(t *task, now time.Duration) {
	usable := 0
	var best *worker
	bestIn := time.Duration(0)
	for _, w := range p.sorted {
		if !w.usable() {
			continue
		}
		usable++
		if w.reservedFor != nil || !w.roomBesideLongRuns().Fits(t.need()) ||
			len(p.kept) > 0 && w.lacksRoomBesideKept(t) || !p.allowsIgnoringRoom(w, t, now) {
			continue
		}
		if in := p.timeToIsolate(w, t, now); best == nil || in < bestIn {
			best, bestIn = w, in
		}
	}
	if best == nil || p.reservedForSuspects >= max(1, int(isolatedShare*float64(usable))) {
		return
	}
	best.reservedFor = t
	p.reservedForSuspects++
}

// timeToIsolate returns the expected time until a suspect can start on a worker on which no
// other run is started.
func (p *Pool) timeToIsolate(w *worker, t *task, now time.Duration) time.Duration {
	in := time.Duration(0)
	if !w.free.Fits(t.need()) {
		in = p.timeToFree(w, now)
	}
	for _, r := range w.inOrder {
		switch {
		case r.task.step.job == t.step.job:
		case t.isolation() == isolatedRun && !r.pastCrashRisk():
			in = max(in, p.remainingTime(r, now))
		case !r.pastStartRisk():
			in = max(in, startRiskTime)
		}
	}
	return in
}
