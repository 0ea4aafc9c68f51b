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

// proposeTimeout limits how long a write waits until the state machine has decided
// on the proposed command.
const proposeTimeout = 10 * time.Second

// maxBodyBytes limits the body of a request, which may contain a whole
// configuration document.
const maxBodyBytes = 8 << 20

// Backend is the entry instance that the API reads from and writes to.
type Backend interface {
	Self() string
	// Ready returns the reason why the entry is not ready, or nil if it is.
	Ready() error
	Read(visit func(*jaystate.State))
	Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error)
	// Revisions returns the revision in force at each live entry.
	Revisions() map[string]uint64
}

// Server serves the operator API.
type Server struct {
	backend Backend
	token   string
	metrics fasthttp.RequestHandler
	http    *fasthttp.Server
}

// NewServer returns a server. With an empty token, the API is open to everyone who
// can reach the listener; the settings allow this only on loopback.
func NewServer(backend Backend, token string, registry *prometheus.Registry) *Server {
	s := &Server{
		backend: backend,
		token:   token,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           30 * time.Second,
		WriteTimeout:          time.Minute,
		Concurrency:           256,
		Logger:                discardLogger{},
	}
	return s
}

type discardLogger struct{}

// Printf discards the messages that fasthttp logs.
func (discardLogger) Printf(string, ...any) {}

// HTTP returns the HTTP server, to be run on a listener.
func (s *Server) HTTP() *fasthttp.Server {
	return s.http
}

type handler func(*Server, *fasthttp.RequestCtx) error

// routes maps methods and paths to handlers. A path that ends in a slash matches
// paths with one or two further segments.
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
		writeProblem(ctx, fasthttp.StatusUnauthorized, Problem{Error: "a bearer token is needed: operatorToken of the settings"})
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
		writeProblem(ctx, fasthttp.StatusNotFound, Problem{Error: "no such call: " + method + path})
		return
	}
	if err := call(s, ctx); err != nil {
		s.writeError(ctx, err)
	}
}

// parentOf removes the last two segments of a path: /v1/waves/w1/pause becomes
// /v1/waves/.
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

// badRequest is the error of a request that is malformed.
type badRequest struct {
	text string
}

// Error returns what is wrong with the request.
func (b badRequest) Error() string {
	return b.text
}

func (s *Server) writeError(ctx *fasthttp.RequestCtx, err error) {
	var bad badRequest
	switch {
	case errors.As(err, &bad):
		writeProblem(ctx, fasthttp.StatusBadRequest, Problem{Error: err.Error()})
	case errors.Is(err, jaystate.ErrConflict):
		writeProblem(ctx, fasthttp.StatusConflict, Problem{Error: err.Error(), InForce: s.inForce()})
	case errors.Is(err, errOutcomeUnknown):
		writeProblem(ctx, fasthttp.StatusGatewayTimeout, Problem{Error: err.Error(), MayHaveTakenEffect: true})
	default:
		writeProblem(ctx, fasthttp.StatusUnprocessableEntity, Problem{Error: err.Error()})
	}
}

// The text is part of responses to operators and must stay the same.
var errOutcomeUnknown = errors.New("the log service has not confirmed the change; look at the audit trail before you try again")

// propose passes a write of an operator to the backend and returns the decision. The
// request must name the actor.
func (s *Server) propose(ctx *fasthttp.RequestCtx, reason string, c *jaywire.Command) (jaystate.Outcome, error) {
	actor := string(ctx.Request.Header.Peek(HeaderActor))
	if actor == "" {
		return jaystate.Outcome{}, badRequest{text: "the header " + HeaderActor + " must say who asks"}
	}
	c.Actor = actor
	c.Reason = reason
	outcome, err := s.backend.Propose(c, proposeTimeout)
	if err != nil {
		return outcome, errors.Join(errOutcomeUnknown, err)
	}
	return outcome, outcome.Err
}

func readBody(ctx *fasthttp.RequestCtx, into any) error {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return badRequest{text: "the body is no JSON of this call: " + err.Error()}
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
		return 0, badRequest{text: name + " is no number: " + text}
	}
	return n, nil
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
	return nil
}

func writeProblem(ctx *fasthttp.RequestCtx, status int, p Problem) {
	_ = writeJSON(ctx, p)
	ctx.SetStatusCode(status)
}

// pathParts returns the segments of the path that follow /v1/ and the name of the
// resource.
func pathParts(ctx *fasthttp.RequestCtx) []string {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	return parts[2:]
}
