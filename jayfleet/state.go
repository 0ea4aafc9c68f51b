package jayfleet

import (
	"time"

	"jaythread/jayport"
)

// PoolState is a snapshot of a pool's hosts and demand for logging.
type PoolState struct {
	Pool string
	// Need is the number of hosts that the pool can use soon, and Keep the number that it
	// may need because of random variation. Useful is the number needed for jobs whose
	// results can still be used.
	Need   int
	Keep   int
	Useful int
	// Entitled is the number of hosts that the pool is entitled to while a pool lacks some, or
	// zero.
	Entitled int
	// On is the number of the pool's hosts that are up. Of these, Idle run nothing, and
	// LongRunning run only long-running tasks.
	On          int
	Idle        int
	LongRunning int
	// Coming is the number of hosts being moved to the pool, and Leaving the number being
	// emptied.
	Coming  int
	Leaving int
	// UsedMilli is the used part of the capacity RoomMilli, in thousandths of a core.
	UsedMilli int64
	RoomMilli int64
}

// States returns the state of each working pool with a current demand, and the number of
// usable hosts on standby.
func (f *Fleet) States(now time.Duration) (pools []PoolState, off int) {
	hosts := f.byDestination()
	for _, b := range f.balances(now) {
		state := PoolState{Pool: b.pool, Need: b.need, Keep: b.keep, Useful: b.useful, Entitled: f.division[b.pool].Entitled}
		for _, h := range hosts[b.pool] {
			state.count(f, h)
		}
		pools = append(pools, state)
	}
	return pools, len(f.free(now))
}

// count adds a host to the pool's totals if it belongs to the pool or is being moved to
// it.
func (s *PoolState) count(f *Fleet, h *host) {
	if m, ok := h.command.(moving); ok && m.to == s.Pool {
		s.Coming++
	}
	if h.Pool != s.Pool || h.State != jayport.HostUp {
		return
	}
	s.On++
	if h.vacating != notVacating || h.command != nil {
		s.Leaving++
	}
	s.RoomMilli += f.room(h)
	l, known := f.load(h)
	if !known {
		return
	}
	s.UsedMilli += l.UsedMilli
	switch {
	case l.Runs == 0:
		s.Idle++
	case l.Runs == l.LongRuns:
		s.LongRunning++
	}
}
