package jaysched

import "time"

// ConfirmOwner asks the pool's owner to check whether it still owns the pool.
type ConfirmOwner struct{}

func (ConfirmOwner) isAction() {}

// confirmRetryDelay is the delay before a failed check is repeated.
const confirmRetryDelay = 200 * time.Millisecond

// ownership is what is known about the owner's right to act.
//
// It prevents this failure: an owner is partitioned or paused, and replaced. Workers refuse its
// orders once they have seen the next owner's fence, but two of its conclusions are wrong. It
// concludes that the lease of a silent worker has ended, but the next owner has renewed it: the
// run continues, and the task is started a second time. And a worker that has just joined has
// seen no fence at all. The symptom is a task that two entries started within some seconds.
//
// Therefore a lease counts as ended, and a worker as usable, only if the owner had not been
// replaced at a time after the lease ended or the worker was found. The same holds for a run that
// is concluded to be over without its end, which the next owner may have recorded and
// acknowledged, and for a job that another owner has stored. The check takes one append without
// records, in parallel with the worker's first report.
type ownership struct {
	// replaceable says that the owner may be replaced at all.
	replaceable bool
	// confirmedAt is the latest time at which the owner had not been replaced.
	confirmedAt time.Duration
	// takeoverDelay is how long the next owner waits, after it has replaced this one, before it
	// acts.
	takeoverDelay time.Duration
	// validFor is how long after confirmedAt the owner may act.
	validFor time.Duration
	// resumedAt is when the owner resumed after a pause, in which it may have been replaced.
	resumedAt time.Duration
	// neededAt is the latest time up to which a lost run or a found job needs the owner confirmed.
	neededAt time.Duration
	asking   bool
	askAt    time.Duration
}

// WithReplaceableOwner makes the pool act only while its owner is known to be the owner: it was
// so at the given time, and may act for validFor after the latest confirmation.
func WithReplaceableOwner(at, validFor time.Duration) Option {
	return func(p *Pool) { p.ownership = ownership{replaceable: true, confirmedAt: at, validFor: validFor} }
}

// SetConfirmedAt records a time at which the owner had not been replaced.
func (p *Pool) SetConfirmedAt(at time.Duration) {
	p.ownership.confirmedAt = max(p.ownership.confirmedAt, at)
}

// SetTakeoverDelay sets how long the next owner waits, after it has replaced this one, before it acts.
// It must be recorded where the next owner finds it.
func (p *Pool) SetTakeoverDelay(delay time.Duration) {
	p.ownership.takeoverDelay = delay
}

// OwnerPaused records that the owner was paused until now: until it is confirmed that it has not
// been replaced in the meantime, no run is started, and requests about jobs are not answered
// from its state. Otherwise a job that the next owner had ended would be shown as running again.
func (p *Pool) OwnerPaused(now time.Duration) {
	p.ownership.resumedAt = now
}

// OwnerUnconfirmed reports whether the owner may have been replaced during a pause.
func (p *Pool) OwnerUnconfirmed() bool {
	return !p.ownership.confirmedSince(p.ownership.resumedAt)
}

// OwnerConfirmed handles the answer to ConfirmOwner, which was requested at the time asked.
func (p *Pool) OwnerConfirmed(asked time.Duration, err error, now time.Duration) {
	p.ownership.asking = false
	if err != nil {
		p.ownership.askAt = now + confirmRetryDelay
		return
	}
	p.SetConfirmedAt(asked)
}

// confirmedSince reports whether no other owner is known to have acted up to a time.
func (o *ownership) confirmedSince(at time.Duration) bool {
	return !o.replaceable || o.confirmedAt+o.takeoverDelay >= at
}

// confirmationAge returns how long ago the owner was last known not to have been replaced, and zero
// for an owner that cannot be replaced.
func (o *ownership) confirmationAge(now time.Duration) time.Duration {
	if !o.replaceable {
		return 0
	}
	return now - o.confirmedAt
}

// need requests that the owner be confirmed up to a time.
func (o *ownership) need(at time.Duration) {
	o.neededAt = max(o.neededAt, at)
}

// lapsed reports whether the owner's last confirmation is too old for it to act.
func (o *ownership) lapsed(now time.Duration) bool {
	return o.replaceable && now-o.confirmedAt > o.validFor
}

// confirmOwner requests a check if a decision waits for it.
func (p *Pool) confirmOwner(now time.Duration) {
	if p.ownership.asking || now < p.ownership.askAt || !p.needsConfirmation(now) {
		return
	}
	p.ownership.asking = true
	p.actions = append(p.actions, ConfirmOwner{})
}

// needsConfirmation reports whether a worker or job that was found, a lease that should have ended, or
// a lost run waits for the confirmation that the owner was not replaced.
func (p *Pool) needsConfirmation(now time.Duration) bool {
	if p.ownership.lapsed(now) || p.OwnerUnconfirmed() || !p.ownership.confirmedSince(p.ownership.neededAt) {
		return true
	}
	for _, w := range p.sorted {
		found := w.listed && !p.ownership.confirmedSince(w.joinedAt)
		over := w.contact == silent && now >= w.leaseBound && !p.ownership.confirmedSince(w.leaseBound)
		if found || over {
			return true
		}
	}
	return false
}
