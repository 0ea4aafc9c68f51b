// Package jayupstream sends a request to an upstream once and reports whether the
// request may have run there.
package jayupstream

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayverdict"
)

// These are the errors of attempts.
var (
	errDial = errors.New("cannot connect")
	// ErrCut means that a response ended before it was complete.
	ErrCut = errors.New("response was cut off")
	// ErrLeaving means that the upstream refused a request and closed the
	// connection, and thus accepts no more requests.
	ErrLeaving = errors.New("upstream is leaving")
)

// Result is a complete response, or the start of a response that is streamed.
type Result struct {
	Response *fasthttp.Response
	// Body is the complete body, unless Rest is set.
	Body []byte
	// Rest returns the bytes after Body. The receiver must close it to end the
	// attempt.
	Rest io.ReadCloser
}

// responses holds responses for reuse after they were received completely. A
// response whose call failed or whose body is streamed is not returned to the
// pool, because something may still read into it.
var responses = sync.Pool{New: func() any { return &fasthttp.Response{} }}

// Release returns a complete response to the pool. Response must not be used
// afterwards; Body stays valid.
func (r *Result) Release() {
	if r.Rest != nil {
		return
	}
	r.Response.Reset()
	responses.Put(r.Response)
}

// Client manages the connections to all upstreams.
type Client struct {
	idle        time.Duration
	dialTimeout time.Duration
	bufferBytes int
	connect     func(addr string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the HTTP client of one upstream and the limit of its connections.
type host struct {
	*fasthttp.HostClient
	limit int
}

// NewClient returns a Client. It keeps unused connections open for the duration
// idle, and buffers up to bufferBytes of a response before it streams the rest.
func NewClient(idle, dialTimeout time.Duration, bufferBytes int, options ...Option) *Client {
	c := &Client{idle: idle, dialTimeout: dialTimeout, bufferBytes: bufferBytes, hosts: map[string]*host{}}
	c.connect = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, c.dialTimeout) }
	for _, option := range options {
		option(c)
	}
	return c
}

// Option customizes a Client in NewClient.
type Option func(*Client)

// WithDial replaces the function that connects to upstreams, for tests.
func WithDial(dial func(addr string) (net.Conn, error)) Option {
	return func(c *Client) { c.connect = dial }
}

// Attempt describes one attempt to send a request to an upstream.
type Attempt struct {
	Addr string
	// Connections is this entry's share of the connections to the upstream.
	Connections int
	// NewConnection requests a new connection that is closed after this request. It is set
	// for requests that must run at most once, so that they do not depend on the
	// state of an idle connection.
	NewConnection bool
	Timeout       time.Duration
}

// Do sends the request once. A returned error is of type *jayverdict.Error. The
// request must not be changed or reused before Do returns.
func (c *Client) Do(a Attempt, req *fasthttp.Request) (*Result, error) {
	resp := responses.Get().(*fasthttp.Response)
	resp.StreamBody = true
	if a.NewConnection {
		req.SetConnectionClose()
	}
	err := c.host(a).DoTimeout(req, resp, a.Timeout)
	if err != nil {
		return nil, classify(err)
	}
	if refusedByContract(resp) {
		refusal := jayverdict.NewNotRun(503, "upstream refused", time.Second)
		if resp.ConnectionClose() {
			refusal.Err = ErrLeaving
		}
		_ = resp.CloseBodyStream()
		return nil, refusal
	}
	return c.collect(resp)
}

// Forget closes the idle connections to an upstream that has left and drops its
// client.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.hosts[addr]; ok {
		h.CloseIdleConnections()
		delete(c.hosts, addr)
	}
}

// Addrs returns the addresses of the upstreams that have a client.
func (c *Client) Addrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs := make([]string, 0, len(c.hosts))
	for addr := range c.hosts {
		addrs = append(addrs, addr)
	}
	return addrs
}

func (c *Client) host(a Attempt) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := max(1, a.Connections)
	h, ok := c.hosts[a.Addr]
	if ok {
		if h.limit != limit {
			h.limit = limit
			h.SetMaxConns(limit)
		}
		return h.HostClient
	}
	client := &fasthttp.HostClient{
		Addr:                     a.Addr,
		NoDefaultUserAgentHeader: true,
		// By default the library repeats a GET when a kept-alive connection
		// closes, and the upstream would see two requests for one call.
		MaxIdemponentCallAttempts: 1,
		MaxConns:                  limit,
		MaxIdleConnDuration:       c.idle,
		StreamResponseBody:        true,
		DisablePathNormalizing:    true,
		Dial:                      c.dial,
	}
	c.hosts[a.Addr] = &host{HostClient: client, limit: limit}
	return client
}

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := c.connect(addr)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return newCountedConn(conn), nil
}

// collect reads the body up to the buffer limit. A body that is cut off within the
// limit is returned as an error. If the body is longer, the rest is streamed.
func (c *Client) collect(resp *fasthttp.Response) (*Result, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return &Result{Response: resp, Body: resp.Body()}, nil
	}
	body, whole, err := c.readStart(stream, resp.Header.ContentLength())
	if err != nil {
		_ = resp.CloseBodyStream()
		return nil, jayverdict.NewMayHaveRun(502, "upstream's answer was cut", errors.Join(ErrCut, err))
	}
	if whole {
		_ = resp.CloseBodyStream()
		return &Result{Response: resp, Body: body}, nil
	}
	return &Result{Response: resp, Body: body, Rest: &rest{resp: resp, stream: stream}}, nil
}

// readStart reads the body up to the buffer limit and reports whether it is
// complete. It is complete only if the stream returns io.EOF, which it does not do
// for a response that was cut off.
func (c *Client) readStart(stream io.Reader, length int) (body []byte, whole bool, err error) {
	size := initialBuffer
	if length >= 0 {
		size = length + 1
	}
	body = make([]byte, 0, min(size, c.bufferBytes))
	for len(body) < c.bufferBytes {
		if len(body) == cap(body) {
			body = slices.Grow(body, min(cap(body), c.bufferBytes-len(body)))
		}
		limit := min(cap(body), c.bufferBytes)
		n, err := stream.Read(body[len(body):limit])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// initialBuffer is the initial buffer size in bytes for a response of unknown
// length.
const initialBuffer = 512

type rest struct {
	resp   *fasthttp.Response
	stream io.Reader
}

func (r *rest) Read(p []byte) (int, error) {
	return r.stream.Read(p)
}

func (r *rest) Close() error {
	return r.resp.CloseBodyStream()
}

// refusedByContract reports whether the upstream states that it has not run the
// request.
func refusedByContract(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(jayverdict.Header)) == jayverdict.NotRun.String()
}

// classify returns the verdict for a failed attempt. Only a request of which
// certainly no byte reached the upstream counts as not run.
func classify(err error) *jayverdict.Error {
	var v *jayverdict.Error
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, errUnwritten):
		v = jayverdict.NewNotRun(503, "upstream cannot be reached", time.Second)
	case errors.Is(err, fasthttp.ErrTimeout):
		v = jayverdict.NewMayHaveRun(504, "upstream did not answer in time", nil)
	default:
		v = jayverdict.NewMayHaveRun(502, "upstream failed", nil)
	}
	v.Err = err
	return v
}
