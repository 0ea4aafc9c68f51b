package jaysched

import (
	"time"

	"jaythread/jayownership"
)

// ConfirmOwner asks the pool's owner to check whether it still owns the pool.
type ConfirmOwner struct{}

func (ConfirmOwner) isAction() {}

// WithReplaceableOwner makes the pool act only while its owner is known to be the owner: it was
// so at the given time, and may act for validFor after the latest confirmation.
func WithReplaceableOwner(at, validFor time.Duration) Option {
	return func(p *Pool) { p.right = jayownership.NewRight(at, validFor) }
}

// SetConfirmedAt records a time at which the owner had not been replaced.
func (p *Pool) SetConfirmedAt(at time.Duration) {
	p.right.Confirm(at)
}

// SetTakeoverDelay sets how long the next owner waits, after it has replaced this one, before it acts.
// It must be recorded where the next owner finds it.
func (p *Pool) SetTakeoverDelay(delay time.Duration) {
	p.right.SetTakeoverDelay(delay)
}

// OwnerPaused records that the owner was paused until now: until it is confirmed that it has not
// been replaced in the meantime, no run is started, and requests about jobs are not answered
// from its state. Otherwise a job that the next owner had ended would be shown as running again.
func (p *Pool) OwnerPaused(now time.Duration) {
	p.right.Pause(now)
}

// OwnerUnconfirmed reports whether the owner may have been replaced during a pause.
func (p *Pool) OwnerUnconfirmed() bool {
	return !p.right.CoversPause()
}

// OwnerConfirmed handles the answer to ConfirmOwner, which was requested at the time asked.
func (p *Pool) OwnerConfirmed(asked time.Duration, err error, now time.Duration) {
	p.right.Answered(asked, err, now)
}

// confirmOwner requests a check if a decision waits for it. The check takes one append without records,
// in parallel with a new worker's first report.
func (p *Pool) confirmOwner(now time.Duration) {
	if p.right.MayAsk(now) && p.needsConfirmation(now) {
		p.right.Asked()
		p.actions = append(p.actions, ConfirmOwner{})
	}
}

// needsConfirmation reports whether a worker or job that was found, a lease that should have ended, or
// a lost run waits for the confirmation that the owner was not replaced.
func (p *Pool) needsConfirmation(now time.Duration) bool {
	if p.right.Insufficient(now) {
		return true
	}
	for _, w := range p.sorted {
		found := w.listed && !p.right.Covers(w.joinedAt)
		over := w.contact == silent && now >= w.leaseBound && !p.right.Covers(w.leaseBound)
		if found || over {
			return true
		}
	}
	return false
}
