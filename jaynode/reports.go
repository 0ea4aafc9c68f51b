package jaynode

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayport"
)

// reports follows what workers say of themselves.
type reports struct {
	formats jayport.Formats
	logger  logr.Logger

	mu      sync.Mutex
	workers map[string]jayport.Worker
	asOf    time.Duration
	changed func(pool string)
	touched map[string]bool
}

func newReports(n *Node) *reports {
	return &reports{
		formats: n.ports.Formats,
		logger:  n.logger.WithName("reports"),
		workers: map[string]jayport.Worker{},
		touched: map[string]bool{},
		changed: n.workersChanged,
	}
}

// Reset begins a load: workers that it does not name have left.
func (r *reports) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		r.touched[w.Pool] = true
	}
	clear(r.workers)
}

// Apply takes in a worker's report.
func (r *reports) Apply(record jayport.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if present, known := r.workers[record.Key]; known {
		r.touched[present.Pool] = true
	}
	if record.Value == nil {
		delete(r.workers, record.Key)
		return
	}
	w, err := r.formats.Reported(record)
	if err != nil {
		r.logger.Error(err, "report unreadable", "worker", record.Key)
		return
	}
	r.workers[w.ID] = w
	r.touched[w.Pool] = true
}

// CaughtUp tells the pools whose workers have changed.
func (r *reports) CaughtUp(asOf time.Duration) {
	r.mu.Lock()
	r.asOf = asOf
	touched := r.touched
	r.touched = map[string]bool{}
	r.mu.Unlock()
	for pool := range touched {
		r.changed(pool)
	}
}

// of returns the workers of a pool and up to when their reports are known.
func (r *reports) of(pool string) (list []jayport.Worker, asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.Pool == pool {
			list = append(list, w)
		}
	}
	return list, r.asOf
}
