package jaysched

import (
	"slices"
	"time"

	"jaythread/jayhome"
	"jaythread/jayspec"
)

// unsettled reports whether the job must not be begun, since another pool may have it.
func (j *job) unsettled() bool {
	return j.disputed && !j.started && !j.begun && j.outcome == Open
}

// Dispute holds a job that has not begun until Settle or Withdraw is called. It reports whether the job
// is held.
func (p *Pool) Dispute(id string, now time.Duration) bool {
	j, known := p.jobs[id]
	if !known || j.outcome != Open || j.started || j.begun || j.hasRuns() {
		return false
	}
	if !j.disputed {
		j.disputed, j.disputedAt = true, now
	}
	return true
}

// Disputed returns the jobs that wait to be settled, in the order in which they are served.
func (p *Pool) Disputed() []*jayspec.Job {
	var jobs []*jayspec.Job
	for _, j := range p.open {
		if j.unsettled() {
			jobs = append(jobs, j.spec)
		}
	}
	return jobs
}

// Settle lets a disputed job begin, after the owners of all pools that may have it were asked at a time
// and none has it. It reports whether the job is settled. An answer to a question that was asked before
// Concede is too old, and a former owner's run of the job may not be reported yet.
func (p *Pool) Settle(id string, asked, now time.Duration) bool {
	j, known := p.jobs[id]
	if !known || !j.unsettled() || asked < j.disputedAt || p.mayHaveBegun(j, now) {
		return false
	}
	j.disputed = false
	return true
}

// Withdraw removes a disputed job that has been settled in another pool. It reports whether the job is
// removed.
func (p *Pool) Withdraw(id string, now time.Duration) bool {
	j, known := p.jobs[id]
	if !known || !j.unsettled() || p.mayHaveBegun(j, now) {
		return false
	}
	delete(p.jobs, id)
	p.footprint -= j.footprint
	isJob := func(other *job) bool { return other == j }
	p.open = slices.DeleteFunc(p.open, isJob)
	p.changed = slices.DeleteFunc(p.changed, isJob)
	return true
}

// HoldingOf returns what the pool has of a job and the organisation that the job belongs to. A job that was
// cancelled before it was declared counts as settled, for the organisation that has cancelled it.
func (p *Pool) HoldingOf(id, organisation string, now time.Duration) (jayhome.Holding, string) {
	j, known := p.jobs[id]
	switch {
	case !known && p.cancellations.Covers(id, organisation):
		return jayhome.Settled, organisation
	case !known:
		return jayhome.None, ""
	case !j.unsettled():
		return jayhome.Settled, j.spec.Organisation
	case p.mayHaveBegun(j, now):
		return jayhome.Unclear, j.spec.Organisation
	default:
		return jayhome.Disputed, j.spec.Organisation
	}
}

// Concede records that the owner of another pool, which goes first, has been told that a job is disputed
// here: that pool may settle it.
func (p *Pool) Concede(id string, now time.Duration) {
	if j, known := p.jobs[id]; known && j.unsettled() {
		j.disputedAt = now
	}
}

// mayHaveBegun reports whether a former owner may have begun a job that it has not recorded as begun.
func (p *Pool) mayHaveBegun(j *job, now time.Duration) bool {
	if !p.formerRunsPossible(now) {
		return false
	}
	unreported := j.mayRunUnreported && j.unheldTasks() > 0
	j.eachTask(func(t *task) { unreported = unreported || p.heldForFormerOwner(t, true, now) && !t.done })
	return unreported
}

// hasRuns reports whether any task of the job has a run.
func (j *job) hasRuns() bool {
	found := false
	j.eachTask(func(t *task) { found = found || len(t.runs) > 0 })
	return found
}

// Addresses returns the addresses of the queues that the pool has jobs of; complete is false if there is a
// job whose queue is not known.
func (p *Pool) Addresses() (addresses map[string]bool, complete bool) {
	addresses, complete = map[string]bool{}, true
	for _, j := range p.jobs {
		if j.spec.Address == "" {
			complete = false
			continue
		}
		addresses[j.spec.Address] = true
	}
	return addresses, complete
}
