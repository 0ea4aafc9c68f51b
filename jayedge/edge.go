// Package jayedge serves the connections of callers. The event loops of gnet
// handle the sockets, the HTTP server of fasthttp handles the requests, and a pipe
// connects the two for each connection.
package jayedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/valyala/fasthttp"

	"jaythread/jaystop"
)

// stopPoll is the interval at which Stop checks for connections that have become
// idle.
const stopPoll = 5 * time.Millisecond

// headRoom is the number of bytes that a caller may send in addition to the
// largest body.
const headRoom = 64 << 10

// Options are the settings of an Edge.
type Options struct {
	Addr            string
	EventLoops      int
	MaxRequestBytes int
	MaxConns        int
	// Idle limits the time between two requests on a connection and the time to
	// read one request.
	Idle time.Duration
	// Write limits the time that a response waits for a slow caller.
	Write time.Duration
}

// Edge accepts connections and requests from callers.
type Edge struct {
	gnet.BuiltinEventEngine

	options Options
	server  *fasthttp.Server
	handler fasthttp.RequestHandler
	logger  logr.Logger
	engine  gnet.Engine
	booted  chan struct{}
	// ended is closed once the engine has ended, with runError.
	ended    chan struct{}
	runError error
	conns    atomic.Int64
	inFlight atomic.Int64
	stopping atomic.Bool
	closing  atomic.Bool
	// lastRequest is when the most recent request arrived while the entry was
	// stopping.
	lastRequest atomic.Pointer[time.Time]

	mu    sync.Mutex
	pipes map[*pipe]struct{}
}

// NewEdge returns an Edge that passes requests to the handler.
func NewEdge(options Options, handler fasthttp.RequestHandler, logger logr.Logger) *Edge {
	e := &Edge{
		options: options,
		handler: handler,
		logger:  logger,
		booted:  make(chan struct{}),
		ended:   make(chan struct{}),
		pipes:   map[*pipe]struct{}{},
	}
	e.server = &fasthttp.Server{
		Handler:                       e.handle,
		ErrorHandler:                  e.handleError,
		ConnState:                     markIdle,
		Logger:                        quietLogger{},
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: false,
		ReduceMemoryUsage:             true,
		IdleTimeout:                   options.Idle,
		ReadTimeout:                   options.Idle,
		WriteTimeout:                  options.Write,
		MaxRequestBodySize:            options.MaxRequestBytes,
		ReadBufferSize:                16 << 10,
	}
	return e
}

// quietLogger discards the log messages of the HTTP server.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// Start opens the listener and returns once callers can connect.
func (e *Edge) Start() error {
	// The engine reports an occupied port only after it has created its event
	// loops. Probing the address first gives a clear error.
	probe, err := net.Listen("tcp4", e.options.Addr)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	_ = probe.Close()
	go func() {
		defer close(e.ended)
		e.runError = gnet.Run(e, "tcp4://"+e.options.Addr,
			gnet.WithNumEventLoop(e.options.EventLoops),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(discardLogger{}),
			gnet.WithLogLevel(logging.ErrorLevel),
		)
	}()
	select {
	case <-e.booted:
		return nil
	case <-e.ended:
		return fmt.Errorf("listen for callers: %w", e.runError)
	}
}

// drainLimit is the maximum duration of a drain as a multiple of the grace time. A
// caller that ignores the entry's readiness must not delay the stop any longer.
const drainLimit = 2

// Drain asks callers to close their connections after each response, and returns
// once no request has arrived for the grace time. New connections are served until
// then, because the load balancer needs some time to notice that the entry is
// leaving, and more when it is busy.
func (e *Edge) Drain(ctx context.Context, grace time.Duration) {
	began := time.Now()
	e.lastRequest.Store(&began)
	e.stopping.Store(true)
	last := began.Add(drainLimit * grace)
	for {
		until := e.lastRequest.Load().Add(grace)
		if until.After(last) {
			until = last
		}
		wait := time.Until(until)
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// InFlight returns the number of requests that are being answered.
func (e *Edge) InFlight() int64 {
	return e.inFlight.Load()
}

// Conns returns the number of connected callers.
func (e *Edge) Conns() int64 {
	return e.conns.Load()
}

// ErrCut means that requests were still in flight at the end of the time limit.
var ErrCut = errors.New("stopped with requests in flight")

// CloseTimeout limits how long Stop waits for the event loops once the callers are answered.
const CloseTimeout = 200 * time.Millisecond

// Stop refuses new connections, closes idle ones and waits until all requests are
// answered or the context ends; its error then wraps ErrCut. After that it ends the event loops
// within CloseTimeout.
func (e *Edge) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	e.closing.Store(true)
	cut := e.awaitCallers(ctx)
	closing, cancel := context.WithTimeout(context.Background(), CloseTimeout)
	defer cancel()
	jaystop.Run(closing, e.logger, jaystop.Stage{Name: "event loops", Run: e.stopEngine})
	return cut
}

// stopEngine ends the event loops.
func (e *Edge) stopEngine() {
	// Engine.Stop looks for the end of the loops twice a second. With a context that is done it
	// only begins the shutdown.
	done, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.engine.Stop(done)
	<-e.ended
}

func (e *Edge) awaitCallers(ctx context.Context) error {
	began := time.Now()
	tick := time.NewTicker(stopPoll)
	defer tick.Stop()
	for {
		open := e.closeIdle()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			pending := fmt.Sprintf("%d requests on %d connections", e.InFlight(), open)
			e.logger.Info("stop does not wait any longer", "for", "callers", "pending", pending, "waited", time.Since(began).String())
			return fmt.Errorf("%w: %d connections", ErrCut, open)
		case <-tick.C:
		}
	}
}

// closeIdle closes the connections that have no request under way. It returns the
// number of connections that were open.
func (e *Edge) closeIdle() int {
	e.mu.Lock()
	open := len(e.pipes)
	var idle []*pipe
	for p := range e.pipes {
		if p.idle() {
			idle = append(idle, p)
		}
	}
	e.mu.Unlock()
	for _, p := range idle {
		_ = p.Close()
	}
	return open
}

// OnBoot is called by the engine when it listens.
func (e *Edge) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	close(e.booted)
	return gnet.None
}

// OnOpen is called by an event loop for a new connection.
func (e *Edge) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if e.conns.Add(1) > int64(e.options.MaxConns) || e.closing.Load() {
		return nil, gnet.Close
	}
	p := newPipe(c, e.options.MaxRequestBytes+headRoom)
	p.openOwnFD()
	c.SetContext(p)
	e.mu.Lock()
	e.pipes[p] = struct{}{}
	e.mu.Unlock()
	go e.serve(p)
	return nil, gnet.None
}

// OnClose is called by an event loop when a connection has ended.
func (e *Edge) OnClose(c gnet.Conn, _ error) gnet.Action {
	e.conns.Add(-1)
	if p, ok := c.Context().(*pipe); ok {
		p.shut()
	}
	return gnet.None
}

// OnTraffic is called by an event loop when bytes have arrived.
func (e *Edge) OnTraffic(c gnet.Conn) gnet.Action {
	p, ok := c.Context().(*pipe)
	if !ok {
		return gnet.Close
	}
	data, err := c.Next(-1)
	if err != nil || len(data) == 0 {
		return gnet.None
	}
	if !p.put(data) {
		return gnet.Close
	}
	return gnet.None
}

// markIdle marks the pipe as idle when its caller's last request is answered.
func markIdle(c net.Conn, state fasthttp.ConnState) {
	if p, ok := c.(*pipe); ok && state == fasthttp.StateIdle {
		p.setIdle()
	}
}

func (e *Edge) serve(p *pipe) {
	_ = e.server.ServeConn(p)
	e.mu.Lock()
	delete(e.pipes, p)
	e.mu.Unlock()
	_ = p.Close()
}
