// Package jaywitness keeps which jobs have been shown as done before that was recorded. If the
// owner of a job's pool and the worker that keeps the job's ends are both lost, the next owner
// learns of the end from the entries that are its witnesses.
package jaywitness

import (
	"sync"
	"time"

	"jaythread/jayclock"
)

// maxJobs limits the number of jobs of a pool of which an entry is a witness.
const maxJobs = 10000

// Register holds the jobs of which this entry is a witness.
type Register struct {
	clock jayclock.Clock
	// keepFor is how long a job is kept; zero is no limit.
	keepFor time.Duration

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the jobs of one pool.
type pool struct {
	// fence is the highest one of the owners that have asked for the jobs. What an owner
	// with a lower one shows afterwards would be unknown to its successor.
	fence int64
	// keptAt is when each job was kept last.
	keptAt map[string]time.Duration
}

// New returns an empty register that keeps each job for a time. Zero keeps it for ever.
func New(clock jayclock.Clock, keepFor time.Duration) *Register {
	return &Register{clock: clock, keepFor: keepFor, pools: map[string]*pool{}}
}

// Keep keeps that the owner with a fence shows a job as done, and reports whether it does.
func (r *Register) Keep(name, job string, fence int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(name)
	_, kept := p.keptAt[job]
	if !kept && len(p.keptAt) >= maxJobs {
		r.expire(p)
	}
	if fence < p.fence || !kept && len(p.keptAt) >= maxJobs {
		return false
	}
	p.keptAt[job] = r.clock()
	return true
}

// Collect returns the jobs of a pool for its new owner. From then on, nothing is kept for
// owners with a lower fence.
func (r *Register) Collect(name string, fence int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(name)
	p.fence = max(p.fence, fence)
	r.expire(p)
	jobs := make([]string, 0, len(p.keptAt))
	for job := range p.keptAt {
		jobs = append(jobs, job)
	}
	return jobs
}

// pool returns the jobs of a pool. The caller holds the lock.
func (r *Register) pool(name string) *pool {
	p, known := r.pools[name]
	if !known {
		p = &pool{keptAt: map[string]time.Duration{}}
		r.pools[name] = p
	}
	return p
}

// expire drops the jobs whose state need no longer be shown. The caller holds the lock.
func (r *Register) expire(p *pool) {
	if r.keepFor == 0 {
		return
	}
	for job, at := range p.keptAt {
		if r.clock()-at > r.keepFor {
			delete(p.keptAt, job)
		}
	}
}
