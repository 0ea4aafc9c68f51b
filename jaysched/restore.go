package jaysched

import (
	"time"

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
		for _, record := range progress.Steps {
			j.restoreStep(record)
		}
	}
	j.eachTask(func(t *task) { t.mayRunUnreported = !t.done })
	if p.restoredAt == 0 {
		p.restoredAt = now
	}
	p.add(j)
	p.quotas.possible = nil
	p.giveUpCrashing(j, now)
}

// takeoverReportTimeout is how long after a takeover requests for the state of a job remain
// unanswered because some worker has not reported. A worker reports within some milliseconds; a
// lost one does not.
const takeoverReportTimeout = 2 * time.Second

// StateKnown reports whether the state of a job can be answered. A former owner may have shown
// the job as done to its caller before that was recorded; then only the workers have the ends
// of its tasks, and until they have reported, the job seems to be running.
func (p *Pool) StateKnown(id string, now time.Duration) bool {
	j, known := p.jobs[id]
	if !known || j.outcome != Open || now >= p.restoredAt+takeoverReportTimeout || !p.formerRunsPossible(now) {
		return true
	}
	unreported := false
	j.eachTask(func(t *task) { unreported = unreported || t.mayRunUnreported && !t.done })
	return !unreported
}

// RestoreShown ends a restored job that a former owner has shown as done, by the word of a
// witness. Its end is recorded like any other.
func (p *Pool) RestoreShown(id string, now time.Duration) {
	j, known := p.jobs[id]
	if !known || j.outcome != Open {
		return
	}
	j.witnessed = true
	p.end(j, Done, now)
	p.recordEvent(Event{Kind: JobEnded, Job: id, Detail: Done.String(), Waited: now - j.submittedAt}, now)
}

// RestoreUnreadable adds a job whose recorded progress cannot be read. Its runs continue, but
// none of its tasks is started: a task that is done would run twice.
func (p *Pool) RestoreUnreadable(spec *jayspec.Job, now time.Duration) {
	if _, known := p.jobs[spec.ID]; !known {
		p.jobs[spec.ID] = newJob(spec, now, p.dueAt)
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

func (j *job) restoreStep(record *jaywire.StepProgress) {
	if int(record.Occurrence) >= len(j.occurrences) {
		return
	}
	o := j.occurrences[record.Occurrence]
	if int(record.Step) >= len(o.steps) {
		return
	}
	s := o.steps[record.Step]
	for _, t := range record.Tasks {
		if int(t.Index) < len(s.tasks) {
			s.tasks[t.Index].failedRuns = t.FailedRuns
			s.tasks[t.Index].checkpoint = t.Checkpoint
			s.tasks[t.Index].lastRun = t.LastRun
			s.tasks[t.Index].restoreCrashes(t)
		}
	}
	for n, t := range s.tasks {
		if hasBit(record.Done, n) {
			t.finish()
		}
	}
	if s.open > 0 {
		return
	}
	for _, next := range s.successors {
		next.openPredecessors--
	}
	o.openSteps--
	if o.openSteps == 0 {
		j.openOccurrences--
	}
}
