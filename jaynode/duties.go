package jaynode

import (
	"jaythread/jayowner"
)

// matchDuties begins the duties that this entry owns by the newest claims and
// ends those that it no longer owns.
func (n *Node) matchDuties() {
	view := n.owners.table.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	for pool, duty := range n.pools {
		c, claimed := view.Claim(jayowner.PoolDuty(pool))
		if claimed && c.Fence == duty.claim.Fence && !c.Released {
			continue
		}
		delete(n.pools, pool)
		duty.end("another owner")
	}
	if n.stopping.Load() {
		return
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

// dropPool forgets a duty that has ended by itself.
func (n *Node) dropPool(duty *poolDuty) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pools[duty.name] == duty {
		delete(n.pools, duty.name)
	}
}

// workersChanged tells the owner of a pool here that its workers have changed.
func (n *Node) workersChanged(pool string) {
	if duty := n.ownedPool(pool); duty != nil {
		duty.workersChanged()
	}
}
