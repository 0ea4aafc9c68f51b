package jaysched

import (
	"fmt"
	"time"

	"jaythread/jaycancel"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// CancelUnknown cancels a job that the pool does not know, on behalf of an organisation. The job never
// starts if its declaration arrives later. The caller may be answered once recorded is true; kept is
// false if the pool has no room for another cancellation. A job of another organisation is not affected.
func (p *Pool) CancelUnknown(id, organisation string, now time.Duration) (recorded, kept bool) {
	if _, known := p.jobs[id]; known {
		return true, true // it belongs to another organisation
	}
	recorded, added, kept := p.cancellations.Cancel(id, organisation, now)
	if added {
		p.recordEvent(Event{Kind: UnknownJobCanceled, Job: id, Organisation: organisation}, now)
	}
	return recorded, kept
}

// KeepsCancellations reports whether the pool keeps cancellations of unknown jobs.
func (p *Pool) KeepsCancellations() bool {
	return p.cancellations.Len() > 0
}

// CanceledBefore reports whether a job of an organisation was cancelled and is not declared yet.
func (p *Pool) CanceledBefore(id, organisation string) bool {
	return p.cancellations.Covers(id, organisation)
}

// declareCanceled adds a job that was cancelled before it was declared.
func (p *Pool) declareCanceled(spec *jayspec.Job, canceledAt, now time.Duration) {
	j := &job{spec: &jayspec.Job{ID: spec.ID, Organisation: spec.Organisation}, outcome: Canceled, endedAt: now}
	p.jobs[spec.ID] = j
	p.markChanged(j) // replaces the record of the cancellation, which may not be in the store yet
	p.recordEvent(Event{Kind: JobEnded, Job: spec.ID, Organisation: spec.Organisation, Detail: fmt.Sprintf("%v before it was declared", Canceled), Since: now - canceledAt}, now)
}

// AppliesTo reports whether a record is the progress of a job of an organisation. The cancellation of an
// unknown job by another organisation is not.
func AppliesTo(progress *jaywire.JobProgress, organisation string) bool {
	by := progress.GetCanceledBy()
	return len(by) == 0 || jaycancel.Covers(by, organisation)
}

// RestoreCanceled restores the cancellation of a job that the former owner did not know. It does
// nothing if the job is known by now.
func (p *Pool) RestoreCanceled(id string, by []string, now time.Duration) {
	if _, known := p.jobs[id]; !known {
		p.cancellations.Restore(id, by, now)
	}
}

// ExpiredCancellations returns the IDs of at most some unknown jobs whose cancellation is recorded and is
// older than the retention time. Their records can be removed.
func (p *Pool) ExpiredCancellations(now, retain time.Duration, most int) []string {
	return p.cancellations.Expired(now, retain, most)
}

// CancellationsRemoved handles the result of removing the records of expired cancellations, and returns
// the IDs of those that are forgotten.
func (p *Pool) CancellationsRemoved(ids []string, done bool) (forgotten []string) {
	return p.cancellations.Removed(ids, done)
}
