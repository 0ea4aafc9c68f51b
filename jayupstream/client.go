// Package jayupstream sends a request to one upstream once and says what is
// known of its run.
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

// Errors of attempts.
var (
	errDial = errors.New("cannot connect")
	// ErrCut means that an answer ended before its end.
	ErrCut = errors.New("answer was cut")
	// ErrLeaving means that the upstream refused a request and closed the
	// connection: it takes no more work.
	ErrLeaving = errors.New("upstream is leaving")
)

// Result is a whole answer, or the beginning of one that is streamed.
type Result struct {
	Response *fasthttp.Response
	// Body is the whole body unless Rest is set.
	Body []byte
	// Rest continues after Body. Its owner closes it, which ends the attempt.
	Rest io.ReadCloser
}

// responses holds responses that were answered whole. One whose call failed
// or whose body is streamed never comes back here: somebody may still read
// into it.
var responses = sync.Pool{New: func() any { return &fasthttp.Response{} }}

// Release gives a whole answer back; nothing of Response may be used after
// it. Body stays valid.
func (r *Result) Release() {
	if r.Rest != nil {
		return
	}
	r.Response.Reset()
	responses.Put(r.Response)
}

// Client keeps the connections to all upstreams.
type Client struct {
	idle        time.Duration
	dialTimeout time.Duration
	bufferBytes int
	connect     func(addr string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[string]*host
}

// host is the client of one upstream and the connections it may make.
type host struct {
	*fasthttp.HostClient
	limit int
}

// NewClient returns a client. It keeps a connection for idle, and buffers up
// to bufferBytes of an answer before it hands out a stream.
func NewClient(idle, dialTimeout time.Duration, bufferBytes int, options ...Option) *Client {
	c := &Client{idle: idle, dialTimeout: dialTimeout, bufferBytes: bufferBytes, hosts: map[string]*host{}}
	c.connect = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, c.dialTimeout) }
	for _, option := range options {
		option(c)
	}
	return c
}

// Option changes how a client is made.
type Option func(*Client)

// WithDial replaces how upstreams are connected to, for tests.
func WithDial(dial func(addr string) (net.Conn, error)) Option {
	return func(c *Client) { c.connect = dial }
}

// Attempt is one try of a request at an upstream.
type Attempt struct {
	Addr string
	// Connections is this entry's share of the upstream's connections.
	Connections int
	// Fresh asks for a connection of its own. A request that must run at most
	// once never depends on what an idle connection's other end just did.
	Fresh   bool
	Timeout time.Duration
}

// Do sends the request once. An error is of type *jayverdict.Error. The
// request must not be changed or reused before Do returns.
func (c *Client) Do(a Attempt, req *fasthttp.Request) (*Result, error) {
	resp := responses.Get().(*fasthttp.Response)
	resp.StreamBody = true
	if a.Fresh {
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

// Forget drops the connections to an upstream that left.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.hosts[addr]; ok {
		h.CloseIdleConnections()
		delete(c.hosts, addr)
	}
}

// Addrs returns the addresses with connections.
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
		// The library repeats a GET by itself when a kept connection closes:
		// the upstream would see two requests for one call.
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

// collect reads the body up to the buffer limit. A body that is cut within it
// is an error that the caller sees as such; beyond it the rest is streamed.
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

// readStart reads the body up to the buffer limit and reports whether that is
// all of it. The end counts only once the stream has said so, which it does
// not for an answer that was cut.
func (c *Client) readStart(stream io.Reader, length int) (body []byte, whole bool, err error) {
	size := smallBody
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

// smallBody is the first buffer for an answer of unknown length.
const smallBody = 512

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

// refusedByContract reports whether the upstream says that it has not run the
// request.
func refusedByContract(resp *fasthttp.Response) bool {
	return resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(jayverdict.Header)) == jayverdict.NotRun.String()
}

// classify says what is known after a failed attempt. Only what certainly
// left no byte at the upstream has not run.
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
