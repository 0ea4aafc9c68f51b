package jayreplay

import "time"

const (
	// linkLatency is the latency of a message in one direction on an idle link.
	linkLatency = 2500 * time.Microsecond
	// orderBytes is the size of an order to start or stop a run.
	orderBytes = 600
	// responseBytes is the size of the response to an order.
	responseBytes = 250
	// reportRequestBytes is the size of a request for a report.
	reportRequestBytes = 300
	// reportBytes is the size of a report without runs.
	reportBytes = 300
	// reportRunBytes is the size of one run in a report.
	reportRunBytes = 60
)

// link is one direction of a network link. It transmits messages one after the other.
type link struct {
	clock *clock
	// rate is the bandwidth in bytes per second. Zero means unlimited.
	rate float64
	// busyUntil is when all messages sent so far have been transmitted.
	busyUntil time.Duration
}

// send transmits a message of the given size and calls do when the message arrives.
func (l *link) send(bytes int, do func()) {
	wait := time.Duration(0)
	if l.rate > 0 {
		l.busyUntil = max(l.busyUntil, l.clock.now) + seconds(float64(bytes)/l.rate)
		wait = l.busyUntil - l.clock.now
	}
	l.clock.after(wait+linkLatency, do)
}
