package jaynode

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"jaythread/jayclock"
	"jaythread/jayownership"
	"jaythread/jayport"
	"jaythread/jaysched"
)

const (
	// takeoverLeaseInterval is the time between two renewals of a worker's lease during a takeover. One answer
	// may be lost.
	takeoverLeaseInterval = leaseTime / 3
	// takeoverLeaseTimeout limits the duration of a renewal. The reads of the takeover may fill the link for
	// that long.
	takeoverLeaseTimeout = 1500 * time.Millisecond
	// takeoverRetryDelay is the delay before a worker without an answer is asked again.
	takeoverRetryDelay = 200 * time.Millisecond
	// takeoverLeaseBatch is how many workers are asked at once for the first time, every takeoverLeaseSpacing: a
	// small entry opens hundreds of connections no faster.
	takeoverLeaseBatch   = 16
	takeoverLeaseSpacing = 20 * time.Millisecond
)

// takeoverLeases asks the workers of a pool for their reports and renews their leases while its new owner reads
// the jobs.
//
// It handles this load: an entry with a slow link or processor takes over a pool with thousands of jobs in a burst.
// That takes longer than the leases last, and all runs of the pool would end.
type takeoverLeases struct {
	duty *poolDuty
	// confirmedAt is a time at which this owner had not been replaced.
	confirmedAt time.Duration

	mu      sync.Mutex
	stopped bool
	workers map[string]*takeoverLease
}

// takeoverLease is the lease of one worker.
type takeoverLease struct {
	jaysched.TakeoverLease
	clock jaysched.LeaseClock
}

// renewDuringTakeover renews the leases of the pool's workers until finish is called, which returns what the pool has
// to know of them. It begins after the longest takeover delay, on which the former owner, which was fenced just now,
// may rely. This owner had not been replaced at confirmedAt.
func (d *poolDuty) renewDuringTakeover(confirmedAt time.Duration) (finish func() []jaysched.TakeoverLease) {
	l := &takeoverLeases{duty: d, confirmedAt: confirmedAt, workers: map[string]*takeoverLease{}}
	ctx, cancel := context.WithCancel(d.ctx)
	d.node.duties.Go(func() {
		jayclock.Sleep(ctx, jayownership.MaxTakeoverDelay())
		l.run(ctx)
	})
	return func() []jaysched.TakeoverLease {
		cancel()
		return l.stop()
	}
}

// run starts a goroutine for each listed worker until the context ends.
func (l *takeoverLeases) run(ctx context.Context) {
	for ctx.Err() == nil {
		workers, _ := l.duty.node.heartbeats.of(l.duty.name)
		added := 0
		for _, w := range workers {
			lease, isNew := l.add(w)
			if !isNew {
				continue
			}
			l.duty.node.duties.Go(func() { l.renewWorker(ctx, lease) })
			if added++; added%takeoverLeaseBatch == 0 {
				jayclock.Sleep(ctx, takeoverLeaseSpacing)
			}
		}
		jayclock.Sleep(ctx, takeoverLeaseInterval)
	}
}

// add adds a worker, unless it is known.
func (l *takeoverLeases) add(w jayport.Worker) (lease *takeoverLease, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.workers[w.ID] != nil {
		return nil, false
	}
	lease = &takeoverLease{TakeoverLease: jaysched.TakeoverLease{To: jayport.WorkerRef{ID: w.ID, Incarnation: w.Incarnation, Addr: w.Addr}}}
	l.workers[w.ID] = lease
	return lease, true
}

// renewWorker renews the lease of a worker at intervals until the context ends, or the worker refuses it: its
// process was replaced, or this owner was.
func (l *takeoverLeases) renewWorker(ctx context.Context, lease *takeoverLease) {
	_, err := l.renew(lease) // the first answer only shows the worker's clock
	for ctx.Err() == nil && !l.refused(lease, err) {
		var granted bool
		granted, err = l.renew(lease)
		if granted {
			jayclock.Sleep(ctx, takeoverLeaseInterval)
		} else {
			jayclock.Sleep(ctx, takeoverRetryDelay)
		}
	}
}

// refused handles the error of a renewal, and reports whether the worker must not be asked again.
func (l *takeoverLeases) refused(lease *takeoverLease, err error) bool {
	var refused *jayport.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case jayport.RefusedFenced:
		l.duty.end(fmt.Sprintf("worker %s has seen a higher fence", lease.To.ID))
		return true
	case jayport.RefusedOtherIncarnation:
		l.duty.node.ports.Workers.Forget(lease.To)
		return true
	default:
		return false
	}
}

// renew asks a worker for its report, and renews its lease if this owner may. It reports whether a lease was
// granted and the worker has answered.
func (l *takeoverLeases) renew(lease *takeoverLease) (granted bool, err error) {
	asked := l.duty.node.clock()
	order, ok := l.order(lease, asked)
	if !ok {
		return false, nil
	}
	report, err := l.duty.node.ports.Workers.Renew(lease.To, order, takeoverLeaseTimeout)
	at := l.duty.node.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false, nil
	}
	lease.Report = nil
	if err != nil {
		return false, err
	}
	lease.Report, lease.Asked, lease.Answered = &report, asked, at
	lease.clock = jaysched.LeaseClock{Clock: report.Clock, At: at}
	return order.LeaseUntil > 0, nil
}

// order returns the next order to a worker. From the moment on at which it is sent the worker may have the lease.
// A worker that has left the latest request unanswered gets none.
func (l *takeoverLeases) order(lease *takeoverLease, now time.Duration) (order jayport.LeaseOrder, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return jayport.LeaseOrder{}, false
	}
	order.Fence = l.duty.claim.Fence
	if lease.Report != nil && lease.clock.Clock > 0 && l.mayGrant(now) {
		until, bound := lease.clock.LeaseUntil(now, min(leaseTime, l.duty.node.settings.MaxLease))
		order.LeaseUntil = until
		lease.Bound = max(lease.Bound, bound)
	}
	return order, true
}

// mayGrant reports whether the owner was confirmed recently enough to grant leases: by its fence, or by claims that
// name it.
func (l *takeoverLeases) mayGrant(now time.Duration) bool {
	right := jayownership.NewRight(l.confirmedAt, ownershipTimeout)
	if at, confirmed := l.duty.claimedAsOf(); confirmed {
		right.Confirm(at)
	}
	return !right.Lapsed(now)
}

// stop ends the renewals and returns the workers in the order of their IDs. An answer that arrives later is
// dropped.
func (l *takeoverLeases) stop() []jaysched.TakeoverLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	leases := make([]jaysched.TakeoverLease, 0, len(l.workers))
	for _, lease := range l.workers {
		leases = append(leases, lease.TakeoverLease)
	}
	slices.SortFunc(leases, func(a, b jaysched.TakeoverLease) int { return strings.Compare(a.To.ID, b.To.ID) })
	return leases
}
