package jayentry

import "time"

// controlShare is the largest share of one CPU core that a control duty may use.
const controlShare = 0.02

// pace returns how long a duty sleeps after a round of the given duration, so that
// its share of a core stays below controlShare at any fleet size. Otherwise rounds
// that grow with the fleet would take CPU time from requests.
func pace(took, atLeast time.Duration) time.Duration {
	return max(atLeast, time.Duration(float64(took)*(1/controlShare-1)))
}
