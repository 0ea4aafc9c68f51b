// Package jaypeer exchanges protobuf requests and responses between entry
// instances. A client keeps one yamux session for each peer address and reuses
// its streams, each for one request at a time. If keys are configured,
// connections use mutual TLS.
package jaypeer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"jaythread/jaytransfer"
	"jaythread/jaywire"
)

// maxMessageBytes is the maximum size of one message in bytes. A snapshot at the
// target fleet size is smaller.
const maxMessageBytes = 64 << 20

// Errors of requests to peers.
var (
	// ErrUnreachable means that the peer did not respond. It may be alive.
	ErrUnreachable = errors.New("peer does not respond")
	// ErrGone means that the requested incarnation has ended: its address
	// refuses connections, or another incarnation responds there.
	ErrGone = errors.New("peer has ended")
	// ErrReplaced means that another incarnation responds at the peer's
	// address. It wraps ErrGone and is conclusive: the incarnation has ended.
	ErrReplaced = fmt.Errorf("%w: it was replaced", ErrGone)
)

// Client sends requests to peers. It keeps a session for each address.
type Client struct {
	self    string
	timeout time.Duration
	tls     *tls.Config

	mu       sync.Mutex
	sessions map[string]*yamux.Session
	// idle holds the streams whose last response was received in full. After a
	// failure or timeout the stream is closed instead, since a late response
	// would be taken for the response to the next request.
	idle   map[*yamux.Session][]*stream
	closed bool
}

// stream is a yamux stream that carries one request at a time.
type stream struct {
	*jaytransfer.Conn
	in *bufio.Reader
	// used is the time at which the last response was received.
	used time.Time
}

// maxStreamIdle is the idle time up to which a stream is reused. It is below
// streamIdleTimeout, after which the server closes a stream: a request on a closed
// stream would fail as if the peer were unreachable.
const maxStreamIdle = streamIdleTimeout / 3

// maxIdleStreams limits the number of idle streams for each session.
const maxIdleStreams = 4

// NewClient returns a client for the entry with the ID self. The timeout applies to
// connecting, and to each request until its response begins: a response that keeps arriving may
// take longer. If config is nil, connections are not encrypted; this is for loopback only.
func NewClient(self string, timeout time.Duration, config *tls.Config) *Client {
	return &Client{self: self, timeout: timeout, tls: config, sessions: map[string]*yamux.Session{}, idle: map[*yamux.Session][]*stream{}}
}

// Ask sends a request to the incarnation with the ID to, at its address, and returns
// the response. Its errors wrap ErrGone or ErrUnreachable.
func (c *Client) Ask(to, addr string, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	request.From = c.self
	request.To = to
	response, err := c.exchange(addr, request)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %s at %s: %w", ErrGone, to, addr, err)
		}
		return nil, fmt.Errorf("%w: %s at %s: %w", ErrUnreachable, to, addr, err)
	}
	if to != "" && response.From != to {
		return nil, fmt.Errorf("%w: %s at %s, which is now %s", ErrReplaced, to, addr, response.From)
	}
	return response, nil
}

// Close closes all sessions. Requests that wait for an answer fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	sessions := slices.Collect(maps.Values(c.sessions))
	c.mu.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
}

func (c *Client) exchange(addr string, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	session, err := c.session(addr)
	if err != nil {
		return nil, err
	}
	s, err := c.acquireStream(session)
	if err != nil {
		c.dropSession(addr, session)
		return nil, err
	}
	response := &jaywire.PeerResponse{}
	if err := s.roundTrip(request, response, c.timeout); err != nil {
		// A session whose peer has hung would block each later request until
		// its timeout, while connecting anew fails at once if the peer is gone.
		_ = s.Close()
		c.dropSession(addr, session)
		return nil, err
	}
	c.releaseStream(session, s)
	return response, nil
}

func (s *stream) roundTrip(request *jaywire.PeerRequest, response *jaywire.PeerResponse, timeout time.Duration) error {
	if err := s.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(s, request); err != nil {
		return err
	}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(s.in, response)
}

func (c *Client) acquireStream(session *yamux.Session) (*stream, error) {
	c.mu.Lock()
	idle := c.idle[session]
	if n := len(idle); n > 0 && time.Since(idle[n-1].used) < maxStreamIdle {
		newest := idle[n-1]
		c.idle[session] = idle[:n-1]
		c.mu.Unlock()
		return newest, nil
	}
	// The last stream is the most recently used one: if it is too old, all are.
	delete(c.idle, session)
	c.mu.Unlock()
	for _, old := range idle {
		_ = old.Close()
	}
	opened, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	conn := jaytransfer.New(opened, c.timeout)
	return &stream{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *Client) releaseStream(session *yamux.Session, s *stream) {
	s.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || session.IsClosed() || len(c.idle[session]) >= maxIdleStreams {
		_ = s.Close()
		return
	}
	c.idle[session] = append(c.idle[session], s)
}

func (c *Client) session(addr string) (*yamux.Session, error) {
	c.mu.Lock()
	s, ok := c.sessions[addr]
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if ok && !s.IsClosed() {
		return s, nil
	}
	conn, err := c.dial(addr)
	if err != nil {
		return nil, err
	}
	s, err = yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c.storeSession(addr, s), nil
}

// storeSession stores a session, or closes it and returns the one that another goroutine
// has stored in the meantime.
func (c *Client) storeSession(addr string, s *yamux.Session) *yamux.Session {
	c.mu.Lock()
	defer c.mu.Unlock()
	other, ok := c.sessions[addr]
	if ok && !other.IsClosed() {
		_ = s.Close()
		return other
	}
	c.sessions[addr] = s
	return s
}

func (c *Client) dropSession(addr string, s *yamux.Session) {
	c.mu.Lock()
	if c.sessions[addr] == s {
		delete(c.sessions, addr)
	}
	delete(c.idle, s)
	c.mu.Unlock()
	_ = s.Close()
}

func (c *Client) dial(addr string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: c.timeout}
	if c.tls == nil {
		return dialer.Dial("tcp", addr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	secure := tls.Dialer{NetDialer: dialer, Config: c.tls}
	return secure.DialContext(ctx, "tcp", addr)
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// The heartbeats between entries detect a failed peer sooner than keep-alives.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = time.Second
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = 5 * time.Second
	return config
}
