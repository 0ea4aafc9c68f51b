package jaysched

import (
	"fmt"
	"testing"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// newBacklog returns a new owner's pool with 1,150 restored jobs of 20 organisations on 278 workers,
// none of which has reported.
func newBacklog() (*Pool, time.Duration) {
	now := time.Minute
	quotas := Quotas{Revision: 1, Current: true, Of: map[string]jaypool.Resources{}}
	p := NewPool("seats", Settings{Lease: 4 * time.Second, Stop: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond, FarFactor: 1.5, FairShares: true},
		WithFence(9, 2), WithFormerOwner(now+time.Hour), WithReplaceableOwner(now, time.Hour))
	for n := range 20 {
		quotas.Of[fmt.Sprint("org", n)] = jaypool.Resources{ProcessorsMilli: 800_000}
	}
	p.SetQuotas(quotas)
	for n := range 1150 {
		job := newSpec(fmt.Sprint("j", n), 2, func(s *jayspec.Step) { s.Tasks = 10 })
		job.Organisation = fmt.Sprint("org", n%20)
		p.Restore(job, nil, now)
	}
	var list []jayport.Worker
	var ids []string
	for n := range 278 {
		id := fmt.Sprintf("w%03d", n)
		ids = append(ids, id)
		list = append(list, jayport.Worker{ID: id, Addr: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 32000, MemoryMegabytes: 131072}})
	}
	p.Listed(list, now)
	p.InventoryRead(ids, now, now)
	return p, now
}

// BenchmarkDecisionWhileTasksAreHeld measures the decision that a new owner makes after each report
// while tasks wait until all workers have reported.
func BenchmarkDecisionWhileTasksAreHeld(b *testing.B) {
	p, now := newBacklog()
	p.Decide(now)
	for b.Loop() {
		now += time.Millisecond
		p.Decide(now)
		p.TakeEvents()
	}
}
