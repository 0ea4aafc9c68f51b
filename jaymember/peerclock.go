package jaymember

import "time"

// PeerClock relates the clock of another entry to this entry's own clock.
type PeerClock struct {
	// Fence is the fence of the pool's owner whose clock it is.
	Fence int64
	// Clock is the other clock's time when an answer was written, and HeardAt is this
	// entry's time when that answer was received.
	Clock   time.Duration
	HeardAt time.Duration
}

// ToPeer converts a time on this clock to the other clock; the result is never too
// late. The inventory's read time is sent as such a time and not as an age: if an entry
// is paused between reading its clock and sending, an age would be too small by the
// pause, and workers that joined during the pause would be taken for ended while they
// run.
func (c PeerClock) ToPeer(at time.Duration) time.Duration {
	return c.Clock + at - c.HeardAt
}

// ToLocal converts a time on the other clock to this clock; the result is never too
// early. Times of day would be accurate only to the seconds by which the clocks may
// differ.
func (c PeerClock) ToLocal(at time.Duration) time.Duration {
	return c.HeardAt + at - c.Clock
}
