package jaynode

import (
	"maps"
	"slices"
	"time"

	"jaythread/jayclock"
	"jaythread/jayhome"
	"jaythread/jayspec"
)

const (
	// settleInterval is the least delay between two rounds of questions about disputed jobs. Without further
	// jobs it doubles up to maxSettleInterval: each round reads the claims.
	settleInterval    = 20 * time.Millisecond
	maxSettleInterval = 320 * time.Millisecond
	// maxAskedJobs limits the number of jobs that one round asks about.
	maxAskedJobs = 500
	// disputeReportInterval is the time between two reports of jobs that wait to be settled.
	disputeReportInterval = 2 * time.Second
	// queuesInterval is the time between two searches for queues without jobs.
	queuesInterval = 5 * time.Second
	// maxRemovalAge is how long the removal of a withdrawn job's declaration is repeated. The pool that
	// has the job knows it for longer, and no new job has its ID by then.
	maxRemovalAge = MinRetainEnded / 2
)

// addressOf returns the address of a job's queue. An earlier version has stored the queue's name only.
func (n *Node) addressOf(job *jayspec.Job) string {
	if job.Address != "" {
		return job.Address
	}
	if c := n.Catalog(); c != nil {
		if q, found := c.Queues[job.Queue]; found {
			return q.Address()
		}
	}
	return ""
}

// disputes is what a pool's duty knows of jobs that other pools may have received too.
type disputes struct {
	// wake wakes the goroutine that records queues and settles jobs.
	wake chan struct{}

	// withdrawn holds the jobs whose declarations are to be removed, with the time at which they were
	// withdrawn. It is used only by the duty's goroutine.
	withdrawn map[string]time.Duration

	// canceledAt holds the addresses of the queues with cancellations of unknown jobs, which count as jobs.
	// It is used only by the duty's goroutine.
	canceledAt map[string]bool

	// The fields below are used only by the goroutine that settles jobs.
	nextRemovalAt time.Duration
	nextReportAt  time.Duration
	rounds        int
}

func newDisputes() disputes {
	return disputes{wake: make(chan struct{}, 1), withdrawn: map[string]time.Duration{}, canceledAt: map[string]bool{}}
}

// dispute holds a job that another pool may have received too. It is called by the duty's goroutine
// before the pool decides on the job.
func (d *poolDuty) dispute(job *jayspec.Job, now time.Duration) {
	disputed := len(d.node.homes.Others(job.Address, d.name)) > 0 && d.pool.Dispute(job.ID, now)
	if disputed || !d.node.homes.HasRecorded(d.name, job.Address) {
		d.wakeSettling()
	}
}

// wakeSettling wakes the goroutine that records queues and settles jobs.
func (d *poolDuty) wakeSettling() {
	select {
	case d.disputes.wake <- struct{}{}:
	default:
	}
}

// keepQueue counts a queue among those of the pool while cancellations of unknown jobs are kept, and reports
// whether it is recorded. It is called by the duty's goroutine.
func (d *poolDuty) keepQueue(address string) (recorded bool) {
	if address == "" || d.node.homes.HasRecorded(d.name, address) {
		return true
	}
	d.disputes.canceledAt[address] = true
	d.wakeSettling()
	return false
}

// settleJobs keeps the pool's queues recorded and settles disputed jobs until the duty ends.
func (d *poolDuty) settleJobs() {
	review := time.NewTicker(queuesInterval)
	defer review.Stop()
	for d.ctx.Err() == nil {
		if !d.recordQueues(nil) {
			jayclock.Sleep(d.ctx, storeRetryDelay)
			continue
		}
		d.disputes.nextReportAt = d.node.clock() + disputeReportInterval
		for pause := settleInterval; d.settleRound() && d.ctx.Err() == nil; pause = min(2*pause, maxSettleInterval) {
			jayclock.Sleep(d.ctx, settleInterval)
			d.awaitDispute(pause - settleInterval)
		}
		d.repeatRemovals()
		select {
		case <-d.ctx.Done():
		case <-d.disputes.wake:
		case <-review.C:
		}
	}
}

// awaitDispute waits until a further job is disputed, for some time at most.
func (d *poolDuty) awaitDispute(atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
	case <-d.disputes.wake:
	case <-timer.C:
	}
}

// recordQueues records the queues that may have jobs in the pool: those of its jobs and the given ones, and
// those that the configuration assigns to it once they have had jobs. It reports whether the record is up
// to date.
func (d *poolDuty) recordQueues(also []*jayspec.Job) bool {
	var queues map[string]bool
	var complete bool
	if !d.ask(func() { queues, complete = d.addresses() }, askTimeout) {
		return false
	}
	for _, job := range also {
		queues[job.Address] = true
	}
	recorded, catalog := d.node.homes.Recorded(d.name), d.node.Catalog()
	for _, address := range recorded {
		// The queue of an ended job that is not known may be any that was recorded.
		if q, found := catalog.QueueAt(address); !complete || found && q.Pool == d.name {
			queues[address] = true
		}
	}
	wanted := slices.Sorted(maps.Keys(queues))
	if slices.Equal(recorded, wanted) {
		return true
	}
	if err := d.node.members.Owners.RecordQueues(d.claim, d.name, wanted); err != nil {
		d.logger.Info("queues not recorded", "queues", len(wanted), "error", err.Error())
		return false
	}
	d.logger.Info("queues recorded", "queues", len(wanted), "before", len(recorded))
	return true
}

// addresses returns the queues of the pool's jobs and cancellations; complete is false if there may be others.
func (d *poolDuty) addresses() (queues map[string]bool, complete bool) {
	queues, complete = d.pool.Addresses()
	if !d.pool.KeepsCancellations() {
		clear(d.disputes.canceledAt)
		return queues, complete
	}
	maps.Copy(queues, d.disputes.canceledAt)
	return queues, false
}

// settleRound asks the owners of other pools about all disputed jobs and settles or withdraws those that
// the answers allow. It reports whether any job remains.
func (d *poolDuty) settleRound() (more bool) {
	var jobs []*jayspec.Job
	if !d.ask(func() { jobs = d.pool.Disputed() }, askTimeout) {
		return true
	}
	if len(jobs) == 0 {
		return false
	}
	// The rounds ask about different jobs, since some may wait for a pool that does not answer.
	d.disputes.rounds++
	first := d.disputes.rounds * maxAskedJobs % len(jobs)
	jobs = slices.Concat(jobs[first:], jobs[:first])[:min(len(jobs), maxAskedJobs)]
	// The queues are recorded first: an owner that takes another pool over after its former owner has
	// answered reads them, and asks this pool.
	if !d.recordQueues(jobs) {
		return true
	}
	asked := d.node.clock()
	answers, err := d.node.askOtherPools(d.name, jobs)
	if err != nil {
		return true
	}
	d.reportDisputes(len(jobs), answers)
	d.post(func(now time.Duration) {
		var withdrawn []string
		for _, job := range jobs {
			verdict, pool := jayhome.Decide(d.name, answers.answers(job.ID))
			switch {
			case verdict == jayhome.Yield && answers.held[pool][job.ID].GetCanceled():
				// Callers are shown the job as cancelled here: the other pool does not have it.
				d.logger.Info("job cancelled in another pool", "job", job.ID, "queue", job.Queue, "pool", pool)
				d.pool.Cancel(job.ID, now)
			case verdict == jayhome.Yield && d.pool.Withdraw(job.ID, now):
				d.logger.Info("job withdrawn", "job", job.ID, "queue", job.Queue, "why", "another pool has it", "pool", pool)
				d.storedJobs.Delete(job.ID)
				withdrawn = append(withdrawn, job.ID)
			case verdict == jayhome.Keep && d.pool.Settle(job.ID, asked, now):
				d.logger.Info("job settled", "job", job.ID, "queue", job.Queue, "others", len(answers.asked[job.ID]))
			}
		}
		d.removeWithdrawn(withdrawn, now)
	})
	return true
}

// reportDisputes logs from time to time how many jobs wait for other pools, and which of these do not answer.
func (d *poolDuty) reportDisputes(jobs int, answers *holdings) {
	now := d.node.clock()
	if now < d.disputes.nextReportAt {
		return
	}
	d.disputes.nextReportAt = now + disputeReportInterval
	d.logger.Info("jobs wait for other pools", "jobs", jobs, "unanswered", answers.unanswered())
}

// removeWithdrawn removes the declarations of jobs that another pool has. Otherwise the next owner would
// read them, and begin the jobs once the other pool has forgotten them.
func (d *poolDuty) removeWithdrawn(ids []string, now time.Duration) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		if _, known := d.disputes.withdrawn[id]; !known {
			d.disputes.withdrawn[id] = now
		}
	}
	removed := func(ids []string, removed bool) {
		for _, id := range ids {
			if removed {
				delete(d.disputes.withdrawn, id)
			}
		}
	}
	declarations := d.node.intake.journals[d.node.partitionOf(d.name)]
	addToJournal(declarations, d.removals(ids), d.removed("declarations of withdrawn jobs", ids, removed))
}

// repeatRemovals repeats removals that have failed.
func (d *poolDuty) repeatRemovals() {
	if now := d.node.clock(); now >= d.disputes.nextRemovalAt {
		d.disputes.nextRemovalAt = now + queuesInterval
		d.post(func(now time.Duration) {
			maps.DeleteFunc(d.disputes.withdrawn, func(_ string, since time.Duration) bool { return now-since > maxRemovalAge })
			d.removeWithdrawn(slices.Sorted(maps.Keys(d.disputes.withdrawn)), now)
		})
	}
}
