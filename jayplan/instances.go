package jayplan

import (
	"maps"
	"slices"

	"jaythread/jayplatform"
	"jaythread/jaypool"
	"jaythread/jayrule"
	"jaythread/jaywire"
)

// attach assigns listed workers without a pool to a pool.
func (r *round) attach() {
	for _, id := range slices.Sorted(maps.Keys(r.in.Workers)) {
		worker := r.in.Workers[id]
		known, ok := r.in.State.Fleet.Instance(id)
		if ok && known.Phase != jaypool.Detached {
			continue
		}
		pool, reason := r.homePool(id)
		base := uint64(0)
		if ok {
			base = known.Version
			if known.MoveTo != "" {
				pool, reason = known.MoveTo, "move"
			}
		}
		gone := worker.State == jayplatform.Gone || worker.State == jayplatform.Down
		if pool == "" || gone {
			continue
		}
		r.propose(reason, base, &jaywire.Command{Body: &jaywire.Command_AttachInstance{AttachInstance: &jaywire.AttachInstance{
			Instance:        id,
			Pool:            pool,
			Rack:            worker.Rack,
			DataCenter:      worker.DataCenter,
			ProcessorsMilli: worker.ProcessorsMilli,
			MemoryMegabytes: worker.MemoryMegabytes,
			Accelerators:    worker.Accelerators,
		}}})
	}
}

func (r *round) homePool(id string) (pool, reason string) {
	pool, ok := r.config.PoolOf(id)
	if !ok {
		return "", ""
	}
	return pool, "pool " + pool + " matches"
}

// health reports instances that are down on the instance list, and failed instances that
// have been back for SettleTime.
func (r *round) health() {
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		worker, listed := r.in.Workers[id]
		down := !listed || worker.State == jayplatform.Down || worker.State == jayplatform.Gone
		planned := i.Phase == jaypool.Rebooting || i.Phase == jaypool.Detached
		switch {
		case down && !i.Failed && !planned:
			r.report(i, true, "down on the instance list")
		case i.Failed && listed && worker.State == jayplatform.Gone:
			r.propose("gone from the instance list", i.Version, &jaywire.Command{
				Body: &jaywire.Command_DetachInstance{DetachInstance: &jaywire.DetachInstance{Instance: id, Gone: true}},
			})
		case i.Failed && !down && r.due("recovered "+id, i.Version, r.planner.settings.SettleTime):
			r.report(i, false, "back on the instance list")
		}
		r.undrain(i, worker)
	}
}

func (r *round) report(i *jaypool.Instance, failed bool, reason string) {
	r.propose(reason, i.Version, &jaywire.Command{
		Body: &jaywire.Command_ReportInstance{ReportInstance: &jaywire.ReportInstance{Instance: i.ID, Failed: failed}},
	})
}

// undrain returns an instance to service after its move to another pool. An instance that
// the platform itself withdraws stays leaving: it has no fence, or its undrain was already
// carried out.
func (r *round) undrain(i *jaypool.Instance, worker jayplatform.Instance) {
	if i.Phase == jaypool.Serving && i.Fence > 0 && worker.State == jayplatform.Leaving {
		r.order(i.ID, i.Fence, jayplatform.Undrain{})
	}
}

// moves advances the moves between pools: it drains the instances and then detaches them.
// The next round attaches them to the new pool.
func (r *round) moves() {
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		if i.Phase != jaypool.Leaving {
			continue
		}
		r.order(id, i.Fence, jayplatform.Drain{})
		if r.drained(id, i.Fence) {
			r.propose("drained", i.Version, &jaywire.Command{
				Body: &jaywire.Command_DetachInstance{DetachInstance: &jaywire.DetachInstance{Instance: id}},
			})
		}
	}
}

// drained reports whether a draining instance has no work left: all entries that may route
// have applied the drain, no request is in flight and no task is placed.
func (r *round) drained(id string, fence uint64) bool {
	worker, listed := r.in.Workers[id]
	if !listed || r.in.MinAppliedOffset <= fence || r.busy[id] {
		return false
	}
	if worker.State == jayplatform.Down || worker.State == jayplatform.Gone {
		return true
	}
	return worker.State == jayplatform.Leaving && worker.InFlight == 0
}

// lend moves an instance into a pool whose reserve is used up if a rule allows another
// pool to lend one, and returns lent instances that are no longer needed.
func (r *round) lend() {
	for n := range r.config.Pools {
		borrower := r.config.Pools[n].Name
		if r.budgetStatus(borrower).Slack() >= 0 || r.receivesInstance(borrower) {
			continue
		}
		if lent, rule := r.instanceToLend(borrower); lent != nil {
			r.move(lent, borrower, true, "rule "+rule)
		}
	}
	r.returnLoans()
}

// receivesInstance reports whether an instance is already being moved to the pool.
func (r *round) receivesInstance(pool string) bool {
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		onTheWay := i.Phase == jaypool.Leaving || i.Phase == jaypool.Detached
		if onTheWay && i.MoveTo == pool {
			return true
		}
	}
	return false
}

// instanceToLend returns an instance of the pool with the most slack among those that may
// lend, and the name of the rule.
func (r *round) instanceToLend(borrower string) (*jaypool.Instance, string) {
	var best *jaypool.Instance
	var bestRule string
	bestSlack := 0
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		if !i.Available() || i.Pool == borrower || r.busy[id] {
			continue
		}
		after := r.in.State.Fleet.Pool(i.Pool).BudgetStatusWithout(i, r.config.Budget(i.Pool))
		if after.Slack() < 0 || best != nil && after.Slack() <= bestSlack {
			continue
		}
		action, rule := r.decide(jayrule.AboutMove, i.Pool, "")
		if _, lends := action.(jayrule.Lend); !lends {
			continue
		}
		best, bestRule, bestSlack = i, rule, after.Slack()
	}
	return best, bestRule
}

func (r *round) returnLoans() {
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		if !i.Available() || i.Pool == i.Home || r.busy[id] {
			continue
		}
		after := r.in.State.Fleet.Pool(i.Pool).BudgetStatusWithout(i, r.config.Budget(i.Pool))
		if after.Slack() >= 1 && r.due("give back "+id, i.Version, r.planner.settings.SettleTime) {
			r.move(i, i.Home, false, "not needed any more")
		}
	}
}

func (r *round) move(i *jaypool.Instance, to string, lent bool, reason string) {
	r.propose(reason, i.Version, &jaywire.Command{
		Body: &jaywire.Command_DrainForMove{DrainForMove: &jaywire.DrainForMove{Instance: i.ID, ToPool: to, Lent: lent}},
	})
}
