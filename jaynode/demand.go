package jaynode

import (
	"errors"

	"jaythread/jayload"
	"jaythread/jayowner"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// askDemand asks the owner of a pool which resources the pool needs. The owner of the
// fleet calls it.
func (n *Node) askDemand(ask *jaywire.AskDemand) (*jaywire.DemandReport, error) {
	c, ok := n.members.Owners.OwnerOf(jayowner.PoolDuty(ask.Pool))
	if !ok {
		return nil, errNoOwner
	}
	response, err := n.askIncarnation(c, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskDemand{
		AskDemand: ask,
	}})
	if err != nil {
		return nil, err
	}
	return response.GetDemand(), nil
}

// errNoOwner is returned while a pool has no owner.
var errNoOwner = errors.New("pool has no owner")

// demandOwned answers a demand request of the fleet's owner for a pool that this entry
// owns. A request with a lower fence than the fleet's newest claim comes from a replaced
// owner and is ignored.
func (n *Node) demandOwned(ask *jaywire.AskDemand) *jaywire.DemandReport {
	report := &jaywire.DemandReport{}
	duty := n.ownedPool(ask.Pool)
	fleet, owned := n.members.Owners.OwnerOf(jayowner.Fleet)
	if duty == nil || !duty.loaded.Load() || !owned || fleet.Fence > ask.Fence {
		return report
	}
	vacate := make([]jaysched.Vacate, 0, len(ask.Vacate))
	for _, v := range ask.Vacate {
		vacate = append(vacate, jaysched.Vacate{Worker: v.Worker, Urgent: v.Urgent, Migrate: v.Migrate, Restart: v.Restart})
	}
	asked := duty.ask(func() {
		now := n.clock()
		if ask.Surveyed && ask.SurveyedFence == duty.claim.Fence && duty.learnExisting(ask) {
			duty.pool.InventoryRead(duty.existing, micros(ask.SurveyedAtMicros), now)
		}
		report.ExistingDigest = jayload.Digest(duty.existing)
		duty.pool.SetFleetFence(ask.Fence, now)
		duty.pool.SetVacating(vacate, now)
		duty.pool.SetContracting(ask.Contracting, now)
		if len(ask.Arriving) > 0 {
			duty.pool.SetArriving(decodeArriving(ask.Arriving), now)
		}
		demand := duty.demand(now)
		writeDemand(report, demand)
		duty.loads.Report(report, encodeLoads(demand.Loads), now.Milliseconds(), ask.LoadsEpoch, ask.LoadsReport)
		if ask.Quota != nil {
			message := decodeQuotaMessage(ask.Fence, ask.Quota)
			duty.pool.ApplyQuotaMessage(message)
			report.Quota = encodeQuotaReport(duty.pool.QuotaReport(message.All, now))
		}
		duty.exchangeUses(ask, report, now)
		report.ClockMicros = now.Microseconds()
	}, askTimeout)
	if !asked {
		return &jaywire.DemandReport{}
	}
	report.Owned = true
	report.Fence = duty.claim.Fence
	return report
}

// learnExisting sets the pool's workers according to the inventory from a request of the fleet's
// owner, which leaves them out if they are those that it has sent before. It returns false if they
// are not.
func (d *poolDuty) learnExisting(ask *jaywire.AskDemand) bool {
	if ask.ExistingDigest != 0 {
		return ask.ExistingDigest == jayload.Digest(d.existing)
	}
	d.existing = ask.Existing
	return true
}

// neverEmpty is the value of EmptyInMillis for a worker that does not become empty by
// itself.
const neverEmpty = -1

func writeDemand(report *jaywire.DemandReport, d jaysched.Demand) {
	report.NeedMilli = d.NeedMilli
	report.SpareMilli = d.SpareMilli
	report.ExpiredMilli = d.ExpiredMilli
	report.OnTimeMilli = &d.OnTimeMilli
	report.ArrivingMilli = d.ArrivingMilli
	report.WorkersAtLeast = uint32(d.WorkersAtLeast)
}

func encodeLoads(loads []jaysched.Load) []*jaywire.WorkerLoad {
	encoded := make([]*jaywire.WorkerLoad, 0, len(loads))
	for _, l := range loads {
		emptyIn := l.EmptyIn.Milliseconds()
		if l.EmptyIn == jaysched.MaxDuration {
			emptyIn = neverEmpty
		}
		encoded = append(encoded, &jaywire.WorkerLoad{
			Worker:     l.Worker,
			UsedMilli:  l.UsedMilli,
			Runs:       uint32(l.Runs),
			LongRuns:   uint32(l.LongRuns),
			Vacated:    l.Vacated,
			IdleMillis: l.Idle.Milliseconds(),

			EmptyInMillis: emptyIn,
			CapacityMilli: &l.CapacityMilli,
			RestartCost:   l.RestartCost,
			Restartable:   l.Restartable,
			SpeedPercent:  uint32(l.SpeedPercent),
		})
	}
	return encoded
}
