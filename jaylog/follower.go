package jaylog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayplatform"
)

// readWait is the time for which one read waits for a record.
const readWait = time.Second

// Reader receives the records that a follower reads. It is called by one goroutine.
type Reader interface {
	// From returns the offset of the next record to read.
	From() uint64
	// Apply processes a page of records; caughtUp is true if the page reaches the
	// end of the stream. readBegan is the time at which the read began.
	Apply(page jayplatform.Page, readBegan time.Time, caughtUp bool)
	// Expired is called when the record at the offset From has expired; first is
	// the oldest offset that the log service retains.
	Expired(first uint64)
}

// Follower reads a stream continuously.
type Follower struct {
	log    jayplatform.Log
	stream string
	reader Reader
	logger logr.Logger
	// lastRead is the time at which the last successful read began, in Unix
	// nanoseconds, or zero.
	lastRead atomic.Int64
}

// NewFollower returns a follower of a stream. Run starts it.
func NewFollower(log jayplatform.Log, stream string, reader Reader, logger logr.Logger) *Follower {
	return &Follower{log: log, stream: stream, reader: reader, logger: logger}
}

// Age returns the time since the last successful read began. Before the first one it
// returns the time since the Unix epoch.
func (f *Follower) Age() time.Duration {
	return time.Since(time.Unix(0, f.lastRead.Load()))
}

// Run reads the stream until the context ends. Of consecutive failures only the first
// is logged.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := f.readOnce()
		if err == nil {
			failing = false
			continue
		}
		if !failing {
			f.logger.Info("read of stream failed", "stream", f.stream, "error", err.Error())
		}
		failing = true
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (f *Follower) readOnce() error {
	began := time.Now()
	page, err := f.log.Read(f.stream, f.reader.From(), readWait)
	if errors.Is(err, jayplatform.ErrExpired) {
		f.reader.Expired(page.First)
	}
	if err != nil {
		return err
	}
	// The age is measured from the beginning of the read, since a response that
	// was delayed does not reflect the current state of the stream.
	f.lastRead.Store(began.UnixNano())
	end := f.reader.From()
	if n := len(page.Records); n > 0 {
		end = page.Records[n-1].Offset + 1
	}
	f.reader.Apply(page, began, end >= page.Next)
	return nil
}
