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

// The streams of the log service.
const (
	StateStream    = "jaythread.state"
	ClaimStream    = "jaythread.claims"
	SnapshotStream = "jaythread.snapshots"
)

// stateAppendsPerSecond is one entry's share of the log service's appends for
// the state stream.
const stateAppendsPerSecond = 20

// Store holds the folded state of one entry and proposes commands to it.
type Store struct {
	actor     string
	log       jayplatform.Log
	logger    logr.Logger
	committer *jaylog.Committer[*jaywire.Command, jaystate.Outcome]
	// fresh is read for each request and must not wait for a planner's round.
	fresh atomic.Pointer[freshness]
	// changed tells the duties that follow the state.
	changed []*jayring.Ring[uint64]

	mu            sync.Mutex
	state         *jaystate.State
	caughtUp      bool
	sinceSnapshot int
	snapshotEvery int
	snapshotDue   *jayring.Ring[*jaywire.Snapshot]
}

// freshness says how far the state is, and when the read began that found
// nothing beyond it.
type freshness struct {
	offset uint64
	at     time.Time
}

// NewStore returns a store with an empty state.
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

// Propose appends a command and waits for the fold's decision. An error means
// that the decision is not known.
func (s *Store) Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error) {
	s.stamp(c)
	outcome, err := s.committer.Commit(c.Id, c, timeout)
	if err != nil {
		return jaystate.Outcome{}, fmt.Errorf("propose: %w", err)
	}
	return outcome, nil
}

func (s *Store) stamp(c *jaywire.Command) {
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

// From is the offset to fold next.
func (s *Store) From() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Offset
}

// Fresh returns the state's offset and since when nothing newer than it was
// known to stand in the log.
func (s *Store) Fresh() (offset uint64, at time.Time) {
	f := s.fresh.Load()
	if f == nil {
		return 0, time.Time{}
	}
	return f.offset, f.at
}

// CaughtUp reports whether the store has once reached the stream's end, or
// has a peer's state.
func (s *Store) CaughtUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp
}

// Take folds a page of the state stream.
func (s *Store) Take(page jayplatform.Page, readBegan time.Time, caughtUp bool) {
	s.mu.Lock()
	var outcomes []jaystate.Outcome
	for _, record := range page.Records {
		decided, err := s.state.Apply(record.Offset, record.Data)
		if err != nil {
			s.logger.Info("record passed over", "error", err.Error())
		}
		outcomes = append(outcomes, decided...)
	}
	s.caughtUp = s.caughtUp || caughtUp
	s.noteFresh(caughtUp, readBegan)
	s.sinceSnapshot += len(page.Records)
	s.snapshotIfDue()
	offset := s.state.Offset
	s.mu.Unlock()
	for _, o := range outcomes {
		// A repeat of a command that was decided before is not its outcome.
		if !errors.Is(o.Err, jaystate.ErrDuplicate) {
			s.committer.Observe(o.ID, o)
		}
	}
	if caughtUp {
		s.committer.CaughtUp(readBegan)
	}
	s.announce(offset)
}

// noteFresh publishes the state's offset, and the time if the state is the
// newest. The caller holds the lock.
func (s *Store) noteFresh(newest bool, at time.Time) {
	next := &freshness{offset: s.state.Offset}
	if before := s.fresh.Load(); before != nil {
		next.at = before.at
	}
	if newest {
		next.at = at
	}
	s.fresh.Store(next)
}

func (s *Store) announce(offset uint64) {
	for _, ring := range s.changed {
		ring.Push(offset)
	}
}

// Expired loads a snapshot, since the records to fold next are gone.
func (s *Store) Expired(first uint64) {
	s.logger.Info("records have expired; loading a snapshot", "first", first)
	if err := s.LoadFromLog(); err != nil {
		s.logger.Info("no snapshot loaded", "error", err.Error())
	}
}

// snapshotIfDue hands a snapshot to its duty; the planner's entry appends it.
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

// Adopt replaces the state by a snapshot that is further on. A snapshot that
// is behind changes nothing: a revision that was in force never goes back.
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
	s.noteFresh(false, time.Time{})
	offset := loaded.Offset
	s.mu.Unlock()
	s.announce(offset)
	return true, nil
}

// Snapshot returns the state for a peer.
func (s *Store) Snapshot() (*jaywire.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caughtUp {
		return nil, errNoState
	}
	return s.state.Snapshot()
}

var errNoState = errors.New("no state yet")

// LoadFromLog adopts the newest snapshot of the log that is whole.
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
				s.logger.Info("snapshot passed over", "offset", record.Offset, "error", err.Error())
				continue
			}
			if _, err := jaystate.Load(snapshot); err != nil {
				s.logger.Info("snapshot passed over", "offset", record.Offset, "error", err.Error())
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
