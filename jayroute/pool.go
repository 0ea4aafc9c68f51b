package jayroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jaythread/jayrule"
	"jaythread/jayverdict"
)

// AcquireOptions describes a request for a slot in a pool.
type AcquireOptions struct {
	Caller   string
	Priority jayrule.Priority
	// Avoid lists the IDs of upstreams at which this request has already failed.
	Avoid []string
	// Wait is the longest time that the request may spend in the queue.
	Wait time.Duration
}

// Lease is a slot on an upstream, held for one attempt.
type Lease struct {
	Upstream *Upstream
	pool     *Pool
	began    time.Time
}

// Pool holds one entry's view of a pool: its upstreams and the requests that wait
// for a slot.
type Pool struct {
	Name string

	mu        sync.Mutex
	upstreams map[string]*Upstream
	list      []*Upstream
	queue     queue
	queueMax  int
	random    func(n int) int
	now       func() time.Time
}

// PoolOption customizes a pool in NewPool.
type PoolOption func(*Pool)

// WithRandom replaces the source of random numbers, for tests.
func WithRandom(random func(n int) int) PoolOption {
	return func(p *Pool) { p.random = random }
}

// WithNow replaces the clock, for tests.
func WithNow(now func() time.Time) PoolOption {
	return func(p *Pool) { p.now = now }
}

// NewPool returns a pool without upstreams whose queue holds up to queueMax
// requests.
func NewPool(name string, queueMax int, options ...PoolOption) *Pool {
	p := &Pool{
		Name:      name,
		upstreams: map[string]*Upstream{},
		queueMax:  queueMax,
		random:    rand.IntN,
		now:       time.Now,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Target is an upstream in the routing view, with this entry's share of its slots.
type Target struct {
	ID    string
	Addr  string
	Share int
}

// Update replaces the upstreams. An upstream that remains keeps its counters. One
// that is removed gets no new requests, and its leases end as usual.
func (p *Pool) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Upstream, len(targets))
	p.list = p.list[:0]
	for _, t := range targets {
		u, known := p.upstreams[t.ID]
		if !known || u.Addr != t.Addr {
			u = &Upstream{ID: t.ID, Addr: t.Addr, addedAt: p.now()}
		}
		u.share = t.Share
		u.leaving = false
		next[t.ID] = u
		p.list = append(p.list, u)
	}
	for id, u := range p.upstreams {
		if next[id] != u {
			u.removed = true
		}
	}
	p.upstreams = next
	p.dispatch()
}

// SetLeaving stops new work on an upstream before the routing view does.
func (p *Pool) SetLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[id]; ok {
		u.leaving = true
	}
}

// Size returns the number of upstreams in the pool.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}

// Waiting returns the number of requests in the queue.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.size
}

// Acquire returns a lease, immediately or after waiting in the queue. An error
// means that the request was refused and has not run.
func (p *Pool) Acquire(o AcquireOptions) (*Lease, error) {
	p.mu.Lock()
	if !p.hasCandidate(o.Avoid) {
		p.mu.Unlock()
		return nil, jayverdict.NewNotRun(503, "no upstream in pool "+p.Name, time.Second)
	}
	if u := p.choose(o.Avoid); u != nil && p.queue.size == 0 {
		lease := p.lease(u)
		p.mu.Unlock()
		return lease, nil
	}
	w := &waiter{
		caller:   o.Caller,
		priority: o.Priority,
		avoid:    o.Avoid,
		granted:  make(chan *Upstream, 1),
		shed:     make(chan struct{}),
	}
	if !p.admit(w) {
		p.mu.Unlock()
		return nil, jayverdict.NewNotRun(429, "queue of pool "+p.Name+" is full", time.Second)
	}
	p.dispatch()
	p.mu.Unlock()
	return p.await(w, o.Wait)
}

// hasCandidate reports whether waiting can help, that is whether there is an
// upstream at which this request has not failed yet. Otherwise a request that has
// tried all of them would wait for a slot that it cannot use.
func (p *Pool) hasCandidate(avoid []string) bool {
	for _, u := range p.list {
		if !u.leaving && !slices.Contains(avoid, u.ID) {
			return true
		}
	}
	return false
}

func (p *Pool) await(w *waiter, wait time.Duration) (*Lease, error) {
	timer := time.NewTimer(max(wait, time.Nanosecond))
	defer timer.Stop()
	select {
	case u := <-w.granted:
		return &Lease{Upstream: u, pool: p, began: p.now()}, nil
	case <-w.shed:
		return nil, jayverdict.NewNotRun(429, "gave way to a request of higher priority", time.Second)
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.remove(w, false) {
		return nil, jayverdict.NewNotRun(503, "no slot in time in pool "+p.Name, time.Second)
	}
	select {
	case u := <-w.granted:
		return &Lease{Upstream: u, pool: p, began: p.now()}, nil
	default:
		return nil, jayverdict.NewNotRun(429, "gave way to a request of higher priority", time.Second)
	}
}

// admit adds a waiter to the queue. If the queue is full, a waiter of lower
// priority is evicted, or else the new one is refused.
func (p *Pool) admit(w *waiter) bool {
	if p.queue.size >= p.queueMax {
		victim := p.queue.evictionCandidate(w.priority)
		if victim == nil {
			return false
		}
		p.queue.remove(victim, false)
		close(victim.shed)
	}
	p.queue.push(w)
	return true
}

// Valid reports whether the upstream still accepts requests of this pool. Between
// acquiring the slot and sending the first byte, a claim may have waited or the
// process may have been paused, and the upstream may have drained or moved to
// another pool.
func (l *Lease) Valid() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return !l.Upstream.removed && !l.Upstream.leaving
}

// Release ends the attempt. The failed parameter states whether the attempt failed
// because of the upstream.
func (l *Lease) Release(failed bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	l.Upstream.recordResult(failed, now.Sub(l.began))
	if l.Upstream.failures >= ejectAfter && p.mayEject(now) {
		duration := l.Upstream.eject(now)
		time.AfterFunc(duration, p.endEjection)
	}
	p.dispatch()
}

// endEjection gives the slots of an upstream whose ejection has ended to waiters. They
// would otherwise wait for the end of a lease or the next request.
func (p *Pool) endEjection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

func (p *Pool) mayEject(now time.Time) bool {
	ejected := 1
	for _, u := range p.list {
		if now.Before(u.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected) <= ejectedShare*float64(len(p.list))
}

// dispatch assigns free slots to waiters in the order of the queue.
func (p *Pool) dispatch() {
	for p.queue.size > 0 {
		var next *waiter
		var chosen *Upstream
		p.queue.each(func(w *waiter) bool {
			chosen = p.choose(w.avoid)
			if chosen != nil {
				next = w
				return false
			}
			return len(w.avoid) > 0
		})
		if next == nil {
			return
		}
		p.queue.remove(next, true)
		chosen.inFlight++
		next.granted <- chosen
	}
}

func (p *Pool) lease(u *Upstream) *Lease {
	u.inFlight++
	return &Lease{Upstream: u, pool: p, began: p.now()}
}

// maxSamples is the number of upstreams that are sampled at random before all are
// scanned.
const maxSamples = 4

// choose returns an available upstream: the one of lower cost out of two found by
// random sampling, or the first available one in a scan.
func (p *Pool) choose(avoid []string) *Upstream {
	now := p.now()
	var best *Upstream
	found := 0
	for n := 0; n < maxSamples && found < 2 && len(p.list) > 0; n++ {
		u := p.list[p.random(len(p.list))]
		if !p.eligible(u, avoid, now) || p.skipDuringSlowStart(u, now) {
			continue
		}
		found++
		if best == nil || u.cost() < best.cost() {
			best = u
		}
	}
	if best != nil {
		return best
	}
	return p.scan(avoid, now)
}

func (p *Pool) scan(avoid []string, now time.Time) *Upstream {
	if len(p.list) == 0 {
		return nil
	}
	start := p.random(len(p.list))
	for n := range p.list {
		u := p.list[(start+n)%len(p.list)]
		if p.eligible(u, avoid, now) {
			return u
		}
	}
	return nil
}

func (p *Pool) eligible(u *Upstream, avoid []string, now time.Time) bool {
	return u.available(now) && !slices.Contains(avoid, u.ID)
}

// skipDuringSlowStart reports whether to skip an upstream that was added recently.
// The probability is higher the newer the upstream is.
func (p *Pool) skipDuringSlowStart(u *Upstream, now time.Time) bool {
	age := now.Sub(u.addedAt)
	if age >= slowStartTime {
		return false
	}
	return p.random(int(slowStartTime)) > int(age)
}
