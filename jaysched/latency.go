package jaysched

import (
	"sync"
	"time"
)

const (
	// minOrderTimeout and maxOrderTimeout limit the timeout of an order; an order without an
	// answer is repeated. A worker answers within some milliseconds; with a slow link or a slow
	// entry, within some hundred.
	minOrderTimeout = 150 * time.Millisecond
	maxOrderTimeout = 400 * time.Millisecond
	// minReportTimeout and maxReportTimeout limit the timeout of a report, in addition to the
	// time by which it may be delayed.
	minReportTimeout = 250 * time.Millisecond
	maxReportTimeout = 700 * time.Millisecond
	// timeoutFactor is the multiple of the mean latency that an answer may take within these
	// limits, congestedFactor the multiple beyond them, up to maxCongestedTimeout.
	timeoutFactor       = 30
	congestedFactor     = 4
	maxCongestedTimeout = 1600 * time.Millisecond
	// meanDivisor is the divisor of the difference by which the running mean follows the newest
	// answer.
	meanDivisor = 8
	// slowAnswer is the latency of an order above which the limit of starts in flight is
	// multiplied by startsDecrease, down to minStarts. Each faster answer raises the limit by
	// one, up to maxStarts; it begins at initialStarts.
	slowAnswer     = 250 * time.Millisecond
	startsDecrease = 0.95
	minStarts      = 16
	initialStarts  = 256
	maxStarts      = 4096
)

// Latency tracks how long workers take to answer their owner and derives timeouts and the
// number of starts in flight from it. With a fixed timeout, long enough for slow workers, each
// order whose answer is lost would make its job late. It is safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	// mean is a running mean.
	mean time.Duration
	// inFlight counts the starts that wait for an answer, maxInFlight is its limit.
	inFlight    int
	maxInFlight float64
}

// NewLatency returns the latency of workers without any observation.
func NewLatency() *Latency {
	return &Latency{maxInFlight: initialStarts}
}

// Sent records that a start is sent.
func (l *Latency) Sent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

// Answered records the latency of the answer to a start, or that the answer was lost. A lost
// answer says nothing about the latency of others.
func (l *Latency) Answered(took time.Duration, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if lost {
		return
	}
	l.mean += (took - l.mean) / meanDivisor
	if took > slowAnswer {
		l.maxInFlight = max(minStarts, l.maxInFlight*startsDecrease)
		return
	}
	l.maxInFlight = min(maxStarts, l.maxInFlight+1)
}

// Starts returns how many more starts may be sent now.
//
// It handles this load: in a burst hundreds of tasks wait and find room at the same time, over
// a link that carries a few dozen starts a second. Sent together, they would delay the requests
// that renew the workers' leases until the leases have ended.
func (l *Latency) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, int(l.maxInFlight)-l.inFlight)
}

// Limit returns how many starts may be in flight.
func (l *Latency) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.maxInFlight)
}

// OrderTimeout returns the timeout for the answer to an order.
func (l *Latency) OrderTimeout() time.Duration {
	return l.timeout(minOrderTimeout, maxOrderTimeout)
}

// ReportTimeout returns the timeout for a report.
func (l *Latency) ReportTimeout() time.Duration {
	return l.timeout(minReportTimeout, maxReportTimeout)
}

// RenewalTimeout returns the timeout for a report of a worker after a number of requests for its
// first one that had no answer. It doubles with each of them, up to maxCongestedTimeout.
//
// It handles this load: a new owner asks hundreds of workers at once, over a link or with a
// processor that needs longer for all the answers than the timeout of one. No order has been
// answered yet, so that the mean latency does not show it, and with the same timeout again all
// requests would fail again.
func (l *Latency) RenewalTimeout(unanswered int) time.Duration {
	timeout := l.ReportTimeout()
	for range unanswered {
		timeout = min(2*timeout, maxCongestedTimeout)
	}
	return timeout
}

// timeout returns a timeout between two limits. Where nearly all answers take longer, repeating
// requests that timed out would increase the congestion, so the upper limit is raised.
func (l *Latency) timeout(least, most time.Duration) time.Duration {
	mean := l.Mean()
	longest := max(most, min(congestedFactor*mean, maxCongestedTimeout))
	return min(max(least, timeoutFactor*mean), longest)
}

// Mean returns the mean latency of the answers to starts.
func (l *Latency) Mean() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mean
}
