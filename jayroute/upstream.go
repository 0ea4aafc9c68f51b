// Package jayroute chooses the upstream for each request and enforces the limits:
// slots, queues, fairness between callers, retries and ejection.
package jayroute

import (
	"time"
)

const (
	// ejectAfter is the number of consecutive failures after which an upstream is
	// ejected, that is excluded from the choice.
	ejectAfter = 3
	// firstEjection is the duration of the first ejection. Each further one lasts
	// twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// ejectedShare is the largest share of a pool that may be ejected. If more
	// upstreams fail, the cause is this entry or the network, not the upstreams.
	ejectedShare = 0.5
	// slowStartTime is how long a new upstream receives fewer requests.
	slowStartTime = 2 * time.Second
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.2
)

// Upstream is one entry's view of an upstream instance. It is protected by the
// lock of its pool.
type Upstream struct {
	ID   string
	Addr string

	share        int
	inFlight     int
	failures     int
	ejections    int
	ejectedUntil time.Time
	addedAt      time.Time
	latency      time.Duration
	removed      bool
	leaving      bool
}

func (u *Upstream) available(now time.Time) bool {
	return !u.removed && !u.leaving && u.inFlight < u.share && !now.Before(u.ejectedUntil)
}

// cost estimates the time that one more request would take at the upstream.
func (u *Upstream) cost() float64 {
	return float64(u.inFlight+1) * float64(max(u.latency, time.Millisecond))
}

// recordResult records the end of an attempt.
func (u *Upstream) recordResult(failed bool, took time.Duration) {
	u.inFlight--
	if !failed {
		u.failures = 0
		u.ejections = 0
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

// eject excludes the upstream from the choice and returns for how long.
func (u *Upstream) eject(now time.Time) time.Duration {
	duration := min(firstEjection<<min(u.ejections, 10), maxEjection)
	u.ejectedUntil = now.Add(duration)
	u.ejections++
	u.failures = 0
	return duration
}
