package jaysched

import (
	"time"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// Restore adds a job with the progress that a former owner has recorded. The progress is nil
// if there is none. Tasks that the former owner may have started wait until every worker has
// reported its runs.
func (p *Pool) Restore(spec *jayspec.Job, progress *jaywire.JobProgress, now time.Duration) {
	if _, known := p.jobs[spec.ID]; known {
		return
	}
	j := newJob(spec, now, p.dueAt)
	j.inherited = true
	if progress != nil {
		j.started = progress.Started
		j.begun = progress.NextOccurrence > 0 || len(progress.Steps) > 0
		j.restoreProgress(progress)
	}
	p.restorePlacements(j, progress)
	j.holdDue(now)
	j.markUnreported()
	if p.restoredAt == 0 {
		p.restoredAt = now
	}
	p.add(j)
	p.quotas.possible = nil
	p.awaitFormerTrials(j)
	p.giveUpCrashing(j, now)
}

// takeoverReportTimeout is how long after a takeover requests for the state of a job remain
// unanswered because some worker has not reported. A worker reports within some milliseconds; a
// lost one does not.
const takeoverReportTimeout = 2 * time.Second

// StateKnown reports whether the state of a job can be answered. What has happened to the job since
// the former owner recorded it is known once the workers have reported: until then a job that was shown
// as running may seem to be queued. The state of a job that another pool may have is that pool's to tell.
func (p *Pool) StateKnown(id string, now time.Duration) bool {
	j, known := p.jobs[id]
	if known && j.unsettled() {
		return false
	}
	if !known || j.outcome != Open || now >= p.restoredAt+takeoverReportTimeout {
		return true
	}
	return !p.mayHaveBegun(j, now)
}

// RestoreUnreadable adds a job whose recorded progress cannot be read. Its runs continue, but
// none of its tasks is started: a task that is done would run twice.
func (p *Pool) RestoreUnreadable(spec *jayspec.Job, now time.Duration) {
	if _, known := p.jobs[spec.ID]; !known {
		j := newJob(spec, now, p.dueAt)
		j.unreadable = true
		j.holdDue(now)
		p.jobs[spec.ID] = j
	}
}

// RestoreEnded adds a job that has ended, of which only its organisation and its outcome are
// kept.
func (p *Pool) RestoreEnded(id, organisation string, outcome Outcome, now time.Duration) {
	p.jobs[id] = &job{spec: &jayspec.Job{ID: id, Organisation: organisation}, outcome: outcome, recorded: outcome, endedAt: now}
}

// OutcomeOf returns the outcome of a record.
func OutcomeOf(progress *jaywire.JobProgress) Outcome {
	if progress == nil || progress.Outcome < 0 || int(progress.Outcome) >= len(outcomeNames) {
		return Open
	}
	return Outcome(progress.Outcome)
}

// restoreProgress restores what a former owner has recorded. An earlier version recorded no numbers
// of occurrences, but the steps of all that had begun.
func (j *job) restoreProgress(progress *jaywire.JobProgress) {
	j.series.Restore(int(progress.NextOccurrence), progress.OpenOccurrences, progress.EndedAhead, func(number int) { j.hold(number) })
	for _, record := range progress.Steps {
		j.restoreStep(record)
	}
}

func (j *job) restoreStep(record *jaywire.StepProgress) {
	s := j.stepOf(jayport.StepID{Job: j.spec.ID, Occurrence: int(record.Occurrence), Step: int(record.Step)})
	if s == nil {
		return
	}
	for n := range s.decl.Tasks {
		if hasBit(record.Done, n) && !hasBit(s.done, n) {
			s.restoreDone(n)
		}
	}
	s.holdTask(bitsInByte*len(s.done) - 1)
	for _, t := range record.Tasks {
		if int(t.Index) < s.decl.Tasks && !hasBit(s.done, int(t.Index)) {
			held := s.holdTask(int(t.Index))
			held.failedRuns = t.FailedRuns
			held.lastRun = t.LastRun
			held.saveCheckpoint(t.Checkpoint, t.LastRun)
			held.restoreCrashes(t)
		}
	}
	if s.open > 0 {
		return
	}
	for _, next := range s.successors {
		next.openPredecessors--
	}
	s.occ.openSteps--
	if s.occ.openSteps == 0 {
		j.endOccurrence(s.occ)
	}
}

// restoreDone marks a task as done.
func (s *step) restoreDone(index int) {
	if index < s.made {
		s.holdTask(index).finish()
		return
	}
	s.done = setBit(s.done, index)
	s.addWaiting(-1)
	s.open--
}
