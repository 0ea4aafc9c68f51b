package jayroute

import (
	"sync"

	"jaythread/jayverdict"
)

const (
	// retryReserve is the number of retries available to an entry with little
	// traffic.
	retryReserve = 10
	// maxAttempts limits the attempts of a request that may have run.
	maxAttempts = 3
	// maxUnrunAttempts limits the attempts of a request that has not run. It is
	// higher because such attempts cost little and several upstreams may refuse in
	// a row when a rack is lost.
	maxUnrunAttempts = 5
)

// RetryBudget limits retries to a small share of first attempts, so that retries
// do not make an outage worse.
type RetryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows the given number of retries per
// first attempt.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: retryReserve}
}

// First records a first attempt.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+b.share)
}

// Take consumes one retry, and reports whether the budget had one left.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MayRetry reports whether a failed attempt may be repeated: the request has not
// run or is idempotent, and fewer than the maximum number of attempts were made.
func MayRetry(v jayverdict.Verdict, idempotent bool, attempts int) bool {
	if v == jayverdict.NotRun {
		return attempts < maxUnrunAttempts
	}
	return idempotent && attempts < maxAttempts
}
