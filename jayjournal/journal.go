// Package jayjournal appends records to one partition of the platform's store,
// in order and exactly once, even if responses are lost.
package jayjournal

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jayring"
)

const (
	// maxQueued limits the number of entries that wait for an append.
	maxQueued = 4096
	// maxBatchBytes is the maximum of Journal.batchBytes. The store accepts twice as much.
	maxBatchBytes = 1 << 20
	// maxBatchRecords is the number of records from which no further entry is
	// added to an append.
	maxBatchRecords = 1000
	// maxLinkTime is the time for which an append may occupy the entry's link. An append that
	// takes longer than its timeout would be sent from its start again and again.
	maxLinkTime = minTimeout / 2
	// bytesPerMegabit is the number of bytes in a megabit.
	bytesPerMegabit = 1_000_000 / 8
	// rejectedRetryDelay is the delay before a rejected append is sent again.
	rejectedRetryDelay = 100 * time.Millisecond
)

// ErrFull is returned for an entry when the journal's queue is full. The entry
// has no effect.
var ErrFull = errors.New("journal is full")

// ErrRevoked is passed to the entries of an append that exceeded the maximum age. The append may have
// taken effect, and will not any more if it has not.
var ErrRevoked = errors.New("append revoked")

// Entry is a set of records that are appended together, or a check for fencing
// if it has no records.
type Entry struct {
	Records []jayport.Record
	// Done is called once: with nil when the records are stored, with
	// jayport.ErrRejected if the entry has no effect, and with a
	// *jayport.FencedError if another producer has taken over.
	Done func(error)

	state   atomic.Int32
	addedAt time.Duration
}

const (
	entryQueued int32 = iota
	entrySent
	entryWithdrawn
)

// NewEntry returns an entry for records; done becomes its Done.
func NewEntry(records []jayport.Record, done func(error)) *Entry {
	return &Entry{Records: records, Done: done}
}

// Withdraw cancels an entry that was not sent yet. If it returns true, the records
// have not been and never will be appended, and Done is not called.
func (e *Entry) Withdraw() bool {
	return e.state.CompareAndSwap(entryQueued, entryWithdrawn)
}

// Journal appends records to a partition. It must be the only producer with its
// name and epoch there.
type Journal struct {
	store     jayport.Store
	partition jayport.Partition
	producer  string
	epoch     int64
	clock     jayclock.Clock
	logger    logr.Logger
	// failOnReject is set by WithFailOnReject.
	failOnReject bool
	// batchBytes is the size in bytes from which no further entry is added to an append.
	batchBytes int

	queue    *jayring.Ring[*Entry]
	sequence int64
	// appendStarted is the clock's time at which the current append began, or
	// zero if there is none.
	appendStarted atomic.Int64
	// maxAge limits the time from Add to the last attempt of an append. Zero is no limit.
	maxAge time.Duration
	// latency returns the store's current latency of appends.
	latency  func() time.Duration
	onAppend func(took time.Duration, records int)
}

// Option configures a journal.
type Option func(*Journal)

// WithFailOnReject makes the journal report jayport.ErrRejected for an append once the
// store has certainly rejected every attempt, instead of retrying it.
func WithFailOnReject() Option {
	return func(j *Journal) { j.failOnReject = true }
}

// WithLatency sets a function that returns the store's current latency of
// appends.
func WithLatency(latency func() time.Duration) Option {
	return func(j *Journal) { j.latency = latency }
}

// WithLink limits the size of an append to what the entry's link carries in maxLinkTime, given its
// bandwidth in megabits per second. Zero is unknown.
func WithLink(megabits int64) Option {
	return func(j *Journal) {
		if carried := megabits * bytesPerMegabit * int64(maxLinkTime) / int64(time.Second); carried > 0 {
			j.batchBytes = int(min(carried, maxBatchBytes))
		}
	}
}

// WithMaxAge limits how long after its Add an entry may take effect: later, the append is revoked
// instead of repeated, also by a process that was suspended meanwhile. An attempt that is already
// on its way may still arrive.
func WithMaxAge(age time.Duration) Option {
	return func(j *Journal) { j.maxAge = age }
}

// WithObserver sets a function that is called after each successful append, with
// its duration and number of records.
func WithObserver(onAppend func(took time.Duration, records int)) Option {
	return func(j *Journal) { j.onAppend = onAppend }
}

// New returns a journal; Run starts it.
func New(store jayport.Store, p jayport.Partition, producer string, epoch int64, clock jayclock.Clock, logger logr.Logger, options ...Option) *Journal {
	j := &Journal{
		store:      store,
		partition:  p,
		producer:   producer,
		epoch:      epoch,
		clock:      clock,
		logger:     logger,
		batchBytes: maxBatchBytes,
		queue:      jayring.New[*Entry](maxQueued),
		latency:    func() time.Duration { return 0 },
		onAppend:   func(time.Duration, int) {},
	}
	for _, option := range options {
		option(j)
	}
	return j
}

// Add queues an entry. It returns ErrFull if the queue is full.
func (j *Journal) Add(e *Entry) error {
	e.addedAt = j.clock()
	if !j.queue.Offer(e) {
		return ErrFull
	}
	return nil
}

// AppendAge returns the time since the current append began, or zero if there is
// none.
func (j *Journal) AppendAge() time.Duration {
	since := j.appendStarted.Load()
	if since == 0 {
		return 0
	}
	return j.clock() - time.Duration(since)
}

// Fence sets the epoch in the partition, so that the store rejects all appends of
// older epochs. Its error is a *jayport.FencedError or that of the context. An
// entry without records has the same effect when its turn comes.
func (j *Journal) Fence(ctx context.Context) error {
	return j.deliver(ctx, nil, j.clock())
}

// tooOld reports whether an entry that was added at some time must not be sent any more.
func (j *Journal) tooOld(addedAt time.Duration) bool {
	return j.maxAge > 0 && j.clock()-addedAt >= j.maxAge
}

// Run appends the queued entries until the context ends, another producer takes
// over or the store rejects an append as malformed, and returns the error that
// ended it.
func (j *Journal) Run(ctx context.Context) error {
	for {
		batch := j.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-j.queue.Ready():
			}
			continue
		}
		var records []jayport.Record
		for _, e := range batch {
			records = append(records, e.Records...)
		}
		err := j.deliver(ctx, records, batch[0].addedAt)
		for _, e := range batch {
			e.Done(err)
		}
		if err != nil && !errors.Is(err, jayport.ErrRejected) && !errors.Is(err, ErrRevoked) {
			return err
		}
	}
}

// nextBatch dequeues the entries of the next append.
func (j *Journal) nextBatch() []*Entry {
	var batch []*Entry
	size, records := 0, 0
	for size < j.batchBytes && records < maxBatchRecords {
		e, ok := j.queue.Take()
		if !ok {
			break
		}
		if !e.state.CompareAndSwap(entryQueued, entrySent) {
			continue
		}
		if j.tooOld(e.addedAt) {
			e.Done(fmt.Errorf("%w: the entry waited for longer than %v", jayport.ErrRejected, j.maxAge))
			continue
		}
		batch = append(batch, e)
		records += len(e.Records)
		for _, r := range e.Records {
			size += len(r.Key) + len(r.Value)
		}
	}
	return batch
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
