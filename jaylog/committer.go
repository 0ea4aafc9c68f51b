// Package jaylog appends items to the streams of the log service in batches, and
// follows the streams.
package jaylog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"jaythread/jayplatform"
)

const (
	// maxBatchItems limits the number of items of one append.
	maxBatchItems = 256
	// retryDelay is the delay after a failed append or read before the next one.
	retryDelay = 100 * time.Millisecond
	// maxPending limits the number of items that wait for an append, for example
	// during an outage of the log service.
	maxPending = 16_384
)

// Errors of Committer.
var (
	// ErrFull means that too many items are waiting. The item is not appended.
	// The text is part of responses to callers and operators and must stay the same.
	ErrFull = errors.New("too much waits for the log service")
	// ErrTimeout means that the item was not read back from the log in time. It
	// may still be appended by an append that was sent before. The text is part of
	// responses to callers and operators and must stay the same.
	ErrTimeout = errors.New("not seen in the log in time")
)

// Encoder encodes a batch of items as one record.
type Encoder[T any] func(items []T) ([]byte, error)

// Committer appends items to one stream in batches and notifies each submitter
// when its item was read back. Items of a failed append are in doubt, since the
// append may have taken effect. They are appended again only after the stream was
// read to its end without them.
type Committer[T, R any] struct {
	log     jayplatform.Log
	stream  string
	encode  Encoder[T]
	logger  logr.Logger
	limiter *rate.Limiter

	mu       sync.Mutex
	pending  []entry[T]
	inFlight map[string]entry[T]
	inDoubt  map[string]entry[T]
	// lastFailure is the time at which the newest failed append ended.
	lastFailure time.Time
	waiters     map[string]chan R
	wake        chan struct{}
	appends     uint64
}

// entry is an item with its ID.
type entry[T any] struct {
	id   string
	item T
}

// NewCommitter returns a committer that makes at most perSecond appends per second on
// average. Run starts it.
func NewCommitter[T, R any](log jayplatform.Log, stream string, perSecond float64, encode Encoder[T], logger logr.Logger) *Committer[T, R] {
	return &Committer[T, R]{
		log:      log,
		stream:   stream,
		encode:   encode,
		logger:   logger,
		limiter:  rate.NewLimiter(rate.Limit(perSecond), 4),
		inFlight: map[string]entry[T]{},
		inDoubt:  map[string]entry[T]{},
		waiters:  map[string]chan R{},
		wake:     make(chan struct{}, 1),
	}
}

// Submit queues an item, which is appended without a notification of the result. It
// returns ErrFull if too many items are waiting.
func (c *Committer[T, R]) Submit(id string, item T) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending)+len(c.inDoubt) >= maxPending {
		return ErrFull
	}
	c.pending = append(c.pending, entry[T]{id: id, item: item})
	c.wakeUp()
	return nil
}

// Commit submits an item and waits until it was read back. After ErrTimeout the item
// is not appended again, but it may be in the log.
func (c *Committer[T, R]) Commit(id string, item T, timeout time.Duration) (R, error) {
	var none R
	seen := make(chan R, 1)
	c.mu.Lock()
	c.waiters[id] = seen
	c.mu.Unlock()
	if err := c.Submit(id, item); err != nil {
		c.Cancel(id)
		return none, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case result := <-seen:
		return result, nil
	case <-timer.C:
	}
	c.Cancel(id)
	select {
	case result := <-seen:
		return result, nil
	default:
		return none, ErrTimeout
	}
}

// Observe notifies the submitter of an item of its result. The reader of the stream
// calls it for each item that it reads.
func (c *Committer[T, R]) Observe(id string, result R) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inDoubt, id)
	delete(c.inFlight, id)
	if seen, ok := c.waiters[id]; ok {
		delete(c.waiters, id)
		seen <- result
	}
}

// CaughtUp is called by the reader of the stream after a read that began at the given
// time has reached the end of the stream. Items in doubt that were not read until then
// are queued again if the read began after the newest failed append ended.
func (c *Committer[T, R]) CaughtUp(readBegan time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inDoubt) == 0 || !readBegan.After(c.lastFailure) {
		return
	}
	for id, e := range c.inDoubt {
		c.pending = append(c.pending, e)
		delete(c.inDoubt, id)
	}
	c.wakeUp()
}

// Cancel cancels an item and removes its waiter. An item that is queued or in doubt is
// not appended any more; one whose append is in flight is not retried.
func (c *Committer[T, R]) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
	delete(c.inDoubt, id)
	// An append in flight cannot be cancelled, but if it fails the item must not
	// be appended again, since its submitter has already given it up.
	delete(c.inFlight, id)
	for n, e := range c.pending {
		if e.id == id {
			c.pending = append(c.pending[:n], c.pending[n+1:]...)
			return
		}
	}
}

// Appends returns the number of appends made.
func (c *Committer[T, R]) Appends() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.appends
}

// Pending returns the number of items that are queued, in flight or in doubt.
func (c *Committer[T, R]) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) + len(c.inDoubt) + len(c.inFlight)
}

// SetRate sets the maximum number of appends per second.
func (c *Committer[T, R]) SetRate(perSecond float64) {
	if c.limiter.Limit() != rate.Limit(perSecond) {
		c.limiter.SetLimit(rate.Limit(perSecond))
	}
}

// Run appends queued items until the context ends.
func (c *Committer[T, R]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.appendBatch(ctx) {
		}
	}
}

// appendBatch makes one append, and returns false if there was nothing to append or the
// context has ended.
func (c *Committer[T, R]) appendBatch(ctx context.Context) bool {
	if c.Pending() == 0 || c.limiter.Wait(ctx) != nil {
		return false
	}
	batch := c.nextBatch()
	if len(batch) == 0 {
		return false
	}
	record, err := c.encode(items(batch))
	if err == nil {
		_, err = c.log.Append(c.stream, record)
	}
	c.finishBatch(batch, err)
	if err == nil {
		return true
	}
	c.logger.V(1).Info("append failed", "stream", c.stream, "items", len(batch), "error", err.Error())
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryDelay):
		return true
	}
}

func items[T any](batch []entry[T]) []T {
	list := make([]T, len(batch))
	for n, e := range batch {
		list[n] = e.item
	}
	return list
}

// nextBatch dequeues the items of the next append and marks them as in flight.
func (c *Committer[T, R]) nextBatch() []entry[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.pending), maxBatchItems)
	batch := append([]entry[T](nil), c.pending[:n]...)
	c.pending = append(c.pending[:0], c.pending[n:]...)
	for _, e := range batch {
		c.inFlight[e.id] = e
	}
	return batch
}

// finishBatch records the result of a batch's append. After a failure the record may be in
// the log all the same, so its items are in doubt: appending them again at once could
// duplicate them, and dropping them could lose them.
func (c *Committer[T, R]) finishBatch(batch []entry[T], err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appends++
	for _, e := range batch {
		_, open := c.inFlight[e.id]
		delete(c.inFlight, e.id)
		if err == nil || !open {
			continue
		}
		c.inDoubt[e.id] = e
	}
	if err != nil {
		c.lastFailure = time.Now()
	}
}

func (c *Committer[T, R]) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
