package jayowner

import (
	"slices"
	"time"
)

const (
	// turnoverWindow is how long a change of a duty's owner is counted.
	turnoverWindow = 15 * time.Second
	// allowedClaims is the number of claims within turnoverWindow that do not count as
	// mistakes by themselves, since entries may be restarted in turn.
	allowedClaims = 3
	// maxTimeoutFactor limits the factor by which an owner may be silent for longer than
	// usual.
	maxTimeoutFactor = 16
)

// Turnover tracks the recent claims of each duty.
type Turnover struct {
	claims map[Duty][]pastClaim
}

type pastClaim struct {
	fence       int64
	incarnation string
	at          time.Duration
}

// NewTurnover returns an empty turnover.
func NewTurnover() *Turnover {
	return &Turnover{claims: map[Duty][]pastClaim{}}
}

// AddClaim adds a claim that was read at a given time. Claims that were added before and
// releases are ignored.
func (t *Turnover) AddClaim(c Claim, now time.Duration) {
	past := slices.DeleteFunc(t.claims[c.Duty], func(p pastClaim) bool { return p.at < now-turnoverWindow })
	known := slices.ContainsFunc(past, func(p pastClaim) bool { return p.fence >= c.Fence })
	if !known && !c.Released {
		past = append(past, pastClaim{fence: c.Fence, incarnation: c.Incarnation, at: now})
	}
	t.claims[c.Duty] = past
}

// TimeoutFactor returns the factor by which the owner of a duty may be silent for longer
// than usual before it is presumed to have ended.
//
// An owner with a narrow network link reads the jobs of the pool that it takes over, and
// for a second or two nothing else passes the link. Another entry presumes that it has
// ended, takes over and becomes silent for the same reason. The duty then changes its
// owner for as long as there is much to read, and no entry performs it. A claim by a
// recent owner shows such a mistake, since a process that had ended could not claim
// again; so does each claim after the first allowedClaims. Each mistake doubles the
// factor, so that one owner finally has the time to read everything.
func (t *Turnover) TimeoutFactor(d Duty, now time.Duration) int {
	factor := 1
	var owners []string
	for _, p := range t.claims[d] {
		if p.at < now-turnoverWindow {
			continue
		}
		mistaken := len(owners) >= allowedClaims || slices.Contains(owners, p.incarnation)
		if mistaken {
			factor = min(2*factor, maxTimeoutFactor)
		}
		owners = append(owners, p.incarnation)
	}
	return factor
}
