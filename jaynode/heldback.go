package jaynode

import "time"

// heldBackLogInterval is the least time between two log lines of a pool on starts that are held
// back.
const heldBackLogInterval = time.Second

// heldBack tracks for how long the limit of starts in flight holds the tasks of a pool back.
type heldBack struct {
	// held is set if the limit held tasks back in the latest step, at the time of seenAt.
	held   bool
	seenAt time.Duration
	// since is when the present hold began, or the last one.
	since time.Duration
	// unlogged is the time of holds since the last log line, which was due at loggedAt.
	unlogged time.Duration
	loggedAt time.Duration
}

// observe records whether tasks are held back now, and returns for how long they were since the
// last call.
func (h *heldBack) observe(held bool, now time.Duration) (lasted time.Duration) {
	if h.held {
		lasted = now - h.seenAt
	}
	if held && !h.held {
		h.since = now
	}
	h.held, h.seenAt = held, now
	h.unlogged += lasted
	return lasted
}

// takeUnlogged returns the time of holds that a log line is due for: when a hold has ended, or
// has lasted for an interval. It returns zero if no line is due.
func (h *heldBack) takeUnlogged(now time.Duration) time.Duration {
	early := h.held && now < h.since+heldBackLogInterval
	if h.unlogged == 0 || early || h.loggedAt > 0 && now < h.loggedAt+heldBackLogInterval {
		return 0
	}
	unlogged := h.unlogged
	h.unlogged, h.loggedAt = 0, now
	return unlogged
}

// countHeldBack passes to the metrics and to the log for how long the limit of starts in flight
// has held tasks back.
//
// It makes this failure visible: the link or the processors of a pool's owner are too slow for a
// burst, and hosts are idle while tasks wait.
func (d *poolDuty) countHeldBack(now time.Duration) {
	limit := d.latency.Limit()
	d.node.metrics.SetStartLimit(d.name, limit)
	if lasted := d.heldBack.observe(d.pool.StartsHeldBack(), now); lasted > 0 {
		d.node.metrics.StartsHeldBack(d.name, lasted)
	}
	if unlogged := d.heldBack.takeUnlogged(now); unlogged > 0 {
		d.logger.Info("starts held back", "at", now.String(), "limit", limit, "latency", d.latency.Mean().String(), "heldBack", unlogged.String(), "goesOn", d.heldBack.held)
	}
}
