package jaynode

import "time"

// demandPace determines when the owner of a pool is asked for the pool's demand.
//
// It handles this load: a pool has no owner, or one that has not loaded its jobs yet, and answers at
// once. Asked again at once, such a pool took most of the processor time of the fleet's owner, and of
// the new owner while it took the pool over.
type demandPace struct {
	// asking says that a request is in flight.
	asking bool
	// nextAt is when the next request is due, unless there is something new to send.
	nextAt time.Duration
	// retryAt is when the next request may be sent after one that the pool's owner did not answer.
	retryAt time.Duration
	// orders are the orders sent with the latest request.
	orders string
}

// due reports whether a request is to be sent now: once per demandInterval, and at once if the orders
// differ from those sent before or quotas are pending, but not before retryAt.
func (p *demandPace) due(orders string, pendingQuotas bool, now time.Duration) bool {
	if p.asking || now < p.retryAt {
		return false
	}
	return now >= p.nextAt || orders != p.orders || pendingQuotas
}

// sent records that a request with the given orders is sent.
func (p *demandPace) sent(orders string) {
	p.asking, p.orders = true, orders
}

// ended records the end of a request, and whether the pool's owner has answered it.
func (p *demandPace) ended(answered bool, now time.Duration) {
	p.asking, p.nextAt = false, now+demandInterval
	if !answered {
		p.retryAt = now + demandInterval
	}
}
