package jayfleet

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// floorShare is the fraction of an equal share of all hosts that a pool with jobs keeps for
	// its next jobs: a pool without any host learns nothing about its tasks, and its first jobs
	// wait for a whole move.
	floorShare = 0.1
	// divideTolerance is the fraction of its entitlement by which a pool may deviate from it.
	// Demand varies randomly by about as much from one report to the next.
	divideTolerance = 0.1
	// beginShare is the fraction of its entitlement below which a pool is given hosts, and the
	// fraction of its need below which runs of other pools are restarted for it. A given
	// host serves nobody while it is emptied and moves, which is more than half of a short burst:
	// pools with similar ratios of hosts to entitlement lose by an exchange.
	beginShare = 0.5
	// stayFactor gives the time for which a given host is not given away again, as a multiple of
	// the time in which the host serves nobody.
	stayFactor = 2
	// drainFactor is the multiple of its estimated time for which the pool may empty a host that
	// is given to another pool.
	drainFactor = 2
	// unknownMoves is the multiple of the move time within which the moves of a former owner end.
	// Without the limit, one host that is stuck in a move would stop every division.
	unknownMoves = 2
)

// Division is the part of a division of the hosts that concerns one pool, in hosts.
type Division struct {
	Pool string
	// Entitled is what the pool is entitled to, Have what it has with the hosts on their way.
	Entitled int
	Have     int
	// Need is what the pool can use soon, and OnTime the part of it for jobs that can still be
	// done by their target.
	Need   int
	OnTime int
	// Gives is the number of hosts that the pool is now asked to give.
	Gives int
}

// Contracting reports whether other pools wait for hosts that the pool is to release.
func (f *Fleet) Contracting(pool string) bool {
	if d, divided := f.division[pool]; divided && d.Have > d.Entitled {
		return true
	}
	return slices.ContainsFunc(f.byPool[pool], func(h *host) bool {
		return h.restart && h.vacating == forMove
	})
}

// TakeDivisions returns and clears the divisions that moved hosts since the last call.
func (f *Fleet) TakeDivisions() []Division {
	divisions := f.divisions
	f.divisions = nil
	return divisions
}

// divide moves hosts from pools that have more hosts than they are entitled to, to those that
// have fewer. It returns false if the hosts are not divided because this is not selected or a
// pool's owner does not report what the division needs.
//
// It handles an overload of several pools at once. The pool whose burst came first has taken
// nearly all hosts and can use them all, and the others wait for as long as its backlog lasts.
// It acts at once, since most bursts last only a few moves.
func (f *Fleet) divide(balances []*poolBalance, standby int, now time.Duration) bool {
	unknown := func(b *poolBalance) bool { return f.demands[b.pool].OnTimeMilli == nil }
	if !f.settings.DivideHosts || slices.ContainsFunc(balances, unknown) {
		f.division = nil
		return false
	}
	lacks := func(b *poolBalance) bool { return b.have+reserveHosts < b.need }
	if standby > 0 || !slices.ContainsFunc(balances, lacks) {
		f.division = nil
		f.cancelDivided(balances)
		return true
	}
	f.entitle(balances)
	f.cancelDivided(balances)
	f.division = make(map[string]Division, len(balances))
	for _, b := range balances {
		f.division[b.pool] = Division{Pool: b.pool, Entitled: b.entitled, Have: b.have, Need: b.need, OnTime: b.onTime}
	}
	if f.movesUnknown(now) {
		return true
	}
	gives := f.give(balances, now)
	if len(gives) == 0 {
		return true
	}
	for _, b := range balances {
		d := f.division[b.pool]
		d.Gives = gives[b.pool]
		f.divisions = append(f.divisions, d)
	}
	return true
}

// movesUnknown reports whether a host may be on its way to a pool that this owner does not know. A
// host that a former owner moved is listed in its old pool until it has arrived; if it counted
// there, as many hosts would be given once more. A host that still moves long after the takeover
// was not moved by a former owner, or is stuck.
func (f *Fleet) movesUnknown(now time.Duration) bool {
	recent := now-f.decidingSince < takeoverDelay+f.moves(unknownMoves)
	return slices.ContainsFunc(f.sorted, func(h *host) bool {
		return f.held(h, now) || recent && h.State == jayport.HostMoving && h.command == nil
	})
}

// give vacates hosts of pools above their entitlement for the pools below it, the one that is
// furthest below first. It returns how many hosts each pool is asked to give.
func (f *Fleet) give(balances []*poolBalance, now time.Duration) map[string]int {
	gives := map[string]int{}
	candidates := map[*poolBalance][]*host{}
	order := slices.Clone(balances)
	slices.SortStableFunc(order, func(a, b *poolBalance) int {
		return cmp.Compare(a.have*max(1, b.entitled), b.have*max(1, a.entitled))
	})
	for _, to := range order {
		if float64(to.have) >= beginShare*float64(to.entitled) {
			continue
		}
		for to.have+to.margin() < to.entitled {
			from, h := f.takeCheapest(balances, candidates, now)
			if from == nil {
				return gives
			}
			f.giveHost(h, from, to, now)
			gives[from.pool]++
		}
	}
	return gives
}

// margin returns the number of hosts by which a pool may deviate from its entitlement.
func (b *poolBalance) margin() int {
	return max(reserveHosts, int(divideTolerance*float64(b.entitled)))
}

// takeCheapest returns the pool that is furthest above its entitlement and has a host to give, and
// the host whose release costs least there, which it removes from the candidates. candidates holds
// the releasable hosts by pool; the hosts of a pool are added when they are first needed.
func (f *Fleet) takeCheapest(balances []*poolBalance, candidates map[*poolBalance][]*host, now time.Duration) (*poolBalance, *host) {
	var from *poolBalance
	most := 0
	for _, b := range balances {
		above := b.have - b.entitled - b.margin()
		if above <= most {
			continue
		}
		if _, listed := candidates[b]; !listed {
			candidates[b] = f.releasable(b, now)
		}
		if len(candidates[b]) > 0 {
			from, most = b, above
		}
	}
	if from == nil {
		return nil, nil
	}
	h := candidates[from][0]
	candidates[from] = candidates[from][1:]
	return from, h
}

// releasable returns the hosts that a pool may give, the one whose release costs least first:
// idle hosts, then the others by the capacity that is unused until they are empty and by the work
// that is lost with their runs. A host that was just given to the pool stays there.
func (f *Fleet) releasable(b *poolBalance, now time.Duration) []*host {
	hosts := slices.Clone(b.idle)
	for _, h := range slices.Concat(b.soonEmpty, b.laterEmpty) {
		if now >= h.staysUntil {
			hosts = append(hosts, h)
		}
	}
	costs := make(map[*host]float64, len(hosts))
	for _, h := range hosts {
		if l, _ := f.load(h); l.Runs > 0 {
			costs[h] = l.EmptyIn.Seconds()*float64(f.room(h)) + float64(l.RestartCost)
		}
	}
	slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(costs[a], costs[b]) })
	return hosts
}

// giveHost vacates a host of one pool for another one.
func (f *Fleet) giveHost(h *host, from, to *poolBalance, now time.Duration) {
	l, _ := f.load(h)
	from.drop(h)
	from.have--
	to.have++
	h.vacate(to.pool, true, now)
	h.drainTime = f.moves(reclaimDrainMoves)
	h.divided = true
	f.allowRestarts(h, l, now)
}

// allowRestarts allows the host's pool to restart runs elsewhere that keep the host from leaving,
// and extends the time that the pool has by the estimate for its runs. The host then stays in its
// new pool for a time, so that restarts are not paid for again and again.
func (f *Fleet) allowRestarts(h *host, l Load, now time.Duration) {
	h.restart = true
	h.drainTime = max(h.drainTime, drainFactor*l.EmptyIn)
	h.staysUntil = now + stayFactor*(l.EmptyIn+f.settings.MoveTime)
}

// cancelDivided leaves hosts that are still being emptied in their pool if the pool that they
// were to be given to has enough by now and their own pool lacks some.
func (f *Fleet) cancelDivided(balances []*poolBalance) {
	byPool := make(map[string]*poolBalance, len(balances))
	for _, b := range balances {
		byPool[b.pool] = b
	}
	for _, h := range f.sorted {
		if !h.divided || h.vacating != forMove || h.command != nil {
			continue
		}
		from, to := byPool[h.Pool], byPool[h.moveTo]
		if from != nil && to != nil && from.have < from.need && to.have > to.need+to.margin() {
			h.vacating = notVacating
			from.have++
			to.have--
		}
	}
}

// silent reports whether a pool's owner has reported nothing for longer than a report is valid.
func (f *Fleet) silent(pool string, now time.Duration) bool {
	return now-f.demands[pool].At > maxDemandAge
}

// moveReason returns why a vacated host is moved.
func (h *host) moveReason() string {
	if h.divided {
		return "divided"
	}
	return "vacated"
}

// entitle computes how many of all hosts each pool is entitled to: first a floor, then hosts for
// jobs that can still be on time, then for late jobs whose results are of use, then for the
// others. On-time jobs come first because a late result is worth a small part of one in time.
func (f *Fleet) entitle(balances []*poolBalance) {
	left := 0
	for _, b := range balances {
		left += b.have
	}
	equal := float64(left) / float64(max(1, len(balances)))
	stages := []func(*poolBalance) int{
		func(b *poolBalance) int {
			return max(f.demands[b.pool].HostsAtLeast, min(b.useful, reserveHosts+int(floorShare*equal)))
		},
		func(b *poolBalance) int { return b.onTime },
		func(b *poolBalance) int { return b.useful },
		func(b *poolBalance) int { return b.need },
	}
	for _, want := range stages {
		left -= raiseEntitlements(balances, want, left)
	}
}

// raiseEntitlements raises the entitlements to what the pools want, or, if the remaining hosts are
// too few, in proportion to what each pool lacks. It returns the number of hosts that were used.
func raiseEntitlements(balances []*poolBalance, want func(*poolBalance) int, left int) (used int) {
	lacked := 0
	for _, b := range balances {
		lacked += max(0, want(b)-b.entitled)
	}
	used = min(lacked, left)
	// The rounded shares of the remaining hosts among the remaining pools add up to all hosts.
	remaining := used
	for _, b := range balances {
		lacks := max(0, want(b)-b.entitled)
		if lacks == 0 {
			continue
		}
		gets := lacks * remaining / lacked
		b.entitled += gets
		remaining -= gets
		lacked -= lacks
	}
	return used
}
