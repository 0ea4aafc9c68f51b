package jaysched

import (
	"slices"
	"time"
)

// deadlineStatus is whether a job can still be useful to its caller, in the order in which jobs
// are served.
type deadlineStatus uint8

const (
	// onTime jobs can be done by their target.
	onTime deadlineStatus = iota
	// late jobs can be done while the result is still of use.
	late
	// expired jobs will be done too late for their callers, in whatever order jobs are served.
	expired
)

const (
	// reviewInterval is the time between two reviews of the open jobs' deadline status.
	reviewInterval = 100 * time.Millisecond
	// overloadedAfter is the multiple of the time a host takes to arrive for which tasks must
	// have lacked room before a pool counts as overloaded: until then hosts may arrive.
	overloadedAfter = 2.5
)

// reviewDeadlines determines the deadline status of each open job and sorts the queue by it.
//
// It handles this load: for longer than a job can wait, more work arrives than all workers can
// do. Served by their targets alone, all jobs become slightly late, one after the other, and
// later the longer the load lasts. Jobs that can be on time are served first, so that as many
// are on time as the workers can do; jobs that are of no use any more are served last.
func (p *Pool) reviewDeadlines(now time.Duration) {
	if now < p.deadlineReviewAt {
		return
	}
	p.deadlineReviewAt = now + reviewInterval
	byOutlook := p.reviewOutlook(now)
	overloaded := p.overloaded(now)
	p.outlook.overloaded = overloaded
	changed := false
	for _, j := range p.open {
		was, formerLead := j.deadlineStatus, j.targetLead
		switch {
		case byOutlook && j.servedByOutlook(now):
			p.reviewByOutlook(j, now)
		case overloaded:
			j.deadlineStatus, j.targetLead = p.deadlineStatusOf(j, now), 0
		default:
			j.deadlineStatus, j.targetLead = onTime, 0
		}
		changed = changed || j.deadlineStatus != was || j.targetLead != formerLead
	}
	changed = p.reviewShares(overloaded, now) || changed
	if changed {
		slices.SortStableFunc(p.open, compareJobs)
	}
	p.sumWaiting(now)
}

// overloaded reports whether tasks have lacked room for long, and are too many to be done in
// time. Otherwise the order by target is better: the durations of jobs are not known well, and
// one that seems late may still be on time.
func (p *Pool) overloaded(now time.Duration) bool {
	if !p.lackedRoom {
		p.lastRoomAt = now
	}
	overdue := time.Duration(overloadedAfter * float64(p.settings.MoveTime+reportDelay))
	return now-p.lastRoomAt > overdue && p.backlogged(now)
}

// backlogged reports whether the waiting work takes the pool's workers longer than the time its
// jobs have.
func (p *Pool) backlogged(now time.Duration) bool {
	work, allowed, count := 0.0, 0.0, 0.0
	for _, j := range p.open {
		if j.longRunning || j.spec.Schedule.Timed() || j.deadlineStatus == expired || p.waitsForLargerWorker(j, now) {
			continue
		}
		if j.forecast.queue != nil && j.forecast.at == now {
			work += j.forecast.work
		} else {
			work += p.waitingWork(j)
		}
		allowed += (j.target - j.submittedAt).Seconds()
		count++
	}
	room := 0.0
	for _, w := range p.sorted {
		if w.usable() {
			room += w.worth(w.roomBesideLongRuns().ProcessorsMilli)
		}
	}
	return count > 0 && work*count > allowed*max(1, room)
}

// waitingWork returns the work of a job's waiting tasks, in thousandths of a core times
// seconds.
func (p *Pool) waitingWork(j *job) float64 {
	work := 0.0
	for _, s := range j.earliest().steps {
		takes := p.durations.predict(j.spec.Queue, s.decl.Estimate)
		work += float64(s.waiting) * float64(needOf(s).ProcessorsMilli) * takes.Seconds()
	}
	return work
}

// deadlineStatusOf returns the deadline status of a job if it is served from now on.
// Long-running jobs and those with scheduled times have no target.
func (p *Pool) deadlineStatusOf(j *job, now time.Duration) deadlineStatus {
	if j.longRunning || j.spec.Schedule.Timed() {
		return onTime
	}
	ends := now + p.remainingOccurrenceTime(j.earliest(), now)
	switch {
	case ends <= j.target:
		return onTime
	case ends <= j.submittedAt+maxLateFactor*(j.target-j.submittedAt):
		return late
	default:
		return expired
	}
}

// remainingEstimate is the expected remaining time of an occurrence at a time, by a review of the workers' speeds.
type remainingEstimate struct {
	known  bool
	at     time.Duration
	review int
	left   time.Duration
}

// remainingOccurrenceTime returns the expected remaining time of an occurrence if all its waiting tasks are
// served from now on, as it was before any of them was started in the present decision.
//
// It handles this load: a job has thousands of tasks, and a worker is slow. For each task, the remaining time
// of all of them decides whether the worker suits it.
func (p *Pool) remainingOccurrenceTime(o *occurrence, now time.Duration) time.Duration {
	e := &o.remaining
	if !e.known || e.at != now || e.review != p.speeds.reviews {
		*e = remainingEstimate{known: true, at: now, review: p.speeds.reviews, left: p.estimateRemaining(o, now)}
	}
	return e.left
}

// estimateRemaining computes the expected remaining time of an occurrence.
func (p *Pool) estimateRemaining(o *occurrence, now time.Duration) time.Duration {
	longest := time.Duration(0)
	left := make([]time.Duration, len(o.steps))
	for n := len(o.steps) - 1; n >= 0; n-- {
		s := o.steps[n]
		if s.open == 0 {
			continue
		}
		for _, next := range s.successors {
			left[n] = max(left[n], left[next.id.Step])
		}
		left[n] += p.remainingStepTime(s, now)
		longest = max(longest, left[n])
	}
	return longest
}

// remainingStepTime returns the expected remaining time of a step, from its beginning or from
// now.
func (p *Pool) remainingStepTime(s *step, now time.Duration) time.Duration {
	if s.waiting > 0 {
		return p.durations.predict(s.job.spec.Queue, s.decl.Estimate)
	}
	left := time.Duration(0)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			left = max(left, p.remainingTime(r, now))
		}
	}
	return left
}
