package jaymember

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jaywire"
)

const (
	// pingInterval is the time between two pings of an owner by each of its watchers.
	pingInterval = 150 * time.Millisecond
	// pingTimeout limits the duration of a ping. An entry answers within some
	// milliseconds, a slowed one within some tens of milliseconds.
	pingTimeout = 350 * time.Millisecond
	// refusedTimeout is how long an owner whose port is closed may go without a heartbeat
	// before it is presumed to have ended. It is slightly longer than the interval
	// between two heartbeats.
	refusedTimeout = 320 * time.Millisecond
	// silentTimeout is the same limit for an owner that does not answer pings. It allows
	// for three heartbeats, since the owner may only be slow.
	silentTimeout = 650 * time.Millisecond
	// isolatedTimeout is how long an owner that still writes heartbeats may leave the
	// pings of this entry unanswered. If this entry reaches the others, it is the owner
	// that is cut off, and callers cannot reach it.
	isolatedTimeout = 2500 * time.Millisecond
	// recentAnswerTime is how recently the other entries must have answered a ping for
	// this entry to count as reaching them.
	recentAnswerTime = time.Second
	// othersPinged is how many entries without duties are pinged in each round, so that
	// this entry can determine whether it is cut off itself.
	othersPinged = 2
)

// Liveness distinguishes owners that have ended from owners that this entry only cannot
// reach. An owner is presumed to have ended if it neither answers pings nor writes
// heartbeats. With pings alone, an entry that is cut off from its peers, but not from the
// store, would take over all duties of healthy owners.
type Liveness struct {
	members *Members
	logger  logr.Logger

	mu sync.Mutex
	// suspicions holds the owners whose last ping failed.
	suspicions map[string]*suspicion
	// replaced is the set of incarnations that have certainly ended: another incarnation
	// answers at their address.
	replaced map[string]bool
	// stopping is the set of incarnations that claim no more duties.
	stopping map[string]bool
	// closed is the set of entries without duties whose port was closed at the last ping.
	closed map[string]bool
	// clocks holds the clocks of the owners that have answered a ping.
	clocks map[string]PeerClock
	// lastAnswered is when each entry last answered a ping.
	lastAnswered map[string]time.Duration
	// lastPinged is when each entry was last pinged.
	lastPinged map[string]time.Duration
	nextOther  int
	// watch is whom this entry pings. Only the goroutine that pings uses it.
	watch *watch
	link  *jaypeer.Client
}

// suspicion is the state of an owner whose last ping failed.
type suspicion struct {
	since time.Duration
	// refused is set if the owner's port is closed.
	refused bool
	// offset is the offset of the owner's newest heartbeat, and silentSince is when the
	// owner was last known to be alive. Both are set once the heartbeat has been read.
	offset        int64
	heartbeatRead bool
	silentSince   time.Duration
	// storeFailed is set if the store was unavailable during the suspicion, so that the
	// owner may have been unable to write heartbeats.
	storeFailed bool
}

func newLiveness(m *Members) *Liveness {
	return &Liveness{
		members:      m,
		logger:       m.Logger.WithName("liveness"),
		suspicions:   map[string]*suspicion{},
		clocks:       map[string]PeerClock{},
		replaced:     map[string]bool{},
		stopping:     map[string]bool{},
		closed:       map[string]bool{},
		lastAnswered: map[string]time.Duration{},
		lastPinged:   map[string]time.Duration{},
		watch:        &watch{},
		link:         jaypeer.NewClient(m.Incarnation, pingTimeout, nil),
	}
}

// start starts the pings, this entry's heartbeats and the reads of the heartbeats of
// suspected owners.
func (l *Liveness) start(ctx context.Context) {
	l.members.Go(func() { l.pingOwners(ctx) })
	l.members.Go(func() { l.writeHeartbeats(ctx) })
	l.members.Go(func() { l.pollHeartbeats(ctx) })
}

// PresumedEnded reports whether an incarnation is presumed to have ended. It may be wrong,
// unlike CertainlyEnded.
func (l *Liveness) PresumedEnded(incarnation string, now time.Duration) bool {
	return l.presumedEndedWithin(incarnation, 1, now)
}

// presumedEndedWithin is PresumedEnded with the timeouts for silent and isolated owners
// multiplied by a factor. The timeout for a closed port stays, since a closed port is not
// a sign of slowness.
func (l *Liveness) presumedEndedWithin(incarnation string, factor int, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replaced[incarnation] {
		return true
	}
	s, suspected := l.suspicions[incarnation]
	if !suspected || !s.heartbeatRead {
		return false
	}
	timeout := time.Duration(factor) * silentTimeout
	if s.refused {
		timeout = refusedTimeout
	}
	if now-s.silentSince > timeout {
		return true
	}
	return now-s.since > time.Duration(factor)*isolatedTimeout && l.reachesOthers(incarnation, now)
}

// isCandidate reports whether an incarnation may claim duties, as far as this entry knows.
func (l *Liveness) isCandidate(incarnation string, now time.Duration) bool {
	if l.PresumedEnded(incarnation, now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopping[incarnation] && !l.closed[incarnation]
}

// RecordStopping records that an incarnation claims no more duties.
func (l *Liveness) RecordStopping(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(l.stopping, incarnation)
}

// add adds an incarnation to a set and removes those whose announcement has been replaced. The caller holds
// the lock.
func (l *Liveness) add(set map[string]bool, incarnation string) {
	if set[incarnation] {
		return
	}
	maps.DeleteFunc(set, func(other string, _ bool) bool { return !l.members.Entries.announced(other) })
	set[incarnation] = true
}

// CertainlyEnded reports whether the process of an incarnation that acted at a time of day
// has certainly ended: another incarnation answers at its address, or another process of
// the same entry was started after that time.
func (l *Liveness) CertainlyEnded(incarnation string, acted time.Time) bool {
	l.mu.Lock()
	replaced := l.replaced[incarnation]
	l.mu.Unlock()
	return replaced || l.members.Entries.restarted(incarnation, acted)
}

// Suspects reports whether the last ping of an owner failed.
func (l *Liveness) Suspects(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, suspected := l.suspicions[incarnation]
	return suspected
}

// reachesOthers reports whether most of the other entries that were pinged recently have
// answered recently.
func (l *Liveness) reachesOthers(but string, now time.Duration) bool {
	pinged, answered := 0, 0
	for incarnation, at := range l.lastPinged {
		if incarnation == but || l.replaced[incarnation] || now-at > recentAnswerTime {
			continue
		}
		pinged++
		if now-l.lastAnswered[incarnation] < recentAnswerTime {
			answered++
		}
	}
	return answered > 0 && 2*answered > pinged
}

// pingOwners pings owners of duties and some other entries, once per pingInterval.
func (l *Liveness) pingOwners(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if view := l.members.Owners.table.Load(); view != nil {
			l.watch.update(l.members, view)
			owners := map[string]bool{l.members.Incarnation: true}
			for _, c := range view.Claims() {
				if owners[c.Incarnation] {
					continue
				}
				// An owner still performs a duty that it has released, until the next claim.
				owners[c.Incarnation] = true
				if l.watch.pings(c.Incarnation, round) || l.Suspects(c.Incarnation) {
					l.members.Go(func() { l.ping(c) })
				}
			}
			l.dropSuspicions(owners)
			for _, e := range l.nextOthers(owners) {
				l.members.Go(func() { l.pingOther(e) })
			}
		}
		jayclock.Sleep(ctx, pingInterval)
	}
}

// nextOthers returns some of the entries that this entry pings in turn besides owners.
func (l *Liveness) nextOthers(owners map[string]bool) []*jaywire.EntryRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []*jaywire.EntryRecord
	for range l.watch.others {
		l.nextOther++
		if e := l.watch.others[l.nextOther%len(l.watch.others)]; !owners[e.Incarnation] && !l.replaced[e.Incarnation] && len(others) < othersPinged {
			others = append(others, e)
		}
	}
	return others
}

func (l *Liveness) pingOther(e *jaywire.EntryRecord) {
	l.recordPing(e.Incarnation)
	response, err := l.link.Ask(e.Incarnation, e.PeerAddr, newPing())
	l.recordOther(e.Incarnation, response.GetPong(), err)
}

// recordOther records the outcome of a ping of an entry that is no owner.
func (l *Liveness) recordOther(incarnation string, pong *jaywire.Pong, err error) {
	now := l.members.Clock()
	if pong.GetStopping() {
		l.RecordStopping(incarnation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.lastAnswered[incarnation] = now
		delete(l.closed, incarnation)
	case errors.Is(err, jaypeer.ErrReplaced):
		l.replaced[incarnation] = true
	case errors.Is(err, jaypeer.ErrGone):
		l.add(l.closed, incarnation)
	}
}

func newPing() *jaywire.PeerRequest {
	return &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Ping{Ping: &jaywire.Ping{}}}
}

// dropSuspicions drops the suspicions of incarnations that own no duty any more.
func (l *Liveness) dropSuspicions(owners map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for incarnation := range l.suspicions {
		if !owners[incarnation] {
			delete(l.suspicions, incarnation)
		}
	}
}

// recordPing records that an entry is pinged now.
func (l *Liveness) recordPing(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastPinged[incarnation] = l.members.Clock()
}

func (l *Liveness) ping(c jayowner.Claim) {
	l.recordPing(c.Incarnation)
	response, err := l.link.Ask(c.Incarnation, c.PeerAddr, newPing())
	if err == nil {
		l.recordClock(c.Incarnation, time.Duration(response.GetPong().GetClockMicros())*time.Microsecond)
	}
	l.RecordOutcome(c.Incarnation, err)
}

// recordClock records the time on another entry's clock, as received just now.
func (l *Liveness) recordClock(incarnation string, clock time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clocks[incarnation] = PeerClock{Clock: clock, HeardAt: l.members.Clock()}
}

// ClockOf returns the clock of an entry that has answered a ping as an owner, or this
// entry's own clock.
func (l *Liveness) ClockOf(incarnation string) (PeerClock, bool) {
	if incarnation == l.members.Incarnation {
		now := l.members.Clock()
		return PeerClock{Clock: now, HeardAt: now}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.clocks[incarnation]
	return c, known
}

// RecordOutcome records the outcome of a ping, or of any other request to an entry.
func (l *Liveness) RecordOutcome(incarnation string, err error) {
	now := l.members.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.lastAnswered[incarnation] = now
		delete(l.closed, incarnation)
		if s, suspected := l.suspicions[incarnation]; suspected {
			l.logger.Info("owner answers again", "owner", incarnation, "suspectedFor", (now - s.since).String())
			delete(l.suspicions, incarnation)
		}
		return
	}
	if errors.Is(err, jaypeer.ErrReplaced) {
		if !l.replaced[incarnation] {
			l.replaced[incarnation] = true
			l.logger.Info("owner was replaced", "owner", incarnation, "error", err.Error())
		}
		return
	}
	s, suspected := l.suspicions[incarnation]
	if !suspected {
		s = &suspicion{since: now}
		l.suspicions[incarnation] = s
		l.logger.Info("owner suspected", "owner", incarnation, "error", err.Error())
	}
	s.refused = errors.Is(err, jaypeer.ErrGone)
}
