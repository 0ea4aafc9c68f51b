package jaynode

import (
	"time"

	"jaythread/jayowner"
	"jaythread/jaypool"
	"jaythread/jayquota"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// quotas returns the organisations' quotas by the declarations known here.
func (n *Node) quotas() jaysched.Quotas {
	age := n.clock() - n.declarations.asOf()
	catalog := n.Catalog()
	if catalog == nil {
		return jaysched.Quotas{}
	}
	limit := n.settings.DeclarationTime
	return jaysched.Quotas{
		Revision: catalog.Revision,
		Of:       catalog.Organisations.Quotas(),
		Current:  limit == 0 || age <= limit-limit/clockTolerance,
	}
}

// minTurnReports is the minimum number of reports that a pool's turn to exceed a quota lasts: a task
// that has a worker starts meanwhile.
const minTurnReports = 4

// turnReports returns the number of reports that a pool's turn to exceed a quota lasts at first:
// those of two move times, so that a host which the pool needs for its task arrives meanwhile.
func turnReports(moveTime time.Duration) int {
	return max(minTurnReports, int(2*moveTime/demandInterval))
}

// lendQuotas decides what each pool may use of the organisations' quotas.
func (d *fleetDuty) lendQuotas(working []string) {
	view := d.node.members.Owners.View()
	if view == nil {
		return
	}
	owners := make(map[string]int64, len(working))
	for _, pool := range working {
		c, _ := view.Claim(jayowner.PoolDuty(pool))
		owners[pool] = c.Fence
	}
	quotas := d.quotasToLend(view.AsOf)
	if quotas == nil {
		return
	}
	d.lender.SetPeriod(1 + int64(d.node.clock()/demandInterval))
	d.lender.SetPools(owners)
	d.lender.SetQuotas(quotas.Revision, quotas.Of)
	d.lender.Decide()
}

// quotasToLend returns the quotas to decide by, or nil. Quotas that limit more than the former ones
// count once the claims have been read after them: the owner of a pool that has claimed it before
// may have started tasks without a limit, and must be asked. Newer declarations do not restart this
// delay, unless they remove a quota: a first quota would never count while declarations follow one
// another faster than claims are read.
func (d *fleetDuty) quotasToLend(claimsAsOf time.Duration) *jaysched.Quotas {
	declared := d.node.quotas()
	if d.nextQuotas == nil || jayquota.LimitsMore(declared.Of, d.nextQuotas.Of) {
		d.nextQuotas, d.nextQuotasAt = &declared, time.Duration(d.node.declarations.adoptedAt.Load()) // of these quotas or newer ones
	}
	former := jaysched.Quotas{}
	if d.lendsBy != nil {
		former = *d.lendsBy
	}
	if claimsAsOf >= d.nextQuotasAt || !jayquota.LimitsMore(former.Of, d.nextQuotas.Of) {
		d.lendsBy, d.nextQuotas = d.nextQuotas, nil
	}
	return d.lendsBy
}

// receiveQuotas handles the part of a pool's report on the organisations' quotas.
func (d *fleetDuty) receiveQuotas(pool string, report *jaywire.DemandReport) {
	if report.Quota == nil {
		d.lender.Ignore(pool, report.Fence)
		return
	}
	d.lender.Receive(pool, decodeQuotaReport(report.Fence, report.Quota))
}

func encodeQuotaMessage(m jayquota.Message) *jaywire.QuotaMessage {
	wire := &jaywire.QuotaMessage{Number: m.Number.Message, OwnerFence: m.OwnerFence, All: m.All}
	for _, l := range m.Limits {
		wire.Limits = append(wire.Limits, &jaywire.QuotaLimit{Organisation: l.Organisation, Limit: encodeAmount(l.Limit), Quota: encodeAmount(l.Quota), Revision: l.Revision})
	}
	return wire
}

func decodeQuotaMessage(fence int64, wire *jaywire.QuotaMessage) jayquota.Message {
	m := jayquota.Message{Number: jayquota.Number{Fence: fence, Message: wire.Number}, OwnerFence: wire.OwnerFence, All: wire.All}
	for _, l := range wire.Limits {
		m.Limits = append(m.Limits, jayquota.Limit{Organisation: l.Organisation, Limit: decodeAmount(l.Limit), Quota: decodeAmount(l.Quota), Revision: l.Revision})
	}
	return m
}

func encodeQuotaReport(r jayquota.Report) *jaywire.QuotaReport {
	wire := &jaywire.QuotaReport{AppliedFence: r.Applied.Fence, Applied: r.Applied.Message, All: r.All}
	for _, u := range r.Uses {
		wire.Uses = append(wire.Uses, &jaywire.QuotaUse{
			Organisation: u.Organisation, Used: encodeAmount(u.Used), Wanted: encodeAmount(u.Wanted),
			Largest: encodeAmount(u.Largest), Task: encodeAmount(u.Task), Limit: encodeAmount(u.Limit), Quota: encodeAmount(u.Quota),
		})
	}
	return wire
}

func decodeQuotaReport(ownerFence int64, wire *jaywire.QuotaReport) jayquota.Report {
	r := jayquota.Report{OwnerFence: ownerFence, Applied: jayquota.Number{Fence: wire.AppliedFence, Message: wire.Applied}, All: wire.All}
	for _, u := range wire.Uses {
		r.Uses = append(r.Uses, jayquota.Use{
			Organisation: u.Organisation, Used: decodeAmount(u.Used), Wanted: decodeAmount(u.Wanted),
			Largest: decodeAmount(u.Largest), Task: decodeAmount(u.Task), Limit: decodeAmount(u.Limit), Quota: decodeAmount(u.Quota),
		})
	}
	return r
}

// encodeAmount encodes an amount; that of nothing is nil.
func encodeAmount(r jaypool.Resources) *jaywire.QuotaAmount {
	if r == (jaypool.Resources{}) {
		return nil
	}
	return &jaywire.QuotaAmount{ProcessorsMilli: r.ProcessorsMilli, MemoryMegabytes: r.MemoryMegabytes, Accelerators: r.Accelerators}
}

func decodeAmount(wire *jaywire.QuotaAmount) jaypool.Resources {
	return jaypool.Resources{ProcessorsMilli: wire.GetProcessorsMilli(), MemoryMegabytes: wire.GetMemoryMegabytes(), Accelerators: wire.GetAccelerators()}
}
