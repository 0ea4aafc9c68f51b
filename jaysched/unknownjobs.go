package jaysched

import (
	"maps"
	"time"

	"jaythread/jayownership"
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
//
// A caller may also repeat its request, so that the next owner stores the job too, and begins it
// while it runs on a worker that has not reported. Therefore a job that is stored shortly after the
// takeover counts as one of a former owner, until all jobs are known that such an owner begins, and this
// one has only the record of this owner.
type unknownJobs struct {
	// tracked says that the owner reports up to which time jobs are known.
	tracked bool
	// jobsAsOf is the time up to which all stored jobs are known.
	jobsAsOf time.Duration
	// seenAt is when a worker first reported a run of each job.
	seenAt map[string]time.Duration
	// shared counts the records that were read of each job that this owner has stored and that a
	// former one may have stored too.
	shared map[string]int
	// reloaded says that jobs were read without their earlier records, so that no count is complete.
	reloaded bool
}

// unknownJobTTL is how long an unknown job of which a worker has reported a run is
// remembered; a run that is ordered to stop is listed for less than a second.
const unknownJobTTL = time.Minute

// JobsKnown sets the time up to which all submitted jobs are known.
func (p *Pool) JobsKnown(asOf time.Duration) {
	p.unknownJobs.tracked = true
	p.unknownJobs.jobsAsOf = max(p.unknownJobs.jobsAsOf, asOf)
	maps.DeleteFunc(p.unknownJobs.seenAt, func(_ string, at time.Duration) bool { return at+unknownJobTTL < asOf })
	if p.formerJobsKnown(asOf) {
		p.endSharing(asOf)
	}
}

// formerJobsKnown reports whether all jobs that former owners begin are known if all are that were stored
// by a time.
func (p *Pool) formerJobsKnown(asOf time.Duration) bool {
	return asOf >= jayownership.StoredByFormerUntil(p.formerRuns.takenOverAt)
}

// DeclareFound handles a record of a job that another owner may have stored, and adds the job if it is
// not known.
func (p *Pool) DeclareFound(spec *jayspec.Job, now time.Duration) (added bool) {
	if !p.Declare(spec, now) {
		if _, shared := p.unknownJobs.shared[spec.ID]; shared {
			p.unknownJobs.shared[spec.ID]++
		}
		return false
	}
	j := p.jobs[spec.ID]
	j.foundInStore = true
	p.needOwner(j, now)
	delete(p.unknownJobs.shared, spec.ID)
	p.inherit(j)
	return true
}

// JobsReloaded records that only the newest record of each job is read: which jobs another owner has
// stored too is not known any more.
func (p *Pool) JobsReloaded() {
	p.unknownJobs.shared, p.unknownJobs.reloaded = nil, true
}

// needOwner records that the owner must be confirmed up to a time to begin a job.
func (p *Pool) needOwner(j *job, at time.Duration) {
	j.ownerNeededAt = at
	p.right.Need(at)
}

// inherit records that a former owner may have begun a job.
func (p *Pool) inherit(j *job) {
	j.inherited = true
	p.restorePlacements(j, nil)
	j.markUnreported()
	p.quotas.possible = nil
}

// shareWithFormer handles a job that this owner has stored: a former one may have stored and begun
// it too.
func (p *Pool) shareWithFormer(j *job, now time.Duration) {
	asOf := now
	if p.unknownJobs.tracked {
		asOf = p.unknownJobs.jobsAsOf
	}
	if p.formerJobsKnown(asOf) || !p.formerRunsPossible(now) {
		return
	}
	p.inherit(j)
	if p.unknownJobs.reloaded {
		return
	}
	if p.unknownJobs.shared == nil {
		p.unknownJobs.shared = map[string]int{}
	}
	p.unknownJobs.shared[j.spec.ID] = 0
}

// endSharing releases the jobs that no other owner has stored, if all records up to a time were read and
// those of this owner are among them.
func (p *Pool) endSharing(asOf time.Duration) {
	for id, records := range p.unknownJobs.shared {
		j, known := p.jobs[id]
		if known && j.submittedAt > asOf {
			continue
		}
		if known && records <= 1 {
			j.clearInherited()
		}
		delete(p.unknownJobs.shared, id)
	}
}

// clearInherited records that no former owner has begun a job.
func (j *job) clearInherited() {
	j.inherited, j.mayRunUnreported = false, false
	j.eachTask(func(t *task) { t.mayRunUnreported = false })
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
