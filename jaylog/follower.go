package jaylog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayplatform"
)

// readWait is how long one read waits for a record.
const readWait = time.Second

// Reader takes what a follower reads. All calls come from one goroutine.
type Reader interface {
	// From is the offset to read next.
	From() uint64
	// Take folds a page; caughtUp says that it reaches the stream's end.
	Take(page jayplatform.Page, readBegan time.Time, caughtUp bool)
	// Expired tells that the offset to read next is no longer kept; first is
	// the oldest one that is.
	Expired(first uint64)
}

// Follower reads one stream as it grows.
type Follower struct {
	log    jayplatform.Log
	stream string
	reader Reader
	logger logr.Logger
	// lastRead is the time of the last successful read in Unix nanoseconds.
	lastRead atomic.Int64
}

// NewFollower returns a follower of a stream.
func NewFollower(log jayplatform.Log, stream string, reader Reader, logger logr.Logger) *Follower {
	return &Follower{log: log, stream: stream, reader: reader, logger: logger}
}

// Age returns how long ago the stream was last read; a follower that never
// read it returns a very long time.
func (f *Follower) Age() time.Duration {
	return time.Since(time.Unix(0, f.lastRead.Load()))
}

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := f.readOnce()
		if err == nil {
			failing = false
			continue
		}
		if !failing {
			f.logger.Info("cannot read", "stream", f.stream, "error", err.Error())
		}
		failing = true
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
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
	// The read's beginning counts, not its end: an answer that was held up on
	// its way says nothing about the stream now.
	f.lastRead.Store(began.UnixNano())
	end := f.reader.From()
	if n := len(page.Records); n > 0 {
		end = page.Records[n-1].Offset + 1
	}
	f.reader.Take(page, began, end >= page.Next)
	return nil
}
