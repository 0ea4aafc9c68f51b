package jayserve

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayclaim"
	"jaythread/jayroute"
	"jaythread/jayupstream"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// serve answers the request. A returned error is of type *jayverdict.Error and
// states whether the request may have run.
func (x *exchange) serve() error {
	idempotencyKey := x.ctx.Request.Header.Peek(HeaderIdempotencyKey)
	if x.route.Idempotent || len(idempotencyKey) == 0 {
		_, err := x.attempts(nil)
		return err
	}
	return x.serveKeyed(string(idempotencyKey))
}

// keyed holds the key and the claim of a keyed request while it is under way.
type keyed struct {
	key         jayclaim.Key
	fingerprint []byte
	claim       *jaywire.Claim
}

// serveKeyed runs the request at most once across all entries.
func (x *exchange) serveKeyed(idempotencyKey string) error {
	k := &keyed{
		key:         jayclaim.NewKey(x.caller, idempotencyKey),
		fingerprint: jayclaim.Fingerprint(string(x.ctx.Method()), string(x.ctx.RequestURI()), x.ctx.PostBody()),
	}
	claimer := x.server.claimer
	decision, err := claimer.AnswerKnown(k.key, k.fingerprint, x.left())
	if err != nil {
		return err
	}
	if replay, ok := decision.(jayclaim.Replay); ok {
		x.replay(replay.Answer)
		return nil
	}
	answer, err := x.attempts(k)
	if k.claim == nil {
		return err
	}
	if err != nil && jayverdict.Of(err) == jayverdict.NotRun {
		claimer.Release(k.claim)
		return err
	}
	claimer.Finish(k.claim, answer)
	return err
}

func (x *exchange) replay(a *jayclaim.Answer) {
	x.ctx.SetStatusCode(a.Status)
	x.ctx.Response.Header.SetContentType(a.ContentType)
	x.ctx.Response.Header.Set(jayverdict.Header, jayverdict.Ran.String())
	x.ctx.Response.Header.Set("Idempotent-Replayed", "true")
	x.ctx.SetBody(a.Body)
}

// attempts sends the request until an upstream responds or it must not be sent
// again. It returns the answer to store for resends; it returns none if the
// response was streamed or the request has no key.
func (x *exchange) attempts(k *keyed) (*jayclaim.Answer, error) {
	x.server.budget.First()
	for attempt := 1; ; attempt++ {
		answer, err := x.attempt(k)
		if err == nil {
			return answer, nil
		}
		err = x.combineVerdict(err)
		var refused *refusedBeforeAttempt
		if errors.As(err, &refused) {
			return nil, refused.err
		}
		again := jayroute.MayRetry(jayverdict.Of(err), x.route.Idempotent, attempt)
		if !again || !x.backOff(attempt) || !x.server.budget.Take() {
			return nil, err
		}
		x.server.observer.Retried(x.route.Pool)
	}
}

// combineVerdict returns the error of an attempt with the weakest verdict of all
// attempts. Otherwise a request that timed out at one upstream and then got no
// slot at another would be refused as "not run", while the first upstream may
// still be running it.
func (x *exchange) combineVerdict(err error) error {
	verdict := jayverdict.Of(err)
	if verdict == jayverdict.NotRun && x.mayHaveRun {
		return &refusedBeforeAttempt{err: jayverdict.NewMayHaveRun(502, "an attempt may have run, and none followed", err)}
	}
	x.mayHaveRun = x.mayHaveRun || verdict != jayverdict.NotRun
	return err
}

// refusedBeforeAttempt is the error of a request that got no slot or no claim.
// Such a request is not retried at once, because it would only displace other
// requests.
type refusedBeforeAttempt struct {
	err error
}

func (r *refusedBeforeAttempt) Error() string {
	return r.err.Error()
}

func (r *refusedBeforeAttempt) Unwrap() error {
	return r.err
}

// attempt sends the request to one upstream.
func (x *exchange) attempt(k *keyed) (*jayclaim.Answer, error) {
	lease, err := x.pool.Acquire(jayroute.AcquireOptions{
		Caller:   x.caller,
		Priority: x.route.Priority,
		Avoid:    x.avoid,
		Wait:     min(x.server.options.QueueTime, x.left()),
	})
	if err != nil {
		return nil, &refusedBeforeAttempt{err: err}
	}
	replayed, err := x.claim(k)
	if err != nil || replayed {
		lease.Release(false)
		return nil, err
	}
	result, err := x.send(lease)
	if err != nil {
		x.releaseFailed(lease, err)
		return nil, err
	}
	return x.respond(lease, result, k != nil)
}

// claim claims the key before the first byte is sent. It reports whether the
// request was answered with a stored answer instead.
func (x *exchange) claim(k *keyed) (replayed bool, err error) {
	if k == nil || k.claim != nil {
		return false, nil
	}
	decision, err := x.server.claimer.Claim(k.key, k.fingerprint, x.left())
	if err != nil {
		return false, &refusedBeforeAttempt{err: err}
	}
	switch d := decision.(type) {
	case jayclaim.Replay:
		x.replay(d.Answer)
		return true, nil
	case jayclaim.Run:
		k.claim = d.Claim
	}
	return false, nil
}

func (x *exchange) send(lease *jayroute.Lease) (*jayupstream.Result, error) {
	if refusal := x.stillAllowed(lease); refusal != nil {
		return nil, refusal
	}
	timeout := x.left()
	req := requests.Get().(*fasthttp.Request)
	x.fillRequest(req)
	result, err := x.server.client.Do(jayupstream.Attempt{
		Addr:          lease.Upstream.Addr,
		Connections:   x.view.Connections[x.route.Pool],
		NewConnection: !x.route.Idempotent,
		Timeout:       timeout,
	}, req)
	if err == nil {
		req.Reset()
		requests.Put(req)
	}
	return result, err
}

// stillAllowed repeats the checks immediately before the first byte is sent. After
// a pause since the routing decision, the process would otherwise send by a view
// that the other entries no longer use.
func (x *exchange) stillAllowed(lease *jayroute.Lease) *jayverdict.Error {
	if x.left() <= 0 {
		return jayverdict.NewNotRun(503, "no time left", time.Second)
	}
	if _, refusal := x.server.source.View(); refusal != nil {
		return refusal
	}
	if !lease.Valid() {
		return jayverdict.NewNotRun(503, "upstream has left", time.Second)
	}
	return nil
}

// requests holds requests for reuse after their response has arrived. A request whose call
// failed is not returned to the pool: the HTTP library may still read it, and
// would then send another caller's bytes in its place.
var requests = sync.Pool{New: func() any { return &fasthttp.Request{} }}

// releaseFailed ends a failed attempt and excludes its upstream from further
// attempts. An upstream that is leaving is reported to the peers and not counted
// as failing.
func (x *exchange) releaseFailed(lease *jayroute.Lease, err error) {
	leaving := errors.Is(err, jayupstream.ErrLeaving)
	if leaving {
		x.server.source.NoteLeaving(lease.Upstream.ID)
	}
	x.avoid = append(x.avoid, lease.Upstream.ID)
	failed := !leaving && lease.Valid()
	lease.Release(failed)
}

func (x *exchange) left() time.Duration {
	return time.Until(x.deadline)
}

// backOff waits before the next attempt, with jitter. It returns false if the
// remaining time is too short.
func (x *exchange) backOff(attempt int) bool {
	pause := jitter(firstBackoff << (attempt - 1))
	if x.left() <= pause {
		return false
	}
	time.Sleep(pause)
	return true
}

// respond passes the upstream's response to the caller, and returns it as an answer
// if it is to be stored for resends.
func (x *exchange) respond(lease *jayroute.Lease, result *jayupstream.Result, keep bool) (*jayclaim.Answer, error) {
	resp := &x.ctx.Response
	copyResponseHeader(&resp.Header, &result.Response.Header)
	resp.SetStatusCode(result.Response.StatusCode())
	resp.Header.Set(jayverdict.Header, jayverdict.Ran.String())
	failed := result.Response.StatusCode() >= 500
	if result.Rest != nil {
		x.stream(lease, result, failed)
		return nil, nil
	}
	lease.Release(failed)
	if x.ctx.IsHead() {
		resp.SkipBody = true
		resp.Header.SetContentLength(max(0, result.Response.Header.ContentLength()))
	}
	resp.SetBodyRaw(result.Body)
	defer result.Release()
	if !keep {
		return nil, nil
	}
	return &jayclaim.Answer{
		Status:      result.Response.StatusCode(),
		ContentType: string(result.Response.Header.ContentType()),
		Body:        result.Body,
	}, nil
}

// stream passes on a large response and holds the slot until its end. If the
// response is cut off, the caller's connection is closed without a proper end of
// the body, so that the caller does not take the part for a complete response.
func (x *exchange) stream(lease *jayroute.Lease, result *jayupstream.Result, failed bool) {
	size := result.Response.Header.ContentLength()
	if size < 0 {
		size = -1
	}
	body := &streamed{result: result, lease: lease, failed: failed}
	x.ctx.Response.SetBodyStream(body, size)
}

// streamed reads the buffered start of a response and then the rest of it.
type streamed struct {
	result *jayupstream.Result
	lease  *jayroute.Lease
	failed bool
	closed bool
}

// Read returns the next bytes of the response.
func (s *streamed) Read(p []byte) (int, error) {
	if len(s.result.Body) > 0 {
		n := copy(p, s.result.Body)
		s.result.Body = s.result.Body[n:]
		return n, nil
	}
	n, err := s.result.Rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failed = true
	}
	return n, err
}

// Close ends the attempt and releases its slot.
func (s *streamed) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.lease.Release(s.failed)
	return s.result.Rest.Close()
}

// fillRequest copies the caller's request into the request for the upstream.
func (x *exchange) fillRequest(req *fasthttp.Request) {
	x.ctx.Request.Header.CopyTo(&req.Header)
	dropHopByHop(&req.Header)
	req.Header.Set(HeaderPool, x.route.Pool)
	req.SetRequestURIBytes(x.ctx.RequestURI())
	req.SetHostBytes(x.ctx.Host())
	req.SetBodyRaw(x.ctx.PostBody())
}
