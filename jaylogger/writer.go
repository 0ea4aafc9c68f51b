package jaylogger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxPendingBytes limits the size of the lines that wait for an output that is
	// slow or that nobody reads: about ten thousand lines.
	maxPendingBytes = 2 << 20
	// writeInterval is the pause after each write, in which lines are collected. An
	// owner that logs a thousand lines a second then makes a hundred writes.
	writeInterval = 10 * time.Millisecond
	// maxWriteBytes limits the size of one write. A pipe accepts a write of this
	// size atomically, so that no reader sees a part of a line.
	maxWriteBytes = 4096
)

// Writer passes lines to a goroutine that writes them, so that logging never
// blocks. Otherwise a process whose standard output is not read would block as soon
// as the pipe is full. Lines that exceed the buffer are dropped; their number is
// logged once there is space again.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	lost    int
	total   int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer and starts its goroutine, which writes to the given
// output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds a line to the buffer, or drops it if the buffer is full. Its error is
// always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.lost++
		w.total++
	} else {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// Lost returns the number of lines dropped so far.
func (w *Writer) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close waits until the buffered lines are written, or until the timeout expires.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var lines []byte
	for range w.wake {
		for {
			next, lost, closed := w.takePending(lines[:0])
			if lost > 0 {
				next = appendLost(next, lost)
			}
			if len(next) == 0 {
				if closed {
					return
				}
				break
			}
			w.write(next)
			lines = next
			if !closed {
				time.Sleep(writeInterval)
			}
		}
	}
}

// write writes whole lines, as many at a time as a pipe accepts atomically.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		part := lines
		if len(part) > maxWriteBytes {
			end := bytes.LastIndexByte(part[:maxWriteBytes], '\n') + 1
			if end == 0 {
				end = bytes.IndexByte(part, '\n') + 1
			}
			part = part[:end]
		}
		// An error is ignored: the log is the only place where it could be
		// reported.
		_, _ = w.out.Write(part)
		lines = lines[len(part):]
	}
}

// takePending returns the buffered lines and replaces the buffer by an empty one.
func (w *Writer) takePending(empty []byte) (lines []byte, lost int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.pending = w.pending, empty
	lost, w.lost = w.lost, 0
	return lines, lost, w.closed
}

// appendLost appends a log line with the number of dropped lines.
func appendLost(lines []byte, lost int) []byte {
	buffer := lineBuffer{lines}
	logger := zerolog.New(&buffer).With().Timestamp().Logger()
	logger.Error().Str("part", "log").Int("lost", lost).Msg("log lines lost")
	return buffer.lines
}

// lineBuffer is a writer that collects lines in memory.
type lineBuffer struct {
	lines []byte
}

// Write appends a line.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.lines = append(b.lines, line...)
	return len(line), nil
}
