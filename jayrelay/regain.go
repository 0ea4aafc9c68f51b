package jayrelay

import (
	"time"

	"jaythread/jaypace"
	"jaythread/jayport"
)

// probePartition is the partition that probes read to find out whether the store is
// available again. The records are discarded.
var probePartition = jayport.Partition{Topic: "entries"}

// probeUntilRegained probes the store in the background until it serves this entry
// again. Calls in flight would find out only when they time out, which can be
// seconds later. The caller holds the lock.
func (s *Store) probeUntilRegained() {
	if s.probing {
		return
	}
	s.probing = true
	go func() {
		for s.continueProbing() {
			// Probes may overlap: a store that does not respond holds each one
			// until its timeout.
			go s.probe()
			time.Sleep(max(probeInterval, jaypace.Jitter(s.pace.Interval(probeShare))))
		}
	}()
}

// continueProbing reports whether the store is still lost. Otherwise the probing has ended,
// and the next loss starts it again.
func (s *Store) continueProbing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = s.lost
	return s.probing
}

// probe sends one probe. If it succeeds, direct calls are resumed.
func (s *Store) probe() {
	sent := s.clock()
	_, err := s.direct.Read(probePartition, 0, 0, probeTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordRate(err)
	if pathFailed(err) {
		return
	}
	if !s.lost {
		return
	}
	s.failures, s.lost, s.relayAfter = 0, false, 0
	s.regainedAt = sent
	close(s.regained)
	s.regained = make(chan struct{})
	s.logger.Info("store regained", "lostFor", (s.clock() - s.lostAt).String())
}

// RegainedAt returns the clock's time at which the probe was sent that ended the
// last outage, or zero if none has ended by a probe.
func (s *Store) RegainedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regainedAt
}

// awaitRegained returns a channel that is closed when a probe next finds the store
// available again.
func (s *Store) awaitRegained() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regained
}

// presumedLost reports whether a call that was sent at a given time was sent before
// the end of the last outage by more than lostCallMargin.
func (s *Store) presumedLost(began time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return began < s.regainedAt-lostCallMargin
}
