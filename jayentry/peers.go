package jayentry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jaypeer"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

const (
	// viewLease is how long an entry keeps routing by its view while it reaches
	// neither the log nor a majority of the entries.
	viewLease = 2 * time.Second
	// heartbeatsPerTick limits how many heartbeats are sent in one tick.
	heartbeatsPerTick = 8
)

// peerHealth is the last known condition of a member.
type peerHealth struct {
	heard time.Time
	// confirmed is when the peer was last heard with an offset not beyond this
	// entry's view.
	confirmed time.Time
	// heartbeatAt is when the peer's own heartbeat last arrived.
	heartbeatAt time.Time
	offset      uint64
	revision    uint64
	ended       bool
	stopping    bool
}

// PeerLink sends requests to peers. In production it is a *jaypeer.Client.
type PeerLink interface {
	Ask(to, addr string, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error)
	Close()
}

// Membership tracks the other members and their health.
type Membership struct {
	self  string
	link  PeerLink
	store *Store
	every time.Duration
	// routedOffset returns the offset of the view that requests are routed by. The
	// view may be older than the applied state, and a drain is complete only when
	// the view reflects it.
	routedOffset func() uint64
	logger       logr.Logger
	now          func() time.Time

	mu      sync.Mutex
	health  map[string]peerHealth
	next    int
	leaving map[string]leavingNotice
	// stopping is set when this entry is leaving.
	stopping bool
	started  time.Time
	// applied is the recent history of applied offsets, oldest first.
	applied []appliedOffset
}

// appliedOffset is an applied offset and the time at which it was recorded.
type appliedOffset struct {
	at     time.Time
	offset uint64
}

// NewMembership returns a Membership over the members in the store's state.
// Heartbeats are sent at the given interval.
func NewMembership(self string, link PeerLink, store *Store, every time.Duration, logger logr.Logger) *Membership {
	return &Membership{
		self:    self,
		link:    link,
		store:   store,
		every:   every,
		logger:  logger,
		now:     time.Now,
		health:  map[string]peerHealth{},
		leaving: map[string]leavingNotice{},
		started: time.Now(),
	}
}

// Others returns all members except this entry.
func (m *Membership) Others() []jaystate.Member {
	var others []jaystate.Member
	m.store.Read(func(s *jaystate.State) {
		for _, member := range s.Members {
			if member.Entry != m.self {
				others = append(others, member)
			}
		}
	})
	return others
}

// Ask sends a request to a member and returns the response. A member that turns
// out to have ended is marked as ended.
func (m *Membership) Ask(member jaystate.Member, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	response, err := m.link.Ask(member.Entry, member.PeerAddr, request)
	if errors.Is(err, jaypeer.ErrGone) {
		m.markEnded(member.Entry)
	}
	return response, err
}

func (m *Membership) markEnded(entry string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.health[entry]
	h.ended = true
	m.health[entry] = h
}

// Ended returns the members whose incarnation is known to have ended.
func (m *Membership) Ended() []string {
	var ended []string
	others := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range others {
		if m.health[member.Entry].ended {
			ended = append(ended, member.Entry)
		}
	}
	return ended
}

// SetStopping makes the following heartbeats state that this entry is leaving.
func (m *Membership) SetStopping() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = true
}

// leavingNoticeTTL is how long a notice about a leaving upstream is known, and how long
// the entry that the upstream told passes it on to peers.
const leavingNoticeTTL = 10 * time.Second

// leavingNotice is the notice that an upstream is leaving.
type leavingNotice struct {
	// noted is when the notice was new to this entry.
	noted time.Time
	// told is when the upstream told this entry. It is zero if only peers did.
	told time.Time
}

// NoteLeaving records that an upstream told this entry that it is leaving, and
// reports whether the notice is new. It is passed on to peers.
func (m *Membership) NoteLeaving(upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	notice := m.leaving[upstream]
	if m.now().Sub(notice.told) >= leavingNoticeTTL {
		notice.told = m.now()
		m.leaving[upstream] = notice
	}
	return m.noteLeaving(upstream)
}

// NotePeerLeaving records a peer's notice that an upstream is leaving, and reports
// whether it is new. It is not passed on: a notice has no age, and entries that pass on
// each other's notices repeat them without end.
func (m *Membership) NotePeerLeaving(upstream string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.noteLeaving(upstream)
}

func (m *Membership) noteLeaving(upstream string) bool {
	notice := m.leaving[upstream]
	if m.now().Sub(notice.noted) < leavingNoticeTTL {
		return false
	}
	notice.noted = m.now()
	m.leaving[upstream] = notice
	return true
}

// leavingList returns the upstreams that told this entry that they are leaving.
func (m *Membership) leavingList() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for upstream, notice := range m.leaving {
		told := m.now().Sub(notice.told) < leavingNoticeTTL
		if told {
			list = append(list, upstream)
		}
		if !told && m.now().Sub(notice.noted) >= leavingNoticeTTL {
			delete(m.leaving, upstream)
		}
	}
	return list
}

// Heartbeat sends a heartbeat to the next heartbeatsPerTick members in round-robin
// order, except to those whose own heartbeat arrived recently.
func (m *Membership) Heartbeat(logAge time.Duration, onLeaving func(string)) {
	m.recordApplied()
	others := m.Others()
	var asked sync.WaitGroup
	for _, member := range m.pickMembers(others) {
		if m.heardRecently(member.Entry) {
			continue
		}
		asked.Go(func() { m.heartbeatOne(member, logAge, onLeaving) })
	}
	asked.Wait()
	m.forgetFormer(others)
}

// heardRecently reports whether the peer's own heartbeat has arrived since the
// last tick. A heartbeat informs both sides, so sending one back would only double
// the traffic. A peer that has ended sends none and is asked.
func (m *Membership) heardRecently(entry string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.health[entry].heartbeatAt) < m.every*9/10
}

func (m *Membership) pickMembers(others []jaystate.Member) []jaystate.Member {
	if len(others) <= heartbeatsPerTick {
		return others
	}
	picked := make([]jaystate.Member, 0, heartbeatsPerTick)
	m.mu.Lock()
	defer m.mu.Unlock()
	for range heartbeatsPerTick {
		picked = append(picked, others[m.next%len(others)])
		m.next++
	}
	return picked
}

func (m *Membership) heartbeatOne(member jaystate.Member, logAge time.Duration, onLeaving func(string)) {
	offset, revision := m.position()
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	sent := m.now()
	response, err := m.Ask(member, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Heartbeat{Heartbeat: &jaywire.Heartbeat{
		Offset:       offset,
		Revision:     revision,
		Leaving:      m.leavingList(),
		Stopping:     stopping,
		LogAgeMillis: logAge.Milliseconds(),
	}}})
	ack := response.GetHeartbeatAck()
	if err != nil || ack == nil {
		return
	}
	m.recordHealth(member.Entry, peerHealth{heard: sent, offset: ack.Offset, revision: ack.Revision, stopping: ack.Stopping})
	for _, upstream := range ack.Leaving {
		onLeaving(upstream)
	}
	if ack.Offset > offset && logAge > viewLease/2 {
		m.catchUp(member)
	}
}

// catchUp adopts the state of a peer that is ahead. An entry that cannot reach the
// log has no other way to stay current.
func (m *Membership) catchUp(member jaystate.Member) {
	response, err := m.Ask(member, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_FetchState{FetchState: &jaywire.FetchState{}}})
	if err != nil || response.GetSnapshot() == nil {
		return
	}
	if _, err := m.store.Adopt(response.GetSnapshot()); err != nil {
		m.logger.Info("state snapshot from peer rejected", "peer", member.Entry, "error", err.Error())
	}
}

func (m *Membership) recordHealth(entry string, h peerHealth) {
	offset, _ := m.position()
	m.mu.Lock()
	defer m.mu.Unlock()
	h.confirmed = m.health[entry].confirmed
	if h.offset <= offset {
		h.confirmed = h.heard
	}
	m.health[entry] = h
}

func (m *Membership) forgetFormer(others []jaystate.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool, len(others))
	for _, member := range others {
		known[member.Entry] = true
	}
	for entry := range m.health {
		if !known[entry] {
			delete(m.health, entry)
		}
	}
}

// position returns the offset that this entry routes by and the revision of its
// state.
func (m *Membership) position() (offset, revision uint64) {
	m.store.Read(func(s *jaystate.State) { offset, revision = s.Offset, s.Revision.Number })
	if m.routedOffset != nil {
		offset = min(offset, m.routedOffset())
	}
	return offset, revision
}

// HandleHeartbeat records a peer's heartbeat and returns the acknowledgement.
func (m *Membership) HandleHeartbeat(from string, h *jaywire.Heartbeat, logAge time.Duration, onLeaving func(string)) *jaywire.HeartbeatAck {
	m.recordHealth(from, peerHealth{heard: m.now(), heartbeatAt: m.now(), offset: h.Offset, revision: h.Revision, stopping: h.Stopping})
	for _, upstream := range h.Leaving {
		onLeaving(upstream)
	}
	offset, revision := m.position()
	m.mu.Lock()
	stopping := m.stopping
	m.mu.Unlock()
	return &jaywire.HeartbeatAck{
		Offset:       offset,
		Revision:     revision,
		Leaving:      m.leavingList(),
		Stopping:     stopping,
		LogAgeMillis: logAge.Milliseconds(),
	}
}

// Majority reports whether this entry has heard from a majority of the members,
// including itself, within the view lease.
func (m *Membership) Majority() bool {
	return m.majority(func(h peerHealth) time.Time { return h.heard })
}

// MajorityAgrees reports whether, within the view lease, a majority was heard that was
// not ahead of this entry's view. Hearing from peers alone is not enough: an entry
// that resumes after a pause hears them at once, but its view is old.
func (m *Membership) MajorityAgrees() bool {
	return m.majority(func(h peerHealth) time.Time { return h.confirmed })
}

func (m *Membership) majority(when func(peerHealth) time.Time) bool {
	others := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := 1
	for _, member := range others {
		if m.now().Sub(when(m.health[member.Entry])) <= viewLease {
			heard++
		}
	}
	return 2*heard > len(others)+1
}

// MinRoutedOffset returns the lowest offset that is applied at every member that may still
// route by its view.
//
// A member that has ended does not count. If a member was silent for twice the
// lease while this entry heard a majority, the offset that this entry itself had
// applied that long ago is used for it. If the silent member still hears a
// majority, at least one member belongs both to that majority and to the one heard
// here, and has passed that offset on. If the silent member hears no majority, its
// view lease has expired since.
func (m *Membership) MinRoutedOffset() uint64 {
	lowest, _ := m.position()
	majority := m.Majority()
	others := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	lapsedOffset := m.appliedBefore(2 * viewLease)
	for _, member := range others {
		h := m.health[member.Entry]
		if h.ended {
			continue
		}
		heard := h.heard
		if heard.Before(m.started) {
			heard = m.started
		}
		if majority && m.now().Sub(heard) > 2*viewLease {
			lowest = min(lowest, max(h.offset, lapsedOffset))
			continue
		}
		lowest = min(lowest, h.offset)
	}
	return lowest
}

// recordApplied appends the current offset to the history of applied offsets.
func (m *Membership) recordApplied() {
	offset, _ := m.position()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.applied = append(m.applied, appliedOffset{at: now, offset: offset})
	for len(m.applied) > 1 && now.Sub(m.applied[1].at) > 2*viewLease {
		m.applied = m.applied[1:]
	}
}

// appliedBefore returns the offset that this entry had applied the given duration
// ago.
func (m *Membership) appliedBefore(d time.Duration) uint64 {
	if len(m.applied) == 0 || m.now().Sub(m.applied[0].at) < d {
		return 0
	}
	return m.applied[0].offset
}

// Revisions returns the configuration revision that each other member last
// reported.
func (m *Membership) Revisions() map[string]uint64 {
	others := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	revisions := make(map[string]uint64, len(others))
	for _, member := range others {
		h := m.health[member.Entry]
		if !h.ended {
			revisions[member.Entry] = h.revision
		}
	}
	return revisions
}

// Run sends heartbeats until the context ends.
func (m *Membership) Run(ctx context.Context, logAge func() time.Duration, onLeaving func(string)) {
	for ctx.Err() == nil {
		m.Heartbeat(logAge(), onLeaving)
		jayclock.Sleep(ctx, m.every)
	}
}
