package jaylogger

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxWaiting bounds the bytes of lines that wait for a standard output that
	// is slow or that nobody reads: about ten thousand lines.
	maxWaiting = 2 << 20
	// writePause lets lines gather, so that an owner that logs a thousand lines
	// a second makes a hundred writes of it.
	writePause = 10 * time.Millisecond
	// maxWrite bounds one write. A pipe takes so many bytes at once, so that no
	// reader sees half a line.
	maxWrite = 4096
)

// Writer hands lines to one goroutine that writes them. It never blocks those
// who log: a process whose standard output nobody reads would otherwise stand
// still with its first full pipe. Lines that find no room are lost; their
// number is logged as soon as there is room again.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	lost    int
	total   int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that has begun to write to an output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes in a line. Its error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > maxWaiting {
		w.lost++
		w.total++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// Lost returns how many lines were lost so far.
func (w *Writer) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what waits, for as long as it may take at most.
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
			next, lost, closed := w.take(lines[:0])
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
				time.Sleep(writePause)
			}
		}
	}
}

// write writes whole lines, as many at once as a pipe takes undivided.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		part := lines
		if len(part) > maxWrite {
			end := bytes.LastIndexByte(part[:maxWrite], '\n') + 1
			if end == 0 {
				end = bytes.IndexByte(part, '\n') + 1
			}
			part = part[:end]
		}
		// Nobody can be told that the log cannot be written.
		_, _ = w.out.Write(part)
		lines = lines[len(part):]
	}
}

// take returns the lines that wait and leaves an empty buffer in their place.
func (w *Writer) take(empty []byte) (lines []byte, lost int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.waiting = w.waiting, empty
	lost, w.lost = w.lost, 0
	return lines, lost, w.closed
}

// appendLost adds a line that says how many were lost.
func appendLost(lines []byte, lost int) []byte {
	buffer := lineBuffer{lines}
	logger := zerolog.New(&buffer).With().Timestamp().Logger()
	logger.Error().Str("part", "log").Int("lost", lost).Msg("log lines lost")
	return buffer.lines
}

// lineBuffer collects lines.
type lineBuffer struct {
	lines []byte
}

// Write adds a line.
func (b *lineBuffer) Write(line []byte) (int, error) {
	b.lines = append(b.lines, line...)
	return len(line), nil
}
