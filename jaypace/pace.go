// Package jaypace limits how often each entry repeats a call to a service that all entries
// share, so that their calls together stay within the rate that the service serves.
package jaypace

import (
	"math/rand/v2"
	"time"
)

// Pace is the rate of a shared service and the number of entries that share it.
type Pace struct {
	rate    float64
	entries func() int
}

// New returns the pace of a service that serves a number of calls per second to all entries
// together. A rate of zero is no limit.
func New(rate float64, entries func() int) *Pace {
	return &Pace{rate: rate, entries: entries}
}

// Interval returns the least time between two calls of one entry if every entry makes such
// calls and all of them together may use a share of the service's rate, above 0 and up to 1.
func (p *Pace) Interval(share float64) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	return time.Duration(float64(p.entries()) / (p.rate * share) * float64(time.Second))
}

// Jitter returns a random duration between half and one and a half of d, so that entries
// that had to wait for the same event do not continue at the same moment.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
