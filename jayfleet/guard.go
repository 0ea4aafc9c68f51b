package jayfleet

import "time"

const (
	// recordTimeout is how long a command waits for its record if the inventory rejects
	// commands of a replaced owner. Without this limit no host could be moved or
	// maintained while the store is unavailable.
	recordTimeout = 150 * time.Millisecond
	// maxCommandAge is the maximum time between the decision and the sending of a command.
	// If the process was paused in between, the command could end runs that were started
	// on the host in the meantime: the pool keeps a vacated host closed for only two
	// seconds.
	maxCommandAge = time.Second
	// clockSkew is the maximum assumed error of an entry's wall clock.
	clockSkew = 2500 * time.Millisecond
)

// RecordState is the known state of a command's record when the command is about to be
// sent.
type RecordState uint8

// The states of a command's record.
const (
	// RecordPending means that the store has not answered yet.
	RecordPending RecordState = iota
	// Recorded means that the record is stored, so that no other owner had taken over
	// before it.
	Recorded
	// NotRecorded means that the record was rejected or that its outcome is unknown.
	NotRecorded
)

// Guard decides which commands of an owner may be sent, and for how long the next owner
// must not send commands to a host.
//
// It prevents commands of two owners from conflicting: an owner that is partitioned from
// the store and its peers is replaced but continues to act, and its call reaches a host
// after a call of the next owner, with a lower fence. An inventory that checks fences
// rejects the call. One that does not moves the host while it runs tasks that the next
// owner's pool has started there. The log then shows a host that two entries move within a
// second.
//
// A command is therefore recorded before it is sent, and sent immediately afterwards. The
// next owner fences the previous owner's producer before it reads the records, so that it
// has read each command that may still be sent, and sends no command to the same host
// until the earlier one must have completed.
type Guard struct {
	// FencesChecked reports whether the inventory rejects a fence lower than the highest
	// one that it has seen for the host.
	FencesChecked bool
	// OwnerChangeDelay is the inventory's minimum delay between commands of different owners on
	// the same host.
	OwnerChangeDelay time.Duration
	// CallTime is the maximum duration of a call to the inventory.
	CallTime time.Duration
}

// HoldTime returns how long after a command was decided the next owner must not send
// commands to the same host. If fences are not checked, it also covers a command that is
// sent at the last permitted moment.
func (g Guard) HoldTime() time.Duration {
	if g.FencesChecked {
		return g.OwnerChangeDelay
	}
	return max(g.OwnerChangeDelay, maxCommandAge+g.CallTime)
}

// RecordTimeout returns how long a command waits for its record.
func (g Guard) RecordTimeout() time.Duration {
	if g.FencesChecked {
		return recordTimeout
	}
	return maxCommandAge
}

// MayDecide reports whether new commands may be decided while the record of an earlier
// command has been pending for the given time. If records are required, commands that
// cannot be recorded are never sent, and their hosts would be closed to their pools for
// nothing.
func (g Guard) MayDecide(stuck time.Duration) bool {
	return g.FencesChecked || stuck < maxCommandAge
}

// MaySend reports whether a command may be sent now that had to be sent by the given time. The
// times must include those during which the process was paused.
func (g Guard) MaySend(record RecordState, sendBy, now time.Duration) bool {
	if now > sendBy {
		return false
	}
	return g.FencesChecked || record == Recorded
}

// RecordedCommand is the latest recorded command on a host.
type RecordedCommand struct {
	// At is the wall-clock time of the entry that sent the command.
	At time.Time
	// DecidedBy is the latest time, by the new owner's clock, at which the command can
	// have been decided. It is valid only if ClockKnown is set.
	DecidedBy  time.Duration
	ClockKnown bool
	// ActorEnded reports whether the process of the entry that sent the command has
	// certainly ended.
	ActorEnded bool
}

// Takeover is the time at which an owner took over, by its clock and by wall-clock time,
// and the wall-clock time at which its entry was started.
type Takeover struct {
	Clock    time.Duration
	WallTime time.Time
	Started  time.Time
}

// HeldUntil returns the time, by the new owner's clock, until which it must not send
// commands to a host. A time in the past means that the host is not held.
//
// After a failure of all entries no host is held; otherwise no pool would get one of the
// hundreds of hosts that were moved just before. If fences are checked, a command older
// than the new owner's process is sufficient evidence of such a failure; otherwise the
// process of the previous owner must have certainly ended.
func (g Guard) HeldUntil(command RecordedCommand, t Takeover) time.Duration {
	switch {
	case command.ActorEnded && !g.FencesChecked:
		return 0
	case g.FencesChecked && command.At.Before(t.Started):
		return 0
	case command.ClockKnown:
		return command.DecidedBy + g.HoldTime()
	case command.At.Before(t.WallTime.Add(-g.HoldTime() - 2*clockSkew)):
		return 0
	default:
		return t.Clock + g.HoldTime()
	}
}
