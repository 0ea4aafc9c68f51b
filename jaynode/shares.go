package jaynode

import (
	"time"

	"jaythread/jayshare"
	"jaythread/jaywire"
)

// sharesMetricInterval is the time between two updates of the metric of the organisations' shares.
const sharesMetricInterval = time.Second

// weights returns the weights of the organisations by the declarations known here.
func (n *Node) weights() map[string]float64 {
	catalog := n.Catalog()
	if catalog == nil || !n.settings.Overload.FairShares {
		return nil
	}
	return catalog.Organisations.Weights()
}

// usedElsewhere returns what organisations use in all pools but one.
func (d *fleetDuty) usedElsewhere(pool string, now time.Duration) []*jaywire.OrganisationUse {
	if !d.node.settings.Overload.FairShares {
		return nil
	}
	return encodeUses(d.uses.Elsewhere(pool, now))
}

// receiveUses handles the part of a pool's report on what organisations use, which was asked for
// at the given time.
func (d *fleetDuty) receiveUses(pool string, report *jaywire.DemandReport, asked time.Duration) {
	if d.node.settings.Overload.FairShares {
		d.uses.Receive(pool, decodeUses(report.Organisations), asked)
	}
}

// exchangeUses handles the part of a demand request on what organisations use elsewhere, and
// reports what they use in the pool.
func (d *poolDuty) exchangeUses(ask *jaywire.AskDemand, report *jaywire.DemandReport, now time.Duration) {
	if d.node.settings.Overload.FairShares {
		d.pool.SetUsedElsewhere(ask.Fence, decodeUses(ask.UsedElsewhere), now)
		report.Organisations = encodeUses(d.pool.OrganisationUses(now))
	}
}

// countShares passes the shares that are in force to the metrics.
func (d *poolDuty) countShares(now time.Duration) {
	if !d.node.settings.Overload.FairShares || now < d.nextSharesAt {
		return
	}
	d.nextSharesAt = now + sharesMetricInterval
	cores := map[string]float64{}
	for _, s := range d.pool.Shares() {
		cores[s.Organisation] = float64(s.ShareMilli) / 1000
	}
	d.node.metrics.SetShares(d.name, cores)
}

func encodeUses(uses []jayshare.Use) []*jaywire.OrganisationUse {
	wire := make([]*jaywire.OrganisationUse, 0, len(uses))
	for _, u := range uses {
		wire = append(wire, &jaywire.OrganisationUse{Organisation: u.Organisation, UsedMilli: u.UsedMilli, WantedMilli: u.WantedMilli})
	}
	return wire
}

func decodeUses(wire []*jaywire.OrganisationUse) []jayshare.Use {
	uses := make([]jayshare.Use, 0, len(wire))
	for _, u := range wire {
		uses = append(uses, jayshare.Use{Organisation: u.Organisation, UsedMilli: u.UsedMilli, WantedMilli: u.WantedMilli})
	}
	return uses
}
