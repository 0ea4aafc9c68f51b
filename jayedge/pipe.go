package jayedge

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxOutbound limits the bytes of a response that are buffered in the event
	// loop for a slow caller. Beyond it the writer waits.
	maxOutbound = 256 << 10
	// outboundPoll is the interval at which a waiting writer checks for free
	// space.
	outboundPoll = 5 * time.Millisecond
)

// pipe is a net.Conn on top of a connection of the event loop. The loop appends
// the received bytes and never waits for the reader. It closes the connection of a
// caller that sends more than the limit of unread bytes.
type pipe struct {
	conn   gnet.Conn
	local  net.Addr
	remote net.Addr
	limit  int

	mu            sync.Mutex
	readable      *sync.Cond
	buffer        []byte
	start         int
	closed        bool
	readDeadline  time.Time
	readTimer     *time.Timer
	timerAt       time.Time
	writeDeadline time.Time
	active        bool

	// written receives the event loop's result of each write. Only one goroutine
	// writes at a time.
	written  chan writeResult
	callback gnet.AsyncCallback

	// ownFD is the pipe's own duplicate of the descriptor of the caller's socket,
	// or -1. The event loop's descriptor must not be written to from here: the
	// loop may close it at any time, and its number may then be reused for another
	// caller.
	writeMu sync.Mutex
	ownFD   int
	// queued is set while bytes are buffered in the event loop, so that later
	// bytes are not sent before them.
	queued bool
}

func newPipe(c gnet.Conn, limit int) *pipe {
	p := &pipe{conn: c, local: c.LocalAddr(), remote: c.RemoteAddr(), limit: limit}
	p.ownFD = -1
	p.readable = sync.NewCond(&p.mu)
	p.written = make(chan writeResult, 1)
	p.callback = func(c gnet.Conn, err error) error {
		p.written <- writeResult{waiting: outbound(c), err: err}
		return nil
	}
	return p
}

// put appends received bytes. It returns false if the pipe is closed or the limit
// would be exceeded. Only the event loop calls it.
func (p *pipe) put(data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if len(p.buffer)-p.start+len(data) > p.limit {
		return false
	}
	if p.start > 0 && p.start == len(p.buffer) {
		p.buffer, p.start = p.buffer[:0], 0
	}
	p.buffer = append(p.buffer, data...)
	p.readable.Broadcast()
	return true
}

// shut ends the pipe when the connection has ended.
func (p *pipe) shut() {
	p.closeOwnFD()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.readTimer != nil {
		p.readTimer.Stop()
	}
	p.readable.Broadcast()
}

func (p *pipe) setIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = false
}

// idle reports whether no request is under way and no byte of one has arrived.
// This includes bytes that the event loop has not read yet, because closing a
// socket with unread bytes would reset a request that the caller has already sent.
func (p *pipe) idle() bool {
	p.mu.Lock()
	quiet := !p.active && p.start == len(p.buffer)
	p.mu.Unlock()
	return quiet && !p.unread()
}

func (p *pipe) unread() bool {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.ownFD < 0 {
		return false
	}
	var peek [1]byte
	n, _, err := unix.Recvfrom(p.ownFD, peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Read waits for bytes, the end of the connection or the deadline.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.start == len(p.buffer) {
		if p.closed {
			return 0, io.EOF
		}
		if p.pastReadDeadline() {
			return 0, os.ErrDeadlineExceeded
		}
		p.readable.Wait()
	}
	n := copy(b, p.buffer[p.start:])
	p.active = true
	p.start += n
	if p.start == len(p.buffer) {
		p.release()
	}
	return n, nil
}

// release frees a large buffer, so that an idle caller uses little memory.
func (p *pipe) release() {
	p.start = 0
	const keep = 4096
	if cap(p.buffer) > keep {
		p.buffer = nil
		return
	}
	p.buffer = p.buffer[:0]
}

func (p *pipe) pastReadDeadline() bool {
	return !p.readDeadline.IsZero() && !time.Now().Before(p.readDeadline)
}

// Write sends as many bytes as the socket accepts at once, passes the rest to the
// event loop, and returns once they are in the loop's bounded buffer.
func (p *pipe) Write(b []byte) (int, error) {
	sent, err := p.writeNow(b)
	if err != nil {
		return sent, err
	}
	if sent == len(b) {
		return sent, nil
	}
	if err := p.writeThroughLoop(b[sent:]); err != nil {
		return sent, err
	}
	return len(b), nil
}

// writeNow writes to the socket without waiting. It avoids the event loop, which
// would wake another thread for each response.
func (p *pipe) writeNow(b []byte) (int, error) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.queued || p.ownFD < 0 {
		return 0, nil
	}
	sent := 0
	for sent < len(b) {
		n, err := unix.Write(p.ownFD, b[sent:])
		if n > 0 {
			sent += n
		}
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			p.queued = true
			return sent, nil
		case err != nil:
			return sent, fmt.Errorf("write to caller: %w", err)
		}
	}
	return sent, nil
}

// openOwnFD duplicates the descriptor of the connection. If that fails, writes go
// through the event loop. Only the event loop calls it.
func (p *pipe) openOwnFD() {
	fd, err := p.conn.Dup()
	if err != nil {
		return
	}
	p.ownFD = fd
}

func (p *pipe) closeOwnFD() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.ownFD >= 0 {
		_ = unix.Close(p.ownFD)
		p.ownFD = -1
	}
}

type writeResult struct {
	waiting int
	err     error
}

func (p *pipe) writeThroughLoop(b []byte) error {
	if err := p.conn.AsyncWrite(b, p.callback); err != nil {
		return err
	}
	result := <-p.written
	for result.err == nil && result.waiting > maxOutbound {
		if p.pastWriteDeadline() {
			_ = p.Close()
			return os.ErrDeadlineExceeded
		}
		time.Sleep(outboundPoll)
		if err := p.conn.Wake(p.callback); err != nil {
			return err
		}
		result = <-p.written
	}
	p.writeMu.Lock()
	p.queued = result.waiting > 0
	p.writeMu.Unlock()
	return result.err
}

func outbound(c gnet.Conn) int {
	if c == nil {
		return 0
	}
	return c.OutboundBuffered()
}

func (p *pipe) pastWriteDeadline() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || !p.writeDeadline.IsZero() && !time.Now().Before(p.writeDeadline)
}

// Close closes the caller's connection after the bytes written so far.
func (p *pipe) Close() error {
	p.shut()
	return p.conn.Close()
}

// LocalAddr returns the entry's address.
func (p *pipe) LocalAddr() net.Addr { return p.local }

// RemoteAddr returns the caller's address.
func (p *pipe) RemoteAddr() net.Addr { return p.remote }

// SetDeadline sets the read and write deadlines.
func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

// SetReadDeadline wakes a waiting read at the deadline. Each request extends the
// deadline, so the timer is reset only if it would fire too late, or after it has
// fired too early.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	if t.IsZero() || p.closed {
		return nil
	}
	if p.readTimer == nil {
		p.timerAt = t
		p.readTimer = time.AfterFunc(time.Until(t), p.onReadTimer)
		return nil
	}
	if t.Before(p.timerAt) {
		p.resetReadTimer(t)
	}
	return nil
}

func (p *pipe) resetReadTimer(t time.Time) {
	p.timerAt = t
	p.readTimer.Reset(time.Until(t))
}

// onReadTimer is called when the read timer fires.
func (p *pipe) onReadTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.readDeadline.IsZero() {
		p.timerAt = time.Time{}
		p.readTimer = nil
		return
	}
	if p.pastReadDeadline() {
		p.readable.Broadcast()
		p.readTimer = nil
		return
	}
	p.resetReadTimer(p.readDeadline)
}

// SetWriteDeadline limits the wait for a slow caller.
func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	return nil
}
