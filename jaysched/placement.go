package jaysched

import (
	"slices"
	"time"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// placement is a run of a service task with its worker, which is recorded before the run begins.
//
// It handles this load: the host of a service task is lost together with the owner of its pool, and some
// other worker does not answer. The next owner waits for the worker of the placement only, and not at all if
// there is none. Other tasks end by themselves, and a record for each of them would cost more than the wait.
// Those of speculative steps may have several runs, and have no placements.
type placement struct {
	run    int64
	worker string
	// carried is for how long the owners that may have granted the worker a lease had been fenced at least
	// when this owner fenced the last one, and waited is the same when the wait was last to be recorded.
	carried, waited time.Duration
	// renewed says that this owner has granted the worker a lease during its takeover, so that no wait is carried
	// over.
	renewed bool
}

// WithPlacementsSince sets the first term from which on all owners of the pool record placements: a record
// of an earlier owner does not have all of them. Zero stands for none.
func WithPlacementsSince(term int64) Option {
	return func(p *Pool) { p.placementsSince = term }
}

// recordsPlacements reports whether the runs of the step's tasks are recorded before they begin.
func (s *step) recordsPlacements() bool {
	return s.decl.LongRunning && !s.decl.Speculative
}

// placement returns the latest run of a task whose outcome is not known, in its stored form, or nil.
func (t *task) placement() *jaywire.Placement {
	if !t.step.recordsPlacements() || t.done {
		return nil
	}
	if len(t.runs) > 0 {
		r := t.runs[0]
		return &jaywire.Placement{Run: r.number, Worker: r.worker.ID}
	}
	if f := t.formerPlacement; f != nil {
		return &jaywire.Placement{Run: f.run, Worker: f.worker, WaitedMillis: uint32(f.waited.Milliseconds())}
	}
	return nil
}

// mayHaveUnreported reports whether a former owner may have started tasks of the step of which it has
// recorded no placement.
func (s *step) mayHaveUnreported() bool {
	return s.job.mayRunUnreported && !(s.job.placementsTerm > 0 && s.recordsPlacements())
}

// completePlacements records that all runs of a job's service tasks are known.
func (p *Pool) completePlacements(j *job) {
	if j.longRunning {
		j.placementsTerm = p.term
	}
}

// recordIsComplete reports whether the placements in a record of a job, or nil, are complete.
func (p *Pool) recordIsComplete(progress *jaywire.JobProgress) bool {
	if progress == nil {
		return p.placementsSince == 1
	}
	return p.placementsSince > 0 && int64(progress.PlacementsTerm) >= p.placementsSince
}

// restorePlacements makes the tasks of a restored job wait for the workers of their recorded placements.
func (p *Pool) restorePlacements(j *job, progress *jaywire.JobProgress) {
	if !p.recordIsComplete(progress) {
		j.placementsTerm = 0
		p.placementsIncomplete = p.placementsIncomplete || j.longRunning
		return
	}
	p.completePlacements(j)
	for _, record := range progress.GetSteps() {
		s := j.stepOf(jayport.StepID{Job: j.spec.ID, Occurrence: int(record.Occurrence), Step: int(record.Step)})
		if s == nil || !s.recordsPlacements() {
			continue
		}
		for _, r := range record.Tasks {
			if r.Placement == nil || int(r.Index) >= s.decl.Tasks || hasBit(s.done, int(r.Index)) {
				continue
			}
			t := s.holdTask(int(r.Index))
			waited := time.Duration(0)
			if int64(progress.PlacementsTerm)+1 == p.term {
				waited = time.Duration(r.Placement.WaitedMillis) * time.Millisecond
			}
			t.formerPlacement = &placement{run: r.Placement.Run, worker: r.Placement.Worker, carried: waited, waited: waited}
			j.started = true
			p.formerPlacements[t.formerPlacement.worker] = append(p.formerPlacements[t.formerPlacement.worker], t)
		}
	}
}

// endFormerPlacements ends the placements that former owners have recorded for a worker: it has reported
// without their runs, or is gone.
func (p *Pool) endFormerPlacements(worker string) {
	for _, t := range p.formerPlacements[worker] {
		if t.formerPlacement != nil && t.formerPlacement.worker == worker {
			t.formerPlacement = nil
			p.placementChanged(t)
		}
	}
	delete(p.formerPlacements, worker)
}

// placementChanged requests that a task be recorded with its present placement, or without one, so that the
// next owner waits for no other worker.
func (p *Pool) placementChanged(t *task) {
	if t.step.recordsPlacements() && t.step.job.outcome == Open {
		p.markChanged(t.step.job)
	}
}

// recordPlacement records a run before it begins.
func (p *Pool) recordPlacement(r *run) {
	r.phase = unrecorded
	r.task.formerPlacement = nil
	p.markChanged(r.task.step.job)
	p.recordNow = true
}

// startRecorded starts the runs whose placements are recorded, within the limit of starts and unless the owner
// may have been replaced.
func (p *Pool) startRecorded(now time.Duration) {
	if p.OwnerUnconfirmed() {
		return
	}
	recorded := p.recordedRuns
	p.recordedRuns = nil
	for _, r := range recorded {
		if p.startsLeft <= 0 && !r.gangHasBegun() {
			p.recordedRuns = append(p.recordedRuns, r)
			continue
		}
		p.startRecordedRun(r, now)
	}
}

// gangHasBegun reports whether another member of a run's gang was sent already.
func (r *run) gangHasBegun() bool {
	return r.task.step.decl.Gang && slices.ContainsFunc(r.task.step.tasks, func(t *task) bool {
		return len(t.runs) > 0 && t.runs[0].number == r.number && t.runs[0].phase != unrecorded
	})
}

// startRecordedRun sends the start order of a run whose placement is recorded. If its worker, or that of
// another member of its gang, has become unusable or lacks room in the meantime, the task waits for another
// one.
func (p *Pool) startRecordedRun(r *run, now time.Duration) {
	if r.phase != unrecorded || r.worker.runs[r.ref()] != r {
		return
	}
	if r.task.step.decl.Gang && !gangMayBegin(r) {
		for _, t := range r.task.step.tasks {
			if member := t.unrecordedRun(); member != nil {
				p.dropUnsent(member, now)
			}
		}
		return
	}
	if !r.mayBegin() {
		p.dropUnsent(r, now)
		return
	}
	p.sendFirstStart(r, now)
}

// unrecordedRun returns the run of a task that is not sent before it is recorded, or nil.
func (t *task) unrecordedRun() *run {
	if len(t.runs) > 0 && t.runs[0].phase == unrecorded {
		return t.runs[0]
	}
	return nil
}

// mayBegin reports whether the worker of a run that was not sent can still start it.
func (r *run) mayBegin() bool {
	w := r.worker
	return (w.usable() || w.keepsService()) && w.unaccountedRuns == 0 && !w.overCommitted()
}

// gangMayBegin reports whether all members of the gang of a run can start: none has been lost or stopped.
func gangMayBegin(r *run) bool {
	for _, t := range r.task.step.tasks {
		if len(t.runs) == 0 || t.runs[0].number != r.number {
			return false
		}
		switch member := t.runs[0]; member.phase {
		case unrecorded:
			if !member.mayBegin() {
				return false
			}
		case stopping, stopped:
			return false
		case ordered, unanswered, running:
		}
	}
	return true
}

// dropUnsent removes a run that was not sent.
func (p *Pool) dropUnsent(r *run, now time.Duration) {
	p.endTrial(r.task, r.number)
	p.dropUnstarted(r, now)
}

// heldForFormerOwner reports whether a task must not start, since a former owner may have started it on a worker
// that has not reported yet. formerRuns says whether there is such a worker.
func (p *Pool) heldForFormerOwner(t *task, formerRuns bool, now time.Duration) bool {
	return formerRuns && t.mayRunUnreported || t.formerPlacement != nil && now < p.placementHeldUntil(t.formerPlacement)
}

// workersOfFormerPlacements counts the workers that service tasks wait for since they may run there: the pool
// needs them beside those that serve.
func (p *Pool) workersOfFormerPlacements(now time.Duration) int {
	count := 0
	for id, tasks := range p.formerPlacements {
		waits := func(t *task) bool {
			return t.formerPlacement != nil && t.formerPlacement.worker == id && t.waiting() && p.heldForFormerOwner(t, false, now)
		}
		if slices.ContainsFunc(tasks, waits) {
			count++
		}
	}
	return count
}

// reviewPlacements completes the placements of restored services once all runs of former owners are known.
func (p *Pool) reviewPlacements(formerRuns bool) {
	if formerRuns || !p.placementsIncomplete {
		return
	}
	p.placementsIncomplete = false
	for _, j := range p.open {
		switch {
		case !j.longRunning || j.placementsTerm > 0:
		case j.foundInStore && p.hasUnprocessedRuns(j):
			p.placementsIncomplete = true
		default:
			p.completePlacements(j)
			p.markChanged(j)
		}
	}
}

// placementAdopted handles the run of a service task that a worker has shown. Unless a former owner has
// recorded it, it is to be recorded.
func (p *Pool) placementAdopted(r *run) {
	t := r.task
	former := t.formerPlacement
	if former != nil && former.run == r.number {
		t.formerPlacement = nil
	}
	if former == nil || former.run != r.number || former.worker != r.worker.ID {
		p.placementChanged(t)
	}
}
