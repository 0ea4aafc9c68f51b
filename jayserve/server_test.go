package jayserve

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"jaythread/jayconfig"
	"jaythread/jayroute"
	"jaythread/jayupstream"
	"jaythread/jayverdict"
)

const document = `{
  "pools": [{"name": "seats", "instances": ["seats-*"]}],
  "rules": [{"name": "read", "about": "request", "then": {"route": "seats", "idempotent": true}}]}`

// source returns a view a limited number of times and then refuses.
type source struct {
	view *View
	left int
}

func (s *source) View() (*View, *jayverdict.Error) {
	if s.left == 0 {
		return nil, jayverdict.NewNotRun(503, "cut off", time.Second)
	}
	s.left--
	return s.view, nil
}

func (s *source) NoteLeaving(string) {}

// observer counts retries.
type observer struct {
	retries int
}

func (o *observer) Answered(string, jayverdict.Verdict, int, time.Duration) {}
func (o *observer) Retried(string)                                          { o.retries++ }

// serveOnce sends one request to a server whose view can be used the given number
// of times. It returns the response and the number of connections made to upstreams.
func serveOnce(t *testing.T, usable int) (*fasthttp.Response, int) {
	t.Helper()
	config, err := jayconfig.Parse("test", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	pool := jayroute.NewPool("seats", 10)
	pool.Update([]jayroute.Target{{ID: "seats-1", Addr: "seats-1", Share: 8}})
	dials := 0
	client := jayupstream.NewClient(time.Second, time.Second, 1000, jayupstream.WithDial(func(string) (net.Conn, error) {
		dials++
		return nil, errors.New("nobody listens")
	}))
	view := &View{Config: config, Pools: map[string]*jayroute.Pool{"seats": pool}, Connections: map[string]int{"seats": 8}}
	s := NewServer(Options{QueueTime: time.Second, Timeout: time.Second, RetryShare: 0.1},
		&source{view: view, left: usable}, nil, client, &observer{}, logr.Discard())
	ctx := &fasthttp.RequestCtx{}
	req := &fasthttp.Request{}
	req.SetRequestURI("http://x/seats/1")
	ctx.Init(req, &net.TCPAddr{}, nil)
	s.Handle(ctx)
	return &ctx.Response, dials
}

func TestViewIsCheckedAgainBeforeSending(t *testing.T) {
	// Guards against a request that reaches an instance which has moved to another
	// pool: an entry is paused between its decision and sending, the other entries
	// drain and move the instance, and the view is not checked again when the
	// entry resumes.
	is := is.New(t)
	answer, dials := serveOnce(t, 1)
	is.Equal(dials, 0)
	is.Equal(answer.StatusCode(), 503)
	is.Equal(string(answer.Header.Peek(jayverdict.Header)), "notRun")
	_, dials = serveOnce(t, 100)
	is.True(dials > 0)
}

func TestRequestWithoutViewIsRefused(t *testing.T) {
	is := is.New(t)
	answer, dials := serveOnce(t, 0)
	is.Equal(dials, 0)
	is.Equal(answer.StatusCode(), 503)
	is.Equal(string(answer.Header.Peek("Retry-After")), "1")
}
