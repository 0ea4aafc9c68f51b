// Package jayserve handles a caller's request from the routing rules to the
// response.
package jayserve

import (
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"jaythread/jayclaim"
	"jaythread/jayconfig"
	"jaythread/jayedge"
	"jaythread/jayroute"
	"jaythread/jayrule"
	"jaythread/jayupstream"
	"jaythread/jayverdict"
)

// These are the names of request headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPool           = "Jaythread-Pool"
	// HeaderPriority is the priority that a caller requests. Rules may use it.
	HeaderPriority = "Jaythread-Priority"
)

// View is the routing view by which requests are decided. It is replaced as a
// whole, so that each request uses a single revision.
type View struct {
	Revision uint64
	Offset   uint64
	// FreshAt is when the state behind the view was last known to be current, as
	// of the time when the view was built.
	FreshAt time.Time
	Config  *jayconfig.Configuration
	Pools   map[string]*jayroute.Pool
	// States holds the state name of each pool, as used in rules.
	States map[string]string
	// Connections is this entry's share of the connections to an upstream, by
	// pool.
	Connections map[string]int
}

// Source provides the routing view.
type Source interface {
	// View returns the current view, or a refusal if no view may be used.
	View() (*View, *jayverdict.Error)
	// NoteLeaving reports that an upstream accepts no more requests.
	NoteLeaving(upstream string)
}

// Observer receives the outcomes of requests.
type Observer interface {
	Answered(pool string, v jayverdict.Verdict, status int, took time.Duration)
	Retried(pool string)
}

// Options are the settings of a Server.
type Options struct {
	CallerHeader string
	QueueTime    time.Duration
	Timeout      time.Duration
	RetryShare   float64
}

// Server answers the requests of callers.
type Server struct {
	options  Options
	source   Source
	claimer  *jayclaim.Claimer
	client   *jayupstream.Client
	budget   *jayroute.RetryBudget
	limiter  *callerLimiter
	observer Observer
	logger   logr.Logger
}

// NewServer returns a Server that routes by the views of source.
func NewServer(options Options, source Source, claimer *jayclaim.Claimer, client *jayupstream.Client, observer Observer, logger logr.Logger) *Server {
	return &Server{
		options:  options,
		source:   source,
		claimer:  claimer,
		client:   client,
		budget:   jayroute.NewRetryBudget(options.RetryShare),
		limiter:  newCallerLimiter(),
		observer: observer,
		logger:   logger,
	}
}

// exchange is a request under way.
type exchange struct {
	server   *Server
	ctx      *fasthttp.RequestCtx
	view     *View
	route    jayrule.Route
	pool     *jayroute.Pool
	caller   string
	began    time.Time
	deadline time.Time
	avoid    []string
	// mayHaveRun is set once an attempt may have run the request. A later refusal
	// must not report the request as "not run" then.
	mayHaveRun bool
}

// Handle answers one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	began := time.Now()
	x, refusal := s.admit(ctx, began)
	if refusal != nil {
		s.refuse(ctx, "", refusal, began)
		return
	}
	err := x.serve()
	if err == nil {
		s.observer.Answered(x.route.Pool, jayverdict.Ran, ctx.Response.StatusCode(), time.Since(began))
		return
	}
	var refused *jayverdict.Error
	if !errors.As(err, &refused) {
		refused = jayverdict.NewMayHaveRun(502, "internal failure", err)
	}
	s.refuse(ctx, x.route.Pool, refused, began)
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, pool string, e *jayverdict.Error, began time.Time) {
	jayedge.Refuse(ctx, e)
	s.observer.Answered(pool, e.Verdict, e.Status, time.Since(began))
}

// admit applies the rules, which refuse the request or select its pool.
func (s *Server) admit(ctx *fasthttp.RequestCtx, began time.Time) (*exchange, *jayverdict.Error) {
	view, refusal := s.source.View()
	if refusal != nil {
		return nil, refusal
	}
	caller := s.callerOf(ctx)
	subject := subjectOf(ctx, view, caller, began)
	action, rule := view.Config.Decide(subject)
	switch a := action.(type) {
	case jayrule.Route:
		if !s.limiter.allow(caller, rule, a.CallerRate, began) {
			return nil, jayverdict.NewNotRun(429, "too many requests of this caller", time.Second)
		}
		x := &exchange{server: s, ctx: ctx, view: view, route: a, pool: view.Pools[a.Pool], caller: caller, began: began}
		x.deadline = began.Add(s.options.Timeout)
		if a.Timeout > 0 {
			x.deadline = began.Add(a.Timeout)
		}
		return x, nil
	case jayrule.Refuse:
		return nil, jayverdict.NewNotRun(403, a.Reason, 0)
	default:
		return nil, jayverdict.NewNotRun(404, "no rule matches", 0)
	}
}

// callerOf returns the name of the caller: the value of the header that the load
// balancer sets, or else the credentials.
func (s *Server) callerOf(ctx *fasthttp.RequestCtx) string {
	if caller := ctx.Request.Header.Peek(s.options.CallerHeader); len(caller) > 0 {
		return string(caller)
	}
	return string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
}

func subjectOf(ctx *fasthttp.RequestCtx, view *View, caller string, now time.Time) *jayrule.Subject {
	path := string(ctx.Path())
	return &jayrule.Subject{
		Kind:        jayrule.AboutRequest,
		Service:     serviceOf(path),
		Method:      string(ctx.Method()),
		Path:        path,
		Header:      func(name string) string { return string(ctx.Request.Header.Peek(name)) },
		Caller:      caller,
		Priority:    string(ctx.Request.Header.Peek(HeaderPriority)),
		PoolStateOf: func(pool string) string { return view.States[pool] },
		Time:        now.In(view.Config.Location()),
	}
}

// serviceOf returns the service that a path addresses, which is its first segment.
func serviceOf(path string) string {
	for n := 1; n < len(path); n++ {
		if path[n] == '/' {
			return path[1:n]
		}
	}
	if len(path) > 1 {
		return path[1:]
	}
	return ""
}
