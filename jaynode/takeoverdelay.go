package jaynode

import (
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// takeoverDelayKey is the name under which a pool's takeover delay is recorded beside the
	// progress of its jobs. No job has such an ID.
	takeoverDelayKey = "takeoverDelay"
	// slowStoreLatency is the append latency from which an owner relies on a takeover delay.
	slowStoreLatency = 150 * time.Millisecond
	// slowTakeoverDelay is the delay while the store is slow. A new owner needs about as long for the
	// calls that it makes before its first order.
	slowTakeoverDelay = 800 * time.Millisecond
	// clockDriftMargin is the divisor by which the next owner prolongs the delay, since two
	// clocks may differ in speed.
	clockDriftMargin = 20
)

// takeoverDelay is how long the next owner of a pool waits before its first order. The owner records it
// under its fence, and concludes from a confirmation what holds for that much longer.
//
// It handles this load: the store answers slowly, and workers join all the time. Each of them would be
// used, and each lost task restarted, only after a further answer of the store. The delay cannot be an
// estimate of this owner alone: the store may be fast for the next one.
type takeoverDelay struct {
	// recorded is the delay that the next owner will find.
	recorded time.Duration
	// recording says that a change is being recorded.
	recording bool
}

// wantedTakeoverDelay returns the delay for an append latency, given the recorded one. It is zero unless
// the store is slow; between the two limits it stays as it is.
func wantedTakeoverDelay(latency, recorded time.Duration) time.Duration {
	switch {
	case latency >= slowStoreLatency:
		return slowTakeoverDelay
	case latency < slowStoreLatency/2:
		return 0
	default:
		return recorded
	}
}

// reviewTakeoverDelay records the delay if the store's latency has changed. The owner relies on a new
// delay once it is recorded, and no longer on the former one before its removal is.
func (d *poolDuty) reviewTakeoverDelay() {
	wanted := wantedTakeoverDelay(d.node.store.Latency(), d.takeoverDelay.recorded)
	if d.takeoverDelay.recording || wanted == d.takeoverDelay.recorded {
		return
	}
	record := jayport.Record{Key: jobKey(d.name, takeoverDelayKey)}
	if wanted > 0 {
		value, err := proto.Marshal(&jaywire.TakeoverDelay{Millis: wanted.Milliseconds()})
		if err != nil {
			d.logger.Error(err, "takeover delay cannot be encoded", "delay", wanted.String())
			return
		}
		record.Value = value
	} else {
		d.pool.SetTakeoverDelay(0)
	}
	d.takeoverDelay.recording = true
	addToJournal(d.journal, []jayport.Record{record}, func(err error) {
		d.post(func(time.Duration) {
			d.takeoverDelay.recording = false
			if err != nil {
				return
			}
			d.logger.Info("takeover delay recorded", "delay", wanted.String(), "latency", d.node.store.Latency().String())
			d.takeoverDelay.recorded = wanted
			d.pool.SetTakeoverDelay(wanted)
		})
	})
}

// awaitTakeoverDelay waits for as long as the former owner may rely on, since the time at which it was
// fenced.
func (d *poolDuty) awaitTakeoverDelay(fencedAt time.Duration) {
	delay := d.takeoverDelay.recorded
	if left := fencedAt + delay + delay/clockDriftMargin - d.node.clock(); left > 0 {
		d.logger.Info("takeover delayed", "delay", delay.String(), "left", left.String())
		jayclock.Sleep(d.ctx, left)
	}
	d.pool.SetTakeoverDelay(delay)
}

// readTakeoverDelay returns the delay in a record. A record that cannot be decoded counts as that of a
// slow store.
func readTakeoverDelay(value []byte) time.Duration {
	record := &jaywire.TakeoverDelay{}
	if err := proto.Unmarshal(value, record); err != nil {
		return slowTakeoverDelay
	}
	return min(max(0, millis(record.Millis)), ownershipTimeout)
}
