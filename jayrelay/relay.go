// Package jayrelay gives an entry access to the platform's store during an outage
// of its own connection: calls are relayed by peers that the store still serves.
package jayrelay

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jaypace"
	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// failureThreshold is the number of consecutive failures of direct calls after
	// which calls go to peers only.
	failureThreshold = 2
	// probeInterval is the interval between probes during an outage of the store, and
	// probeTimeout the timeout of one probe. A slow store responds within it.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = time.Second
	// lostCallMargin is the minimum time between the sending of a call and that of
	// the first successful probe for the call to be presumed lost.
	lostCallMargin = 400 * time.Millisecond
	// maxRelayWait limits how long a relayed read may wait for records, so that
	// a peer that stops responding is detected.
	maxRelayWait = 500 * time.Millisecond
	// maxPeersPerCall limits the number of peers that are tried for one call.
	maxPeersPerCall = 2
	// probeShare and relayShare are the shares of the store's rate that the probes of all
	// entries, and the calls that they relay without success, may use.
	probeShare = 0.25
	relayShare = 0.125
)

// Peers provides access to the entries that can relay calls.
type Peers interface {
	// Incarnations returns the IDs of the peers that calls may be sent to.
	Incarnations() []string
	// Relay sends a call to a peer, which executes it on the store.
	Relay(incarnation string, call *jaywire.StoreCall) (*jaywire.StoreResult, error)
}

// Store implements jayport.Store: it calls the platform's store directly or
// through a peer.
type Store struct {
	direct jayport.Store
	peers  Peers
	clock  jayclock.Clock
	logger logr.Logger
	pace   *jaypace.Pace
	// arrivals records which answers are arriving.
	arrivals *jayport.Arrivals

	mu sync.Mutex
	// failures is the number of consecutive failures of direct calls, failingSince the
	// time of the first one, and lost is set while calls go to peers only.
	failures     int
	failingSince time.Duration
	lost         bool
	lostAt       time.Duration
	// relayAfter is the time before which no call is relayed, since the store has
	// rejected relayed calls too.
	relayAfter time.Duration
	// rateExceededAt is when the store last rejected a call for its rate, or zero.
	rateExceededAt time.Duration
	// latency is a moving average of the duration of direct appends.
	latency time.Duration
	// relayPeer is the peer that relayed the last call successfully, and nextPeer
	// the index of the next peer to try otherwise.
	relayPeer string
	nextPeer  int
	// regained is closed and replaced when a probe succeeds after an outage, and
	// regainedAt is the clock's time at which that probe was sent.
	regained   chan struct{}
	regainedAt time.Duration
	probing    bool
}

// Option configures a new store.
type Option func(*Store)

// WithPace limits the calls that are made because others have failed, so that those of all
// entries stay within the store's rate.
func WithPace(pace *jaypace.Pace) Option {
	return func(s *Store) { s.pace = pace }
}

// WithArrivals makes calls whose answer is arriving go on when the store becomes available again.
func WithArrivals(a *jayport.Arrivals) Option {
	return func(s *Store) { s.arrivals = a }
}

// New returns a store that falls back to peers when direct calls fail.
func New(direct jayport.Store, peers Peers, clock jayclock.Clock, logger logr.Logger, options ...Option) *Store {
	s := &Store{direct: direct, peers: peers, clock: clock, logger: logger, pace: jaypace.New(0, nil), arrivals: jayport.NewArrivals(), regained: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	return s
}

// Direct reports whether calls go directly to the store.
func (s *Store) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lost
}

// LostFor returns the duration of the current outage of the direct connection, or
// zero if there is none.
func (s *Store) LostFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		return 0
	}
	return s.clock() - s.lostAt
}

// RateExceededAt returns the clock's time at which the store last rejected a direct call
// for its rate, or zero. Such a store is available: it serves the calls of others.
func (s *Store) RateExceededAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateExceededAt
}

// recordRate records a call that was rejected for its rate. The caller holds the lock.
func (s *Store) recordRate(err error) {
	if errors.Is(err, jayport.ErrRateExceeded) {
		s.rateExceededAt = s.clock()
	}
}

// Append adds records. An append without a producer is not retried through a peer
// once it may have taken effect.
func (s *Store) Append(a jayport.Append, timeout time.Duration) (jayport.Appended, error) {
	never := func() bool { return false }
	return try(s, a.Producer != nil, never, func() (jayport.Appended, error) {
		sent := s.clock()
		got, err := s.direct.Append(a, timeout)
		s.recordLatency(s.clock()-sent, err)
		return got, err
	}, func(peer string) (jayport.Appended, error) {
		result, err := s.peers.Relay(peer, appendCall(a, timeout))
		if err != nil {
			return jayport.Appended{}, err
		}
		return jayport.Appended{First: result.First, End: result.End}, nil
	})
}

// Read returns the records from an offset on.
func (s *Store) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (jayport.Page, error) {
	return try(s, true, s.arriving(p), func() (jayport.Page, error) {
		return s.direct.Read(p, from, wait, timeout)
	}, func(peer string) (jayport.Page, error) {
		result, err := s.peers.Relay(peer, readCall(p, from, min(wait, maxRelayWait), timeout))
		if err != nil {
			return jayport.Page{}, err
		}
		return jayport.Page{Records: recordsOf(result.Records), Next: result.Next, End: result.End}, nil
	})
}

// Latest returns the newest records of the keys after a key.
func (s *Store) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	return try(s, true, s.arriving(p), func() (jayport.Latest, error) {
		return s.direct.Latest(p, after, timeout)
	}, func(peer string) (jayport.Latest, error) {
		result, err := s.peers.Relay(peer, latestCall(p, after, timeout))
		if err != nil {
			return jayport.Latest{}, err
		}
		return jayport.Latest{Records: recordsOf(result.Records), More: result.More, End: result.End}, nil
	})
}

// arriving returns a function that reports whether an answer with records of a partition is
// arriving.
func (s *Store) arriving(p jayport.Partition) func() bool {
	return func() bool { return s.arrivals.Arriving(p) }
}

// callResult is the result of a call.
type callResult[T any] struct {
	got T
	err error
}

// try executes a call. When the store becomes available again, it abandons a call
// that was sent well before, since its response is presumed lost, and a call that
// waits for a peer. Either could block its caller for seconds, while a new call can
// now be made directly. A direct call whose answer is arriving goes on: the new one would receive
// the same answer from its start.
func try[T any](s *Store, idempotent bool, arriving func() bool, direct func() (T, error), relayed func(peer string) (T, error)) (T, error) {
	began := s.clock()
	done := make(chan callResult[T], 1)
	var atPeer atomic.Bool
	go func() {
		got, err := attempt(s, idempotent, direct, func(peer string) (T, error) {
			atPeer.Store(true)
			return relayed(peer)
		})
		done <- callResult[T]{got, err}
	}()
	for {
		regained := s.awaitRegained()
		select {
		case o := <-done:
			return o.got, o.err
		case <-regained:
			if atPeer.Load() || s.presumedLost(began) && !arriving() {
				var none T
				return none, errAbandoned
			}
		}
	}
}

// errAbandoned is returned for an abandoned call.
var errAbandoned = fmt.Errorf("%w: call abandoned after the store outage ended", jayport.ErrNoAnswer)

// attempt makes a call directly, unless direct calls keep failing, and then through
// peers. Only idempotent calls are retried after a missing response. The first missing
// response does not lead to a retry through peers: the store may just be slow, and
// would receive the call up to three times.
func attempt[T any](s *Store, idempotent bool, direct func() (T, error), relayed func(peer string) (T, error)) (T, error) {
	var none T
	var err error
	if s.Direct() {
		var got T
		got, err = direct()
		if s.recordDirectResult(err) {
			return got, err
		}
		if errors.Is(err, jayport.ErrNoAnswer) && (!idempotent || s.Direct()) {
			return none, err
		}
		if errors.Is(err, jayport.ErrRateExceeded) && s.Direct() {
			// Relaying the call would make more calls of too many.
			return none, err
		}
	}
	var peers []string
	if !s.relaysSuspended() {
		peers = s.relayPeers()
	}
	for _, peer := range peers {
		got, relayedErr := relayed(peer)
		if !pathFailed(relayedErr) {
			s.recordRelayPeer(peer)
			return got, relayedErr
		}
		err = lessCertain(err, relayedErr)
		if errors.Is(relayedErr, jayport.ErrNoAnswer) && !idempotent {
			return none, err
		}
	}
	if len(peers) > 0 {
		s.suspendRelays()
	}
	if err == nil {
		err = jayport.ErrRejected
	}
	return none, err
}

func (s *Store) relaysSuspended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() < s.relayAfter
}

// suspendRelays stops relaying for a while, since the store has not served the calls of
// peers either.
func (s *Store) suspendRelays() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayAfter = s.clock() + jaypace.Jitter(s.pace.Interval(relayShare))
}

// lessCertain returns the error of two that leaves the outcome less certain: a call
// that was rejected on one path may have taken effect on the other.
func lessCertain(a, b error) error {
	if a == nil || errors.Is(b, jayport.ErrNoAnswer) {
		return b
	}
	return a
}

// pathFailed reports whether an error means that the store was not reached or did not
// serve the call, as opposed to an error of the call itself.
func pathFailed(err error) bool {
	return errors.Is(err, jayport.ErrNoAnswer) || errors.Is(err, jayport.ErrRejected)
}

// recordDirectResult records the result of a direct call and returns true if the store
// served it.
func (s *Store) recordDirectResult(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRate(err)
	if pathFailed(err) {
		if s.failures == 0 {
			s.failingSince = s.clock()
		}
		s.failures++
		if !s.lost && s.failures >= failureThreshold && !s.withinRateTolerance(err) {
			s.lost, s.lostAt = true, s.clock()
			s.logger.Info("store lost", "error", err.Error())
			s.probeUntilRegained()
		}
		return false
	}
	if s.lost {
		s.logger.Info("store regained", "lostFor", (s.clock() - s.lostAt).String())
	}
	s.failures, s.lost = 0, false
	return true
}

// withinRateTolerance reports whether a call was rejected for its rate and calls have not been
// rejected for long: the entries then make too many calls for a moment, and this entry is not
// the only one that the store rejects. The caller holds the lock.
func (s *Store) withinRateTolerance(err error) bool {
	return errors.Is(err, jayport.ErrRateExceeded) && s.clock()-s.failingSince < s.pace.Interval(probeShare)
}

// relayPeers returns the peers to try in order: first the one that relayed the last
// call, then others in rotation.
func (s *Store) relayPeers() []string {
	peers := s.peers.Incarnations()
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []string
	for _, p := range peers {
		if p == s.relayPeer {
			chosen = append(chosen, p)
		}
	}
	first := s.nextPeer
	for n := range peers {
		p := peers[(first+n)%len(peers)]
		if p != s.relayPeer && len(chosen) < maxPeersPerCall {
			chosen = append(chosen, p)
			s.nextPeer = first + n + 1
		}
	}
	return chosen
}

// latencyRiseDivisor and latencyFallDivisor are the divisors of the difference between
// the newest append's duration and the moving average, by which the average is adjusted
// when it rises or falls. It rises faster, since a timeout that is too short causes
// appends to be sent again, which makes a slow store slower.
const (
	latencyRiseDivisor = 2
	latencyFallDivisor = 8
)

// recordLatency updates the moving average with the duration of an append. Appends
// without a response are ignored: if the store is slow, the retry measures its
// latency; if the response was lost, a longer timeout would only delay the callers.
func (s *Store) recordLatency(took time.Duration, err error) {
	if errors.Is(err, jayport.ErrNoAnswer) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	share := time.Duration(latencyFallDivisor)
	if took > s.latency {
		share = latencyRiseDivisor
	}
	s.latency += (took - s.latency) / share
}

// Latency returns the store's current latency of appends, a moving average.
func (s *Store) Latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency
}

func (s *Store) recordRelayPeer(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayPeer != peer {
		s.logger.Info("store reached through a peer", "peer", peer)
	}
	s.relayPeer = peer
}
