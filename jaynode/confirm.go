package jaynode

import (
	"context"
	"errors"
	"sync"
	"time"

	"jaythread/jayclock"
	"jaythread/jaypace"
	"jaythread/jaytail"
)

const (
	// confirmInterval is the least time between two reads of the declarations on behalf of
	// callers, so that callers with invalid keys cannot load the store.
	confirmInterval = 100 * time.Millisecond
	// confirmWait limits how long a call waits for such a read.
	confirmWait = 400 * time.Millisecond
)

// confirmer reads the newest declarations on request. The calls that wait for a read share
// it.
type confirmer struct {
	// asOf returns the time by which every declaration is known, from any read.
	asOf      func() time.Duration
	tail      *jaytail.Tail
	pace      *jaypace.Pace
	requested chan struct{}

	mu sync.Mutex
	// since is the latest time for which a call has requested a read.
	since time.Duration
	// read is closed and replaced after each read.
	read chan struct{}
	// failing says that the latest read has failed. One that was not sent because the joined tail
	// could not read does not count.
	failing bool
}

func newConfirmer(asOf func() time.Duration, tail *jaytail.Tail, pace *jaypace.Pace) *confirmer {
	return &confirmer{asOf: asOf, tail: tail, pace: pace, requested: make(chan struct{}, 1), read: make(chan struct{})}
}

// run performs the requested reads until the context ends, but none for which no call waits any
// more.
func (c *confirmer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.requested:
		}
		if c.confirmed() {
			continue
		}
		err := c.tail.Step(0)
		c.finish(err != nil && !errors.Is(err, jaytail.ErrJoinedLost))
		jayclock.Sleep(ctx, max(confirmInterval, jaypace.Jitter(c.pace.Interval(confirmShare))))
	}
}

// confirmed reports whether another read has confirmed all calls that wait, which it then wakes.
func (c *confirmer) confirmed() bool {
	c.mu.Lock()
	since := c.since
	c.mu.Unlock()
	if c.asOf() < since {
		return false
	}
	c.finish(false)
	return true
}

// finish wakes the calls that wait for a read.
func (c *confirmer) finish(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = failing
	close(c.read)
	c.read = make(chan struct{})
}

// await requests a read and reports whether one that was sent at the given time or later
// has reached the end of the declarations. While the store cannot be read it returns false
// at once, so that callers are rejected without delay, and the next read is under way.
func (c *confirmer) await(since time.Duration) bool {
	timer := time.NewTimer(confirmWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		c.since = max(c.since, since)
		read, failing := c.read, c.failing
		c.mu.Unlock()
		if c.asOf() >= since {
			return true
		}
		select {
		case c.requested <- struct{}{}:
		default:
		}
		if failing || c.tail.JoinedLost() {
			return false
		}
		select {
		case <-read:
		case <-timer.C:
			return false
		}
	}
}
