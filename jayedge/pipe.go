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
	// maxOutbound is how much of an answer may wait in the event loop for a
	// slow caller before the writer has to wait.
	maxOutbound = 256 << 10
	// outboundPoll is how often a waiting writer looks whether there is room.
	outboundPoll = 5 * time.Millisecond
)

// pipe is a net.Conn over a connection of the event loop. The loop puts in
// what arrives and never waits for the reader; it closes a caller that sends
// more than the limit while nobody reads.
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

	// handed receives the event loop's word on each write. One goroutine
	// writes at a time.
	handed   chan handedOver
	callback gnet.AsyncCallback

	// own is a descriptor of this pipe's own for the caller's socket, or -1.
	// The loop's descriptor must not be written to from here: the loop may
	// close it at any moment, and its number may be another caller's next.
	writeMu sync.Mutex
	own     int
	// behind says that bytes wait in the loop, so that no later ones may pass
	// them.
	behind bool
}

func newPipe(c gnet.Conn, limit int) *pipe {
	p := &pipe{conn: c, local: c.LocalAddr(), remote: c.RemoteAddr(), limit: limit}
	p.own = -1
	p.readable = sync.NewCond(&p.mu)
	p.handed = make(chan handedOver, 1)
	p.callback = func(c gnet.Conn, err error) error {
		p.handed <- handedOver{waiting: outbound(c), err: err}
		return nil
	}
	return p
}

// put adds what arrived; it returns false if the limit is passed. Only the
// event loop calls it.
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
	p.closeOwn()
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

// idle reports whether no request is under way and no byte of one has come,
// also none that the event loop has not read yet: closing a socket with unread
// bytes would reset a request that the caller has sent already.
func (p *pipe) idle() bool {
	p.mu.Lock()
	quiet := !p.active && p.start == len(p.buffer)
	p.mu.Unlock()
	return quiet && !p.unread()
}

func (p *pipe) unread() bool {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.own < 0 {
		return false
	}
	var peek [1]byte
	n, _, err := unix.Recvfrom(p.own, peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// Read waits for bytes, the end or the deadline.
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

// release gives the buffer's memory back, so that an idle caller costs little.
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

// Write sends bytes at once as far as the socket takes them, hands the rest to
// the event loop, and returns when that waits in the loop's bounded buffer.
func (p *pipe) Write(b []byte) (int, error) {
	sent, err := p.writeNow(b)
	if err != nil {
		return sent, err
	}
	if sent == len(b) {
		return sent, nil
	}
	if err := p.handOver(b[sent:]); err != nil {
		return sent, err
	}
	return len(b), nil
}

// writeNow writes to the socket without waiting. It spares the way through
// the event loop, which wakes another thread for each answer.
func (p *pipe) writeNow(b []byte) (int, error) {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.behind || p.own < 0 {
		return 0, nil
	}
	sent := 0
	for sent < len(b) {
		n, err := unix.Write(p.own, b[sent:])
		if n > 0 {
			sent += n
		}
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			p.behind = true
			return sent, nil
		case err != nil:
			return sent, fmt.Errorf("write to caller: %w", err)
		}
	}
	return sent, nil
}

// openOwn takes a descriptor of the pipe's own. Without one, writes go through
// the loop. Only the event loop calls it.
func (p *pipe) openOwn() {
	fd, err := p.conn.Dup()
	if err != nil {
		return
	}
	p.own = fd
}

func (p *pipe) closeOwn() {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.own >= 0 {
		_ = unix.Close(p.own)
		p.own = -1
	}
}

type handedOver struct {
	waiting int
	err     error
}

func (p *pipe) handOver(b []byte) error {
	if err := p.conn.AsyncWrite(b, p.callback); err != nil {
		return err
	}
	result := <-p.handed
	for result.err == nil && result.waiting > maxOutbound {
		if p.pastWriteDeadline() {
			_ = p.Close()
			return os.ErrDeadlineExceeded
		}
		time.Sleep(outboundPoll)
		if err := p.conn.Wake(p.callback); err != nil {
			return err
		}
		result = <-p.handed
	}
	p.writeMu.Lock()
	p.behind = result.waiting > 0
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

// Close closes the caller's connection after what was written.
func (p *pipe) Close() error {
	p.shut()
	return p.conn.Close()
}

// LocalAddr returns the entry's address.
func (p *pipe) LocalAddr() net.Addr { return p.local }

// RemoteAddr returns the caller's address.
func (p *pipe) RemoteAddr() net.Addr { return p.remote }

// SetDeadline sets both deadlines.
func (p *pipe) SetDeadline(t time.Time) error {
	_ = p.SetReadDeadline(t)
	return p.SetWriteDeadline(t)
}

// SetReadDeadline wakes a waiting read at the deadline. Each request moves the
// deadline on, so the timer is set anew only when it would ring too late, or
// has rung too early.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline = t
	if t.IsZero() || p.closed {
		return nil
	}
	if p.readTimer == nil {
		p.timerAt = t
		p.readTimer = time.AfterFunc(time.Until(t), p.ring)
		return nil
	}
	if t.Before(p.timerAt) {
		p.rearm(t)
	}
	return nil
}

func (p *pipe) rearm(t time.Time) {
	p.timerAt = t
	p.readTimer.Reset(time.Until(t))
}

// ring is called by the timer.
func (p *pipe) ring() {
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
	p.rearm(p.readDeadline)
}

// SetWriteDeadline bounds the wait for a slow caller.
func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline = t
	return nil
}
