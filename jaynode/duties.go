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
	if n.fleet == nil && fleetClaim.Incarnation == n.incarnation && !fleetClaim.Released {
		n.fleet = newFleetDuty(n, fleetClaim)
		n.duties.Go(n.fleet.run)
	}
	for _, c := range view.Claims() {
		pool, isPool := c.Duty.Pool()
		if !isPool || c.Released || c.Incarnation != n.incarnation {
			continue
		}
		if _, running := n.pools[pool]; !running {
			duty := newPoolDuty(n, pool, c)
			n.pools[pool] = duty
			n.duties.Go(duty.run)
		}
	}
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
	}
}

// removeFleet removes the fleet's duty after it has ended by itself.
func (n *Node) removeFleet(duty *fleetDuty) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fleet == duty {
		n.fleet = nil
	}
}

// workersChanged notifies the duty of a pool, if this entry owns the pool, that the
// pool's workers have changed.
func (n *Node) workersChanged(pool string) {
	if duty := n.ownedPool(pool); duty != nil {
		duty.workersChanged()
	}
}
