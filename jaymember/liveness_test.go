package jaymember

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
)

// pingedOwner is an owner as another entry observes it.
type pingedOwner struct {
	t        *testing.T
	observer *Members
	store    *memoryStore
	clock    jayclock.Clock
	// ahead is the difference between the owner's clock and the observer's.
	ahead time.Duration
}

const pingedIncarnation = "e2-00000000"

func newPingedOwner(t *testing.T) *pingedOwner {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	store := newMemoryStore()
	return &pingedOwner{t: t, observer: newTestMembers(t, "e1", store, clock), store: store, clock: clock, ahead: 7 * time.Hour}
}

// heartbeat writes a heartbeat of the owner.
func (w *pingedOwner) heartbeat() {
	_, err := w.store.Append(jayport.Append{
		Partition: w.observer.heartbeatsOf(pingedIncarnation),
		Records:   []jayport.Record{{Key: pingedIncarnation, Value: heartbeatAt(w.clock() + w.ahead)}},
		AsOf:      jayport.AnyOffset,
	}, jayport.CallTimeout)
	is.New(w.t).NoErr(err)
}

// pong answers a ping of the observer.
func (w *pingedOwner) pong() {
	w.observer.Liveness.recordClock(pingedIncarnation, w.clock()+w.ahead)
	w.observer.Liveness.RecordOutcome(pingedIncarnation, nil)
}

// suspectedAfter fails all pings from now on and returns the time after which the owner
// is presumed to have ended, or the limit within if it is not.
func (w *pingedOwner) suspectedAfter(err error, within time.Duration, each func()) time.Duration {
	l, began := w.observer.Liveness, w.clock()
	l.RecordOutcome(pingedIncarnation, err)
	for w.clock()-began < within {
		l.checkHeartbeats()
		if l.PresumedEnded(pingedIncarnation, w.clock()) {
			return w.clock() - began
		}
		each()
		time.Sleep(10 * time.Millisecond)
	}
	return within
}

func noAction() {}

func TestLostOwnerIsDetected(t *testing.T) {
	silent, refused := jayport.ErrNoAnswer, jaypeer.ErrGone
	synctest.Test(t, func(t *testing.T) {
		// Guards against a pool without an owner for 1.2 s after its owner's host lost
		// power. Heartbeats did not hold the time at which they were written, so the
		// newest one was taken for written when it was first read, after a ping had timed
		// out (0.35 s).
		w := newPingedOwner(t)
		w.heartbeat()
		w.pong()
		time.Sleep(350 * time.Millisecond)
		is.New(t).Equal(w.suspectedAfter(silent, time.Minute, noAction), silentTimeout-350*time.Millisecond+10*time.Millisecond)
	})
	synctest.Test(t, func(t *testing.T) {
		// An owner whose port is closed is detected sooner.
		w := newPingedOwner(t)
		w.heartbeat()
		w.pong()
		is.New(t).Equal(w.suspectedAfter(refused, time.Minute, noAction), refusedTimeout+10*time.Millisecond)
	})
	synctest.Test(t, func(t *testing.T) {
		// The owner's clock is unknown: the time counts from the first read.
		w := newPingedOwner(t)
		w.heartbeat()
		time.Sleep(time.Second)
		is.New(t).Equal(w.suspectedAfter(silent, time.Minute, noAction), silentTimeout+10*time.Millisecond)
	})
	synctest.Test(t, func(t *testing.T) {
		// The owner has answered a ping after its last heartbeat, so the time counts from
		// the answer.
		w := newPingedOwner(t)
		w.heartbeat()
		time.Sleep(500 * time.Millisecond)
		w.pong()
		is.New(t).Equal(w.suspectedAfter(silent, time.Minute, noAction), silentTimeout+10*time.Millisecond)
	})
}

func TestOwnerWithHeartbeatsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Guards against an entry that takes over all duties when it is cut off from its
		// peers: the owners did not answer its pings, but went on writing heartbeats.
		w := newPingedOwner(t)
		w.pong()
		last := w.clock()
		heartbeats := func() {
			if w.clock()-last >= heartbeatInterval {
				last = w.clock()
				w.heartbeat()
			}
		}
		w.heartbeat()
		is.New(t).Equal(w.suspectedAfter(jayport.ErrNoAnswer, 10*time.Second, heartbeats), 10*time.Second)
	})
	synctest.Test(t, func(t *testing.T) {
		// Guards against replacing every owner that missed a ping when the store is
		// available again after an outage of two seconds. The newest heartbeats were two
		// seconds old, because none could be written in the meantime.
		w := newPingedOwner(t)
		w.heartbeat()
		w.pong()
		w.store.setRefuse(true)
		is := is.New(t)
		is.Equal(w.suspectedAfter(jayport.ErrNoAnswer, 2*time.Second, noAction), 2*time.Second)
		w.store.setRefuse(false)
		is.True(w.suspectedAfter(jayport.ErrNoAnswer, time.Minute, noAction) > silentTimeout)
	})
}

func TestReturningOwnerGetsLongerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Guards against a pool that changes its owner every second for half a minute,
		// while none of its tasks runs. An owner with a narrow network link did not
		// answer pings while it read many records, was replaced, and its replacement was
		// presumed to have ended in the same way. An owner that turns out to be alive
		// must get a longer timeout the next time.
		is := is.New(t)
		w := newPingedOwner(t)
		owners := w.observer.Owners
		for n, incarnation := range []string{pingedIncarnation, "e3-00000000", pingedIncarnation} {
			record := jayowner.Claim{Duty: jayowner.Fleet, Incarnation: incarnation, Term: int64(n + 1)}.Record()
			record.Offset = int64(n)
			owners.Apply(record)
		}
		w.heartbeat()
		w.pong()
		l, lost := w.observer.Liveness, w.clock()
		l.RecordOutcome(pingedIncarnation, jayport.ErrNoAnswer)
		missed := func() bool {
			l.checkHeartbeats()
			return l.presumedEndedWithin(pingedIncarnation, owners.timeoutFactorOf(jayowner.Fleet, w.clock()), w.clock())
		}
		for !missed() {
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(w.clock()-lost, 2*silentTimeout+10*time.Millisecond)
		l.RecordOutcome(pingedIncarnation, jaypeer.ErrGone)
		is.True(missed()) // the timeout for a closed port stays
	})
}
