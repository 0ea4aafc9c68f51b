package jayapi

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"jaythread/jaystate"
	"jaythread/jaywire"
)

// proposeTimeout bounds the wait for the fold's decision on a write.
const proposeTimeout = 10 * time.Second

// maxDocument bounds the body of a call.
const maxDocument = 8 << 20

// Backend is the entry behind the interface.
type Backend interface {
	Self() string
	// Ready returns why the entry does not serve, or nil.
	Ready() error
	Read(visit func(*jaystate.State))
	Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error)
	// Revisions returns the revision in force at each live entry.
	Revisions() map[string]uint64
}

// Server answers operators.
type Server struct {
	backend Backend
	token   string
	metrics fasthttp.RequestHandler
	http    *fasthttp.Server
}

// NewServer returns a server. With an empty token everybody on the listener
// may call it, which the settings allow only on loopback.
func NewServer(backend Backend, token string, registry *prometheus.Registry) *Server {
	s := &Server{
		backend: backend,
		token:   token,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxDocument,
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          time.Minute,
		Concurrency:           256,
		Logger:                quiet{},
	}
	return s
}

type quiet struct{}

// Printf drops the library's own lines.
func (quiet) Printf(string, ...any) {}

// HTTP returns the server to run on a listener.
func (s *Server) HTTP() *fasthttp.Server {
	return s.http
}

type handler func(*Server, *fasthttp.RequestCtx) error

// routes are the calls of the interface. A path that ends in a slash takes one
// more part.
var routes = map[string]handler{
	"GET /v1/status":         (*Server).handleStatus,
	"GET /v1/configuration":  (*Server).handleConfiguration,
	"POST /v1/configuration": (*Server).handlePublish,
	"GET /v1/inForce":        (*Server).handleInForce,
	"POST /v1/waves":         (*Server).handleStartWave,
	"POST /v1/waves/":        (*Server).handleWavePhase,
	"POST /v1/moves":         (*Server).handleMove,
	"POST /v1/jobs/":         (*Server).handleReleaseJob,
	"POST /v1/quarantine/":   (*Server).handleQuarantine,
	"GET /v1/audit":          (*Server).handleAudit,
	"POST /v1/explain":       (*Server).handleExplain,
	"GET /v1/plan":           (*Server).handlePlan,
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(ctx)
	case "/metrics":
		s.metrics(ctx)
	default:
		s.handleCall(ctx, path)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if err := s.backend.Ready(); err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) handleCall(ctx *fasthttp.RequestCtx, path string) {
	if !s.authorized(ctx) {
		answerProblem(ctx, fasthttp.StatusUnauthorized, Problem{Error: "a bearer token is needed: operatorToken of the settings"})
		return
	}
	method := string(ctx.Method()) + " "
	call, ok := routes[method+path]
	if !ok {
		call, ok = routes[method+path[:strings.LastIndexByte(path, '/')+1]]
	}
	if !ok {
		call, ok = routes[method+parentOf(path)]
	}
	if !ok {
		answerProblem(ctx, fasthttp.StatusNotFound, Problem{Error: "no such call: " + method + path})
		return
	}
	if err := call(s, ctx); err != nil {
		s.answerError(ctx, err)
	}
}

// parentOf returns the path two parts up: /v1/waves/w1/pause is /v1/waves/.
func parentOf(path string) string {
	parts := strings.Split(path, "/")
	if len(parts) < 3 {
		return path
	}
	return strings.Join(parts[:len(parts)-2], "/") + "/"
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	if s.token == "" {
		return true
	}
	given, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return found && subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) == 1
}

// badCall is a call that cannot be understood.
type badCall struct {
	text string
}

// Error returns what is wrong with the call.
func (b badCall) Error() string {
	return b.text
}

func (s *Server) answerError(ctx *fasthttp.RequestCtx, err error) {
	var bad badCall
	switch {
	case errors.As(err, &bad):
		answerProblem(ctx, fasthttp.StatusBadRequest, Problem{Error: err.Error()})
	case errors.Is(err, jaystate.ErrConflict):
		answerProblem(ctx, fasthttp.StatusConflict, Problem{Error: err.Error(), InForce: s.inForce()})
	case errors.Is(err, errUndecided):
		answerProblem(ctx, fasthttp.StatusGatewayTimeout, Problem{Error: err.Error(), MayHaveTakenEffect: true})
	default:
		answerProblem(ctx, fasthttp.StatusUnprocessableEntity, Problem{Error: err.Error()})
	}
}

var errUndecided = errors.New("the log service has not confirmed the change; look at the audit trail before you try again")

// propose has the fold decide on a write of an operator.
func (s *Server) propose(ctx *fasthttp.RequestCtx, reason string, c *jaywire.Command) (jaystate.Outcome, error) {
	actor := string(ctx.Request.Header.Peek(HeaderActor))
	if actor == "" {
		return jaystate.Outcome{}, badCall{text: "the header " + HeaderActor + " must say who asks"}
	}
	c.Actor = actor
	c.Reason = reason
	outcome, err := s.backend.Propose(c, proposeTimeout)
	if err != nil {
		return outcome, errors.Join(errUndecided, err)
	}
	return outcome, outcome.Err
}

func readBody(ctx *fasthttp.RequestCtx, into any) error {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return badCall{text: "the body is no JSON of this call: " + err.Error()}
	}
	return nil
}

func queryNumber(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badCall{text: name + " is no number: " + text}
	}
	return n, nil
}

func answerJSON(ctx *fasthttp.RequestCtx, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	return nil
}

func answerProblem(ctx *fasthttp.RequestCtx, status int, p Problem) {
	_ = answerJSON(ctx, p)
	ctx.SetStatusCode(status)
}

// pathParts returns the parts of the path after /v1/ and the call's name.
func pathParts(ctx *fasthttp.RequestCtx) []string {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	return parts[2:]
}
