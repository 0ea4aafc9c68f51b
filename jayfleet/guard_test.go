package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestGuardMaySend(t *testing.T) {
	checked, unchecked := Guard{FencesChecked: true}, Guard{}
	sends := func(g Guard, record RecordState, age time.Duration, want bool) {
		t.Run(fmt.Sprintf("checked %v record %d age %v", g.FencesChecked, record, age), func(t *testing.T) {
			is.New(t).Equal(g.MaySend(record, maxCommandAge, age), want)
		})
	}
	sends(checked, Recorded, 0, true)
	sends(checked, RecordPending, checked.RecordTimeout(), true)
	sends(checked, NotRecorded, 0, true)
	sends(checked, Recorded, 2*time.Second, false)
	sends(unchecked, Recorded, 900*time.Millisecond, true)
	sends(unchecked, RecordPending, 100*time.Millisecond, false)
	sends(unchecked, NotRecorded, 0, false)
	sends(unchecked, Recorded, 2*time.Second, false)
}

func TestGuardMayDecide(t *testing.T) {
	is := is.New(t)
	is.True(Guard{}.MayDecide(0))
	is.True(!Guard{}.MayDecide(2 * time.Second))
	is.True(Guard{FencesChecked: true}.MayDecide(time.Minute))
}

func TestGuardHeldUntil(t *testing.T) {
	takeover := Takeover{Clock: time.Hour, WallTime: time.UnixMilli(1_000_000_000)}
	heldFor := func(g Guard, command RecordedCommand, sinceCommand, sinceStart time.Duration) time.Duration {
		g.OwnerChangeDelay = 3 * time.Second
		command.At = takeover.WallTime.Add(-sinceCommand)
		takeover.Started = takeover.WallTime.Add(-sinceStart)
		return max(0, g.HeldUntil(command, takeover)-takeover.Clock)
	}
	checked, unchecked := Guard{FencesChecked: true}, Guard{}
	t.Run("a host with a recent command is held", func(t *testing.T) {
		is := is.New(t)
		is.Equal(heldFor(checked, RecordedCommand{}, time.Second, time.Minute), 3*time.Second)
		is.Equal(heldFor(unchecked, RecordedCommand{}, time.Second, time.Minute), 3*time.Second)
	})
	t.Run("wall clocks may differ", func(t *testing.T) {
		is.New(t).Equal(heldFor(unchecked, RecordedCommand{}, 7*time.Second, time.Minute), 3*time.Second)
	})
	t.Run("an old command holds nothing", func(t *testing.T) {
		is := is.New(t)
		is.Equal(heldFor(checked, RecordedCommand{}, 9*time.Second, time.Minute), time.Duration(0))
		is.Equal(heldFor(unchecked, RecordedCommand{}, 9*time.Second, time.Minute), time.Duration(0))
	})
	t.Run("a known clock shortens the hold", func(t *testing.T) {
		// Guards against a takeover in a burst that blocks two thirds of the fleet for
		// three seconds: wall clocks may differ by seconds, so that each host with a
		// command in the last eight seconds was held from the takeover on.
		command := RecordedCommand{DecidedBy: takeover.Clock - 2*time.Second, ClockKnown: true}
		is.New(t).Equal(heldFor(unchecked, command, time.Minute, time.Minute), time.Second)
	})
	t.Run("with fence checks a command older than the process holds nothing", func(t *testing.T) {
		// Guards against a pool that gets no host for three seconds after a power failure
		// of all entries: the new owner held all hosts that were moved just before,
		// although the previous owner had ended with all other entries.
		is.New(t).Equal(heldFor(checked, RecordedCommand{}, 2*time.Second, time.Second), time.Duration(0))
	})
	t.Run("without fence checks it holds the host unless its sender has ended", func(t *testing.T) {
		// Guards against a move with a lower fence after one with a higher fence: a
		// partitioned owner is replaced by an entry that was started a second ago, and a
		// command older than the new process was taken for one of an owner that had ended.
		is := is.New(t)
		is.Equal(heldFor(unchecked, RecordedCommand{}, 2*time.Second, time.Second), 3*time.Second)
		is.Equal(heldFor(unchecked, RecordedCommand{ActorEnded: true}, 2*time.Second, time.Second), time.Duration(0))
	})
}

// timeStep is the time resolution of the model.
const timeStep = 100 * time.Millisecond

// upTo returns the times from zero to longest in steps of grain.
func upTo(longest, grain time.Duration) []time.Duration {
	var times []time.Duration
	for d := time.Duration(0); d <= longest; d += grain {
		times = append(times, d)
	}
	return times
}

// interleaving is one order of events of two owners that act on the same host. The first
// owner decides at time zero; the second owner's claim takes effect at takeover.
type interleaving struct {
	guard Guard
	// appended is when the first owner's record reaches the store, answered when the owner
	// processes the answer, and sentAt when the command is about to be sent; the owner may
	// be paused before each of the last two.
	appended time.Duration
	answered time.Duration
	sentAt   time.Duration
	takeover time.Duration
	// callTime is the duration of the first owner's call.
	callTime time.Duration
	// skew is how far the first owner's wall clock is behind the second one's.
	skew time.Duration
	// sinceStart is the time between the start of the second owner and the takeover.
	sinceStart time.Duration
	// clockKnown reports whether the second owner has the first one's clock.
	clockKnown bool
}

// firstCommand returns when the first owner's command is carried out, if it is.
func (r interleaving) firstCommand() (at time.Duration, carriedOut bool) {
	record := Recorded
	switch {
	case r.appended >= r.takeover:
		record = NotRecorded
	case r.answered > r.guard.RecordTimeout():
		record = RecordPending
	}
	if !r.guard.MaySend(record, maxCommandAge, r.sentAt) {
		return 0, false
	}
	return r.sentAt + r.callTime, true
}

// secondCommand returns the earliest time at which the second owner's command on the same
// host is carried out.
func (r interleaving) secondCommand() time.Duration {
	if r.appended >= r.takeover {
		return r.takeover
	}
	day := time.UnixMilli(1_000_000_000)
	command := RecordedCommand{At: day.Add(-r.skew), ClockKnown: r.clockKnown}
	at := Takeover{Clock: r.takeover, WallTime: day.Add(r.takeover), Started: day.Add(r.takeover - r.sinceStart)}
	return max(r.takeover, r.guard.HeldUntil(command, at))
}

// forEachInterleaving calls visit with each interleaving.
func forEachInterleaving(g Guard, visit func(interleaving)) {
	const pause = 12 * timeStep
	for _, appended := range upTo(pause, 2*timeStep) {
		for _, answer := range upTo(pause, 2*timeStep) {
			for _, wait := range upTo(pause, 2*timeStep) {
				for _, takeover := range upTo(100*timeStep, 2*timeStep) {
					for _, callTime := range []time.Duration{0, g.CallTime} {
						for _, skew := range []time.Duration{-2 * clockSkew, 0, 2 * clockSkew} {
							for _, sinceStart := range []time.Duration{0, time.Hour} {
								answered := appended + answer
								r := interleaving{guard: g, appended: appended, answered: answered, sentAt: answered + wait, takeover: takeover, callTime: callTime, skew: skew, sinceStart: sinceStart}
								visit(r)
								r.clockKnown = true
								visit(r)
							}
						}
					}
				}
			}
		}
	}
}

func TestCommandsOfTwoOwnersStayInOrder(t *testing.T) {
	// Guards against an inventory without fence checks that carries out a previous owner's
	// command after one of the next owner's. The model covers all orders of decision,
	// record, answer, pause, sending, delayed arrival and takeover, with wall clocks that
	// differ by up to twice the assumed error.
	g := Guard{OwnerChangeDelay: 3 * time.Second, CallTime: 700 * time.Millisecond}
	count, sent := 0, 0
	forEachInterleaving(g, func(r interleaving) {
		count++
		at, carriedOut := r.firstCommand()
		if !carriedOut {
			return
		}
		sent++
		if at >= r.secondCommand() {
			t.Fatalf("the first owner's command is carried out at %v, the second owner's at %v: %+v", at, r.secondCommand(), r)
		}
	})
	is := is.New(t)
	is.True(count > 100_000)
	is.True(sent > count/100) // the model must include commands that are sent
}
