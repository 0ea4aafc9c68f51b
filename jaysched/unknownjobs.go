package jaysched

import (
	"maps"
	"time"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// unknownJobs are jobs of which workers report runs and that the pool does not know.
//
// They prevent this failure: a former owner that does not know yet that it was replaced stores
// one more job and begins it. The next owner, which has already read the jobs, ignores the ends
// of its runs and acknowledges them, so that the workers forget them; then it reads the job,
// takes it for a new one and runs it again. The symptom is a task that is started a second or
// two after a run of it has ended as done.
//
// Therefore a worker's report of such a job is kept until all jobs are known that were stored
// before the report, and the job is not begun before its worker has reported again.
type unknownJobs struct {
	// tracked says that the owner reports up to which time jobs are known.
	tracked bool
	// jobsAsOf is the time up to which all stored jobs are known.
	jobsAsOf time.Duration
	// seenAt is when a worker first reported a run of each job.
	seenAt map[string]time.Duration
}

// unknownJobTTL is how long an unknown job of which a worker has reported a run is
// remembered; a run that is ordered to stop is listed for less than a second.
const unknownJobTTL = time.Minute

// JobsKnown sets the time up to which all submitted jobs are known.
func (p *Pool) JobsKnown(asOf time.Duration) {
	p.unknownJobs.tracked = true
	p.unknownJobs.jobsAsOf = max(p.unknownJobs.jobsAsOf, asOf)
	maps.DeleteFunc(p.unknownJobs.seenAt, func(_ string, at time.Duration) bool { return at+unknownJobTTL < asOf })
}

// DeclareFound adds a job that another owner has stored.
func (p *Pool) DeclareFound(spec *jayspec.Job, now time.Duration) (added bool) {
	if !p.Declare(spec, now) {
		return false
	}
	j := p.jobs[spec.ID]
	j.foundInStore, j.foundAt, j.inherited = true, now, true
	p.right.Need(now)
	p.quotas.possible = nil
	j.markUnreported()
	return true
}

// mayBecomeKnown reports whether the job of a run that a worker has just reported may be one
// that was stored and is not known yet.
func (p *Pool) mayBecomeKnown(w *worker, run jayport.RunRef, now time.Duration) bool {
	job := run.Task.Job
	if _, known := p.jobs[job]; known || !p.unknownJobs.tracked {
		delete(p.unknownJobs.seenAt, job)
		return false
	}
	if p.unknownJobs.seenAt == nil {
		p.unknownJobs.seenAt = map[string]time.Duration{}
	}
	since, seen := p.unknownJobs.seenAt[job]
	if !seen {
		since = now
		p.unknownJobs.seenAt[job] = now
	}
	if p.unknownJobs.jobsAsOf > since {
		return false
	}
	if w.unknownJobs == nil {
		w.unknownJobs = map[string]bool{}
	}
	w.unknownJobs[job] = true
	return true
}

// hasUnprocessedRuns reports whether the latest report of some worker has runs of a job that
// was not known at that time: the worker's next report shows their outcome. The runs of a lapsed
// worker have ended with its lease. Once there is none, foundInStore is cleared.
func (p *Pool) hasUnprocessedRuns(j *job) bool {
	for _, w := range p.sorted {
		if w.contact != lapsed && w.unknownJobs[j.spec.ID] {
			return true
		}
	}
	j.foundInStore = false
	return false
}
