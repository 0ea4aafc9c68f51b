// Package jayrelay reaches the platform's store for an entry that the store
// does not serve: its calls go through peers that the store does serve.
package jayrelay

import (
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// distrustAfter is how many direct calls in a row must fail before calls
	// go to a peer first.
	distrustAfter = 2
	// probeEvery is how often a direct call is tried while peers carry the
	// calls.
	probeEvery = 500 * time.Millisecond
	// maxRelayWait bounds the wait of a read that a peer carries, so that a
	// peer that falls silent is noticed.
	maxRelayWait = 500 * time.Millisecond
	// peersPerCall bounds how many peers are asked for one call.
	peersPerCall = 2
)

// Peers are the entries that may carry calls.
type Peers interface {
	// Incarnations returns the entries that may be asked.
	Incarnations() []string
	// Carry asks one of them to make a call.
	Carry(incarnation string, call *jaywire.StoreCall) (*jaywire.StoreResult, error)
}

// Store is the platform's store, reached directly or through a peer.
type Store struct {
	direct jayport.Store
	peers  Peers
	clock  jayclock.Clock
	logger logr.Logger

	mu       sync.Mutex
	failures int
	probedAt time.Duration
	lostAt   time.Duration
	// latency is a running mean of how long the store takes for an append.
	latency time.Duration
	// carrier is the peer that carried the last call.
	carrier string
	turn    int
}

// New returns a store that falls back on peers.
func New(direct jayport.Store, peers Peers, clock jayclock.Clock, logger logr.Logger) *Store {
	return &Store{direct: direct, peers: peers, clock: clock, logger: logger}
}

// Direct reports whether the store serves this entry itself.
func (s *Store) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < distrustAfter
}

// Append adds records. An append without a producer is not repeated through a
// peer once it may have taken effect.
func (s *Store) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	var got jayport.Appended
	err := s.try(a.Producer != nil, func() (err error) {
		sent := s.clock()
		got, err = s.direct.Append(a, timeout)
		s.noteLatency(s.clock() - sent)
		return err
	}, func(peer string) error {
		result, err := s.peers.Carry(peer, appendCall(a, timeout))
		if err != nil {
			return err
		}
		got = jayport.Appended{First: result.First, End: result.End}
		return nil
	})
	return got, err
}

// Read returns records from an offset on.
func (s *Store) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (jayport.Page, error) {
	var got jayport.Page
	err := s.try(true, func() (err error) {
		got, err = s.direct.Read(p, from, wait, timeout)
		return err
	}, func(peer string) error {
		result, err := s.peers.Carry(peer, readCall(p, from, min(wait, maxRelayWait), timeout))
		if err != nil {
			return err
		}
		got = jayport.Page{Records: recordsOf(result.Records), Next: result.Next, End: result.End}
		return nil
	})
	return got, err
}

// Latest returns the newest records of the keys after a key.
func (s *Store) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	var got jayport.Latest
	err := s.try(true, func() (err error) {
		got, err = s.direct.Latest(p, after, timeout)
		return err
	}, func(peer string) error {
		result, err := s.peers.Carry(peer, latestCall(p, after, timeout))
		if err != nil {
			return err
		}
		got = jayport.Latest{Records: recordsOf(result.Records), More: result.More, End: result.End}
		return nil
	})
	return got, err
}

// try makes a call directly, unless direct calls keep failing, and then
// through peers. Repeatable calls may be made again after an answer was lost.
func (s *Store) try(repeatable bool, direct func() error, carried func(peer string) error) error {
	var err error
	if s.mayGoDirect() {
		err = direct()
		if s.noteDirect(err) {
			return err
		}
		if errors.Is(err, jayport.ErrNoAnswer) && !repeatable {
			return err
		}
	}
	for _, peer := range s.carriers() {
		carriedErr := carried(peer)
		if !pathFailed(carriedErr) {
			s.noteCarrier(peer)
			return carriedErr
		}
		err = worse(err, carriedErr)
		if errors.Is(carriedErr, jayport.ErrNoAnswer) && !repeatable {
			return err
		}
	}
	if err == nil {
		err = jayport.ErrNotDone
	}
	return err
}

// worse keeps the error that leaves more in doubt: a call that was turned away
// on one path may have taken effect on the other.
func worse(a, b error) error {
	if a == nil || errors.Is(b, jayport.ErrNoAnswer) {
		return b
	}
	return a
}

// pathFailed reports whether an error says that the store was not reached or
// did not serve, as opposed to a refusal of the call itself.
func pathFailed(err error) bool {
	return errors.Is(err, jayport.ErrNoAnswer) || errors.Is(err, jayport.ErrNotDone)
}

// mayGoDirect reports whether a call should be tried directly first.
func (s *Store) mayGoDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures < distrustAfter {
		return true
	}
	now := s.clock()
	if now-s.probedAt < probeEvery {
		return false
	}
	s.probedAt = now
	return true
}

// noteDirect counts a direct call; it returns true if the store served it.
func (s *Store) noteDirect(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pathFailed(err) {
		s.failures++
		if s.failures == distrustAfter {
			s.lostAt = s.clock()
			s.probedAt = s.lostAt
			s.logger.Info("store lost", "error", err.Error())
		}
		return false
	}
	if s.failures >= distrustAfter {
		s.logger.Info("store regained", "lostFor", (s.clock() - s.lostAt).String())
	}
	s.failures = 0
	return true
}

// carriers returns the peers to ask: the one that carried the last call first.
func (s *Store) carriers() []string {
	peers := s.peers.Incarnations()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []string
	for _, p := range peers {
		if p == s.carrier {
			chosen = append(chosen, p)
		}
	}
	first := s.turn
	for n := range peers {
		p := peers[(first+n)%len(peers)]
		if p != s.carrier && len(chosen) < peersPerCall {
			chosen = append(chosen, p)
			s.turn = first + n + 1
		}
	}
	return chosen
}

// latencyRise and latencyFall divide the difference by which the running mean
// follows the newest append: it rises fast, since a timeout that is too short
// sends an append again and makes a slow store slower.
const (
	latencyRise = 2
	latencyFall = 8
)

func (s *Store) noteLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := time.Duration(latencyFall)
	if took > s.latency {
		share = latencyRise
	}
	s.latency += (took - s.latency) / share
}

// Latency returns how long an append takes at present.
func (s *Store) Latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

func (s *Store) noteCarrier(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.carrier != peer {
		s.logger.Info("store reached through a peer", "peer", peer)
	}
	s.carrier = peer
}
