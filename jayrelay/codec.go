package jayrelay

import (
	"errors"
	"time"

	"jaythread/jayport"
	"jaythread/jaywire"
)

func appendCall(a jayport.Append, timeout time.Duration) *jaywire.StoreCall {
	body := &jaywire.StoreAppend{AsOf: a.AsOf, Records: wireRecords(a.Records)}
	if a.Producer != nil {
		body.Producer = a.Producer.Name
		body.Epoch = a.Producer.Epoch
		body.Sequence = a.Producer.Sequence
	}
	call := newCall(a.Partition, timeout)
	call.Call = &jaywire.StoreCall_Append{Append: body}
	return call
}

func readCall(p jayport.Partition, from int64, wait, timeout time.Duration) *jaywire.StoreCall {
	call := newCall(p, timeout)
	call.Call = &jaywire.StoreCall_Read{Read: &jaywire.StoreRead{From: from, WaitMillis: wait.Milliseconds()}}
	return call
}

func latestCall(p jayport.Partition, after string, timeout time.Duration) *jaywire.StoreCall {
	call := newCall(p, timeout)
	call.Call = &jaywire.StoreCall_Latest{Latest: &jaywire.StoreLatest{After: after}}
	return call
}

func newCall(p jayport.Partition, timeout time.Duration) *jaywire.StoreCall {
	return &jaywire.StoreCall{Topic: p.Topic, Partition: uint32(p.Number), TimeoutMillis: timeout.Milliseconds()}
}

func wireRecords(records []jayport.Record) []*jaywire.StoreRecord {
	wire := make([]*jaywire.StoreRecord, 0, len(records))
	for _, r := range records {
		wire = append(wire, &jaywire.StoreRecord{Key: r.Key, Value: r.Value, Removed: r.Value == nil, Offset: r.Offset})
	}
	return wire
}

func recordsOf(wire []*jaywire.StoreRecord) []jayport.Record {
	records := make([]jayport.Record, 0, len(wire))
	for _, r := range wire {
		record := jayport.Record{Key: r.Key, Offset: r.Offset}
		if !r.Removed {
			// An empty value is not a removal, but protobuf decodes it as nil.
			record.Value = append([]byte{}, r.Value...)
		}
		records = append(records, record)
	}
	return records
}

// Serve executes a peer's call on the store that this entry reaches directly.
func Serve(direct jayport.Store, call *jaywire.StoreCall) *jaywire.StoreResult {
	p := jayport.Partition{Topic: call.Topic, Number: int(call.Partition)}
	timeout := time.Duration(call.TimeoutMillis) * time.Millisecond
	switch body := call.Call.(type) {
	case *jaywire.StoreCall_Append:
		return serveAppend(direct, p, body.Append, timeout)
	case *jaywire.StoreCall_Read:
		page, err := direct.Read(p, body.Read.From, time.Duration(body.Read.WaitMillis)*time.Millisecond, timeout)
		if err != nil {
			return resultOf(err)
		}
		return pageResult(page)
	case *jaywire.StoreCall_Latest:
		latest, err := direct.Latest(p, body.Latest.After, timeout)
		if err != nil {
			return resultOf(err)
		}
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_GOOD, Records: wireRecords(latest.Records), More: latest.More, End: latest.End}
	default:
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_MALFORMED}
	}
}

func pageResult(page jayport.Page) *jaywire.StoreResult {
	return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_GOOD, Records: wireRecords(page.Records), Next: page.Next, End: page.End}
}

func serveAppend(direct jayport.Store, p jayport.Partition, body *jaywire.StoreAppend, timeout time.Duration) *jaywire.StoreResult {
	a := jayport.Append{Partition: p, Records: recordsOf(body.Records), AsOf: body.AsOf}
	if body.Producer != "" {
		a.Producer = &jayport.Producer{Name: body.Producer, Epoch: body.Epoch, Sequence: body.Sequence}
	}
	appended, err := direct.Append(a, timeout)
	if err != nil {
		return resultOf(err)
	}
	return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_GOOD, First: appended.First, End: appended.End}
}

// OutcomeOf returns the outcome that encodes an error, without the number of the
// error.
func OutcomeOf(err error) jaywire.StoreOutcome {
	if err == nil {
		return jaywire.StoreOutcome_STORE_OUTCOME_GOOD
	}
	return resultOf(err).Outcome
}

// resultOf encodes an error with its number, if it has one. Errors that are not
// part of package jayport are encoded as no answer.
func resultOf(err error) *jaywire.StoreResult {
	var (
		stale    *jayport.StaleError
		fenced   *jayport.FencedError
		sequence *jayport.SequenceError
		expired  *jayport.ExpiredError
	)
	switch {
	case errors.As(err, &stale):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_STALE, Number: stale.End}
	case errors.As(err, &fenced):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_FENCED}
	case errors.As(err, &sequence):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_SEQUENCE, Number: sequence.Expected}
	case errors.As(err, &expired):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_EXPIRED, Number: expired.First}
	case errors.Is(err, jayport.ErrRejected):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE}
	case errors.Is(err, jayport.ErrMalformed):
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_MALFORMED}
	default:
		return &jaywire.StoreResult{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_NO_ANSWER}
	}
}

// DecodeError decodes the error of a result, or nil. An outcome that this program does
// not know becomes jayport.ErrNoAnswer, since the call may have taken effect.
func DecodeError(result *jaywire.StoreResult) error {
	switch result.GetOutcome() {
	case jaywire.StoreOutcome_STORE_OUTCOME_GOOD:
		return nil
	case jaywire.StoreOutcome_STORE_OUTCOME_STALE:
		return &jayport.StaleError{End: result.Number}
	case jaywire.StoreOutcome_STORE_OUTCOME_FENCED:
		return &jayport.FencedError{}
	case jaywire.StoreOutcome_STORE_OUTCOME_SEQUENCE:
		return &jayport.SequenceError{Expected: result.Number}
	case jaywire.StoreOutcome_STORE_OUTCOME_EXPIRED:
		return &jayport.ExpiredError{First: result.Number}
	case jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE:
		return jayport.ErrRejected
	case jaywire.StoreOutcome_STORE_OUTCOME_MALFORMED:
		return jayport.ErrMalformed
	default:
		return jayport.ErrNoAnswer
	}
}
