package jayentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"jaythread/jayclock"
	"jaythread/jayplan"
	"jaythread/jayplatform"
	"jaythread/jayring"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

const (
	// proposeTimeout limits the wait for the decision on a proposed command. If it
	// expires, the next planning round reads the outcome from the state.
	proposeTimeout = 2 * time.Second
	// maxPendingOrders limits the orders queued for the platform. When it is
	// exceeded the oldest order is dropped, because each round repeats the orders
	// that have not been carried out.
	maxPendingOrders = 4096
	// orderWorkers is the number of orders that are sent concurrently.
	orderWorkers = 8
)

// plannerDuty runs the planner while this entry holds the planner lease.
type plannerDuty struct {
	entry   *Entry
	planner *jayplan.Planner
	orders  *jayring.Ring[jayplan.Order]
	queue   chan jayplan.Order
	// seenTerm is the lease term in force, and seenAt is when this entry first saw
	// it.
	seenTerm uint64
	seenAt   time.Time
	// heldFrom is when this entry requested the lease that it holds.
	heldFrom time.Time
	holding  bool
}

func newPlannerDuty(e *Entry) *plannerDuty {
	o := e.options
	return &plannerDuty{
		entry: e,
		planner: jayplan.NewPlanner(jayplan.Settings{
			RebootTimeout: time.Duration(o.RebootTimeout),
			SettleTime:    time.Duration(o.SettleTime),
			TaskLease:     time.Duration(o.TaskLease),
		}),
		orders: jayring.New[jayplan.Order](maxPendingOrders),
		queue:  make(chan jayplan.Order),
	}
}

func (d *plannerDuty) run(ctx context.Context) {
	for range orderWorkers {
		go d.orderWorker(ctx)
	}
	go d.dispatchOrders(ctx)
	for ctx.Err() == nil {
		worked := d.tick()
		jayclock.Sleep(ctx, pace(worked, time.Duration(d.entry.options.PlanEvery)))
	}
}

// tick runs one planning round and returns the time spent on decisions. The wait
// for the log is not included.
func (d *plannerDuty) tick() time.Duration {
	if !d.ensureLease() {
		return 0
	}
	d.removeEnded()
	in := jayplan.Input{Workers: d.entry.router.Workers(), Now: time.Now(), MinAppliedOffset: d.entry.members.MinRoutedOffset()}
	var out jayplan.Output
	began := time.Now()
	d.entry.store.Read(func(s *jaystate.State) {
		in.State = s
		out = d.planner.Round(in)
	})
	worked := time.Since(began)
	for _, order := range out.Orders {
		d.orders.Push(order)
	}
	d.propose(out.Commands)
	return worked
}

// propose submits the commands and waits until all are decided, so that the next
// round starts from their result.
func (d *plannerDuty) propose(commands []*jaywire.Command) {
	for _, c := range commands {
		d.entry.store.fillDefaults(c)
		c.Actor = "planner " + d.entry.options.Entry
		if err := d.entry.store.committer.Submit(c.Id, c); err != nil {
			d.entry.logger.Info("planner command not submitted", "error", err.Error())
			return
		}
	}
	if len(commands) == 0 {
		return
	}
	// The lease renewal follows the commands in the stream, so they are decided
	// once it is.
	if !d.takeLease(time.Now()) {
		// Outdated commands must not accumulate during an outage and be appended
		// all at once after it. The next round plans again.
		for _, c := range commands {
			d.entry.store.committer.Cancel(c.Id)
		}
	}
}

func (d *plannerDuty) renewal() *jaywire.Command {
	return &jaywire.Command{
		Id: uuid.NewString(),
		Body: &jaywire.Command_TakePlannerLease{TakePlannerLease: &jaywire.TakePlannerLease{
			Entry: d.entry.options.Entry,
			Term:  d.seenTerm + 1,
		}},
	}
}

// ensureLease reports whether this entry may plan now, and takes or renews the
// lease if needed. Correctness does not depend on the lease, because the state
// machine checks each command regardless of its proposer. The holder counts the
// term from before its request, the others from when they saw it.
func (d *plannerDuty) ensureLease() bool {
	term := time.Duration(d.entry.options.PlannerTerm)
	now := time.Now()
	holder := d.observe(now)
	if d.entry.stopping.Load() {
		return false
	}
	if holder == d.entry.options.Entry {
		if now.Sub(d.heldFrom) < term/2 && d.holding {
			return true
		}
		return d.takeLease(now)
	}
	d.holding = false
	if holder != "" && now.Sub(d.seenAt) < term {
		return false
	}
	return d.takeLease(now)
}

func (d *plannerDuty) observe(now time.Time) string {
	var planner jaystate.Planner
	d.entry.store.Read(func(s *jaystate.State) { planner = s.Planner })
	if planner.Term != d.seenTerm || d.seenAt.IsZero() {
		d.seenTerm, d.seenAt = planner.Term, now
	}
	return planner.Entry
}

func (d *plannerDuty) takeLease(began time.Time) bool {
	outcome, err := d.entry.store.Propose(d.renewal(), proposeTimeout)
	if err != nil || !outcome.Accepted() {
		d.holding = false
		return false
	}
	d.heldFrom, d.holding = began, true
	d.observe(time.Now())
	return true
}

// removeEnded proposes the removal of members whose incarnation has ended.
func (d *plannerDuty) removeEnded() {
	for _, entry := range d.entry.members.Ended() {
		_, err := d.entry.store.Propose(&jaywire.Command{
			Reason: "its incarnation has ended",
			Body:   &jaywire.Command_LeaveEntry{LeaveEntry: &jaywire.LeaveEntry{Entry: entry}},
		}, proposeTimeout)
		if err != nil {
			return
		}
	}
}

func (d *plannerDuty) dispatchOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.orders.Ready():
		}
		for {
			order, ok := d.orders.Take()
			if !ok {
				break
			}
			select {
			case d.queue <- order:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (d *plannerDuty) orderWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-d.queue:
			d.execute(order)
		}
	}
}

func (d *plannerDuty) execute(o jayplan.Order) {
	err := d.entry.workers.Do(o.Instance, o.Fence, o.Order)
	if err == nil || errors.Is(err, jayplatform.ErrRefused) {
		return
	}
	d.entry.logger.V(1).Info("order failed", "instance", o.Instance, "order", fmt.Sprintf("%T", o.Order), "error", err.Error())
}
