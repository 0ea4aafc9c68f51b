package jaynode

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayport"
)

// workerHeartbeats holds the newest heartbeat of each worker. It is the handler of the
// tail that reads the heartbeats.
type workerHeartbeats struct {
	formats jayport.Formats
	logger  logr.Logger

	mu           sync.Mutex
	workers      map[string]jayport.Worker
	asOf         time.Duration
	poolChanged  func(pool string)
	changedPools map[string]bool
	// offsets holds the offset of the newest heartbeat under each key.
	offsets map[string]int64
	// unreadable is the set of keys whose heartbeats cannot be decoded; each is logged
	// once.
	unreadable map[string]bool
}

const (
	// maxUnreadable limits the number of keys in unreadable.
	maxUnreadable = 1000
	// maxOffsets limits the number of offsets that are kept for workers that have left.
	maxOffsets = 1000
)

func newWorkerHeartbeats(n *Node) *workerHeartbeats {
	return &workerHeartbeats{
		formats:      n.ports.Formats,
		logger:       n.logger.WithName("reports"),
		workers:      map[string]jayport.Worker{},
		changedPools: map[string]bool{},
		offsets:      map[string]int64{},
		unreadable:   map[string]bool{},
		poolChanged:  n.workersChanged,
	}
}

// Reset begins a reload: workers without a heartbeat in it have left.
func (r *workerHeartbeats) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		r.changedPools[w.Pool] = true
	}
	clear(r.workers)
}

// Apply processes a worker's heartbeat. Heartbeats older than the newest one under the
// same key are ignored, since they may be from a former incarnation of the worker.
func (r *workerHeartbeats) Apply(record jayport.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record.Offset < r.offsets[record.Key] {
		return
	}
	r.offsets[record.Key] = record.Offset
	if present, known := r.workers[record.Key]; known {
		r.changedPools[present.Pool] = true
	}
	if record.Value == nil {
		delete(r.workers, record.Key)
		delete(r.unreadable, record.Key)
		return
	}
	w, err := r.formats.Reported(record)
	if err != nil {
		// The heartbeat does not name a worker that can be used. A worker that was in use
		// is handled as one that has left: its runs are still tracked.
		delete(r.workers, record.Key)
		r.logUnreadable(record.Key, err)
		return
	}
	delete(r.unreadable, record.Key)
	r.workers[w.ID] = w
	r.changedPools[w.Pool] = true
}

// logUnreadable logs a heartbeat that cannot be decoded, once until it is replaced by a
// readable one or removed: it may be written again every second.
func (r *workerHeartbeats) logUnreadable(key string, err error) {
	if r.unreadable[key] || len(r.unreadable) >= maxUnreadable {
		return
	}
	r.unreadable[key] = true
	r.logger.Info("worker heartbeat does not name a worker", "entry", key, "error", err.Error())
}

// CaughtUp notifies the pools whose workers have changed.
func (r *workerHeartbeats) CaughtUp(asOf time.Duration) {
	r.mu.Lock()
	r.asOf = asOf
	if len(r.offsets) > len(r.workers)+maxOffsets {
		maps.DeleteFunc(r.offsets, func(key string, _ int64) bool { _, present := r.workers[key]; return !present })
	}
	touched := r.changedPools
	r.changedPools = map[string]bool{}
	r.mu.Unlock()
	for pool := range touched {
		r.poolChanged(pool)
	}
}

// of returns the workers of a pool and the time up to which the heartbeats have been
// read.
func (r *workerHeartbeats) of(pool string) (list []jayport.Worker, asOf time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.Pool == pool {
			list = append(list, w)
		}
	}
	return list, r.asOf
}
