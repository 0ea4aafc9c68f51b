package jayupstream

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// errUnwritten marks an error that occurred before any byte of a request was
// written.
var errUnwritten = errors.New("no byte of the request was written")

// errStale is the cause if an idle connection was closed or received unsolicited
// bytes.
var errStale = errors.New("idle connection was closed or received unsolicited bytes")

// countedConn tracks whether a byte of the current request was written.
//
// An upstream may close a kept-alive connection at the moment when the next
// request is sent, and the caller would get a failure without knowing whether the
// request ran. If an upstream sends two responses to one request, the second one
// would be taken for the response to the next request. In both cases the socket is
// readable before a request is sent, so the first write of each request checks for
// that and fails without sending a byte.
type countedConn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64
	used    bool
}

func newCountedConn(c net.Conn) net.Conn {
	counted := &countedConn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			counted.raw = raw
		}
	}
	return counted
}

// Write sends bytes of a request.
func (c *countedConn) Write(p []byte) (int, error) {
	first := c.written.Load() == 0
	if first && c.used && c.readable() {
		return 0, errors.Join(errUnwritten, errStale)
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	if err != nil && first && n == 0 {
		err = errors.Join(errUnwritten, err)
	}
	return n, err
}

// Read receives bytes of a response. The next write begins another request.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.written.Store(0)
		c.used = true
	}
	return n, err
}

// readable reports whether the socket has unread bytes or has reached its end.
func (c *countedConn) readable() bool {
	if c.raw == nil {
		return false
	}
	ready := false
	var peek [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ready = n > 0 || err == nil || !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ready || err != nil
}
