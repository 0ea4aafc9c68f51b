package jaynode

import (
	"jaythread/jaymember"
	"jaythread/jayowner"
)

// newMembers returns the membership of an entry, which also claims duties for it.
func newMembers(n *Node) *jaymember.Members {
	return jaymember.New(jaymember.Options{
		Entry:           n.settings.Entry,
		Incarnation:     n.incarnation,
		PeerAddr:        n.settings.PeerAddr,
		DataCenter:      n.settings.DataCenter,
		ProcessorsMilli: n.settings.ProcessorsMilli,
		LinkMegabits:    n.settings.LinkMegabits,
		Started:         n.started,
		StartedAt:       n.startedAt,
		Clock:           n.clock,
		Store:           n.store,
		Formats:         n.ports.Formats,
		SharedReads:     n.sharedReads.Read,
		SharedClaims:    n.readClaims,
		Logger:          n.logger,
		Pace:            n.pace,
		Partition:       n.partitionOf,
		Duties:          n.dueDuties,
		OwnsAnyDuty:     n.ownsAnyDuty,
		Ended:           n.hasEnded,
		Stopping:        n.stopping.Load,
		Homes:           n.homes,
		OnClaimsRead:    n.reconcileDuties,
		Go:              n.duties.Go,
	})
}

// dueDuties returns the duties that should have an owner under the catalog in force.
func (n *Node) dueDuties() []jayowner.Duty {
	c := n.Catalog()
	if c == nil {
		return nil
	}
	duties := []jayowner.Duty{jayowner.Fleet}
	for _, pool := range c.WorkingPools() {
		duties = append(duties, jayowner.PoolDuty(pool))
	}
	for _, pool := range n.homes.Pools() {
		// The jobs of a pool that has left the configuration still run there.
		if _, declared := c.Pools[pool]; !declared {
			duties = append(duties, jayowner.PoolDuty(pool))
		}
	}
	return duties
}
