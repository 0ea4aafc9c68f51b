package jaysched

import (
	"slices"
	"time"
)

// minCancelMarkTime is the least time for which a cancellation of an unknown job is kept. An append of
// the job's record that was under way has taken effect by then or never does.
const minCancelMarkTime = 2 * time.Minute

// Expired returns at most the given number of jobs whose end has been recorded in the store and
// that ended at least the retention time ago, those of which only a cancellation is known apart. Their
// records can be removed: a store that keeps
// the newest record of each key forever would fill up with them. A retention time of zero keeps
// the jobs forever, and cancellations of unknown jobs for minCancelMarkTime.
func (p *Pool) Expired(now, retain time.Duration, most int) (jobs, cancellations []string) {
	var expired []string
	for id, j := range p.jobs {
		if j.recorded != Open && now-j.endedAt >= j.retention(retain) && !j.removing {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired[:min(len(expired), most)] {
		j := p.jobs[id]
		j.removing = true
		if j.unsubmitted() {
			cancellations = append(cancellations, id)
		} else {
			jobs = append(jobs, id)
		}
	}
	return jobs, cancellations
}

// retention returns for how long the end of a job is kept.
func (j *job) retention(retain time.Duration) time.Duration {
	switch {
	case j.unsubmitted():
		return max(retain, minCancelMarkTime)
	case retain == 0:
		return MaxDuration
	default:
		return retain
	}
}

// Removed handles the result of removing the records of expired jobs. If they were removed, the
// jobs are forgotten, and returned; otherwise they expire again.
func (p *Pool) Removed(ids []string, done bool) (forgotten []string) {
	for _, id := range ids {
		j, known := p.jobs[id]
		switch {
		case !known || !j.removing: // it was declared meanwhile
		case done:
			if j.unsubmitted() {
				p.cancelMarks--
			}
			delete(p.jobs, id)
			forgotten = append(forgotten, id)
		default:
			j.removing = false
		}
	}
	return forgotten
}
