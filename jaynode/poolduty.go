package jaynode

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"jaythread/jayjournal"
	"jaythread/jayload"
	"jaythread/jayowner"
	"jaythread/jayownership"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaytail"
)

const (
	// poolInbox limits the number of events that wait for a pool's goroutine.
	poolInbox = 8192
	// poolTick is the time between two steps of a pool's duty if no events arrive.
	poolTick = 50 * time.Millisecond
	// jobsWait is how long a read of the submitted jobs waits for a new record.
	jobsWait = time.Second
	// jobsReadDelay is the delay between two such reads. Each read has a cost, and the
	// owner already knows the jobs that it stored itself, which are nearly all.
	jobsReadDelay = 100 * time.Millisecond
	// leaseTime is how long a worker keeps its runs without a renewal by the owner. A new
	// owner takes over within two seconds.
	leaseTime = 4 * time.Second
	// ownershipTimeout is how long an owner goes on without a confirmation from the store
	// that it still owns its pool. It is longer than most outages.
	ownershipTimeout = 10 * time.Second
	// formerLeaseWait is how long after the former owner was fenced its leases may still be
	// valid: it may learn of that only after ownershipTimeout.
	formerLeaseWait = ownershipTimeout + leaseTime + leaseTime/20
	// maxNotFoundAge is the maximum age of the data on which the answer that a job does
	// not exist is based.
	maxNotFoundAge = 2500 * time.Millisecond
)

// poolDuty runs the tasks of one pool, in one goroutine, while this entry owns the pool.
type poolDuty struct {
	duty
	name string
	// loaded is set once the jobs and their progress have been read.
	loaded atomic.Bool
	// storedJobs maps the IDs of the jobs that are in the store to the names of their
	// organisations.
	storedJobs sync.Map
	// canceled is the set of the IDs of jobs that were cancelled while they were not known.
	canceled sync.Map
	// lacksRoom is set while tasks wait for free capacity.
	lacksRoom atomic.Bool
	// places is the number of rejected jobs that are to return.
	places atomic.Int64
	// jobBytes estimates the memory of the pool's open jobs.
	jobBytes atomic.Int64
	// latency measures how long the pool's workers take to answer.
	latency *jaysched.Latency
	// takeover is how far the takeover of the pool is.
	takeover takeoverProgress

	// The fields below are used only by the duty's goroutine.
	pool *jaysched.Pool
	// loads reports the loads of the workers to the fleet's owner, and existing are the pool's
	// workers according to the inventory.
	loads        *jayload.Sender
	existing     []string
	jobs         *jobTail
	flushing     bool
	nextFlushAt  time.Duration
	nextExpireAt time.Duration
	// nextDeclarationsAt is when a few declarations of ended jobs are removed next. removingDeclarations is
	// set until the latest removal has succeeded.
	nextDeclarationsAt   time.Duration
	removingDeclarations bool
	// nextSharesAt is when the organisations' shares are passed to the metrics next.
	nextSharesAt  time.Duration
	takeoverDelay jayownership.TakeoverDelay
	// parts is the number of further records that the progress of a job has had, by the job's ID.
	parts        map[string]int
	disputes     disputes
	calls        ownerCalls
	demandBudget demandBudget
	// heldBack tracks for how long the limit of starts in flight holds tasks back.
	heldBack heldBack
	// serviceWaitsAt is the time of the waits of long-running tasks that the metrics show.
	serviceWaitsAt time.Duration
	// lastActiveAt is when the duty's goroutine last processed an event or began a step.
	lastActiveAt time.Duration
}

func newPoolDuty(n *Node, name string, claim jayowner.Claim) *poolDuty {
	p := n.ports.Formats.Own(topicProgress, n.partitionOf(name))
	d := &poolDuty{
		duty:    newDuty(n, claim, p, poolInbox, n.logger.WithName("pool").WithValues("pool", name, "fence", claim.Fence)),
		name:    name,
		latency: jaysched.NewLatency(),
		loads:   jayload.NewSender(),
		parts:   map[string]int{},

		disputes: newDisputes(),
	}
	options := []jaysched.Option{
		jaysched.WithFence(claim.Fence, claim.Term),
		jaysched.WithPlacementsSince(claim.PlacementsSince),
		jaysched.WithPolicies(n.policyOf),
		jaysched.WithDueTimes(n.dueAt),
		// The claim was read a moment ago; updateOwnership records when.
		jaysched.WithReplaceableOwner(0, ownershipTimeout),
	}
	if view := n.members.Owners.View(); view != nil {
		fleet, _ := view.Claim(jayowner.Fleet)
		options = append(options, jaysched.WithLender(fleet.Fence))
	}
	d.pool = jaysched.NewPool(name, jaysched.Settings{
		Lease:     min(leaseTime, n.settings.MaxLease),
		Stop:      n.settings.StopTime,
		MoveTime:  n.settings.MoveTime,
		FarFactor: n.settings.FarFactor,

		WorkerSpeeds:   n.settings.Overload.WorkerSpeeds,
		CopyShare:      n.settings.Overload.CopyShare,
		FairShares:     n.settings.Overload.FairShares,
		RejectHopeless: n.settings.Overload.RejectHopeless,
	}, options...)
	d.jobs = newJobTail(d)
	return d
}

// policyOf returns the current policy of a job's queue, whatever the queue is named now.
func (n *Node) policyOf(job *jayspec.Job) (jayspec.Policy, bool) {
	c := n.Catalog()
	if c == nil {
		return jayspec.Policy{}, false
	}
	q, found := c.QueueAt(job.Address)
	if job.Address == "" {
		q, found = c.Queues[job.Queue]
	}
	return q.Policy, found
}

// dueAt converts a time of day to the node's clock.
func (n *Node) dueAt(t time.Time) time.Duration {
	return n.clock() + time.Until(t)
}

// run takes the pool over and runs its tasks until the duty ends.
func (d *poolDuty) run() {
	defer d.node.removePool(d)
	defer d.node.metrics.SetShares(d.name, nil)
	defer d.node.metrics.RemoveStartLimit(d.name)
	defer d.node.metrics.RemoveServiceWaits(d.name)
	if !d.takeOver() {
		return
	}
	d.startJournal()
	tail := d.jobs.tail
	d.node.duties.Go(func() { tail.Run(d.ctx) })
	d.node.duties.Go(d.settleJobs)
	d.loaded.Store(true)
	d.loop(poolTick, d.step)
}

// step processes all waiting events and performs the actions that the pool decides on.
func (d *poolDuty) step() {
	// AsOf is read before the inbox is emptied: the tail posts the jobs that it has read
	// before it advances AsOf, so that all jobs up to AsOf are processed below.
	jobsAsOf := d.jobs.tail.AsOf()
	d.pool.SetQuotas(d.node.quotas())
	d.pool.SetWeights(d.node.weights())
	for {
		handle, ok := d.inbox.Take()
		if !ok {
			break
		}
		now := d.node.clock()
		d.detectPause(now)
		d.call(callEvent, func() { handle(now) })
	}
	now := d.node.clock()
	d.detectPause(now)
	d.updateOwnership()
	d.reviewTakeoverDelay()
	if d.node.stopping.Load() {
		d.pool.Leave()
	}
	d.pool.JobsKnown(jobsAsOf)
	d.pool.SetStarts(d.latency.Starts())
	d.call(callDecide, func() {
		for _, action := range d.pool.Decide(now) {
			d.perform(action)
		}
	})
	d.lacksRoom.Store(d.pool.LacksRoom())
	d.places.Store(int64(d.pool.Places()))
	d.jobBytes.Store(d.pool.Footprint())
	d.call(callRecord, d.flush)
	d.expire(now)
	d.removeDeclarations(now)
	d.logEvents()
	d.countShares(now)
	d.countHeldBack(now)
	d.countServiceWaits()
}

// ask runs a function in the duty's goroutine and waits for it. It returns false, and the function
// does not run, if the inbox is full, or if the duty has ended or the timeout has passed before the
// function has begun.
func (d *poolDuty) ask(do func(), timeout time.Duration) bool {
	done := make(chan struct{})
	var decided atomic.Bool // by the first of the two goroutines that sets it
	if !d.inbox.Offer(func(time.Duration) {
		if decided.CompareAndSwap(false, true) {
			do()
			close(done)
		}
	}) {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-d.ctx.Done():
	case <-timer.C:
	}
	if decided.CompareAndSwap(false, true) {
		return false
	}
	<-done // the function has begun; it waits for nothing
	return true
}

func (d *poolDuty) workersChanged() {
	d.post(func(now time.Duration) { d.updateWorkers(now) })
}

// updateWorkers passes the current workers to the pool, once the heartbeats have been
// read.
func (d *poolDuty) updateWorkers(now time.Duration) {
	workers, asOf := d.node.heartbeats.of(d.name)
	if asOf > 0 {
		d.pool.Listed(workers, now)
	}
}

func (d *poolDuty) perform(action jaysched.Action) {
	switch a := action.(type) {
	case jaysched.StartRun:
		d.latency.Sent()
		go d.startRun(a)
	case jaysched.StopRun:
		go d.stopRun(a)
	case jaysched.RenewLease:
		go d.renewLease(a)
	case jaysched.ForgetWorker:
		d.node.ports.Workers.Forget(a.To)
	case jaysched.AskAdvice:
		go d.askAdvice(a)
	case jaysched.ThrottleRun:
		go d.throttleRun(a)
	case jaysched.ConfirmOwner:
		d.confirmOwner()
	}
}

// throttleRun sets a run's speed. The worker's next report shows whether the order
// arrived; if it did not, the order is sent again.
func (d *poolDuty) throttleRun(a jaysched.ThrottleRun) {
	order := jayport.ThrottleOrder{Run: a.Run, Fence: d.claim.Fence, Percent: a.Percent}
	_, err := d.node.ports.Workers.Throttle(a.To, order, d.latency.OrderTimeout())
	if err != nil {
		d.logger.Info("speed not set", "worker", a.To.ID, "task", a.Run.Task.String(), "run", a.Run.Number, "percent", a.Percent, "error", err.Error())
	}
	d.post(func(now time.Duration) { d.workerEnded(a.To, err, now) })
}

// adviceTimeout limits the duration of a request to the advisor. The advisor answers the
// requests of one caller one after the other, each after some hundred milliseconds.
const adviceTimeout = 3 * time.Second

func (d *poolDuty) askAdvice(a jaysched.AskAdvice) {
	asked := d.node.clock()
	got, err := d.node.ports.Advisor.Advise(a.Step, a.Workers, adviceTimeout)
	if err != nil {
		d.logger.Info("advice not given", "job", a.Step.Job, "step", a.Step.Step, "workers", len(a.Workers), "error", err.Error())
	} else {
		d.logger.Info("advice given", "job", a.Step.Job, "step", a.Step.Step, "workers", len(a.Workers), "good", len(got.Tickets), "valid", got.Valid.String())
	}
	d.post(func(now time.Duration) { d.pool.AdviceAnswered(a, got, err, asked, now) })
}

func (d *poolDuty) startRun(a jaysched.StartRun) {
	sent := d.node.clock()
	clock, err := d.node.ports.Workers.Start(a.To, a.Order, d.latency.OrderTimeout())
	d.latency.Answered(d.node.clock()-sent, errors.Is(err, jayport.ErrNoAnswer))
	d.post(func(now time.Duration) {
		if d.workerEnded(a.To, err, now) {
			return
		}
		d.pool.StartAnswered(a.To, a.Order.Run, clock, err, now)
	})
}

func (d *poolDuty) stopRun(a jaysched.StopRun) {
	clock, err := d.node.ports.Workers.Stop(a.To, a.Run, d.claim.Fence, d.latency.OrderTimeout())
	d.post(func(now time.Duration) {
		if d.workerEnded(a.To, err, now) {
			return
		}
		d.pool.StopAnswered(a.To, a.Run, clock, err, now)
	})
}

func (d *poolDuty) renewLease(a jaysched.RenewLease) {
	asked := d.node.clock()
	report, err := d.node.ports.Workers.Renew(a.To, a.Order, d.latency.RenewalTimeout(a.Unanswered))
	if errors.Is(err, jayport.ErrInvalidResponse) {
		d.logger.Info("worker report cannot be decoded", "worker", a.To.ID, "error", err.Error())
	}
	d.post(func(now time.Duration) {
		switch {
		case d.workerEnded(a.To, err, now):
		case err != nil:
			d.pool.ReportFailed(a.To, now)
		default:
			d.pool.Reported(a.To, report, asked, now)
		}
	})
}

// workerEnded handles a refusal that shows that the worker's process was replaced or that
// this owner was replaced. It reports whether the error was such a refusal.
func (d *poolDuty) workerEnded(to jayport.WorkerRef, err error, now time.Duration) bool {
	var refused *jayport.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case jayport.RefusedOtherIncarnation:
		d.pool.Ended(to, "another incarnation answers", now)
		return true
	case jayport.RefusedFenced:
		d.end(fmt.Sprintf("worker %s has seen a higher fence", to.ID))
		return true
	default:
		return false
	}
}

// flush writes the changed progress of the pool's jobs, one append at a time.
func (d *poolDuty) flush() {
	if now := d.node.clock(); d.flushing || now < d.nextFlushAt || !d.pool.Recordable(now) {
		return
	}
	batch := d.pool.TakeBatch()
	if batch == nil {
		return
	}
	records, err := d.progressRecords(batch)
	if err != nil {
		d.logger.Error(err, "progress not recorded")
		d.pool.BatchRejected(batch)
		d.nextFlushAt = d.node.clock() + storeRetryDelay
		return
	}
	if len(records) == 0 {
		d.pool.BatchRecorded(batch, d.node.clock())
		return
	}
	d.flushing = true
	asked := d.node.clock()
	entry := jayjournal.NewEntry(records, func(err error) {
		d.post(func(now time.Duration) {
			d.flushing = false
			if err != nil {
				d.pool.BatchRejected(batch)
				return
			}
			d.pool.SetConfirmedAt(asked)
			d.pool.BatchRecorded(batch, now)
		})
	})
	if err := d.journal.Add(entry); err != nil {
		d.logger.Error(err, "progress not recorded")
		d.flushing = false
		d.pool.BatchRejected(batch)
	}
}

func (d *poolDuty) logEvents() {
	for _, event := range d.pool.TakeEvents() {
		d.countEvent(event)
		values := []any{"at", event.At.String()}
		if event.Job != "" {
			values = append(values, "job", event.Job)
		}
		if event.Worker != "" {
			values = append(values, "worker", event.Worker)
		}
		if event.Organisation != "" {
			values = append(values, "organisation", event.Organisation)
		}
		if event.Run.Number > 0 {
			values = append(values, "task", event.Run.Task.String(), "run", event.Run.Number)
		}
		if event.Detail != "" {
			values = append(values, "detail", event.Detail)
		}
		if event.Waited > 0 {
			values = append(values, "waited", event.Waited.String())
		}
		if event.Since > 0 {
			values = append(values, "since", event.Since.String())
		}
		if event.Confirmed != 0 {
			values = append(values, "confirmed", event.Confirmed.String())
		}
		d.logger.Info(string(event.Kind), values...)
	}
}

var _ jaytail.Handler = (*jobTail)(nil)
