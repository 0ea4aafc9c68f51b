// Package jayroute chooses the upstream of each request and keeps the limits:
// slots, queues, fairness between callers, retries and ejection.
package jayroute

import (
	"time"
)

const (
	// ejectAfter failures in a row take an upstream out of the choice.
	ejectAfter = 3
	// firstEjection is the first time out; each further one doubles it.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectedShare is the largest part of a pool that may be ejected: with
	// more, the failure is not the upstreams' but ours or the network's.
	ejectedShare = 0.5
	// warmTime is how long an upstream that is new takes fewer requests.
	warmTime = 2 * time.Second
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.2
)

// Upstream is what one entry knows of an upstream instance. Its pool's lock
// guards it.
type Upstream struct {
	ID   string
	Addr string

	share    int
	inFlight int
	failures int
	ejected  int
	until    time.Time
	since    time.Time
	latency  time.Duration
	gone     bool
	leaving  bool
}

func (u *Upstream) free(now time.Time) bool {
	return !u.gone && !u.leaving && u.inFlight < u.share && !now.Before(u.until)
}

// cost orders upstreams: expected time in the upstream with one request more.
func (u *Upstream) cost() float64 {
	return float64(u.inFlight+1) * float64(max(u.latency, time.Millisecond))
}

// done notes the end of an attempt.
func (u *Upstream) done(failed bool, took time.Duration) {
	u.inFlight--
	if !failed {
		u.failures = 0
		u.ejected = 0
		u.observe(took)
		return
	}
	u.failures++
}

func (u *Upstream) observe(took time.Duration) {
	if u.latency == 0 {
		u.latency = took
		return
	}
	u.latency += time.Duration(latencyWeight * float64(took-u.latency))
}

func (u *Upstream) eject(now time.Time) {
	out := min(firstEjection<<min(u.ejected, 10), maxEjection)
	u.until = now.Add(out)
	u.ejected++
	u.failures = 0
}
