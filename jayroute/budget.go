package jayroute

import (
	"sync"

	"jaythread/jayverdict"
)

const (
	// retryReserve lets a quiet entry retry at all.
	retryReserve = 10
	// maxAttempts bounds the attempts of a request that may have run.
	maxAttempts = 3
	// maxUnrunAttempts bounds those of one that has not: they cost little,
	// and when a rack is lost several upstreams may refuse in a row.
	maxUnrunAttempts = 5
)

// RetryBudget keeps retries a small share of first attempts, so that an
// outage is not made worse by the attempts it causes.
type RetryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget; share is the retries allowed for each
// first attempt.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{share: share, tokens: retryReserve}
}

// First notes a first attempt.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryReserve, b.tokens+b.share)
}

// Take spends a retry if the budget has one.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// MayRetry reports whether a failed attempt may be followed by another one:
// the request has not run, or running it again does no harm.
func MayRetry(v jayverdict.Verdict, idempotent bool, attempts int) bool {
	if v == jayverdict.NotRun {
		return attempts < maxUnrunAttempts
	}
	return idempotent && attempts < maxAttempts
}
