package jayjournal

import (
	"context"
	"errors"
	"time"

	"jaythread/jayport"
)

const (
	// minHedgeDelay is the minimum time without a response after which the
	// append is sent again while earlier attempts stay in flight. It is about
	// ten times the append latency of a healthy store.
	minHedgeDelay = 120 * time.Millisecond
	// latencyMargin is the factor by which the hedge delay and the timeout must
	// exceed the store's current latency. Without it a slow store would receive
	// each append several times.
	latencyMargin = 4
	// minTimeout and maxTimeout bound the timeout of one attempt, whatever the
	// store's current latency.
	minTimeout = 800 * time.Millisecond
	maxTimeout = 2400 * time.Millisecond
	// maxInFlight limits the attempts of one append that are in flight, and how
	// often the timeout is doubled.
	maxInFlight = 3
)

// attemptResult is the result of one attempt to append.
type attemptResult struct {
	sequence int64
	epoch    int64
	err      error
}

// delivery repeats one append until its outcome is known.
//
// When a response is missing, it was lost or the store is slow, and the two cannot be
// distinguished at first. Waiting long before a retry delays the callers when responses
// are lost; giving up early makes a slow store execute the same append again and again.
// Appends are therefore hedged: the append is sent again while earlier attempts stay in
// flight, and the response to any attempt counts.
type delivery struct {
	journal *Journal
	call    jayport.Append
	results chan attemptResult
	// inFlight is the number of attempts without a result.
	inFlight int
	// mayHaveTakenEffect is true once an attempt has ended without a response.
	mayHaveTakenEffect bool
	// attempts is the number of attempts made.
	attempts int
	// addedAt is when the first of the entries was added, revoked says that the journal does not
	// append them any more.
	addedAt time.Duration
	revoked bool
}

// deliver appends records, repeating the append until its outcome is known. It never
// returns ErrNoAnswer. addedAt is when the first of the records was added.
func (j *Journal) deliver(ctx context.Context, records []jayport.Record, addedAt time.Duration) error {
	d := &delivery{
		journal: j,
		call: jayport.Append{
			Partition: j.partition,
			Records:   records,
			Producer:  &jayport.Producer{Name: j.producer, Epoch: j.epoch, Sequence: j.sequence + 1},
			AsOf:      jayport.AnyOffset,
		},
		results: make(chan attemptResult, maxInFlight),
		addedAt: addedAt,
	}
	if len(records) == 0 {
		d.call.Producer.Sequence = 0
	}
	started := j.clock()
	j.appendStarted.Store(int64(started))
	defer j.appendStarted.Store(0)
	err := d.run(ctx)
	if err == nil {
		j.onAppend(j.clock()-started, len(records))
	}
	return err
}

func (d *delivery) run(ctx context.Context) error {
	wait := max(minHedgeDelay, latencyMargin*d.journal.latency())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if d.inFlight == 0 {
			d.send()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if d.inFlight < maxInFlight {
				d.send()
			}
			wait *= 2
			timer.Reset(wait)
		case o := <-d.results:
			d.inFlight--
			if known, err := d.handleResult(ctx, o); known {
				return err
			}
		}
	}
}

// send starts an attempt. Each attempt has a longer timeout than the one before, up to
// maxTimeout.
func (d *delivery) send() {
	if !d.revoked && len(d.call.Records) > 0 && d.journal.tooOld(d.addedAt) {
		d.revoke()
	}
	call, producer := d.call, *d.call.Producer
	call.Producer = &producer
	timeout := max(minTimeout, latencyMargin*d.journal.latency())
	timeout = min(timeout<<min(d.attempts, maxInFlight), maxTimeout)
	d.attempts++
	d.inFlight++
	go func() {
		_, err := d.journal.store.Append(call, timeout)
		d.results <- attemptResult{sequence: producer.Sequence, epoch: producer.Epoch, err: err}
	}()
}

// revoke replaces the append by one without records of a higher epoch, after which the store rejects
// all earlier attempts.
//
// It prevents this failure: an entry is suspended, or cut off from the store, while the answer to an
// append is missing. Minutes later it goes on, and repeats an append that nobody waits for any more and
// whose job was cancelled long ago.
func (d *delivery) revoke() {
	j := d.journal
	d.revoked = true
	j.epoch++
	j.sequence = 0
	d.call.Records = nil
	d.call.Producer = &jayport.Producer{Name: j.producer, Epoch: j.epoch}
	j.logger.Info("append revoked", "partition", j.partition.String(), "age", (j.clock() - d.addedAt).String(), "attempts", d.attempts)
}

// handleResult processes the result of an attempt; known is true if it determines the outcome
// of the append.
func (d *delivery) handleResult(ctx context.Context, o attemptResult) (known bool, err error) {
	j := d.journal
	var fenced *jayport.FencedError
	var sequence *jayport.SequenceError
	switch {
	case o.epoch != d.call.Producer.Epoch:
		// An attempt that was made before the append was revoked.
		return o.err == nil, nil
	case d.revoked && (o.err == nil || errors.As(o.err, &sequence)):
		return true, ErrRevoked
	case o.err == nil:
		if len(d.call.Records) > 0 {
			j.sequence = o.sequence
		}
		return true, nil
	case errors.As(o.err, &fenced):
		return true, o.err
	case errors.As(o.err, &sequence):
		return d.renumber(o.sequence, sequence)
	case errors.Is(o.err, jayport.ErrRejected):
		if j.failOnReject && !d.mayHaveTakenEffect && d.inFlight == 0 {
			return true, o.err
		}
		pause(ctx, rejectedRetryDelay)
		return false, nil
	case errors.Is(o.err, jayport.ErrMalformed):
		j.logger.Error(o.err, "store rejected append as malformed", "partition", j.partition.String(), "records", len(d.call.Records))
		return true, o.err
	default:
		d.mayHaveTakenEffect = true
		j.logger.V(1).Info("append not answered", "partition", j.partition.String(), "error", o.err.Error())
		return false, nil
	}
}

// renumber handles an attempt that the store rejected because it expects another
// sequence number; known is true if this determines the outcome of the append.
func (d *delivery) renumber(sent int64, refused *jayport.SequenceError) (known bool, err error) {
	j := d.journal
	switch {
	case len(d.call.Records) == 0:
		// An append without records only checks that no producer has a higher
		// epoch, which is the case.
		return true, nil
	case sent != d.call.Producer.Sequence:
		// The result belongs to an earlier attempt, whose number was replaced
		// since.
		return false, nil
	case j.sequence == 0 && !d.mayHaveTakenEffect:
		// The first append of an epoch takes the number that the store expects.
		j.sequence = refused.Expected - 1
		d.call.Producer.Sequence = refused.Expected
		return false, nil
	default:
		// No other producer uses this name and epoch, so only a bug in the store
		// or in this program can lead here.
		j.logger.Error(refused, "sequence is broken", "partition", j.partition.String(), "sequence", sent)
		return true, &jayport.FencedError{}
	}
}
