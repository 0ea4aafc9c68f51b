package jayfleet

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// joinDelay is how long it takes until a host that has moved can be used: the time for its
	// first report.
	joinDelay = 200 * time.Millisecond
	// arrivingStep is the time within which arriving hosts are reported together.
	arrivingStep = 100 * time.Millisecond
)

// Arriving is the capacity of hosts that a pool can use after the time In.
type Arriving struct {
	CapacityMilli int64
	In            time.Duration
}

// Arriving returns the hosts that are on their way to a pool, the earliest first: those that are
// moving, those that return from maintenance, and those that other pools are emptying for it. Hosts
// that arrive within the same arrivingStep are summed up.
//
// It serves this decision: a pool that lacks room rejects no job that these hosts can do in time.
func (f *Fleet) Arriving(pool string, now time.Duration) []Arriving {
	milli := map[time.Duration]int64{}
	for _, h := range f.sorted {
		in, arrives := f.arrivesIn(h, pool, now)
		if arrives {
			milli[in.Truncate(arrivingStep)] += h.Capacity.ProcessorsMilli
		}
	}
	arriving := make([]Arriving, 0, len(milli))
	for in, capacity := range milli {
		arriving = append(arriving, Arriving{CapacityMilli: capacity, In: in})
	}
	slices.SortFunc(arriving, func(a, b Arriving) int { return cmp.Compare(a.In, b.In) })
	return arriving
}

// arrivesIn returns the time until a host can be used by a pool; arrives is false if the host is
// not on its way to that pool.
func (f *Fleet) arrivesIn(h *host, pool string, now time.Duration) (in time.Duration, arrives bool) {
	move := f.settings.MoveTime + joinDelay
	if m, ok := h.command.(moving); ok {
		if h.commandDone > 0 {
			move -= now - h.commandDone
		}
		return max(0, move), m.to == pool
	}
	if _, ok := h.command.(maintaining); ok {
		in = f.settings.MaintenanceTime + joinDelay
		if h.commandDone > 0 {
			in -= now - h.commandDone
		}
		return max(0, in), h.Pool == pool
	}
	if h.vacating == forMove && h.moveTo == pool {
		return f.emptyIn(h, now) + move, true
	}
	return move, h.Pool == pool && h.State == jayport.HostMoving
}

// emptyIn returns how long a host that is being emptied is expected to be in use.
func (f *Fleet) emptyIn(h *host, now time.Duration) time.Duration {
	l, known := f.load(h)
	if !known || l.EmptyIn < 0 {
		return max(0, h.drainTime-(now-h.vacatingSince))
	}
	return l.EmptyIn
}
