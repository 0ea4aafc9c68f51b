// Package jaytransfer lets a message take longer than its timeout while its bytes keep moving, so
// that neither its size nor the bandwidth of the link decides whether it arrives.
package jaytransfer

import (
	"net"
	"time"
)

const (
	// Limit is how long a message may continue after its deadline.
	Limit = 30 * time.Second
	// pieceBytes is the maximum number of bytes that are written at once. The progress of a
	// larger message is noticed after each piece.
	pieceBytes = 32 << 10
)

// Conn is a connection whose deadlines apply until the first byte of a message has moved. From
// then on it may go without progress for the stall time, and continue for Limit after its
// deadline. One goroutine at a time sets a deadline and reads or writes.
type Conn struct {
	net.Conn
	stall       time.Duration
	read, write deadline
}

// New returns a connection whose messages may go without progress for the stall time.
func New(conn net.Conn, stall time.Duration) *Conn {
	return &Conn{Conn: conn, stall: stall}
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time by which the next message must have begun to arrive.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.read = newDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the time by which the next message must have begun to leave.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.write = newDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// Read reads bytes of a message.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && err == nil && c.read.extend(time.Now().Add(c.stall)) {
		err = c.Conn.SetReadDeadline(c.read.at)
	}
	return n, err
}

// Write writes a message.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		if c.write.extend(time.Now().Add(c.stall)) {
			if err := c.Conn.SetWriteDeadline(c.write.at); err != nil {
				return written, err
			}
		}
	}
}

// deadline is the present deadline of a message and the latest one that it may get. Zero is no
// deadline.
type deadline struct {
	at, latest time.Time
}

func newDeadline(t time.Time) deadline {
	if t.IsZero() {
		return deadline{}
	}
	return deadline{at: t, latest: t.Add(Limit)}
}

// extend moves the deadline to a later time, but not beyond the latest one, and reports whether it
// has moved.
func (d *deadline) extend(to time.Time) bool {
	if to.After(d.latest) {
		to = d.latest
	}
	if d.at.IsZero() || !to.After(d.at) {
		return false
	}
	d.at = to
	return true
}
