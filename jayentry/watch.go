package jayentry

import (
	"context"
	"time"

	"jaythread/jayclock"
	"jaythread/jayplan"
	"jaythread/jayplatform"
	"jaythread/jaystate"
)

const (
	// listWait is how long one read of the instance list waits for a change.
	listWait = time.Second
	// readRetryDelay is the delay before a failed read is repeated.
	readRetryDelay = 200 * time.Millisecond
)

// watchList reads the changes of the instance list until the context ends.
func (e *Entry) watchList(ctx context.Context) {
	version := uint64(0)
	failing := false
	for ctx.Err() == nil {
		changes, err := e.list.Since(version, listWait)
		if err != nil {
			if !failing {
				e.logger.Info("cannot read the instance list", "error", err.Error())
			}
			failing = true
			jayclock.Sleep(ctx, readRetryDelay)
			continue
		}
		failing = false
		version = changes.Version
		if len(changes.Instances) > 0 {
			e.offerChanges(ctx, changes.Instances)
		}
	}
}

// offerChanges hands changes to the router and waits while its queue is full. A
// dropped change would not be sent again.
func (e *Entry) offerChanges(ctx context.Context, instances []jayplatform.Instance) {
	e.markEndedEntries(instances)
	for !e.router.changes.Offer(instances) {
		if ctx.Err() != nil {
			return
		}
		jayclock.Sleep(ctx, 10*time.Millisecond)
	}
}

// markEndedEntries marks the entries that the list shows as gone.
func (e *Entry) markEndedEntries(instances []jayplatform.Instance) {
	for _, i := range instances {
		if i.Kind == jayplatform.Entry && i.State == jayplatform.Gone {
			e.members.markEnded(i.ID)
		}
	}
}

func poolState(s *jaystate.State, pool string) string {
	return jayplan.PoolState(s.Fleet.Pool(pool).BudgetStatus(s.Configuration().Budget(pool)))
}
