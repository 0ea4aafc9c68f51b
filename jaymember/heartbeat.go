package jaymember

import (
	"context"
	"strconv"
	"time"

	"jaythread/jayclock"
	"jaythread/jaypace"
	"jaythread/jayport"
)

const (
	// heartbeatInterval is the time between two heartbeats that an owner writes to the
	// store.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatLatencies is the same interval as a multiple of the store's append
	// latency, for a store that is slow. The larger of the two applies.
	heartbeatLatencies = 3
	// heartbeatPollInterval is the time between two reads of the heartbeats of suspected
	// owners.
	heartbeatPollInterval = 60 * time.Millisecond
)

// writeHeartbeats writes heartbeats while this entry owns a duty.
func (l *Liveness) writeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if l.members.OwnsAnyDuty() {
			_, err := l.members.Store.Append(jayport.Append{
				Partition: l.members.heartbeatsOf(l.members.Incarnation),
				Records:   []jayport.Record{{Key: l.members.Incarnation, Value: heartbeatAt(l.members.Clock())}},
				AsOf:      jayport.AnyOffset,
			}, jayport.CallTimeout)
			if err != nil {
				l.logger.V(1).Info("heartbeat not written", "error", err.Error())
			}
		}
		jayclock.Sleep(ctx, max(heartbeatInterval, heartbeatLatencies*l.members.Store.Latency()))
	}
}

// heartbeatAt returns the value of a heartbeat: the writer's own clock in microseconds.
func heartbeatAt(clock time.Duration) []byte {
	return strconv.AppendInt(nil, clock.Microseconds(), 10)
}

// writtenAt returns the time on the writer's clock at which a heartbeat was written.
func writtenAt(heartbeat []byte) (clock time.Duration, known bool) {
	n, err := strconv.ParseInt(string(heartbeat), 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil
}

// heartbeatsOf returns the partition of an incarnation's heartbeats. Heartbeats are
// spread over the partitions, so that a slow store processes them in parallel.
func (m *Members) heartbeatsOf(incarnation string) jayport.Partition {
	return m.Formats.Own(topicHeartbeats, m.Partition(incarnation))
}

// pollHeartbeats reads the heartbeats of suspected owners until the context ends.
func (l *Liveness) pollHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		l.checkHeartbeats()
		jayclock.Sleep(ctx, max(heartbeatPollInterval, jaypace.Jitter(l.members.Pace.Interval(heartbeatsShare))))
	}
}

// checkHeartbeats reads the newest heartbeat of each suspected owner. While the store is
// unavailable, no heartbeat counts as missing.
func (l *Liveness) checkHeartbeats() {
	for _, incarnation := range l.suspected() {
		heartbeat, err := l.newestHeartbeat(incarnation)
		if err != nil {
			l.logger.V(1).Info("heartbeats not read", "error", err.Error())
			l.restartTimeouts()
			return
		}
		l.recordHeartbeat(incarnation, heartbeat)
	}
}

func (l *Liveness) suspected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	suspects := make([]string, 0, len(l.suspicions))
	for incarnation := range l.suspicions {
		suspects = append(suspects, incarnation)
	}
	return suspects
}

// newestHeartbeat returns the newest heartbeat of an incarnation, or a record with offset
// -1 if there is none.
func (l *Liveness) newestHeartbeat(incarnation string) (jayport.Record, error) {
	after := jayport.KeyBefore(incarnation)
	latest, err := l.members.Store.Latest(l.members.heartbeatsOf(incarnation), after, jayport.CallTimeout)
	if err != nil {
		return jayport.Record{}, err
	}
	for _, r := range latest.Records {
		if r.Key == incarnation {
			return r, nil
		}
	}
	return jayport.Record{Offset: -1}, nil
}

// recordHeartbeat updates a suspicion with the owner's newest heartbeat.
func (l *Liveness) recordHeartbeat(incarnation string, heartbeat jayport.Record) {
	now := l.members.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	s, suspected := l.suspicions[incarnation]
	if !suspected || s.heartbeatRead && heartbeat.Offset == s.offset {
		return
	}
	s.heartbeatRead, s.offset = true, heartbeat.Offset
	s.silentSince = l.lastKnownAlive(s, incarnation, heartbeat, now)
}

// lastKnownAlive returns when a suspected owner was last known to be alive, on this
// entry's clock. The newest heartbeat holds the time of the owner's own clock at which it
// was written, and the owner's answers to pings relate that clock to this one. If the
// time were counted from the first read of the heartbeats, the loss of an owner would be
// detected later, since an owner is suspected only after a ping has timed out. While the
// store is unavailable no heartbeat can be written, so the time does not start before the
// store is available again.
func (l *Liveness) lastKnownAlive(s *suspicion, incarnation string, heartbeat jayport.Record, now time.Duration) time.Duration {
	written, readable := writtenAt(heartbeat.Value)
	clock, known := l.clocks[incarnation]
	if s.storeFailed || !readable || !known {
		return now
	}
	alive := max(clock.ToLocal(written), l.lastAnswered[incarnation], l.members.Store.RegainedAt())
	return min(alive, now)
}

// restartTimeouts restarts the timeouts of all suspected owners.
func (l *Liveness) restartTimeouts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspicions {
		s.heartbeatRead, s.storeFailed = false, true
	}
}
