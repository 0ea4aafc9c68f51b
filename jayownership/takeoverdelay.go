package jayownership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

const (
	// SlowStoreLatency is the append latency from which an owner relies on a takeover delay.
	SlowStoreLatency = 150 * time.Millisecond
	// SlowTakeoverDelay is the delay while the store is slow. A new owner needs about as long for the
	// calls that it makes before its first order.
	SlowTakeoverDelay = 800 * time.Millisecond
	// clockDriftDivisor is the divisor of the delay that gives the time by which the next owner
	// prolongs it, since two clocks may differ in speed.
	clockDriftDivisor = 20
)

// TakeoverDelay is how long the next owner waits before its first order. The owner records it under its
// fence, and concludes from a confirmation what holds for that much longer.
//
// It handles this load: the store answers slowly, and workers join all the time. Each of them would be
// used, and each lost task restarted, only after a further answer of the store. The delay cannot be an
// estimate of this owner alone: the store may be fast for the next one.
type TakeoverDelay struct {
	// recorded is the delay that the next owner will find.
	recorded time.Duration
	// recording says that a change is being recorded.
	recording bool
}

// MaxTakeoverDelay returns the longest time after its fence for which a new owner that has not read the recorded
// delay has to wait before its first order.
func MaxTakeoverDelay() time.Duration {
	return SlowTakeoverDelay + SlowTakeoverDelay/clockDriftDivisor
}

// Restore sets the delay that a former owner has recorded.
func (d *TakeoverDelay) Restore(recorded time.Duration) {
	d.recorded = recorded
}

// Recorded returns the delay that the next owner will find.
func (d *TakeoverDelay) Recorded() time.Duration {
	return d.recorded
}

// Review returns the delay that is to be recorded for an append latency of the store, and whether that
// is a change. The owner must not rely on a delay from the moment on at which its removal is due.
func (d *TakeoverDelay) Review(latency time.Duration) (wanted time.Duration, change bool) {
	wanted = d.wanted(latency)
	if d.recording || wanted == d.recorded {
		return d.recorded, false
	}
	d.recording = true
	return wanted, true
}

// RecordEnded handles the outcome of recording a delay.
func (d *TakeoverDelay) RecordEnded(delay time.Duration, err error) {
	d.recording = false
	if err == nil {
		d.recorded = delay
	}
}

// wanted returns the delay for an append latency: zero unless the store is slow. Between the two limits
// it stays as it is.
func (d *TakeoverDelay) wanted(latency time.Duration) time.Duration {
	switch {
	case latency >= SlowStoreLatency:
		return SlowTakeoverDelay
	case latency < SlowStoreLatency/2:
		return 0
	default:
		return d.recorded
	}
}

// Left returns how much longer a new owner has to wait that has fenced the former one at a time.
func (d *TakeoverDelay) Left(fencedAt, now time.Duration) time.Duration {
	return max(0, fencedAt+d.recorded+d.recorded/clockDriftDivisor-now)
}

// EncodeTakeoverDelay returns the stored form of a delay. No record stands for zero.
func EncodeTakeoverDelay(delay time.Duration) ([]byte, error) {
	return proto.Marshal(&jaywire.TakeoverDelay{Millis: delay.Milliseconds()})
}

// DecodeTakeoverDelay returns the delay in a record, at most the given one. A record that cannot be
// decoded counts as that of a slow store.
func DecodeTakeoverDelay(value []byte, most time.Duration) time.Duration {
	record := &jaywire.TakeoverDelay{}
	if err := proto.Unmarshal(value, record); err != nil {
		return SlowTakeoverDelay
	}
	return min(max(0, time.Duration(record.Millis)*time.Millisecond), most)
}
