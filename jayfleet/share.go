package jayfleet

import (
	"slices"
	"time"
)

const (
	// shareDelayMoves is how long a pool must have lacked hosts before other pools must
	// release hosts that they could use themselves, as a multiple of the move time. Most
	// bursts end sooner.
	shareDelayMoves = 3
	// shareDrainMoves is the maximum time for a host to become empty when it is moved to
	// another pool as part of that pool's share, as a multiple of the move time.
	shareDrainMoves = 2
	// shortShare is the fraction of its share below which a pool lacks hosts.
	shortShare = 0.5
	// shareTolerance is the fraction of its share by which a pool may deviate from it.
	shareTolerance = 0.1
)

// share moves hosts from pools that have more than their share to pools that have lacked
// hosts for a long time.
//
// It handles an overload of all pools together that outlasts a burst. The pool whose burst
// came first has taken nearly all hosts and can use them all the time, so that without
// sharing the other pools would get almost none until it is done.
func (f *Fleet) share(balances []*poolBalance, now time.Duration) {
	shares := f.shares(balances)
	for n, to := range balances {
		if !f.shortForLong(to, shares[n], now) {
			continue
		}
		for float64(to.have) < (1-shareTolerance)*float64(shares[n]) {
			if !f.reclaimShare(to, balances, shares, now) {
				return
			}
		}
	}
}

// shortForLong reports whether a pool has had less than shortShare of its share for at
// least the share delay.
func (f *Fleet) shortForLong(b *poolBalance, share int, now time.Duration) bool {
	if float64(b.have) >= shortShare*float64(share) {
		delete(f.shortSince, b.pool)
		return false
	}
	since, isShort := f.shortSince[b.pool]
	if !isShort {
		f.shortSince[b.pool] = now
		return false
	}
	return now-since >= f.moves(shareDelayMoves)
}

// reclaimShare vacates, for the given pool, the host that becomes empty first in the pool
// that is furthest above its share. It returns false if no pool above its share has a host
// that becomes empty in time.
func (f *Fleet) reclaimShare(to *poolBalance, balances []*poolBalance, shares []int, now time.Duration) bool {
	var from *poolBalance
	most := 0.0
	for n, b := range balances {
		above := float64(b.have) - (1+shareTolerance)*float64(shares[n])
		if above > most && len(b.soonEmpty)+len(b.laterEmpty) > 0 {
			from, most = b, above
		}
	}
	if from == nil {
		return false
	}
	h := slices.Concat(from.soonEmpty, from.laterEmpty)[0]
	from.drop(h)
	from.have--
	to.have++
	h.vacate(to.pool, true, now)
	h.drainTime = f.moves(shareDrainMoves)
	return true
}

// shares returns the minimum number of hosts for each pool: an equal share, but no more
// than the pool needs.
func (f *Fleet) shares(balances []*poolBalance) []int {
	left := 0
	for _, b := range balances {
		left += b.have
	}
	order := make([]int, len(balances))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return balances[a].useful - balances[b].useful })
	shares := make([]int, len(balances))
	for n, at := range order {
		shares[at] = min(balances[at].useful, left/(len(order)-n))
		left -= shares[at]
	}
	return shares
}
