package jaymember

import (
	"jaythread/jayhome"
	"jaythread/jayowner"
	"jaythread/jayport"
)

// RecordQueues records the queues that may have jobs in a pool, for the owner of the pool under a claim.
// It fails with a *jayport.StaleError if a claim or another record has been appended since the newest
// view, so that an owner that was replaced changes nothing.
func (o *Owners) RecordQueues(c jayowner.Claim, pool string, addresses []string) error {
	view := o.table.Load()
	if present, ok := view.Claim(c.Duty); !ok || present.Fence != c.Fence {
		return &jayport.StaleError{End: view.next}
	}
	record := jayhome.Record(pool, addresses)
	_, err := o.members.Store.Append(jayport.Append{
		Partition: o.members.Formats.Own(topicOwners, 0),
		Records:   []jayport.Record{record},
		AsOf:      view.next,
	}, claimTimeout)
	if err != nil {
		return err
	}
	return o.members.Homes.Apply(record)
}

// Confirmed returns the newest view if the store has no record that it lacks.
func (o *Owners) Confirmed() (view *View, confirmed bool) {
	view = o.table.Load()
	return view, view != nil && o.upToDate(view)
}
