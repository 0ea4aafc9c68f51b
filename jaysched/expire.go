package jaysched

import (
	"slices"
	"time"
)

// Expired returns the jobs that have ended, and whose end stands in the store,
// for at least a time, at most so many. Their records can be removed: a store
// that keeps the newest record of each key for ever would fill up with them.
func (p *Pool) Expired(now, retain time.Duration, most int) []string {
	var expired []string
	for id, j := range p.jobs {
		if j.recorded != Open && now-j.endedAt >= retain && !j.removing {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	expired = expired[:min(len(expired), most)]
	for _, id := range expired {
		p.jobs[id].removing = true
	}
	return expired
}

// Removed takes in whether the records of expired jobs were removed. If so, the
// jobs are forgotten; if not, they expire again.
func (p *Pool) Removed(ids []string, done bool) {
	for _, id := range ids {
		j, known := p.jobs[id]
		switch {
		case !known:
		case done:
			delete(p.jobs, id)
		default:
			j.removing = false
		}
	}
}
