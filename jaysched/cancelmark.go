package jaysched

import (
	"fmt"
	"slices"
	"time"

	"jaythread/jayspec"
	"jaythread/jaywire"
)

// maxCancelMarks limits the number of unknown jobs whose cancellation a pool keeps. Each takes memory
// and a record in the store until it expires.
const maxCancelMarks = 5000

// CancelUnknown cancels a job that the pool does not know, on behalf of an organisation. The job never
// starts if its declaration arrives later. The caller may be answered once recorded is true: the
// cancellation is then in the store. kept is false if the pool keeps maxCancelMarks of them already.
// A job of another organisation is not affected.
//
// It prevents this failure: a caller submits a job while the store does not answer, leaves, cancels the
// job and is told that it does not exist; then the append of its declaration takes effect and the job
// runs. Any entry may have made that append, so that no owner knows whether one is under way.
func (p *Pool) CancelUnknown(id, organisation string, now time.Duration) (recorded, kept bool) {
	j, known := p.jobs[id]
	switch {
	case known && !j.unsubmitted():
		return true, true // it belongs to another organisation
	case !known && p.cancelMarks >= maxCancelMarks:
		return false, false
	case !known:
		j = &job{spec: &jayspec.Job{ID: id}, outcome: Canceled, submittedAt: now}
		p.jobs[id] = j
		p.cancelMarks++
	}
	added := !slices.Contains(j.canceledBy, organisation)
	if added {
		j.canceledBy = append(j.canceledBy, organisation)
	}
	if added || j.removing {
		j.recorded, j.removing = Open, false
		p.recordEvent(Event{Kind: UnknownJobCanceled, Job: id, Organisation: organisation}, now)
		p.markChanged(j)
	}
	j.endedAt = now
	return j.recorded != Open, true
}

// CanceledBefore reports whether a job of an organisation was cancelled before it was declared.
func (p *Pool) CanceledBefore(id, organisation string) bool {
	j, known := p.jobs[id]
	return known && j.unsubmitted() && covers(j.canceledBy, organisation)
}

// unsubmitted reports whether only a cancellation of the job is known.
func (j *job) unsubmitted() bool {
	return len(j.canceledBy) > 0
}

// covers reports whether some of the organisations may cancel a job of an organisation.
func covers(canceledBy []string, organisation string) bool {
	return len(canceledBy) > 0 && (organisation == "" || slices.Contains(canceledBy, organisation))
}

// declareCanceled handles the declaration of a job that was cancelled before. It reports whether the
// job stays cancelled: a cancellation by another organisation has no effect.
func (p *Pool) declareCanceled(j *job, spec *jayspec.Job, now time.Duration) (canceled bool) {
	p.cancelMarks--
	if !covers(j.canceledBy, spec.Organisation) {
		delete(p.jobs, spec.ID)
		return false
	}
	p.recordEvent(Event{
		Kind: JobEnded, Job: spec.ID, Organisation: spec.Organisation, Waited: now - j.submittedAt,
		Detail: fmt.Sprintf("%v before it was known", Canceled), Since: now - j.endedAt,
	}, now)
	j.spec, j.canceledBy = &jayspec.Job{ID: spec.ID, Organisation: spec.Organisation}, nil
	j.endedAt, j.removing = now, false
	p.markChanged(j)
	return true
}

// AppliesTo reports whether a record is the progress of a job of an organisation. The cancellation of an
// unknown job by another organisation is not.
func AppliesTo(progress *jaywire.JobProgress, organisation string) bool {
	by := progress.GetCanceledBy()
	return len(by) == 0 || covers(by, organisation)
}

// RestoreCanceled restores the cancellation of a job that the former owner did not know. It does
// nothing if the job is known by now.
func (p *Pool) RestoreCanceled(id string, canceledBy []string, now time.Duration) {
	if _, known := p.jobs[id]; known {
		return
	}
	p.jobs[id] = &job{spec: &jayspec.Job{ID: id}, outcome: Canceled, recorded: Canceled, canceledBy: canceledBy, submittedAt: now, endedAt: now}
	p.cancelMarks++
}
