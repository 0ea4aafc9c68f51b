package jayfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaythread/jayport"
)

const (
	// idleMoves is how long an unneeded host must have been idle before it is moved to
	// standby, as a multiple of the move time. A pool whose burst begins shortly after
	// would otherwise wait for a move in each direction.
	idleMoves = 0.8
	// fastMoveTime is the longest move time with which hosts can follow bursts of load.
	// Slower hosts arrive when a burst of a few seconds is over, so that a pool is served
	// better by hosts that were kept.
	fastMoveTime = 1500 * time.Millisecond
	// extraIdleMoves is the additional idle time, as a multiple of the move time, for each
	// further fastMoveTime that a move takes.
	extraIdleMoves = 1.6
	// surplusIdleTime is the required idle time of hosts beyond what the pool may need
	// because of random variation, while many hosts are on standby: after a burst none of
	// them is needed again. It is slightly longer than a worker waits between two tasks of
	// one job.
	surplusIdleTime = 200 * time.Millisecond
	// minStandbyShare is the fraction of all hosts that must be on standby for
	// surplusIdleTime to apply, enough for the first second of the next burst. With fewer,
	// a host that is moved to standby as the burst begins arrives one move later than a
	// host that was kept.
	minStandbyShare = 1.0 / 5
	// takeoverDelay is the time after a takeover during which surplusIdleTime does not
	// apply: after a failure of all entries the pools take this long to learn which jobs
	// have been submitted.
	takeoverDelay = 3 * time.Second
	// soonEmptyMoves is the maximum estimated time for a busy host to become empty for it
	// to be moved to a pool that needs it more, as a multiple of the move time.
	soonEmptyMoves = 0.55
	// reclaimDrainMoves is the time after which a host that is drained for another pool
	// and is still not empty stays in its pool, as a multiple of the move time.
	reclaimDrainMoves = 1.0
)

// poolBalance compares the hosts of a pool with its demand.
type poolBalance struct {
	pool string
	// have is the number of hosts that serve the pool or soon will.
	have int
	// need is the number of hosts that the pool can use soon, keep the number that it may
	// need because of random variation. useful is the number needed for jobs whose results
	// can still be used.
	need   int
	keep   int
	useful int
	// ahead is the number of hosts that the pool needs for a predicted burst, and kept the
	// number that is not released to standby because of it.
	ahead int
	kept  int
	// idle lists hosts that run nothing, the longest idle first. soonEmpty lists hosts
	// that become empty within soonEmptyMoves, the earliest first.
	idle      []*host
	soonEmpty []*host
	// laterEmpty lists other hosts that become empty within shareDrainMoves, the earliest
	// first.
	laterEmpty []*host
	// onTime is the number of hosts needed for jobs that can still be on time. entitled is the
	// number of hosts that the pool is entitled to.
	onTime   int
	entitled int
	// restarts reports whether runs that keep a host from leaving may be restarted elsewhere.
	restarts bool
	// farShort reports whether the pool has so few of the hosts that it needs that runs of other
	// pools are restarted for it. In a small shortage the work that restarts lose outweighs the
	// gain.
	farShort bool
}

// balance moves hosts to the pools that lack some, and moves hosts that no pool needs to
// standby.
//
// It is designed for pools with alternating bursts: each burst lasts some seconds and
// needs several times the pool's normal size, while the other pools are nearly idle.
func (f *Fleet) balance(now time.Duration) {
	balances := f.balances(now)
	free := f.free(now)
	f.countClosing(now)
	f.short = false
	for _, b := range balances {
		f.fill(b, &free, balances, now)
		f.short = f.short || b.have+reserveHosts < b.need
	}
	f.fillAhead(balances, &free, now)
	if !f.divide(balances, len(free), now) {
		f.share(balances, now)
	}
	f.releaseIdle(balances, f.enoughStandby(len(free), now), now)
}

// enoughStandby reports whether enough hosts are on standby for surplus hosts to be moved
// there after surplusIdleTime.
func (f *Fleet) enoughStandby(off int, now time.Duration) bool {
	return now-f.decidingSince > takeoverDelay && float64(off) >= minStandbyShare*float64(len(f.hosts))
}

// free returns the hosts on standby that may be moved.
func (f *Fleet) free(now time.Duration) []*host {
	var free []*host
	for _, h := range f.sorted {
		if f.standby[h.Pool] && h.command == nil && h.State == jayport.HostUp && h.vacating == notVacating && !f.held(h, now) {
			free = append(free, h)
		}
	}
	return free
}

// reclaimable returns a host that the pool does not need, preferring idle ones, and
// whether it must be drained first. It returns nil if there is none. With restarts, hosts that
// runs would hold for longer are included.
func (b *poolBalance) reclaimable(restarts bool, now time.Duration) (h *host, drains bool) {
	if b.have <= max(b.need, b.ahead) {
		return nil, false
	}
	if len(b.idle) > 0 {
		return b.idle[0], false
	}
	if len(b.soonEmpty) > 0 {
		return b.soonEmpty[0], true
	}
	if !restarts {
		return nil, false
	}
	for _, h := range b.laterEmpty {
		if now >= h.staysUntil {
			return h, true
		}
	}
	return nil, false
}

// fill assigns hosts to a pool until it has as many as it needs or none is available.
func (f *Fleet) fill(to *poolBalance, free *[]*host, balances []*poolBalance, now time.Duration) {
	f.fillTo(to, to.need, "wanted", free, balances, now)
}

// fillTo assigns hosts to a pool until it has the given number or none is available. The
// parameter why is the reason given for moves from standby.
func (f *Fleet) fillTo(to *poolBalance, hosts int, why string, free *[]*host, balances []*poolBalance, now time.Duration) {
	for to.have < hosts {
		if len(*free) > 0 {
			if !f.begin((*free)[0], moving{to: to.pool}, why, now) {
				return
			}
			*free = (*free)[1:]
			to.have++
			continue
		}
		if !f.reclaim(to, balances, now) {
			return
		}
	}
}

// reclaim vacates a host of another pool for the given one. It returns false if no other
// pool has a host that it does not need.
func (f *Fleet) reclaim(to *poolBalance, balances []*poolBalance, now time.Duration) bool {
	for _, from := range balances {
		if from == to {
			continue
		}
		restarts := from.restarts && to.farShort
		h, drains := from.reclaimable(restarts, now)
		if h == nil || !drains && !f.takeClosing() {
			continue
		}
		from.drop(h)
		from.have--
		to.have++
		l, _ := f.load(h)
		h.vacate(to.pool, drains, now)
		h.drainTime = f.moves(reclaimDrainMoves)
		if drains && restarts {
			f.allowRestarts(h, l, now)
		}
		return true
	}
	return false
}

// drop removes a host from the lists of hosts that may be moved to another pool.
func (b *poolBalance) drop(h *host) {
	is := func(other *host) bool { return other == h }
	b.idle = slices.DeleteFunc(b.idle, is)
	b.soonEmpty = slices.DeleteFunc(b.soonEmpty, is)
	b.laterEmpty = slices.DeleteFunc(b.laterEmpty, is)
}

// vacate asks the host's pool to empty it, so that no run is started there before it
// moves.
func (h *host) vacate(to string, drains bool, now time.Duration) {
	h.vacating, h.moveTo, h.drains, h.vacatingSince = forMove, to, drains, now
	h.divided, h.restart = false, false
}

// countClosing sets how many idle hosts may be closed for moves now: those that the pace allows,
// without those that are closed already and wait to move.
func (f *Fleet) countClosing(now time.Duration) {
	f.closingLeft = len(f.sorted)
	if most, limited := f.pace.closable(now); limited {
		f.closingLeft = most
	}
	for _, h := range f.sorted {
		if h.vacating == forMove && !h.drains && h.commandDone == 0 {
			f.closingLeft--
		}
	}
}

// takeClosing reports whether one more idle host may be closed for a move, and counts it if so.
func (f *Fleet) takeClosing() bool {
	if f.closingLeft <= 0 {
		return false
	}
	f.closingLeft--
	return true
}

// finishMoves moves the hosts that their pools have emptied, either those for standby or those
// for other pools. A host that is still busy
// after its drain time, or that was expected to be idle but is not, stays in its pool. So does a
// host whose runs may be restarted if its pool's owner reports nothing: the pool that the host is
// given to would count the host for as long as the owner is silent.
func (f *Fleet) finishMoves(toStandby bool, now time.Duration) {
	for _, h := range f.sorted {
		if h.vacating != forMove || h.command != nil || f.standby[h.moveTo] != toStandby {
			continue
		}
		reported := f.demands[h.Pool].At > h.vacatingSince
		waits := h.drains && now-h.vacatingSince < h.drainTime
		switch {
		case f.empty(h, now) && reported:
			f.begin(h, moving{to: h.moveTo}, h.moveReason(), now)
		case (reported || h.restart && f.silent(h.Pool, now)) && !waits:
			h.vacating = notVacating
		}
	}
}

// releaseIdle moves idle hosts that their pool does not need to standby.
func (f *Fleet) releaseIdle(balances []*poolBalance, enoughStandby bool, now time.Duration) {
	target := f.standbyPool()
	if target == "" {
		return
	}
	for _, b := range balances {
		for _, h := range slices.Clone(b.idle) {
			l, _ := f.load(h)
			if b.have <= max(b.need, b.kept) {
				break
			}
			if l.Idle < f.minIdleTime(b, enoughStandby) {
				continue
			}
			if !f.takeClosing() {
				return
			}
			b.drop(h)
			b.have--
			h.vacate(target, false, now)
		}
	}
}

// minIdleTime returns how long a host must have been idle before it is moved to standby.
// enoughStandby reports whether many hosts are on standby already.
func (f *Fleet) minIdleTime(b *poolBalance, enoughStandby bool) time.Duration {
	longer := max(0, f.settings.MoveTime.Seconds()/fastMoveTime.Seconds()-1)
	if enoughStandby && b.have > b.keep && longer == 0 {
		return surplusIdleTime
	}
	return f.moves(idleMoves + extraIdleMoves*longer)
}

// moves returns the given multiple of the move time.
func (f *Fleet) moves(share float64) time.Duration {
	return time.Duration(share * float64(f.settings.MoveTime))
}

func (f *Fleet) standbyPool() string {
	first := ""
	for name := range f.standby {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// balances returns the balance of each pool with a current demand, the pool that lacks the
// most hosts first.
func (f *Fleet) balances(now time.Duration) []*poolBalance {
	var balances []*poolBalance
	hosts, mean := f.byDestination(), f.meanCapacity()
	for pool := range f.working {
		d, known := f.demands[pool]
		if !known || now-d.At > maxDemandAge {
			continue
		}
		balances = append(balances, f.poolBalance(pool, d, hosts[pool], mean, now))
	}
	slices.SortFunc(balances, func(a, b *poolBalance) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), strings.Compare(a.pool, b.pool))
	})
	return balances
}

// poolBalance compares the demand of a pool with the hosts that are in it or on their way to it.
// mean is the mean capacity of all hosts.
func (f *Fleet) poolBalance(pool string, d Demand, hosts []*host, mean int64, now time.Duration) *poolBalance {
	b := &poolBalance{pool: pool, restarts: f.settings.DivideHosts && d.OnTimeMilli != nil}
	capacity, counted := int64(0), int64(0)
	for _, h := range hosts {
		if h.Pool != pool && !f.serves(h, pool) {
			continue
		}
		room := f.room(h)
		if h.Pool == pool && room > 0 {
			capacity += room
			counted++
		}
		if f.serves(h, pool) && room > 0 {
			b.have++
		}
		l, known := d.Loads[h.Worker]
		if h.Pool != pool || h.State != jayport.HostUp || !known || h.command != nil || h.vacating != notVacating || f.held(h, now) {
			continue
		}
		switch {
		case l.Runs == 0:
			b.idle = append(b.idle, h)
		case l.EmptyIn >= 0 && l.EmptyIn <= f.moves(soonEmptyMoves):
			b.soonEmpty = append(b.soonEmpty, h)
		case l.EmptyIn >= 0 && l.EmptyIn <= f.moves(shareDrainMoves):
			b.laterEmpty = append(b.laterEmpty, h)
		}
	}
	b.sort(d)
	each := mean
	if counted > 0 {
		each = capacity / counted
	}
	b.need = max(hostsFor(d.NeedMilli, each), d.HostsAtLeast)
	b.useful = max(hostsFor(d.NeedMilli-d.ExpiredMilli, each), d.HostsAtLeast)
	if d.OnTimeMilli != nil {
		b.onTime = min(b.useful, max(hostsFor(*d.OnTimeMilli, each), d.HostsAtLeast))
	}
	b.keep = max(hostsFor(d.NeedMilli+d.SpareMilli, each), d.HostsAtLeast)
	b.farShort = float64(b.have) < beginShare*float64(b.need)
	f.addPredictedNeed(b, each, now)
	return b
}

// sort orders the hosts that may be moved to another pool: slow ones first, then idle ones by
// longest idle time, others by shortest time until they are empty.
func (b *poolBalance) sort(d Demand) {
	slices.SortStableFunc(b.idle, func(a, b *host) int {
		x, y := d.Loads[a.Worker], d.Loads[b.Worker]
		return cmp.Or(compareSlow(x, y), cmp.Compare(y.Idle, x.Idle))
	})
	emptySooner := func(a, b *host) int {
		x, y := d.Loads[a.Worker], d.Loads[b.Worker]
		return cmp.Or(compareSlow(x, y), cmp.Compare(x.EmptyIn, y.EmptyIn))
	}
	slices.SortStableFunc(b.laterEmpty, emptySooner)
	slices.SortStableFunc(b.soonEmpty, emptySooner)
}

// reserveHosts is the number of hosts that a pool has beyond its demand, for the first
// jobs of a burst and for tasks that do not fit side by side.
const reserveHosts = 1

// hostsFor returns the number of hosts of the given size that a demand requires, including
// the reserve.
func hostsFor(milli, each int64) int {
	if each == 0 {
		return 0
	}
	return int((milli+each-1)/each) + reserveHosts
}

// serves reports whether a host serves a pool or soon will. A host that is emptied for
// maintenance does not count; otherwise a pool whose hosts are all emptied at once would
// get no replacements.
func (f *Fleet) serves(h *host, pool string) bool {
	switch a := h.command.(type) {
	case moving:
		return a.to == pool
	case maintaining:
		return false
	}
	switch h.vacating {
	case forMove:
		return h.moveTo == pool
	case forWave:
		return false
	default:
		return h.Pool == pool && (h.State == jayport.HostUp || h.State == jayport.HostMoving)
	}
}

func (f *Fleet) meanCapacity() int64 {
	total := int64(0)
	for _, h := range f.sorted {
		total += h.Capacity.ProcessorsMilli
	}
	if len(f.sorted) == 0 {
		return 0
	}
	return total / int64(len(f.sorted))
}
