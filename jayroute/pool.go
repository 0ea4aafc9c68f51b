package jayroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jaythread/jayrule"
	"jaythread/jayverdict"
)

// Ticket is what a request asks a pool for.
type Ticket struct {
	Caller   string
	Priority jayrule.Priority
	// Avoid names upstreams that have failed this request already.
	Avoid []string
	// Wait is the longest time in the queue.
	Wait time.Duration
}

// Lease is a slot on an upstream, held for one attempt.
type Lease struct {
	Upstream *Upstream
	pool     *Pool
	began    time.Time
}

// Pool is what one entry knows of a pool's upstreams, and who waits for them.
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

// PoolOption changes how a pool is made.
type PoolOption func(*Pool)

// WithRandom replaces the source of randomness, for tests.
func WithRandom(random func(n int) int) PoolOption {
	return func(p *Pool) { p.random = random }
}

// WithNow replaces the clock, for tests.
func WithNow(now func() time.Time) PoolOption {
	return func(p *Pool) { p.now = now }
}

// NewPool returns a pool without upstreams whose queue holds queueMax.
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

// Target is an upstream as the view has it, with this entry's share of slots.
type Target struct {
	ID    string
	Addr  string
	Share int
}

// Update replaces the upstreams. One that stays keeps its counters; one that
// is gone gets no new request, and its leases end by themselves.
func (p *Pool) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*Upstream, len(targets))
	p.list = p.list[:0]
	for _, t := range targets {
		u, known := p.upstreams[t.ID]
		if !known || u.Addr != t.Addr {
			u = &Upstream{ID: t.ID, Addr: t.Addr, since: p.now()}
		}
		u.share = t.Share
		u.leaving = false
		next[t.ID] = u
		p.list = append(p.list, u)
	}
	for id, u := range p.upstreams {
		if next[id] != u {
			u.gone = true
		}
	}
	p.upstreams = next
	p.dispatch()
}

// SetLeaving stops new work on an upstream before the view says so.
func (p *Pool) SetLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u, ok := p.upstreams[id]; ok {
		u.leaving = true
	}
}

// Size returns how many upstreams the pool has.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.list)
}

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.size
}

// Acquire returns a lease, at once or after a wait. An error is a refusal:
// the request has not run.
func (p *Pool) Acquire(t Ticket) (*Lease, error) {
	p.mu.Lock()
	if !p.hasCandidate(t.Avoid) {
		p.mu.Unlock()
		return nil, jayverdict.NewNotRun(503, "no upstream in pool "+p.Name, time.Second)
	}
	if u := p.choose(t.Avoid); u != nil && p.queue.size == 0 {
		lease := p.lease(u)
		p.mu.Unlock()
		return lease, nil
	}
	w := &waiter{
		caller:   t.Caller,
		priority: t.Priority,
		avoid:    t.Avoid,
		granted:  make(chan *Upstream, 1),
		shed:     make(chan struct{}),
	}
	if !p.admit(w) {
		p.mu.Unlock()
		return nil, jayverdict.NewNotRun(429, "queue of pool "+p.Name+" is full", time.Second)
	}
	p.dispatch()
	p.mu.Unlock()
	return p.await(w, t.Wait)
}

// hasCandidate reports whether waiting can help: some upstream has not failed
// this request yet. Without it, a request that has tried them all would wait
// in the queue for nothing.
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

// admit queues a waiter. A full queue sheds a waiter of lower priority.
func (p *Pool) admit(w *waiter) bool {
	if p.queue.size >= p.queueMax {
		victim := p.queue.lowest(w.priority)
		if victim == nil {
			return false
		}
		p.queue.remove(victim, false)
		close(victim.shed)
	}
	p.queue.push(w)
	return true
}

// Valid reports whether the upstream still takes this pool's requests. Between
// the slot and the first byte a claim may have waited, or the process may have
// been paused; the upstream may have drained or changed its pool meanwhile.
func (l *Lease) Valid() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return !l.Upstream.gone && !l.Upstream.leaving
}

// Release ends the attempt. Failed says that the upstream is to blame.
func (l *Lease) Release(failed bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	l.Upstream.done(failed, now.Sub(l.began))
	if l.Upstream.failures >= ejectAfter && p.mayEject(now) {
		l.Upstream.eject(now)
	}
	p.dispatch()
}

func (p *Pool) mayEject(now time.Time) bool {
	out := 1
	for _, u := range p.list {
		if now.Before(u.until) {
			out++
		}
	}
	return float64(out) <= ejectedShare*float64(len(p.list))
}

// dispatch gives free slots to waiters in the queue's order.
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

// samples is how many upstreams a choice looks at before it scans all.
const samples = 4

// choose returns a free upstream: the cheaper of two that are found free at
// random, or the first free one of a scan.
func (p *Pool) choose(avoid []string) *Upstream {
	now := p.now()
	var best *Upstream
	found := 0
	for n := 0; n < samples && found < 2 && len(p.list) > 0; n++ {
		u := p.list[p.random(len(p.list))]
		if !p.eligible(u, avoid, now) || p.tooCold(u, now) {
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
	return u.free(now) && !slices.Contains(avoid, u.ID)
}

// tooCold passes over a new upstream more often the newer it is (slow start).
func (p *Pool) tooCold(u *Upstream, now time.Time) bool {
	age := now.Sub(u.since)
	if age >= warmTime {
		return false
	}
	return p.random(int(warmTime)) > int(age)
}
