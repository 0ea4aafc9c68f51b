package jaysched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"jaythread/jayspeed"
)

const (
	// speedInterval is the time between two reviews of the workers' speeds. It is short against
	// the tasks whose delay the review is to limit.
	speedInterval = 100 * time.Millisecond
	// maxRecentEnds limits the ends that are remembered of one worker. They cover the jobs of
	// its overdue runs, whose earlier ends show whether their estimates are wrong.
	maxRecentEnds = 64
	// fastEvidence is the logarithm of the likelihood ratio from which a slow worker counts as
	// fast again. An error there costs only the time until the worker is recognised once more.
	fastEvidence = 3.0
	// distrustShare is the share of the observed workers above which the prediction is taken
	// to be wrong, and not the workers slow.
	distrustShare = 0.5
	// probeInterval is the time between two rounds of probes, and probesPerSlowWorker is the
	// share of the slow workers that get one in a round: each probe that proves slow delays a
	// job. Once one of them has proved fast the others are probed without that limit, since
	// the workers of a service usually recover together.
	probeInterval       = time.Second
	probesPerSlowWorker = 1.0 / 8
	// probeCandidates is the number of jobs from which the task for a probe is chosen.
	probeCandidates = 64
)

// speeds is what a pool knows about durations on sound workers, and the state of its probes.
//
// It handles this load: some workers of a service take several times as long for everything. A
// worker that is not recognised as slow holds all tasks that it has got, and gets more of them.
// The evidence must not wait for the ends of these tasks, nor confuse such a worker with a sound
// one that has some long tasks, or a job whose estimate is wrong.
type speeds struct {
	// byQueue holds the errors of the predicted durations by queue.
	byQueue  map[string]*jayspeed.Errors
	reviewAt time.Duration
	// reviews counts the changes of what is known about the workers' speeds.
	reviews int
	// from is when the predictions were last found to be wrong: runs that began earlier show
	// nothing about their worker.
	from time.Duration
	// slow counts the workers known as slow, minFactor is the lowest of their factors.
	slow      int
	minFactor float64
	probeAt   time.Duration
	// recoveredAt is when a worker was last found to be fast again.
	recoveredAt time.Duration
	// movedAt is when runs were last moved off slow workers.
	movedAt time.Duration
}

func newSpeeds() speeds {
	return speeds{byQueue: map[string]*jayspeed.Errors{}}
}

// pace is what is known about the speed of one worker.
type pace struct {
	// reportedAt is when the worker last reported its runs: only until then are they known to
	// be running.
	reportedAt time.Duration
	// from is when the worker was last warming up or last stopped counting as slow: runs that
	// began earlier show nothing about its present speed. It is zero if neither was the case, and
	// after the predictions were found to be wrong, where speeds.from applies.
	from time.Duration
	// ends are the recent ends of runs on the worker, the oldest first.
	ends []jayspeed.Run
	slow bool
	// slowSince is when the worker was recognised as slow, changedAt is when it became slow by
	// the evidence, and factor is by how much longer its runs take.
	slowSince time.Duration
	changedAt time.Duration
	factor    float64
	// fastScore is the evidence that the worker is fast again, from runs that were ordered since
	// slowSince.
	fastScore float64
	// probe is the latest probe, probingStep is the step whose task is about to be one.
	probe       *run
	probedAt    time.Duration
	probingStep *step
}

func (s *speeds) errorsOf(queue string) *jayspeed.Errors {
	e, known := s.byQueue[queue]
	if !known {
		e = &jayspeed.Errors{}
		s.byQueue[queue] = e
	}
	return e
}

// usesDurations reports whether the pool compares runs with their predicted durations.
func (p *Pool) usesDurations() bool {
	return p.settings.WorkerSpeeds || p.settings.CopyShare > 0
}

// slowdown returns by how much longer runs take on a worker than predicted.
func (w *worker) slowdown() float64 {
	if !w.pace.slow {
		return 1
	}
	return w.pace.factor
}

// speedPercent returns the worker's speed, or zero if it is unknown.
func (w *worker) speedPercent() int {
	switch {
	case w.pace.slow:
		return max(1, int(math.Round(fullSpeed/w.pace.factor)))
	case len(w.pace.ends) >= jayspeed.MinRuns:
		return fullSpeed
	default:
		return 0
	}
}

// predictOn returns the expected duration of a task of a step on a worker.
func (p *Pool) predictOn(w *worker, s *step) time.Duration {
	takes := p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	if w.pace.slow {
		takes = time.Duration(float64(takes) * w.pace.factor)
	}
	return takes
}

// evidenceOf returns what a run shows about the speed of its worker at a time. Nothing is shown by
// best-effort runs, whose speed is limited, by resumed ones, by those whose begin is unknown, or
// whose queue has no learned durations. The percentage in a worker's report is ignored: only
// best-effort runs are ever throttled, and other runs may report less than 100 as well.
func (p *Pool) evidenceOf(r *run, at time.Duration, ended bool) (o jayspeed.Run, ok bool) {
	s := r.task.step
	adopted := r.attempt == 0
	if s.decl.LongRunning || s.decl.Fills || s.decl.Gang || s.decl.Estimate <= 0 || adopted || r.checkpoint != "" {
		return jayspeed.Run{}, false
	}
	if r.confirmedAt == 0 || at <= r.confirmedAt || r.confirmedAt < r.worker.pace.from {
		return jayspeed.Run{}, false
	}
	known, learned := p.speeds.byQueue[s.job.spec.Queue]
	if !learned || !known.Learned() {
		return jayspeed.Run{}, false
	}
	predicted := p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	return jayspeed.Run{Job: s.job.spec.ID, Occurrence: s.id.Occurrence, Step: s.id.Step, Worker: r.worker.ID, Began: r.confirmedAt, At: at, Predicted: predicted, Ended: ended, Spread: known.Spread()}, predicted > 0
}

// runDone records how long a run took, and reports whether that says how long such tasks take
// on a sound worker. A run on a slow worker would distort the predictions for all others.
func (p *Pool) runDone(r *run, now time.Duration) (representative bool) {
	if !p.usesDurations() {
		return true
	}
	w, s := r.worker, r.task.step
	o, shows := p.evidenceOf(r, now, true)
	if shows {
		w.pace.ends = append(w.pace.ends[max(0, len(w.pace.ends)-maxRecentEnds+1):], o)
		p.weighRecovery(w, r, o, now)
	}
	if w.pace.slow || r.confirmedAt < w.pace.from {
		return false
	}
	if !s.decl.LongRunning && !s.decl.Gang && s.decl.Estimate > 0 && r.checkpoint == "" && r.attempt > 0 && now > r.confirmedAt {
		took, predicted := now-r.confirmedAt, p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
		p.speeds.errorsOf(s.job.spec.Queue).Add(math.Log(took.Seconds() / predicted.Seconds()))
	}
	return true
}

// reviewSpeeds determines which workers are slow.
func (p *Pool) reviewSpeeds(now time.Duration) {
	if !p.settings.WorkerSpeeds || now < p.speeds.reviewAt {
		return
	}
	p.speeds.reviewAt = now + speedInterval
	observed, slow := 0, 0
	var found []suspectedSlow
	seenOn := make(map[*worker][]jayspeed.Run, len(p.sorted))
	byJob := jayspeed.RunsByJob{}
	for _, w := range p.sorted {
		if w.contact != connected {
			p.forgetSpeed(w, "it does not answer", now)
			continue
		}
		if w.Warming > 0 {
			w.pace.from = now
		}
		seen := p.speedEvidence(w)
		seenOn[w] = seen
		if !w.pace.slow {
			byJob.Add(seen)
		}
	}
	for _, w := range p.sorted {
		seen := seenOn[w]
		switch {
		case w.pace.slow:
			w.updateFactor(seen, byJob)
			slow++
			observed++
		case len(seen) >= jayspeed.MinRuns:
			observed++
			if slowness, looksSlow := jayspeed.Examine(seen, byJob, w.pace.reportedAt); looksSlow {
				found = append(found, suspectedSlow{worker: w, Slowness: slowness})
			}
		}
	}
	if lookSlow := slow + len(found); lookSlow > 1 && float64(lookSlow) > distrustShare*float64(observed) {
		p.distrustPredictions(now)
	} else {
		for _, s := range found {
			p.foundSlow(s, seenOn[s.worker], byJob, now)
		}
	}
	p.countSlow()
}

// speedEvidence returns what the runs and the recent ends of a worker show about its speed.
func (p *Pool) speedEvidence(w *worker) []jayspeed.Run {
	var seen []jayspeed.Run
	for _, r := range w.inOrder {
		if r.phase != running && r.phase != stopping {
			continue
		}
		if o, ok := p.evidenceOf(r, w.pace.reportedAt, false); ok && o.Began >= p.speeds.from {
			seen = append(seen, o)
		}
	}
	for _, o := range w.pace.ends {
		if o.Began >= max(w.pace.from, p.speeds.from) {
			seen = append(seen, o)
		}
	}
	return seen
}

// suspectedSlow is a worker that looks slow.
type suspectedSlow struct {
	worker *worker
	jayspeed.Slowness
}

// foundSlow marks a worker as slow.
func (p *Pool) foundSlow(s suspectedSlow, seen []jayspeed.Run, byJob jayspeed.RunsByJob, now time.Duration) {
	w := s.worker
	w.pace.slow, w.pace.slowSince, w.pace.changedAt, w.pace.fastScore = true, now, s.ChangedAt, 0
	w.pace.probe, w.pace.probedAt = nil, now
	w.updateFactor(seen, byJob)
	p.recordEvent(Event{Kind: WorkerSlow, Worker: w.ID, Detail: fmt.Sprintf("%.1f times the predicted durations, by %d runs", w.pace.factor, s.Runs), Since: now - w.pace.reportedAt}, now)
}

// updateFactor estimates by how much longer runs take on a slow worker.
func (w *worker) updateFactor(seen []jayspeed.Run, byJob jayspeed.RunsByJob) {
	if factor, known := jayspeed.Factor(seen, byJob, w.pace.changedAt); known {
		w.pace.factor = factor
	}
}

// weighRecovery adds the end of a run to the evidence that a slow worker is fast again, if the run
// was ordered after the worker was recognised as slow.
func (p *Pool) weighRecovery(w *worker, r *run, o jayspeed.Run, now time.Duration) {
	if !w.pace.slow || r.orderedAt < w.pace.slowSince {
		return
	}
	w.pace.fastScore = max(0, w.pace.fastScore+jayspeed.EvidenceOfRecovery(o, w.pace.factor))
	if w.pace.fastScore >= fastEvidence {
		p.speeds.recoveredAt = now
		p.forgetSpeed(w, fmt.Sprintf("%.1f times the predicted duration instead of %.1f", o.Elapsed(), w.pace.factor), now)
		p.countSlow()
	}
}

// distrustPredictions treats no worker as slow: most look slow at the same time, so that the
// durations of their tasks have changed. The predictions follow the next ends.
func (p *Pool) distrustPredictions(now time.Duration) {
	p.speeds.from = now
	for _, w := range p.sorted {
		if w.pace.slow {
			p.forgetSpeed(w, "most workers look slow, so the predictions are wrong", now)
			w.pace.from = 0
		}
		w.pace.ends = nil
	}
}

// forgetSpeed makes the speed of a worker that is known as slow unknown.
func (p *Pool) forgetSpeed(w *worker, why string, now time.Duration) {
	if w.pace.slow {
		p.recordEvent(Event{Kind: WorkerFastAgain, Worker: w.ID, Detail: why, Waited: now - w.pace.slowSince}, now)
		w.pace = pace{reportedAt: w.pace.reportedAt, from: now}
	}
}

func (p *Pool) countSlow() {
	p.speeds.reviews++
	p.speeds.slow, p.speeds.minFactor = 0, math.Inf(1)
	for _, w := range p.sorted {
		if w.pace.slow {
			p.speeds.slow++
			p.speeds.minFactor = min(p.speeds.minFactor, w.pace.factor)
		}
	}
}

// tooSlowFor reports whether a worker is too slow for the tasks of a step: their job would not
// stay on time there. Tasks without a target may run there, and so may those that would wait for
// good: the advisor may allow slow workers only, or no other worker may be able to run them.
func (p *Pool) tooSlowFor(w *worker, s *step, now time.Duration) bool {
	if !w.pace.slow || s.mayRunSlowly() || w.pace.probingStep == s {
		return false
	}
	takes := p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	slowed := time.Duration(float64(takes) * w.pace.factor)
	onTime := now+slowed <= s.job.target && now+p.remainingOccurrenceTime(s.occ, now)-takes+slowed <= s.job.target
	return !onTime && p.hasSoundWorkerFor(s, now)
}

// mayRunSlowly reports whether the tasks of a step may run on any slow worker.
func (s *step) mayRunSlowly() bool {
	return s.decl.LongRunning || s.decl.Fills || s.job.advised || s.job.spec.Schedule.Timed()
}

// hasSoundWorkerFor reports whether a worker that is not slow runs tasks of a step as soon as it
// has room.
func (p *Pool) hasSoundWorkerFor(s *step, now time.Duration) bool {
	need := needOf(s)
	return slices.ContainsFunc(p.sorted, func(w *worker) bool {
		if w.pace.slow || !w.Capacity.Fits(need) {
			return false
		}
		o := p.obstacleBesidesAdvice(w, s, now)
		return o == noObstacle || o == limitReached
	})
}

// slowWorkerSuits reports whether a step may have room on a slow worker although others found
// none: they may have less slack.
func (p *Pool) slowWorkerSuits(s *step, now time.Duration) bool {
	if p.speeds.slow == 0 {
		return false
	}
	takes := p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	if !s.mayRunSlowly() && (s.decl.Estimate <= 0 || now+time.Duration(float64(takes)*p.speeds.minFactor) > s.job.target) {
		return false
	}
	need := needOf(s)
	return slices.ContainsFunc(p.sorted, func(w *worker) bool {
		return w.pace.slow && w.free.Fits(need) && p.obstacleBesidesAdvice(w, s, now) == noObstacle
	})
}

// placeProbes starts single tasks on slow workers, to learn whether they are fast again.
func (p *Pool) placeProbes(formerRuns bool, now time.Duration) {
	if p.speeds.slow == 0 || now < p.speeds.probeAt {
		return
	}
	var due []*worker
	for _, w := range p.sorted {
		probing := w.pace.probe != nil && w.runs[w.pace.probe.ref()] == w.pace.probe
		if w.pace.slow && w.usable() && !probing && now >= w.pace.probedAt+probeInterval {
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return
	}
	p.speeds.probeAt = now + probeInterval
	slices.SortStableFunc(due, func(a, b *worker) int { return cmp.Compare(a.pace.probedAt, b.pace.probedAt) })
	most := max(1, int(float64(p.speeds.slow)*probesPerSlowWorker))
	if p.speeds.recoveredAt > 0 && now-p.speeds.recoveredAt < 2*probeInterval {
		most = len(due)
	}
	for _, w := range due[:min(most, len(due))] {
		p.placeProbe(w, formerRuns, now)
	}
}

// placeProbe starts the task with the most slack on a slow worker.
func (p *Pool) placeProbe(w *worker, formerRuns bool, now time.Duration) {
	var best *task
	bestSlack, seen := time.Duration(0), 0
	for _, j := range slices.Backward(p.open) {
		if seen >= probeCandidates || p.startsLeft <= 0 {
			break
		}
		if j.waiting == 0 || j.longRunning || j.advised || j.foundInStore && p.hasUnprocessedRuns(j) {
			continue
		}
		seen++
		if slack := p.slackOf(j, now); best == nil || slack > bestSlack {
			if t := p.probeTask(j, w, formerRuns, now); t != nil {
				best, bestSlack = t, slack
			}
		}
	}
	if best != nil {
		p.start(best, w, p.nextRun(best.lastRun), now)
		w.pace.probe, w.pace.probedAt = best.runs[len(best.runs)-1], now
	}
}

// slackOf returns how much later than now a job could be served and still be on time. A job
// that is of no use any more has any slack.
func (p *Pool) slackOf(j *job, now time.Duration) time.Duration {
	if p.deadlineStatusOf(j, now) == expired {
		return MaxDuration
	}
	return j.target - now - p.remainingOccurrenceTime(j.earliest(), now)
}

// probeTask returns a waiting task of a job that may be a probe on a worker, or nil.
func (p *Pool) probeTask(j *job, w *worker, formerRuns bool, now time.Duration) *task {
	known, learned := p.speeds.byQueue[j.spec.Queue]
	if !learned || !known.Learned() {
		return nil
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting == 0 || !s.ready(now) || s.decl.Gang || s.decl.Fills || s.decl.LongRunning || s.suspected || s.decl.Estimate <= 0 || !p.quotaAllows(s, 1) {
				continue
			}
			w.pace.probingStep = s
			t := s.waitingTask(func(t *task) bool {
				return t.checkpoint() == "" && p.mayStart(t, formerRuns, now) && p.allows(w, t, now)
			})
			w.pace.probingStep = nil
			if t != nil {
				return t
			}
		}
	}
	return nil
}

// leaveSlowWorkers moves runs with checkpoints off slow workers if their jobs end sooner by it
// and other workers have room that no waiting task needs.
func (p *Pool) leaveSlowWorkers(now time.Duration) {
	if p.speeds.slow == 0 || p.lackedRoom || p.OwnerUnconfirmed() || now < p.speeds.movedAt+migrationCost/2 {
		return
	}
	var reserved []*run
	var at []*worker
	for _, w := range p.sorted {
		if !w.pace.slow || w.contact != connected {
			continue
		}
		for _, r := range w.inOrder {
			// The room stays taken during the search, so that no two runs count on it.
			if target := p.fasterWorker(r, now); target != nil && p.sooner(r, now) {
				target.free = target.free.Sub(r.need)
				reserved, at = append(reserved, r), append(at, target)
			}
		}
	}
	for n, r := range reserved {
		at[n].free = at[n].free.Add(r.need)
		p.speeds.movedAt = now
		p.recordEvent(Event{Kind: RunStopped, Worker: r.worker.ID, Run: r.ref(), Detail: "worker is slow", Waited: now - r.confirmedAt}, now)
		p.stop(r, "workerIsSlow", now)
	}
}

// sooner reports whether the task of a run on a slow worker ends sooner if it continues
// elsewhere from its checkpoint.
func (p *Pool) sooner(r *run, now time.Duration) bool {
	s := r.task.step
	if r.phase != running || !s.decl.Checkpoint || s.decl.Gang || s.decl.LongRunning || len(r.task.runs) > 1 || r.task.isolation() != unsuspected {
		return false
	}
	left := p.remainingTime(r, now)
	elsewhere := migrationCost + time.Duration(float64(left)/r.worker.slowdown())
	return left > elsewhere+migrationSlack
}

// fasterWorker returns another worker that is not slow and has room for the task of a run, or
// nil.
func (p *Pool) fasterWorker(r *run, now time.Duration) *worker {
	var best *worker
	for _, w := range p.sorted {
		if w == r.worker || w.pace.slow || w.health.onTrial() || slices.Contains(r.task.failedOn, w.ID) || !p.allows(w, r.task, now) {
			continue
		}
		if best == nil || p.better(r.task, w, best, now) {
			best = w
		}
	}
	return best
}

// worth returns a capacity of the worker divided by its slowdown, which is the capacity of a sound
// worker that does as much.
func (w *worker) worth(milli int64) float64 {
	return float64(milli) / w.slowdown()
}
