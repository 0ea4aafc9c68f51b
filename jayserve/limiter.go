package jayserve

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxLimiters limits the number of rate limiters that are kept. All are dropped
// when it is reached, and each caller starts with a full allowance again.
const maxLimiters = 10_000

// callerLimiter limits the request rate of each caller under each rule.
type callerLimiter struct {
	mu       sync.Mutex
	limiters map[limiterKey]*rate.Limiter
}

type limiterKey struct {
	caller string
	rule   string
}

func newCallerLimiter() *callerLimiter {
	return &callerLimiter{limiters: map[limiterKey]*rate.Limiter{}}
}

// allow reports whether the caller may send another request now. A rate of zero
// means no limit.
func (l *callerLimiter) allow(caller, rule string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := limiterKey{caller: caller, rule: rule}
	limiter, known := l.limiters[key]
	if !known {
		if len(l.limiters) >= maxLimiters {
			clear(l.limiters)
		}
		limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
		l.limiters[key] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
	return limiter.AllowN(now, 1)
}
