package jayport

import (
	"errors"
	"fmt"
	"time"
)

// Errors of requests to the platform. The other errors of the store have types of their
// own.
var (
	// ErrNoAnswer means that there was no valid response. The request may have taken
	// effect, or may still do so.
	ErrNoAnswer = errors.New("no answer")
	// ErrRejected means that the request was rejected and had no effect.
	ErrRejected = errors.New("rejected")
	// ErrRateExceeded is the ErrRejected of a request beyond the rate that the platform serves.
	ErrRateExceeded = fmt.Errorf("%w: too many requests", ErrRejected)
	// ErrNotSent is the ErrRejected of a request of which no byte was sent.
	ErrNotSent = fmt.Errorf("%w: not sent", ErrRejected)
	// ErrMalformed means that the request was refused as invalid.
	ErrMalformed = errors.New("refused as malformed")
)

// StaleError means that the condition of an append did not hold, because the partition ends
// at another offset.
type StaleError struct {
	// End is the offset after the partition's last record.
	End int64
}

// Error returns a message with the end of the partition.
func (e *StaleError) Error() string {
	return fmt.Sprintf("partition has moved on to offset %d", e.End)
}

// FencedError means that a producer with the same name and a higher epoch has appended.
type FencedError struct{}

// Error returns a message about the higher epoch.
func (*FencedError) Error() string {
	return "a producer with a higher epoch has taken over"
}

// SequenceError means that the sequence number of an append does not follow that of the
// producer's last append.
type SequenceError struct {
	Expected int64
}

// Error returns a message with the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("sequence number %d expected", e.Expected)
}

// ExpiredError means that the requested records are no longer retained.
type ExpiredError struct {
	// First is the offset of the oldest retained record.
	First int64
}

// Error returns a message with the oldest retained offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.First)
}

// Partition identifies a partition, which is one of a topic's sequences of records.
type Partition struct {
	Topic  string
	Number int
}

// String returns the partition in the form topic/number.
func (p Partition) String() string {
	return fmt.Sprintf("%s/%d", p.Topic, p.Number)
}

// Record is a keyed record. A nil value removes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer identifies an append, so that the store applies a repeated append only once and
// rejects those of an older epoch.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Append is a list of records that are appended atomically.
type Append struct {
	Partition Partition
	Records   []Record
	// Producer is nil for an append that need not be identified.
	Producer *Producer
	// AsOf is the offset at which the partition must end for the append to be applied,
	// or AnyOffset.
	AsOf int64
}

// AnyOffset is the value of Append.AsOf for an append without a condition.
const AnyOffset int64 = -1

// Appended is the range of offsets of appended records.
type Appended struct {
	// First is the offset of the first appended record, and End is the offset after the
	// last one.
	First int64
	End   int64
}

// Page is a list of consecutive records of a partition in the order of their offsets.
type Page struct {
	Records []Record
	// Next is the offset at which the next read continues.
	Next int64
	// End is the offset after the partition's last record.
	End int64
}

// Latest is a page of the newest records of keys, sorted by key.
type Latest struct {
	Records []Record
	// More reports whether there are keys after the last one of this page.
	More bool
	End  int64
}

// KeyBefore returns a key that sorts just before all keys with a prefix. Latest returns the
// keys with the prefix first if it is called with that key.
func KeyBefore(prefix string) string {
	if prefix == "" {
		return ""
	}
	last := len(prefix) - 1
	return prefix[:last] + string([]byte{prefix[last] - 1, '~'})
}

// CallTimeout is the timeout of a single request to the store that is not repeated.
const CallTimeout = 500 * time.Millisecond

// Store is the platform's durable store of keyed records.
type Store interface {
	// Append appends records to a partition. Its errors are ErrNoAnswer, ErrRejected,
	// ErrMalformed, StaleError, FencedError and SequenceError.
	Append(a Append, timeout time.Duration) (Appended, error)
	// Read returns the records from an offset on. If there are none yet, it waits for up
	// to wait for the first one. Its errors are ErrNoAnswer, ErrRejected and ExpiredError.
	Read(p Partition, from int64, wait, timeout time.Duration) (Page, error)
	// Latest returns a page of the newest records of the keys that sort after the given
	// one.
	Latest(p Partition, after string, timeout time.Duration) (Latest, error)
}
