package jaynode

import (
	"time"
)

// updateOwnership passes the pool the time up to which this owner is confirmed, if the
// newest claims name this owner.
func (d *poolDuty) updateOwnership() {
	view := d.node.members.Owners.View()
	if view == nil {
		return
	}
	if c, claimed := view.Claim(d.claim.Duty); claimed && c.Fence == d.claim.Fence {
		d.pool.SetConfirmedAt(view.AsOf + d.minTakeoverTime())
	}
}

// pauseThreshold is the time without a step from which the process counts as paused, and
// not only slow. It is several ticks long.
const pauseThreshold = 500 * time.Millisecond

// detectPause notifies the pool if the process was paused since the last call. It is
// called before each event, since the event may be a query that must not be answered from
// old state.
func (d *poolDuty) detectPause(now time.Duration) {
	if d.lastActiveAt > 0 && now-d.lastActiveAt > pauseThreshold {
		d.logger.Info("process was paused", "lasted", (now - d.lastActiveAt).String())
		d.pool.OwnerPaused(now)
	}
	d.lastActiveAt = now
}

const (
	// slowStoreLatency is the append latency from which the store counts as slow for all
	// entries. Slowness of this entry or its network link alone does not reach it.
	slowStoreLatency = 150 * time.Millisecond
	// takeoverCalls is the number of consecutive store calls that a new owner makes from
	// its claim to its first order: it reads the claim, fences the former owner and reads
	// the progress of the jobs.
	takeoverCalls = 3
)

// minTakeoverTime returns how long after a moment without another claim no other owner
// can have sent an order yet. It is zero unless the store is slow; then it is the time of
// one call fewer than takeoverCalls. Without this allowance, new workers and jobs would
// wait for each confirmation of the ownership by a slow store.
func (d *poolDuty) minTakeoverTime() time.Duration {
	latency := d.node.store.Latency()
	if latency < slowStoreLatency {
		return 0
	}
	return (takeoverCalls - 1) * latency
}

// confirmOwner checks with the store whether this owner was replaced: a new owner begins
// by fencing the former owner's producer.
func (d *poolDuty) confirmOwner() {
	asked := d.node.clock()
	addToJournal(d.journal, nil, func(err error) {
		d.post(func(now time.Duration) { d.pool.OwnerConfirmed(asked+d.minTakeoverTime(), err, now) })
	})
}
