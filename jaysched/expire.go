package jaysched

import (
	"slices"
	"time"
)

// Expired returns at most the given number of jobs whose end has been recorded in the store and
// that ended at least the retention time before asOf, the time up to which all stored jobs are
// known. Their records can be removed: a store that keeps the newest record of each key forever
// would fill up with them.
func (p *Pool) Expired(asOf, retain time.Duration, most int) []string {
	var expired []string
	for id, j := range p.jobs {
		if j.recorded != Open && asOf-j.endedAt >= retain && !j.removing {
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

// Removed handles the result of removing the records of expired jobs. If they were removed, the
// jobs are forgotten; otherwise they expire again.
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
