package jaysched

import (
	"maps"
	"slices"
	"time"

	"jaythread/jayport"
)

// modelTakeoverLeases renews the leases of the workers while a modelled owner takes over, as jaynode does.
type modelTakeoverLeases struct {
	owner   *modelOwner
	stopped bool
	workers map[string]*modelTakeoverLease
}

type modelTakeoverLease struct {
	TakeoverLease
	clock LeaseClock
}

// renewDuringTakeover starts the renewals after the takeover delay.
func (o *modelOwner) renewDuringTakeover(fencedAt time.Duration) *modelTakeoverLeases {
	l := &modelTakeoverLeases{owner: o, workers: map[string]*modelTakeoverLease{}}
	o.m.after(o.m.takeoverDelay, func() {
		for _, id := range sortedKeys(o.m.workers) {
			w := o.m.workers[id]
			if !w.up || w.unlisted {
				continue
			}
			lease := &modelTakeoverLease{TakeoverLease: TakeoverLease{To: jayport.WorkerRef{ID: id, Incarnation: w.info.Incarnation, Addr: w.info.Addr}}}
			l.workers[id] = lease
			l.renew(lease, fencedAt)
		}
	})
	return l
}

func (l *modelTakeoverLeases) renew(lease *modelTakeoverLease, fencedAt time.Duration) {
	o, m := l.owner, l.owner.m
	if l.stopped || o.ended {
		return
	}
	again := func(after time.Duration) {
		m.after(after, func() { o.resumed(func() { l.renew(lease, fencedAt) }) })
	}
	asked := m.now
	order := jayport.LeaseOrder{Fence: o.fence}
	if lease.Report != nil && m.now-max(fencedAt, o.claimsAsOf) <= modelOwnerTimeout {
		until, bound := lease.clock.LeaseUntil(m.now, modelLease)
		order.LeaseUntil, lease.Bound = until, max(lease.Bound, bound)
	}
	answered := func(report jayport.Report, err error) {
		if l.stopped {
			return
		}
		if lease.Report = nil; err != nil {
			again(modelTick)
			return
		}
		lease.Report, lease.Asked, lease.Answered, lease.clock = &report, asked, m.now, LeaseClock{Clock: report.Clock, At: m.now}
		again(modelLease / 3)
	}
	m.call(o, lease.To.ID, modelCallTimeout, func(reply func(func())) {
		m.carryOut(o.fence, RenewLease{To: lease.To, Order: order}, func(report jayport.Report, err error) {
			reply(func() { answered(report, err) })
		})
	}, func() { answered(jayport.Report{}, jayport.ErrNoAnswer) })
}

func (l *modelTakeoverLeases) finish() []TakeoverLease {
	l.stopped = true
	var leases []TakeoverLease
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		leases = append(leases, l.workers[id].TakeoverLease)
	}
	return leases
}
