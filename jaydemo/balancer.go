package jaydemo

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// balancer simulates the platform's load balancer. It distributes requests over the ready
// entries in turn, so that a retry is usually sent to another entry.
type balancer struct {
	mu      sync.Mutex
	targets []*target
	// next counts the selections of an entry.
	next atomic.Uint64
}

// target is an entry known to the balancer.
type target struct {
	// addr is the entry's address for callers.
	addr string
	// operator is the entry's address for operators.
	operator string
	client   *fasthttp.HostClient
	ready    atomic.Bool
	// probing is true while a readiness probe is in progress.
	probing atomic.Bool
}

const (
	// pollInterval is the interval at which entries are probed and conditions are checked.
	pollInterval = 50 * time.Millisecond
	// probeTimeout is the time limit of a readiness probe.
	probeTimeout = time.Second
)

func (b *balancer) add(addr, operator string) *target {
	t := &target{
		addr:     addr,
		operator: operator,
		client: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  1000,
			MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration:       time.Second,
		},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, t)
	return t
}

func (b *balancer) remove(t *target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, other := range b.targets {
		if other == t {
			b.targets = append(b.targets[:n:n], b.targets[n+1:]...)
			return
		}
	}
}

func (b *balancer) all() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*target(nil), b.targets...)
}

// pick returns the next ready entry, or nil if none is ready.
func (b *balancer) pick() *target {
	all := b.all()
	for range all {
		t := all[b.next.Add(1)%uint64(len(all))]
		if t.ready.Load() {
			return t
		}
	}
	return nil
}

// probeAll probes the readiness of all entries until the context ends. Each entry is probed
// in a goroutine of its own, so that a slow one does not delay the probes of the others.
func (b *balancer) probeAll(ctx context.Context) {
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for ctx.Err() == nil {
		for _, t := range b.all() {
			if t.probing.CompareAndSwap(false, true) {
				go t.probe(client)
			}
		}
		time.Sleep(pollInterval)
	}
}

func (t *target) probe(client *fasthttp.Client) {
	status, _, err := client.GetTimeout(nil, "http://"+t.operator+"/readyz", probeTimeout)
	t.ready.Store(err == nil && status == fasthttp.StatusOK)
	t.probing.Store(false)
}
