// Package jaytail follows a partition of the platform's store: it loads the
// newest record of each key, then reads every later record.
package jaytail

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jaypace"
	"jaythread/jayport"
)

const (
	// readTimeout is the first timeout of a read, in addition to the time that the
	// read asks the store to wait for records. A slow store responds within it.
	readTimeout = 700 * time.Millisecond
	// maxLoadTimeout is the maximum timeout of one page of a load, which is reached by
	// doubling after timeouts. A page of a megabyte takes that long over a link of
	// low bandwidth.
	maxLoadTimeout = 6 * time.Second
	// neededPollInterval is the interval at which Options.Needed is polled while it returns
	// false.
	neededPollInterval = 20 * time.Millisecond
	// slowRead is the duration beyond its wait from which on a read is logged.
	slowRead = 400 * time.Millisecond
	// joinedPollInterval is the interval at which a tail checks whether the joined one has
	// read a record, and maxJoinedWait how long it waits for it.
	joinedPollInterval = 10 * time.Millisecond
	maxJoinedWait      = 6 * time.Second
	// errorRetryDelay is the delay before a failed read is repeated. It limits the
	// number of calls, since each one is billed.
	errorRetryDelay = 200 * time.Millisecond
)

// SharedRead reads a partition from an offset on through another entry, which may answer with a
// read of the store that it sent before this call, by the time lead. ok is false if it cannot; the
// tail then reads the store itself.
type SharedRead func(p jayport.Partition, from int64, wait time.Duration) (page jayport.Page, lead time.Duration, ok bool)

// Options configure a Tail.
type Options struct {
	// Prefix limits which keys are passed to the handler.
	Prefix string
	// Wait is the time for which one read asks the store to wait for a record.
	Wait time.Duration
	// MaxTimeout is the maximum timeout of a read, which is reached by doubling after reads without
	// an answer. Zero means that the timeout is not increased.
	MaxTimeout time.Duration
	// Pause is the delay between successful reads. While Urgent returns true it is
	// a third of that, for records that are needed with low latency. A nil Urgent
	// counts as false.
	Pause  time.Duration
	Urgent func() bool
	// Interval returns the least time between two reads on average, also after one that was
	// rejected for its rate. A nil Interval counts as zero.
	Interval func() time.Duration
	// Shared is tried before the store for each read after the load. It may be nil.
	Shared SharedRead
	// KnownEnd returns the offset after the last record that is known to exist. While the joined
	// tail reads a record that is known to exist, this one waits instead of requesting it too.
	// A nil KnownEnd counts as zero.
	KnownEnd func() int64
	// Needed returns whether the records are needed at present. While it returns
	// false nothing is read, since each read is billed. A nil Needed counts as
	// true.
	Needed func() bool
}

// Handler receives the records. It is called by one goroutine.
type Handler interface {
	// Reset is called before all newest records are loaded, also when they are
	// loaded again.
	Reset()
	// Apply receives a record. A nil value means that the key was removed.
	Apply(r jayport.Record)
	// CaughtUp is called after each read that reached the end of the partition,
	// with the time at which it was sent: every record appended before that time
	// has been applied.
	CaughtUp(asOf time.Duration)
}

// Tail follows one partition.
type Tail struct {
	store     jayport.Store
	partition jayport.Partition
	options   Options
	handler   Handler
	clock     jayclock.Clock
	logger    logr.Logger

	next   int64
	loaded bool
	// behind is true if the last read did not reach the end of the partition.
	behind bool
	// shared is true if another entry has answered the last read.
	shared bool
	// loadAfter is the last key that an unfinished load has passed to the handler,
	// or empty. loadStarted is the clock's time at which the load requested its
	// first page, and pageTimeout the timeout of its next page.
	loadAfter   string
	loadStarted time.Duration
	pageTimeout time.Duration
	// nextTimeout is the timeout of the next read.
	nextTimeout time.Duration
	// asOf is the clock's time at which the last read or load that reached the end
	// of the partition was sent, or zero.
	asOf atomic.Int64
	// applied is the offset before which all records have been applied.
	applied atomic.Int64
	// joined is another tail of the partition with the same handler, or nil.
	joined *Tail
	// reading is set while a read or load is under way and its records are applied.
	reading atomic.Bool
	// lostSince is the clock's time of the first failed read since the last successful
	// one, or zero.
	lostSince time.Duration
	// lost is set while the reads of Run fail.
	lost atomic.Bool
}

// New returns a tail; Run starts it.
func New(store jayport.Store, p jayport.Partition, options Options, handler Handler, clock jayclock.Clock, logger logr.Logger) *Tail {
	return &Tail{store: store, partition: p, options: options, handler: handler, clock: clock, logger: logger, pageTimeout: readTimeout, nextTimeout: readTimeout}
}

// Join makes two tails of one partition that have the same handler read no record that the other
// one has applied. The handler must be safe for concurrent use.
func Join(a, b *Tail) {
	a.joined, b.joined = b, a
}

// AsOf returns the clock's time before which all records are known, or zero if none
// are.
func (t *Tail) AsOf() time.Duration {
	return time.Duration(t.asOf.Load())
}

// Next returns the offset of the next read. Only the goroutine that runs the tail may
// call it.
func (t *Tail) Next() int64 {
	return t.next
}

// Applied returns the offset before which all records have been passed to the handler.
func (t *Tail) Applied() int64 {
	return t.applied.Load()
}

// Run follows the partition until the context ends.
func (t *Tail) Run(ctx context.Context) {
	delayed := time.Duration(0)
	for ctx.Err() == nil {
		if t.options.Needed != nil && !t.options.Needed() {
			jayclock.Sleep(ctx, neededPollInterval)
			continue
		}
		// A read that was delayed waits for less, so that AsOf is not older for it.
		wait := max(0, t.options.Wait-delayed)
		if t.lostSince != 0 {
			// After an outage the missed records, or the information that there
			// are none, are needed at once.
			wait = 0
		}
		started, from := t.clock(), t.next
		if err := t.Step(wait); err != nil {
			t.markLost(err)
			jayclock.Sleep(ctx, t.retryDelay(err, started))
			continue
		}
		t.markRegained()
		t.logSlowRead(wait, from, t.clock()-started)
		delayed = 0
		if !t.shared {
			delayed = max(0, t.intervalAfter(started))
		}
		jayclock.Sleep(ctx, max(t.pause(), delayed))
	}
}

// retryDelay returns the delay before a failed read is repeated.
func (t *Tail) retryDelay(err error, started time.Duration) time.Duration {
	if errors.Is(err, jayport.ErrRateExceeded) {
		return max(errorRetryDelay, t.intervalAfter(started))
	}
	return errorRetryDelay
}

// intervalAfter returns what is left of Options.Interval since a read was started. The
// interval varies, so that the tails of many entries do not read at the same moment.
func (t *Tail) intervalAfter(started time.Duration) time.Duration {
	if t.options.Interval == nil {
		return 0
	}
	return jaypace.Jitter(t.options.Interval()) - (t.clock() - started)
}

// urgentDivisor is the divisor of Options.Pause while Options.Urgent returns true.
const urgentDivisor = 3

// pause returns the delay before the next read.
func (t *Tail) pause() time.Duration {
	if t.behind {
		return 0
	}
	if t.options.Urgent != nil && t.options.Urgent() {
		return t.options.Pause / urgentDivisor
	}
	return t.options.Pause
}

// ErrJoinedLost is the error of a step while the reads of the joined tail fail. That one repeats them.
var ErrJoinedLost = fmt.Errorf("%w: the joined tail cannot read the partition", jayport.ErrNoAnswer)

// JoinedLost reports whether the joined tail runs and cannot read the partition. It may be called
// by any goroutine.
func (t *Tail) JoinedLost() bool {
	return t.joined != nil && t.joined.lost.Load()
}

// Step loads the partition if it is not loaded yet, or reads once. It calls the
// handler's CaughtUp if the end of the partition was reached. Its errors are those of the
// store; while the joined tail runs and cannot read, it is ErrJoinedLost at once, which is a
// jayport.ErrNoAnswer.
func (t *Tail) Step(wait time.Duration) error {
	if t.JoinedLost() {
		return ErrJoinedLost
	}
	t.skipApplied()
	t.reading.Store(true)
	defer t.reading.Store(false)
	asked := t.clock()
	if !t.loaded {
		if err := t.load(); err != nil {
			return err
		}
		asked = t.loadStarted
	} else {
		lead, err := t.read(wait)
		if err != nil {
			return err
		}
		asked = max(asked-lead, t.AsOf())
	}
	t.lost.Store(false)
	t.applied.Store(t.next)
	if t.behind {
		return nil
	}
	t.asOf.Store(int64(asked))
	t.handler.CaughtUp(asked)
	return nil
}

// skipApplied waits for the records that the joined tail is reading, and continues after those that
// it has applied.
func (t *Tail) skipApplied() {
	if t.joined == nil {
		return
	}
	began := t.clock()
	for t.joined.readsKnownRecord() && t.clock()-began < maxJoinedWait {
		time.Sleep(joinedPollInterval)
	}
	if applied := t.joined.Applied(); applied > t.next {
		t.next, t.loaded, t.loadAfter, t.pageTimeout = applied, true, "", readTimeout
	}
}

// readsKnownRecord reports whether a read is under way and a record is known to exist that it
// will return.
func (t *Tail) readsKnownRecord() bool {
	return t.reading.Load() && t.options.KnownEnd != nil && t.options.KnownEnd() > t.Applied()
}

// load passes the newest record of each key to the handler. Its pages are not a
// consistent snapshot; records that are appended during the load are read afterwards.
//
// A page may take longer than its timeout, over a link of low bandwidth or from a slow
// store. Requesting the same page again and again with the same timeout would saturate
// the link for all other traffic. Therefore the timeout is doubled after each timeout,
// and a load that failed is resumed after the last page received.
func (t *Tail) load() error {
	if t.loadAfter == "" {
		t.handler.Reset()
		t.loadStarted = t.clock()
	}
	for {
		after := t.loadAfter
		if after == "" {
			after = jayport.KeyBefore(t.options.Prefix)
		}
		page, err := t.store.Latest(t.partition, after, t.pageTimeout)
		if err != nil {
			if errors.Is(err, jayport.ErrNoAnswer) {
				t.pageTimeout = min(2*t.pageTimeout, maxLoadTimeout)
			}
			return err
		}
		if t.loadAfter == "" {
			t.next = page.End
		}
		if t.applyPage(page) {
			break
		}
		if t.loadAfter = continueAfter(after, t.loadAfter); t.loadAfter == "" {
			break
		}
	}
	t.loaded, t.loadAfter, t.pageTimeout = true, "", readTimeout
	return nil
}

// continueAfter returns the key after which a load continues, or "" if no further key can be
// requested: the last key of the page that was requested after another key. The store cannot be
// asked for the keys after an empty one, which stands for none, or after one that is not UTF-8,
// which the page names with other bytes. Instead of such a key, the first one is used that has
// another ASCII character where they are not UTF-8.
func continueAfter(requested, last string) string {
	if last == "" {
		return "\x00"
	}
	start, _, replaced := strings.Cut(last, string(utf8.RuneError))
	if last > requested || !replaced {
		return last
	}
	for n := len(start) - 1; n >= 0; n-- {
		if start[n] < unicode.MaxASCII {
			return start[:n] + string(rune(start[n]+1))
		}
	}
	return ""
}

// applyPage passes a page of a load to the handler and reports whether it is the last
// one.
func (t *Tail) applyPage(page jayport.Latest) (last bool) {
	for _, r := range page.Records {
		t.loadAfter = r.Key
		if hasPrefix(r.Key, t.options.Prefix) {
			t.handler.Apply(r)
		} else if r.Key > t.options.Prefix {
			last = true
		}
	}
	return last || !page.More || len(page.Records) == 0
}

// read reads once. lead is how long before the call the store was read.
func (t *Tail) read(wait time.Duration) (lead time.Duration, err error) {
	t.shared = false
	var page jayport.Page
	if t.options.Shared != nil {
		page, lead, t.shared = t.options.Shared(t.partition, t.next, wait)
	}
	if !t.shared {
		page, err = t.store.Read(t.partition, t.next, wait, t.nextTimeout)
		t.adjustTimeout(err)
	}
	var expired *jayport.ExpiredError
	if errors.As(err, &expired) {
		// The records in between have expired, but the store keeps the newest
		// record of each key.
		t.loaded, t.behind = false, false
		return 0, t.load()
	}
	if err != nil {
		return 0, err
	}
	for _, r := range page.Records {
		if hasPrefix(r.Key, t.options.Prefix) {
			t.handler.Apply(r)
		}
	}
	t.next = page.Next
	t.behind = page.Next < page.End
	return lead, nil
}

// adjustTimeout sets the timeout of the next read. A store that many entries read at the same time
// answers late: with a fixed timeout each of them would repeat the read and make it later still.
func (t *Tail) adjustTimeout(err error) {
	if errors.Is(err, jayport.ErrNoAnswer) {
		t.nextTimeout = max(readTimeout, min(2*t.nextTimeout, t.options.MaxTimeout))
		return
	}
	t.nextTimeout = readTimeout
}

func (t *Tail) markLost(err error) {
	if t.lostSince == 0 {
		t.lostSince = t.clock()
		t.lost.Store(true)
		t.logger.Info("partition lost", "partition", t.partition.String(), "asOf", t.AsOf().String(), "error", err.Error())
	}
}

// logSlowRead logs a read that has taken slowRead longer than it was to wait for a record.
func (t *Tail) logSlowRead(wait time.Duration, from int64, took time.Duration) {
	if took > wait+slowRead {
		t.logger.Info("slow read", "partition", t.partition.String(), "records", t.next-from, "shared", t.shared, "took", took.String())
	}
}

func (t *Tail) markRegained() {
	if t.lostSince != 0 {
		t.logger.Info("partition regained", "partition", t.partition.String(), "lostFor", (t.clock() - t.lostSince).String())
		t.lostSince = 0
	}
}

func hasPrefix(key, prefix string) bool {
	return len(key) >= len(prefix) && key[:len(prefix)] == prefix
}
