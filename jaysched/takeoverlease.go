package jaysched

import (
	"time"

	"jaythread/jayport"
)

// LeaseClock is a worker's clock as an answer has shown it, from which the ends of leases are computed.
type LeaseClock struct {
	// Clock is the time that the worker's clock showed in the answer, At when the answer arrived.
	Clock, At time.Duration
}

// LeaseUntil returns the time on the worker's clock at which a lease granted now should end, and when it has
// ended even if that clock is slow.
func (c LeaseClock) LeaseUntil(now, length time.Duration) (until, bound time.Duration) {
	until = c.Clock + (now - c.At) + length
	return until, c.At + stretched(until-c.Clock)
}

// TakeoverLease is what this owner knows of a worker whose lease it has renewed, or that it has asked for a report,
// before it knew the pool's jobs.
type TakeoverLease struct {
	To jayport.WorkerRef
	// Bound is when the longest lease granted has ended, or zero.
	Bound time.Duration
	// Report is the worker's latest report, or nil if it has left the latest request unanswered. Asked is when
	// it was requested, Answered when it arrived.
	Report          *jayport.Report
	Asked, Answered time.Duration
}

// TakeoverLeases handles the leases that this owner has granted, and the reports that it has received, during its
// takeover. It is called after the jobs are restored, the workers are listed and JobsKnown was called, before the
// first decision.
func (p *Pool) TakeoverLeases(leases []TakeoverLease, now time.Duration) {
	for _, l := range leases {
		if l.Bound == 0 {
			continue
		}
		p.formerRuns.heldUntil = max(p.formerRuns.heldUntil, l.Bound)
		p.forgetCarriedWait(l.To.ID)
		if w, known := p.workerOf(l.To); known {
			w.leaseBound = max(w.leaseBound, l.Bound)
		}
	}
	for _, l := range leases {
		if l.Report == nil {
			continue
		}
		p.Reported(l.To, *l.Report, l.Asked, now)
		if w, known := p.workerOf(l.To); known {
			w.recordClock(l.Report.Clock, l.Answered)
		}
	}
}

// forgetCarriedWait makes the tasks that were placed on a worker by former owners wait for it as long as for one
// that any of these owners has renewed: this owner has renewed it.
func (p *Pool) forgetCarriedWait(worker string) {
	for _, t := range p.formerPlacements[worker] {
		if f := t.formerPlacement; f != nil && f.worker == worker {
			f.carried, f.waited, f.renewed = 0, 0, true
			p.markChanged(t.step.job) // an owner of an earlier version relies on an older record
		}
	}
}
