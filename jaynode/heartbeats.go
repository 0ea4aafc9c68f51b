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
func (h *workerHeartbeats) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		h.changedPools[w.Pool] = true
	}
	clear(h.workers)
}

// Apply processes a worker's heartbeat. Heartbeats older than the newest one under the
// same key are ignored, since they may be from a former incarnation of the worker.
func (h *workerHeartbeats) Apply(record jayport.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if record.Offset < h.offsets[record.Key] {
		return
	}
	h.offsets[record.Key] = record.Offset
	if present, known := h.workers[record.Key]; known {
		h.changedPools[present.Pool] = true
	}
	if record.Value == nil {
		delete(h.workers, record.Key)
		delete(h.unreadable, record.Key)
		return
	}
	w, err := h.formats.DecodeHeartbeat(record)
	if err != nil {
		// The heartbeat does not name a worker that can be used. A worker that was in use
		// is handled as one that has left: its runs are still tracked.
		delete(h.workers, record.Key)
		h.logUnreadable(record.Key, err)
		return
	}
	delete(h.unreadable, record.Key)
	h.workers[w.ID] = w
	h.changedPools[w.Pool] = true
}

// logUnreadable logs a heartbeat that cannot be decoded, once until it is replaced by a
// readable one or removed: it may be written again every second.
func (h *workerHeartbeats) logUnreadable(key string, err error) {
	if h.unreadable[key] || len(h.unreadable) >= maxUnreadable {
		return
	}
	h.unreadable[key] = true
	h.logger.Info("worker heartbeat does not name a worker", "entry", key, "error", err.Error())
}

// CaughtUp notifies the pools whose workers have changed.
func (h *workerHeartbeats) CaughtUp(asOf time.Duration) {
	h.mu.Lock()
	h.asOf = asOf
	if len(h.offsets) > len(h.workers)+maxOffsets {
		maps.DeleteFunc(h.offsets, func(key string, _ int64) bool { _, present := h.workers[key]; return !present })
	}
	touched := h.changedPools
	h.changedPools = map[string]bool{}
	h.mu.Unlock()
	for pool := range touched {
		h.poolChanged(pool)
	}
}

// of returns the workers of a pool and the time up to which the heartbeats have been
// read.
func (h *workerHeartbeats) of(pool string) (list []jayport.Worker, asOf time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.workers {
		if w.Pool == pool {
			list = append(list, w)
		}
	}
	return list, h.asOf
}
