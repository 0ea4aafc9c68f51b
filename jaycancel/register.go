// Package jaycancel keeps cancellations of jobs that the owner of a pool does not know.
//
// It prevents this failure: a caller submits a job while the store does not answer, leaves, cancels the
// job and is told that it does not exist; then the append of its declaration takes effect and the job
// runs. Any entry may have made that append, so that no owner knows whether one is under way.
package jaycancel

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxKept limits the number of jobs whose cancellation is kept. Each takes memory, and a record in
	// the store until it expires.
	maxKept = 5000
	// minKeptTime is the least time for which a cancellation is kept. An append of the job's
	// declaration that was under way has taken effect by then or never does.
	minKeptTime = 2 * time.Minute
)

// cancellation is the cancellation of one job.
type cancellation struct {
	// by are the organisations that have cancelled the job.
	by []string
	// at is the time of the latest cancellation.
	at time.Duration
	// version counts the states that are to be recorded, recorded is the latest one that is.
	version, recorded int
	// removing says that the record is being removed.
	removing bool
}

// Register holds the cancellations of one pool's unknown jobs by their IDs. It is not safe for
// concurrent use.
type Register struct {
	kept map[string]*cancellation
	// changed are the IDs of the cancellations that are to be recorded.
	changed map[string]bool
}

// NewRegister returns a register without cancellations.
func NewRegister() *Register {
	return &Register{kept: map[string]*cancellation{}, changed: map[string]bool{}}
}

// Cancel keeps the cancellation of a job by an organisation. The caller may be answered once recorded
// is true: the cancellation is then in the store. added is true if the organisation had not cancelled
// the job, and kept is false if there is no room for another job.
func (r *Register) Cancel(id, organisation string, now time.Duration) (recorded, added, kept bool) {
	c, known := r.kept[id]
	if !known {
		if len(r.kept) >= maxKept {
			return false, false, false
		}
		c = &cancellation{}
		r.kept[id] = c
	}
	if added = !slices.Contains(c.by, organisation); added {
		c.by = append(c.by, organisation)
	}
	if added || c.removing {
		c.version++
		c.removing = false
		r.changed[id] = true
	}
	c.at = now
	return c.recorded == c.version, added, true
}

// Len returns the number of jobs whose cancellation is kept.
func (r *Register) Len() int {
	return len(r.kept)
}

// Covers reports whether a job of an organisation is cancelled.
func (r *Register) Covers(id, organisation string) bool {
	c, known := r.kept[id]
	return known && Covers(c.by, organisation)
}

// Covers reports whether one of some organisations may cancel a job of an organisation. All may cancel
// a job without one.
func Covers(by []string, organisation string) bool {
	return len(by) > 0 && (organisation == "" || slices.Contains(by, organisation))
}

// Declare removes the cancellation of a job that is declared. known is false if there is none;
// otherwise covered says whether the job of that organisation is cancelled, and at when it was.
func (r *Register) Declare(id, organisation string) (at time.Duration, covered, known bool) {
	c, known := r.kept[id]
	if !known {
		return 0, false, false
	}
	delete(r.kept, id)
	delete(r.changed, id)
	return c.at, Covers(c.by, organisation), true
}

// Restore adds a cancellation that a former owner has recorded.
func (r *Register) Restore(id string, by []string, now time.Duration) {
	r.kept[id] = &cancellation{by: by, at: now}
}

// Changes are cancellations that are to be recorded together: By holds the organisations by the jobs'
// IDs.
type Changes struct {
	By       map[string][]string
	versions map[string]int
}

// Changed reports whether cancellations are to be recorded.
func (r *Register) Changed() bool {
	return len(r.changed) > 0
}

// TakeChanges returns and clears the cancellations that are to be recorded.
func (r *Register) TakeChanges() Changes {
	taken := Changes{By: map[string][]string{}, versions: map[string]int{}}
	for id := range r.changed {
		taken.By[id] = slices.Clone(r.kept[id].by)
		taken.versions[id] = r.kept[id].version
	}
	clear(r.changed)
	return taken
}

// Recorded handles changes that are in the store.
func (r *Register) Recorded(taken Changes) {
	for id, version := range taken.versions {
		if c, known := r.kept[id]; known {
			c.recorded = max(c.recorded, version)
		}
	}
}

// Rejected handles changes that are not in the store: they are to be recorded again.
func (r *Register) Rejected(taken Changes) {
	for id := range taken.versions {
		if _, known := r.kept[id]; known {
			r.changed[id] = true
		}
	}
}

// Expired returns the sorted IDs of at most some recorded cancellations that are older than the
// retention time and minKeptTime. Their records can be removed.
func (r *Register) Expired(now, retain time.Duration, most int) []string {
	var expired []string
	for _, id := range slices.Sorted(maps.Keys(r.kept)) {
		c := r.kept[id]
		if len(expired) < most && c.recorded == c.version && now-c.at >= max(retain, minKeptTime) && !c.removing {
			c.removing = true
			expired = append(expired, id)
		}
	}
	return expired
}

// Removed handles the result of removing the records of expired cancellations, and returns the IDs of
// those that are forgotten. One that was repeated meanwhile is kept.
func (r *Register) Removed(ids []string, done bool) (forgotten []string) {
	for _, id := range ids {
		c, known := r.kept[id]
		switch {
		case !known || !c.removing:
		case done:
			delete(r.kept, id)
			forgotten = append(forgotten, id)
		default:
			c.removing = false
		}
	}
	return forgotten
}
