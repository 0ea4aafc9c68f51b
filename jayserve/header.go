package jayserve

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// firstBackoff is the mean delay before the second attempt. It doubles with each
// further attempt.
const firstBackoff = 5 * time.Millisecond

// jitter returns a random delay between half of d and one and a half times d, so
// that callers that failed together do not retry together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// hopByHop lists the headers that apply to a single connection (RFC 9110,
// "Connection").
var hopByHop = [...]string{
	fasthttp.HeaderConnection,
	"Keep-Alive",
	"Proxy-Connection",
	fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE,
	fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderUpgrade,
	fasthttp.HeaderExpect,
}

func dropHopByHop(h *fasthttp.RequestHeader) {
	if named := h.Peek(fasthttp.HeaderConnection); len(named) > 0 {
		for name := range strings.SplitSeq(string(named), ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

func copyResponseHeader(to, from *fasthttp.ResponseHeader) {
	for name, value := range from.All() {
		if isHopByHop(string(name)) || string(name) == fasthttp.HeaderContentLength {
			continue
		}
		to.AddBytesKV(name, value)
	}
}

func isHopByHop(name string) bool {
	for _, h := range hopByHop {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	return false
}
