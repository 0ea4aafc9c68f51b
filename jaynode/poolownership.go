package jaynode

import (
	"time"

	"jaythread/jayclock"
)

// updateOwnership passes the pool the time up to which this owner is confirmed, if the
// newest claims name this owner.
func (d *poolDuty) updateOwnership() {
	if at, confirmed := d.claimedAsOf(); confirmed {
		d.pool.SetConfirmedAt(at)
	}
}

// claimedAsOf returns the time up to which the newest claims were read, if they name this owner.
func (d *poolDuty) claimedAsOf() (at time.Duration, confirmed bool) {
	view := d.node.members.Owners.View()
	if view == nil {
		return 0, false
	}
	c, claimed := view.Claim(d.claim.Duty)
	return view.AsOf, claimed && c.Fence == d.claim.Fence
}

// pauseThreshold is the time without a step from which the process counts as paused, and
// not only slow. It is several ticks long.
const pauseThreshold = 500 * time.Millisecond

// detectPause notifies the pool if the duty's goroutine has done nothing else for long since the last call of
// this method: since the process was paused, or since a call took long. In either case the owner may have
// been replaced. It is called before each event, since the event may be a query that must not be answered
// from old state.
func (d *poolDuty) detectPause(now time.Duration) {
	processor := jayclock.Processor()
	if delay := now - d.lastActiveAt; d.lastActiveAt > 0 && delay > pauseThreshold {
		used := processor - d.calls.processorAt
		if wasBusy(delay, used) {
			d.logger.Info("owner was busy", "lasted", delay.String(), "call", d.calls.name, "processorTime", used.String())
		} else {
			d.logger.Info("process was paused", "lasted", delay.String(), "processorTime", used.String())
		}
		d.pool.OwnerPaused(now)
	}
	d.lastActiveAt, d.calls.processorAt = now, processor
}

// confirmOwner checks with the store whether this owner was replaced: a new owner begins
// by fencing the former owner's producer.
func (d *poolDuty) confirmOwner() {
	asked := d.node.clock()
	addToJournal(d.confirmations, nil, func(err error) {
		d.post(func(now time.Duration) { d.pool.OwnerConfirmed(asked, err, now) })
	})
}
