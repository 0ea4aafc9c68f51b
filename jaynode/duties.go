package jaynode

import (
	"time"

	"jaythread/jayowner"
)

// storeRetryDelay is the delay before a failed call to the store is repeated.
const storeRetryDelay = 300 * time.Millisecond

// reconcileDuties starts the duties that this entry owns according to the newest claims
// and ends those that it no longer owns.
func (n *Node) reconcileDuties() {
	view := n.members.Owners.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	for pool, duty := range n.pools {
		c, claimed := view.Claim(jayowner.PoolDuty(pool))
		if claimed && c.Fence == duty.claim.Fence {
			continue
		}
		delete(n.pools, pool)
		duty.end("another owner")
	}
	fleetClaim, _ := view.Claim(jayowner.Fleet)
	if n.fleet != nil && fleetClaim.Fence != n.fleet.claim.Fence {
		n.fleet.end("another owner")
		n.fleet = nil
	}
	if n.stopping.Load() {
		return
	}
	if n.fleet == nil && n.mayStart(fleetClaim) {
		n.fleet = newFleetDuty(n, fleetClaim)
		n.duties.Go(n.fleet.run)
	}
	for _, c := range view.Claims() {
		pool, isPool := c.Duty.Pool()
		if !isPool || !n.mayStart(c) {
			continue
		}
		if _, running := n.pools[pool]; !running {
			duty := newPoolDuty(n, pool, c)
			n.pools[pool] = duty
			n.duties.Go(duty.run)
		}
	}
}

// mayStart reports whether this entry may start a duty under a claim. A duty that has ended by itself is
// not started again under the same claim: the store and the workers could not tell the calls of its
// former self that are still under way from its own. The caller holds the lock.
func (n *Node) mayStart(c jayowner.Claim) bool {
	return c.Incarnation == n.incarnation && !c.Released && n.ended[c.Duty] != c.Fence
}

// hasEnded reports whether a duty has ended by itself under a claim.
func (n *Node) hasEnded(c jayowner.Claim) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended[c.Duty] == c.Fence
}

// endDuties ends all duties of an entry that is stopping.
func (n *Node) endDuties() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, duty := range n.pools {
		duty.end("stopping")
	}
	clear(n.pools)
	if n.fleet != nil {
		n.fleet.end("stopping")
		n.fleet = nil
	}
}

// removePool removes a pool's duty that has ended by itself.
func (n *Node) removePool(duty *poolDuty) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pools[duty.name] == duty {
		delete(n.pools, duty.name)
		n.ended[duty.claim.Duty] = duty.claim.Fence
	}
}

// removeFleet removes the fleet's duty after it has ended by itself.
func (n *Node) removeFleet(duty *fleetDuty) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet == duty {
		n.fleet = nil
		n.ended[duty.claim.Duty] = duty.claim.Fence
	}
}

// workersChanged notifies the duty of a pool, if this entry owns the pool, that the
// pool's workers have changed.
func (n *Node) workersChanged(pool string) {
	if duty := n.ownedPool(pool); duty != nil {
		duty.workersChanged()
	}
}
