package jaysched

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"jaythread/jaypool"
)

const (
	// contractingTTL is how long a request to release workers is valid. The fleet's owner
	// repeats it several times within that time.
	contractingTTL = time.Second
	// busyRefreshInterval is the time between two computations of the workers' busy times,
	// which change by the end of single runs only.
	busyRefreshInterval = 50 * time.Millisecond
	// overdueFactor is the multiple of its predicted duration from which a run counts as
	// overdue. Below it, errors of declared estimates are as likely as an unusual task.
	overdueFactor = 1.5
	// maxHoldingRuns is the number of runs that may be restarted although it makes their jobs
	// late: so few runs leave nearly the whole host unused.
	maxHoldingRuns = 2
)

// release is the state of a pool that releases workers to other pools.
type release struct {
	// contractingUntil is until when the pool is asked to release workers.
	contractingUntil time.Duration
	// busyAt is when the workers' busy times were computed.
	busyAt time.Duration
}

// releasePlan is the cheapest way to empty a worker: the runs that end within emptyIn are
// waited for, and the others start anew on another worker.
type releasePlan struct {
	emptyIn time.Duration
	restart []*run
	// cost is the work of the runs to restart that is lost, in thousandths of a core times
	// seconds. feasible is false if some run can neither be waited for nor restarted.
	cost     float64
	feasible bool
}

// SetContracting sets whether other pools wait for workers that this pool is to release.
func (p *Pool) SetContracting(contracting bool, now time.Duration) {
	if !contracting {
		p.release.contractingUntil = 0
		return
	}
	p.release.contractingUntil = now + contractingTTL
}

// contracting reports whether other pools wait for workers of this pool.
func (p *Pool) contracting(now time.Duration) bool {
	return now < p.release.contractingUntil
}

// onTimeMilli returns the part of a need for jobs that can still be done by their target.
//
// It handles this load: a pool has a backlog of jobs that are late already. Counted in full, the
// backlog would take hosts from pools whose jobs can still be on time and are worth several times
// as much.
func (p *Pool) onTimeMilli(need int64, now time.Duration) int64 {
	if !p.lackedRoom {
		return need
	}
	missed := int64(0)
	for _, j := range p.open {
		if p.deadlineStatusOf(j, now) != onTime {
			missed += j.usage(now).ProcessorsMilli
		}
	}
	return max(0, need-missed)
}

// addRelease adds to a worker's load what its release costs, while the pool is contracting.
func (p *Pool) addRelease(l *Load, w *worker, now time.Duration) {
	if !p.contracting(now) || l.Runs == 0 || l.LongRuns > 0 {
		return
	}
	plan := p.planRelease(w, now)
	l.Restartable, l.RestartCost = plan.feasible, int64(plan.cost)
	if plan.feasible {
		l.EmptyIn = plan.emptyIn
		if len(plan.restart) > 0 {
			l.EmptyIn = max(l.EmptyIn, typicalStopTime)
		}
	}
}

// planRelease returns the cheapest way to empty a worker.
//
// It handles this load: few tasks take several times as long as the others, and nearly every host
// has one of them. The other runs on a host end soon, and the long one holds a host that is nearly
// unused. For each possible time to wait, the work lost by restarts is added to the capacity that
// is unused during the wait; the time with the lowest sum is chosen. No threshold is needed: both
// are amounts of work.
func (p *Pool) planRelease(w *worker, now time.Duration) releasePlan {
	type candidate struct {
		*run
		left time.Duration
		lost float64
	}
	runs := make([]candidate, 0, len(w.inOrder))
	for _, r := range w.inOrder {
		if r.task.step.decl.LongRunning {
			return releasePlan{emptyIn: MaxDuration}
		}
		c := candidate{run: r, left: p.timeToRelease(r, now), lost: math.Inf(1)}
		if p.restartable(r, now) {
			c.lost = p.restartLoss(r, now)
		}
		runs = append(runs, c)
	}
	slices.SortStableFunc(runs, func(a, b candidate) int { return cmp.Compare(a.left, b.left) })
	// lostFrom holds the work that is lost if all runs from an index on are restarted.
	lostFrom := make([]float64, len(runs)+1)
	for n := len(runs) - 1; n >= 0; n-- {
		lostFrom[n] = lostFrom[n+1] + runs[n].lost
	}
	best, least, bestAt, ended := releasePlan{}, math.Inf(1), 0, 0.0
	for n := 0; n <= len(runs); n++ {
		// The first n runs are waited for.
		wait := typicalStopTime
		if n > 0 {
			c := runs[n-1]
			wait = max(wait, c.left)
			ended += work(c.need, c.left)
		}
		lost := lostFrom[n]
		unused := max(0, work(w.Capacity, wait)-ended)
		if lost+unused < least {
			least, bestAt = lost+unused, n
			best = releasePlan{emptyIn: wait, cost: lost, feasible: true}
		}
	}
	for _, c := range runs[bestAt:] {
		best.restart = append(best.restart, c.run)
	}
	return best
}

// restartLoss returns the work that is lost if a run is restarted. A run with checkpoints resumes
// from its progress.
func (p *Pool) restartLoss(r *run, now time.Duration) float64 {
	ran := now - r.orderedAt
	if r.task.step.decl.Checkpoint {
		ran = min(ran, migrationCost)
	}
	return work(r.need, ran)
}

// work returns the work of some cores in a time, in thousandths of a core times seconds.
func work(need jaypool.Resources, took time.Duration) float64 {
	return float64(need.ProcessorsMilli) * took.Seconds()
}

// holdTime returns how long a run is expected to hold its worker. An overdue run is expected to
// take as long again as it has taken: the tasks that take much longer than predicted differ widely.
func (p *Pool) holdTime(r *run, now time.Duration) time.Duration {
	if p.overdue(r, now) {
		return now - r.orderedAt
	}
	return p.remainingTime(r, now)
}

// timeToRelease returns how long a run is expected to hold its worker if it is not restarted.
func (p *Pool) timeToRelease(r *run, now time.Duration) time.Duration {
	if r.phase == stopping || p.mayMigrate(r, now) {
		return typicalStopTime
	}
	return p.holdTime(r, now)
}

// overdue reports whether a run has taken much longer than predicted.
func (p *Pool) overdue(r *run, now time.Duration) bool {
	takes := p.durations.predict(r.task.step.job.spec.Queue, r.task.step.decl.Estimate)
	return now-r.orderedAt > time.Duration(overdueFactor*float64(takes))
}

// restartable reports whether a run may be stopped and started anew. Runs that are not overdue end
// soon and are waited for: their restarts cost more work than the wait. A task that was restarted
// once is waited for, so that no task starts again and again. The restart of a gang's member would
// lose the progress of the whole gang, and a suspect needs a worker of its own.
func (p *Pool) restartable(r *run, now time.Duration) bool {
	s := r.task.step
	return r.phase == running && p.overdue(r, now) && len(r.task.runs) == 1 && !r.task.released &&
		!s.decl.LongRunning && !s.decl.Gang && !s.decl.Fills && r.isolation == unsuspected
}

// restartRuns stops the runs on a closed worker that start anew elsewhere, if the order allows
// it and the fleet's owner was heard recently. An owner that may have been replaced stops nothing:
// it could not start the run elsewhere.
func (p *Pool) restartRuns(w *worker, now time.Duration) {
	if !w.closed || !w.restart || !p.contracting(now) || p.OwnerUnconfirmed() || len(w.runs) == 0 {
		return
	}
	plan := p.planRelease(w, now)
	stays := func(r *run) bool {
		return len(plan.restart) > maxHoldingRuns && !p.usefulAfterRestart(r, now) || !p.roomElsewhere(r)
	}
	// A run that stays holds the worker, so that restarts of the others would gain nothing.
	if !plan.feasible || slices.ContainsFunc(plan.restart, stays) {
		return
	}
	for _, r := range plan.restart {
		lost := p.restartLoss(r, now)
		p.recordEvent(Event{Kind: RunRestarted, Worker: w.ID, Run: r.ref(), Detail: fmt.Sprintf("released, lost %.0f core milliseconds", lost), Waited: now - r.orderedAt, LostMilli: lost}, now)
		r.task.released = true
		p.stop(r, "released", now)
	}
}

// usefulAfterRestart reports whether a job whose run is restarted is on time, or late but of use
// as it would be without the restart.
func (p *Pool) usefulAfterRestart(r *run, now time.Duration) bool {
	j := r.task.step.job
	left := p.timeToRelease(r, now)
	again := now + typicalStopTime + max(left, now-r.orderedAt+p.remainingTime(r, now))
	if again <= j.target {
		return true
	}
	return now+left > j.target && again <= j.submittedAt+maxLateFactor*(j.target-j.submittedAt)
}

// roomElsewhere reports whether some worker that stays is large enough for a run. Free room is not
// required: in a pool with a backlog there is never any, and the restarted task is served by its
// target, before nearly all that wait.
func (p *Pool) roomElsewhere(r *run) bool {
	return slices.ContainsFunc(p.sorted, func(w *worker) bool {
		return w != r.worker && w.usable() && w.roomBesideLongRuns().Fits(r.need) &&
			(r.task.step.decl.RequiredLabel == "" || slices.Contains(w.Labels, r.task.step.decl.RequiredLabel))
	})
}

// updateBusyTimes computes until when each worker is busy, while the pool is contracting.
func (p *Pool) updateBusyTimes(now time.Duration) {
	if !p.contracting(now) || now < p.release.busyAt+busyRefreshInterval {
		return
	}
	p.release.busyAt = now
	for _, w := range p.sorted {
		w.busyUntil = now
		for _, r := range w.inOrder {
			if r.task.step.decl.LongRunning {
				w.busyUntil = MaxDuration
				break
			}
			w.busyUntil = max(w.busyUntil, now+p.holdTime(r, now))
		}
	}
}

// compareBusy orders workers that are busy anyway for as long as a task takes before others, while
// the pool is contracting: the others become empty sooner.
func (p *Pool) compareBusy(t *task, a, b *worker, now time.Duration) int {
	if !p.contracting(now) {
		return 0
	}
	ends := now + p.durations.predict(t.step.job.spec.Queue, t.step.decl.Estimate)
	return compareBool(a.busyUntil < ends, b.busyUntil < ends)
}
