package jayowner

import (
	"time"
)

const (
	// claimSpread is the time over which candidates of the same strength spread their claims. The
	// more of them there are, the sooner the first one claims.
	claimSpread = time.Second
	// claimClassDelay is the additional delay for each halving of the capacity below
	// strongCapacity, for maxClaimClass halvings at most. A claim and its way to all readers
	// take part of that time.
	claimClassDelay = 300 * time.Millisecond
	strongCapacity  = 1000
	maxClaimClass   = 4
)

// ClaimDelay returns how long a candidate waits before it claims a vacant duty if it does not
// know which other candidates are alive: the weaker it is and the more duties it owns, the
// longer. It needs nothing from the other candidates and does not grow with their number.
//
// It handles the start of hundreds of entries at once, which know only themselves, and the loss
// of most entries, after which each candidate would wait for all lost ones that rank before it.
func ClaimDelay(d Duty, incarnation string, capacity int64, owned int) time.Duration {
	class := 0
	for c := capacity / int64(owned+1); c < strongCapacity && class < maxClaimClass; c *= 2 {
		class++
	}
	share := float64(score(d, incarnation)) / (1 << 64)
	return time.Duration(class)*claimClassDelay + time.Duration(share*float64(claimSpread))
}
