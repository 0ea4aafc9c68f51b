package jaynode

import "time"

// peerClock relates the clock of a pool's owner to this entry's own.
type peerClock struct {
	// fence is that of the owner whose clock it is.
	fence int64
	// clock is what it showed when an answer was written, heardAt this entry's
	// clock when that answer was taken in.
	clock   time.Duration
	heardAt time.Duration
}

// notAfter returns a time on the other clock that is not after a time on this
// one. How old the inventory's list is must not be told as an age: an entry that
// is paused between looking at its clock and sending would make the list seem
// younger by the pause, and workers that joined in it would be taken for ended
// while they run.
func (c peerClock) notAfter(at time.Duration) time.Duration {
	return c.clock + at - c.heardAt
}
