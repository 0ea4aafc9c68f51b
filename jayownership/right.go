// Package jayownership decides what the owner of a duty may conclude although it may have been replaced
// without knowing it, and how long the next owner waits for it.
package jayownership

import "time"

const (
	// ConfirmRetryDelay is the delay before a question that was not answered is repeated.
	ConfirmRetryDelay = 200 * time.Millisecond
	// maxStoredLag is how long after its latest confirmation an owner may store a job and begin it
	// without another one.
	maxStoredLag = time.Second
)

// Right is the owner's right to act. All times are those of the owner's clock. The zero value is that of
// an owner that cannot be replaced.
//
// It prevents this failure: an owner is partitioned or paused, and replaced. Workers refuse its
// orders once they have seen the next owner's fence, but two of its conclusions are wrong. It
// concludes that the lease of a silent worker has ended, but the next owner has renewed it: the
// run continues, and the task is started a second time. And a worker that has just joined has
// seen no fence at all. The symptom is a task that two entries started within some seconds.
//
// Therefore a conclusion about a time holds only if the owner had not been replaced at that time or
// later: that a lease has ended, that a worker is usable, that a run is over without its task being
// done, which the next owner may have recorded otherwise, and that a job which another owner has
// stored is to be begun. A job that the owner has stored itself needs a confirmation that is recent:
// the next owner knows until when it may have to share such jobs with this one.
type Right struct {
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
	// neededAt is the latest time up to which a conclusion needs the owner confirmed.
	neededAt time.Duration
	asking   bool
	askAt    time.Duration
}

// NewRight returns the right of an owner that may be replaced. It was the owner at the given time, and
// may act for validFor after the latest confirmation.
func NewRight(confirmedAt, validFor time.Duration) Right {
	return Right{replaceable: true, confirmedAt: confirmedAt, validFor: validFor}
}

// Confirm records a time at which the owner had not been replaced.
func (r *Right) Confirm(at time.Duration) {
	r.confirmedAt = max(r.confirmedAt, at)
}

// SetTakeoverDelay sets how long the next owner waits, after it has replaced this one, before it acts.
// It must be recorded where the next owner finds it.
func (r *Right) SetTakeoverDelay(delay time.Duration) {
	r.takeoverDelay = delay
}

// Pause records that the owner was paused until now.
func (r *Right) Pause(now time.Duration) {
	r.resumedAt = now
}

// Need requests that the owner be confirmed up to a time.
func (r *Right) Need(at time.Duration) {
	r.neededAt = max(r.neededAt, at)
}

// Covers reports whether no other owner has acted up to a time.
func (r *Right) Covers(at time.Duration) bool {
	return !r.replaceable || r.confirmedAt+r.takeoverDelay >= at
}

// CoversPause reports whether no other owner has acted up to the end of the latest pause.
func (r *Right) CoversPause() bool {
	return r.Covers(r.resumedAt)
}

// NeededForStored returns the time up to which an owner must be confirmed to begin a job that it has
// stored at the given time.
func NeededForStored(at time.Duration) time.Duration {
	return at - maxStoredLag
}

// StoredByFormerUntil returns the time up to which former owners may store jobs that they begin, if they
// do not act on anything that has happened since takenOverAt.
func StoredByFormerUntil(takenOverAt time.Duration) time.Duration {
	return takenOverAt + maxStoredLag + maxStoredLag/clockDriftDivisor
}

// Lapsed reports whether the latest confirmation is too old for the owner to act.
func (r *Right) Lapsed(now time.Duration) bool {
	return r.replaceable && now-r.confirmedAt > r.validFor
}

// Age returns how long ago the owner was last confirmed, and zero for an owner that cannot be replaced.
func (r *Right) Age(now time.Duration) time.Duration {
	if !r.replaceable {
		return 0
	}
	return now - r.confirmedAt
}

// Insufficient reports whether the owner, or a conclusion that was requested, waits for a confirmation.
func (r *Right) Insufficient(now time.Duration) bool {
	return r.Lapsed(now) || !r.CoversPause() || !r.Covers(r.neededAt)
}

// MayAsk reports whether a question may be sent now: none is in flight, and none has just failed.
func (r *Right) MayAsk(now time.Duration) bool {
	return !r.asking && now >= r.askAt
}

// Asked records that a question is sent.
func (r *Right) Asked() {
	r.asking = true
}

// Answered handles the answer to a question that was sent at the time asked.
func (r *Right) Answered(asked time.Duration, err error, now time.Duration) {
	r.asking = false
	if err != nil {
		r.askAt = now + ConfirmRetryDelay
		return
	}
	r.Confirm(asked)
}
