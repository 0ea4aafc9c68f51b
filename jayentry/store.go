package jayentry

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"jaythread/jaylog"
	"jaythread/jayplatform"
	"jaythread/jayring"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

// These are the streams of the log service.
const (
	StateStream    = "jaythread.state"
	ClaimStream    = "jaythread.claims"
	SnapshotStream = "jaythread.snapshots"
)

// stateAppendsPerSecond limits the rate at which one entry appends to the state
// stream, as its share of the log service's capacity.
const stateAppendsPerSecond = 20

// Store holds one entry's copy of the replicated state and proposes commands to
// it.
type Store struct {
	actor     string
	log       jayplatform.Log
	logger    logr.Logger
	committer *jaylog.Committer[*jaywire.Command, jaystate.Outcome]
	// freshness is read for each request, without the lock, so that requests do not
	// wait for a planning round.
	freshness atomic.Pointer[freshness]
	// changed holds the rings that notify duties of a new offset.
	changed []*jayring.Ring[uint64]

	mu            sync.Mutex
	state         *jaystate.State
	caughtUp      bool
	sinceSnapshot int
	snapshotEvery int
	snapshotDue   *jayring.Ring[*jaywire.Snapshot]
}

// freshness is the offset of the state and the start time of the last read that
// found no later record.
type freshness struct {
	offset uint64
	at     time.Time
}

// NewStore returns a Store with an empty state.
func NewStore(actor string, log jayplatform.Log, snapshotEvery int, logger logr.Logger) *Store {
	return &Store{
		actor:         actor,
		log:           log,
		logger:        logger,
		committer:     jaylog.NewCommitter[*jaywire.Command, jaystate.Outcome](log, StateStream, stateAppendsPerSecond, encodeCommands, logger),
		state:         jaystate.New(),
		snapshotEvery: snapshotEvery,
		snapshotDue:   jayring.New[*jaywire.Snapshot](1),
	}
}

func encodeCommands(commands []*jaywire.Command) ([]byte, error) {
	return proto.Marshal(&jaywire.Batch{Commands: commands})
}

// Notify returns a ring that receives the state's offset after each change.
func (s *Store) Notify() *jayring.Ring[uint64] {
	ring := jayring.New[uint64](1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, ring)
	return ring
}

// Propose appends a command and waits for the state machine's decision. An error
// means that the decision is not known.
func (s *Store) Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error) {
	s.fillDefaults(c)
	outcome, err := s.committer.Commit(c.Id, c, timeout)
	if err != nil {
		return jaystate.Outcome{}, fmt.Errorf("propose: %w", err)
	}
	return outcome, nil
}

func (s *Store) fillDefaults(c *jaywire.Command) {
	if c.Id == "" {
		c.Id = uuid.NewString()
	}
	if c.Actor == "" {
		c.Actor = s.actor
	}
	if c.UnixMillis == 0 {
		c.UnixMillis = time.Now().UnixMilli()
	}
}

// Read calls visit with the state; visit must not keep or change it.
func (s *Store) Read(visit func(*jaystate.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visit(s.state)
}

// From returns the offset of the next record to apply.
func (s *Store) From() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Offset
}

// Freshness returns the state's offset and the time at which the log was last known to
// contain nothing newer.
func (s *Store) Freshness() (offset uint64, at time.Time) {
	f := s.freshness.Load()
	if f == nil {
		return 0, time.Time{}
	}
	return f.offset, f.at
}

// CaughtUp reports whether the store has reached the end of the stream at least
// once, or has adopted a peer's state.
func (s *Store) CaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp
}

// Apply applies a page of the state stream.
func (s *Store) Apply(page jayplatform.Page, readBegan time.Time, caughtUp bool) {
	s.mu.Lock()
	var outcomes []jaystate.Outcome
	for _, record := range page.Records {
		decided, err := s.state.Apply(record.Offset, record.Data)
		if err != nil {
			s.logger.Info("skipping unreadable state record", "error", err.Error())
		}
		outcomes = append(outcomes, decided...)
	}
	s.caughtUp = s.caughtUp || caughtUp
	s.updateFreshness(caughtUp, readBegan)
	s.sinceSnapshot += len(page.Records)
	s.snapshotIfDue()
	offset := s.state.Offset
	s.mu.Unlock()
	for _, o := range outcomes {
		// A duplicate's result must not replace the outcome of the command's first
		// occurrence.
		if !errors.Is(o.Err, jaystate.ErrDuplicate) {
			s.committer.Observe(o.ID, o)
		}
	}
	if caughtUp {
		s.committer.CaughtUp(readBegan)
	}
	s.notifyAll(offset)
}

// updateFreshness publishes the state's offset, and the given time if the state is
// current. The caller holds the lock.
func (s *Store) updateFreshness(newest bool, at time.Time) {
	next := &freshness{offset: s.state.Offset}
	if before := s.freshness.Load(); before != nil {
		next.at = before.at
	}
	if newest {
		next.at = at
	}
	s.freshness.Store(next)
}

func (s *Store) notifyAll(offset uint64) {
	for _, ring := range s.changed {
		ring.Push(offset)
	}
}

// Expired loads a snapshot, because the next records to apply have expired from
// the log.
func (s *Store) Expired(first uint64) {
	s.logger.Info("log records have expired; loading a snapshot", "first", first)
	if err := s.LoadFromLog(); err != nil {
		s.logger.Info("snapshot not loaded", "error", err.Error())
	}
}

// snapshotIfDue hands a snapshot to the snapshot duty if this entry holds the
// planner lease and enough records were applied since the last one.
func (s *Store) snapshotIfDue() {
	if s.sinceSnapshot < s.snapshotEvery || s.state.Planner.Entry != s.actor {
		return
	}
	snapshot, err := s.state.Snapshot()
	if err != nil {
		s.logger.Error(err, "snapshot failed")
		return
	}
	s.sinceSnapshot = 0
	s.snapshotDue.Push(snapshot)
}

// Adopt replaces the state with a snapshot that is ahead of it. An older snapshot
// is ignored, so that a configuration revision in force is never rolled back.
func (s *Store) Adopt(snapshot *jaywire.Snapshot) (bool, error) {
	s.mu.Lock()
	if snapshot.GetOffset() <= s.state.Offset {
		s.mu.Unlock()
		return false, nil
	}
	loaded, err := jaystate.Load(snapshot)
	if err != nil {
		s.mu.Unlock()
		return false, err
	}
	s.state = loaded
	s.caughtUp = true
	s.sinceSnapshot = 0
	s.updateFreshness(false, time.Time{})
	offset := loaded.Offset
	s.mu.Unlock()
	s.notifyAll(offset)
	return true, nil
}

// Snapshot returns a snapshot of the state for a peer.
func (s *Store) Snapshot() (*jaywire.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp {
		return nil, errNoState
	}
	return s.state.Snapshot()
}

var errNoState = errors.New("state is not loaded yet")

// LoadFromLog adopts the newest intact snapshot in the log.
func (s *Store) LoadFromLog() error {
	from := uint64(0)
	var newest *jaywire.Snapshot
	for {
		page, err := s.log.Read(SnapshotStream, from, 0)
		if errors.Is(err, jayplatform.ErrExpired) {
			from = page.First
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			from = record.Offset + 1
			snapshot := &jaywire.Snapshot{}
			if err := proto.Unmarshal(record.Data, snapshot); err != nil {
				s.logger.Info("skipping unreadable snapshot", "offset", record.Offset, "error", err.Error())
				continue
			}
			if _, err := jaystate.Load(snapshot); err != nil {
				s.logger.Info("skipping unreadable snapshot", "offset", record.Offset, "error", err.Error())
				continue
			}
			newest = snapshot
		}
		if from >= page.Next {
			break
		}
	}
	if newest == nil {
		return nil
	}
	_, err := s.Adopt(newest)
	return err
}
