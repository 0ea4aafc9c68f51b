package jayquota

// Part is one pool's part in an organisation's quota.
type Part struct {
	Used   vector
	Wanted vector
	// Largest is what the largest waiting task needs.
	Largest vector
	Limit   vector
	// Turn is the pool's turn among those whose share is too small for a task.
	Turn Turn
	// LastTurn orders the pools by their latest turns, the earliest first; 0 is none.
	LastTurn int64
}

// before reports whether a pool is to use the quota before another one.
func (p Part) before(other Part) bool {
	return p.Turn < other.Turn || p.Turn == other.Turn && p.LastTurn < other.LastTurn
}

// Turn orders pools of which only one can start a task.
type Turn int8

const (
	// Chosen pools have been given the quota and have not used it yet.
	Chosen Turn = iota
	// Waiting pools have not been chosen.
	Waiting
	// Served pools were the latest to use the quota, or have not used it in their turn.
	Served
)

// Division divides an organisation's quota among the pools. The targets of all pools
// together do not exceed the quota, unless more is in use.
type Division interface {
	Divide(quota vector, parts []Part) []vector
}

// ByDemand gives each pool what it uses, then divides what it wants fairly, then spreads
// the rest evenly, so that a pool can start tasks before it has asked for anything.
type ByDemand struct{}

// Divide implements Division.
func (ByDemand) Divide(quota vector, parts []Part) []vector {
	targets := make([]vector, len(parts))
	for r, of := range quota {
		if of == 0 {
			continue
		}
		free := of
		for _, p := range parts {
			free -= p.Used[r]
		}
		free = max(0, free)
		wanted := make([]int64, len(parts))
		for n, p := range parts {
			wanted[n] = p.Wanted[r]
		}
		granted := fairShares(free, wanted)
		poolSmallShares(r, parts, granted)
		for n := range parts {
			free -= granted[n]
		}
		for n, p := range parts {
			targets[n][r] = p.Used[r] + granted[n] + free/int64(len(parts))
		}
	}
	keepSteadyLimits(quota, parts, targets)
	return targets
}

// fairShares divides an amount so that nobody gets more than wanted, and nobody whose want
// is not met gets less than another one.
func fairShares(amount int64, wanted []int64) []int64 {
	shares := make([]int64, len(wanted))
	for open := len(wanted); open > 0 && amount > 0; {
		each := max(1, amount/int64(open))
		open = 0
		for n, want := range wanted {
			more := min(each, want-shares[n], amount)
			shares[n] += more
			amount -= more
			if shares[n] < want {
				open++
			}
		}
	}
	return shares
}

// poolSmallShares gives the shares that are too small for a task to one pool alone: otherwise
// several pools might keep shares of which none can be used.
func poolSmallShares(r int, parts []Part, granted []int64) {
	first, sum := -1, int64(0)
	for n, p := range parts {
		if p.Wanted[r] == 0 || granted[n] >= p.Largest[r] {
			continue
		}
		if first < 0 || p.before(parts[first]) {
			first = n
		}
		sum += granted[n]
		granted[n] = 0
	}
	if first >= 0 {
		granted[first] = sum
	}
}

// keepSteadyLimits replaces the targets by the present limits if these serve as well: every
// pool has room for what it wants and at least half of what it would have left. Otherwise
// each start and each end would change the limits of all pools.
func keepSteadyLimits(quota vector, parts []Part, targets []vector) {
	for r, of := range quota {
		if of == 0 {
			continue
		}
		sum := int64(0)
		for n, p := range parts {
			sum += p.Limit[r]
			left, target := p.Limit[r]-p.Used[r]-p.Wanted[r], targets[n][r]-p.Used[r]-p.Wanted[r]
			if left < 0 || left < target/2 {
				return
			}
		}
		if sum > of {
			return
		}
	}
	for n, p := range parts {
		targets[n] = p.Limit
	}
}

// Even gives each pool the same share at all times, whether the pool uses it or not.
type Even struct{}

// Divide implements Division.
func (Even) Divide(quota vector, parts []Part) []vector {
	targets := make([]vector, len(parts))
	for n := range parts {
		for r, of := range quota {
			targets[n][r] = of / int64(len(parts))
		}
	}
	return targets
}
