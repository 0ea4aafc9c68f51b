package jayedge

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayverdict"
)

// handle counts the request and refuses framing that two parsers could interpret
// differently.
func (e *Edge) handle(ctx *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.recordRequest()
	if reason := ambiguous(&ctx.Request.Header); reason != "" {
		Refuse(ctx, jayverdict.NewNotRun(fasthttp.StatusBadRequest, reason, 0))
		ctx.SetConnectionClose()
		return
	}
	e.handler(ctx)
	if e.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// recordRequest stores the arrival time of a request while the entry is stopping.
func (e *Edge) recordRequest() {
	if !e.stopping.Load() {
		return
	}
	now := time.Now()
	e.lastRequest.Store(&now)
}

// handleError answers a request that could not be parsed. Its connection is
// closed, because the start of the next request is not known.
func (e *Edge) handleError(ctx *fasthttp.RequestCtx, err error) {
	status, reason := fasthttp.StatusBadRequest, "request cannot be read"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, reason = fasthttp.StatusRequestHeaderFieldsTooLarge, "request header is too large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, reason = fasthttp.StatusRequestEntityTooLarge, "request body is too large"
	}
	Refuse(ctx, jayverdict.NewNotRun(status, reason, 0))
	ctx.SetConnectionClose()
}

// ambiguous returns the reason why the framing of a request is ambiguous, or an
// empty string. A request smuggled past one parser would run under another
// caller's name. The library drops a Content-Length that accompanies a
// Transfer-Encoding, so the raw header lines are checked.
func ambiguous(h *fasthttp.RequestHeader) string {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, contentLength):
			lengths++
		case bytes.EqualFold(name, transferEncoding):
			encodings++
		}
	}
	switch {
	case lengths > 1 || encodings > 1:
		return "framing stands twice"
	case lengths > 0 && encodings > 0:
		return "both Content-Length and Transfer-Encoding"
	default:
		return ""
	}
}

var (
	contentLength    = []byte(fasthttp.HeaderContentLength)
	transferEncoding = []byte(fasthttp.HeaderTransferEncoding)
)

// Refuse writes the entry's own response to a request that it refuses or that has
// failed, with the verdict on the request.
func Refuse(ctx *fasthttp.RequestCtx, e *jayverdict.Error) {
	ctx.Response.Reset()
	ctx.SetStatusCode(e.Status)
	ctx.Response.Header.Set(jayverdict.Header, e.Verdict.String())
	if e.Verdict == jayverdict.NotRun && e.RetryAfter > 0 {
		seconds := int(e.RetryAfter.Seconds())
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(max(1, seconds)))
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(e.Reason + " (" + e.Verdict.String() + ")\n")
}
