package jaysched

import (
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// resendDelay is the delay before an order without an answer is sent again. The answer to
	// an order takes some milliseconds.
	resendDelay = 100 * time.Millisecond
	// unreportedTimeout is the time after which an order whose outcome was not passed to the
	// pool counts as unanswered.
	unreportedTimeout = 5 * time.Second
	// runNumbersPerTerm is the number of run numbers reserved for one owner: each owner's
	// numbers are above those of all former owners, whether it knows their runs or not.
	runNumbersPerTerm = 10_000
)

// Decide returns the actions that are due now.
func (p *Pool) Decide(now time.Duration) []Action {
	p.confirmOwner(now)
	if p.right.Lapsed(now) {
		// Another owner may have waited until this owner's leases ended, and may act now.
		p.heldBack = false
		return p.takeActions()
	}
	p.holdDue(now)
	p.expireLeases(now)
	p.resend(now)
	p.startRecorded(now)
	p.reviewKept(now)
	p.vacate(now)
	p.reviewDeadlines(now)
	p.reviewSpeeds(now)
	p.place(now)
	p.leaveSlowWorkers(now)
	p.startCopies(now)
	p.throttleBestEffort(now)
	p.renewLeases(now)
	return p.takeActions()
}

// holdDue holds the occurrences that have become due.
func (p *Pool) holdDue(now time.Duration) {
	for _, j := range p.open {
		j.holdDue(now)
	}
}

func (p *Pool) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// expireLeases gives up the runs of silent workers whose lease must have ended, so that their
// tasks can start elsewhere.
func (p *Pool) expireLeases(now time.Duration) {
	var left []*worker
	for _, w := range p.sorted {
		if w.contact == silent && now >= w.leaseBound && p.right.Covers(w.leaseBound) {
			w.contact = lapsed
			w.lapsedSuspects, w.lapsedSuspectsAtStart = w.suspects()
			p.recordEvent(Event{Kind: WorkerLapsed, Worker: w.ID, Since: w.lastAnswerAt}, now)
			p.loseRuns(w, "its lease has ended", w.leaseBound, now)
		}
		// Requests to a worker that is no longer listed and does not answer are not repeated
		// forever: each attempt is a new connection to an address that may belong to another
		// worker by now. While tasks are held for runs of a former owner, however, a worker
		// that never reported may have such a run.
		mayRun := p.mayHaveFormerRuns(w) && now < p.formerRuns.heldUntil
		// So may one with runs of a job that is not known yet, until its lease has ended.
		mayRun = mayRun || len(w.unknownJobs) > 0 && w.contact != lapsed && now < w.leaseBound
		if !w.listed && w.contact != connected && len(w.runs) == 0 && !mayRun {
			left = append(left, w)
		}
	}
	for _, w := range left {
		// Its heartbeat has expired, so that a later one shows that it was only cut off.
		p.giveUpWorker(w, "left the list", now)
	}
}

// resend repeats orders whose answers were lost, to workers that answer.
func (p *Pool) resend(now time.Duration) {
	for _, w := range p.sorted {
		if w.contact != connected || now < w.resendAt {
			continue
		}
		w.resendAt = MaxDuration
		for _, r := range w.inOrder {
			p.resendRun(r, now)
			r.expectAnswer()
		}
	}
}

// resendRun repeats the order for a run if its answer is overdue.
func (p *Pool) resendRun(r *run, now time.Duration) {
	if now < r.resendAt {
		return
	}
	switch r.phase {
	case unanswered:
		if r.worker.overCommitted() {
			// The start may have been carried out; if not, there is no room for it any more.
			p.stop(r, "noRoomAnyMore", now)
			return
		}
		p.sendStart(r, now)
	case stopping:
		r.resendAfter(now)
		p.actions = append(p.actions, StopRun{To: r.worker.workerRef(), Run: r.ref(), Why: r.stopWhy})
	case ordered:
		// The answer was lost inside this process.
		if now >= r.resendAt+unreportedTimeout {
			r.phase = unanswered
		}
	case running, stopped, unrecorded:
	}
}

// sendStart sends the start order of a run, or repeats it.
func (p *Pool) sendStart(r *run, now time.Duration) {
	r.attempt++
	r.phase = ordered
	r.resendAfter(now)
	p.actions = append(p.actions, StartRun{
		To: r.worker.workerRef(),
		Order: jayport.StartOrder{
			Run:        r.ref(),
			Spec:       r.task.step.job.spec.Text,
			Fence:      p.fence,
			LeaseUntil: r.worker.leaseUntil(now, p.settings.Lease),
			Checkpoint: r.checkpoint,
			Ticket:     r.ticket,
		},
		Attempt: r.attempt,
	})
}

// start begins a run of a task on a worker.
func (p *Pool) start(t *task, w *worker, number int64, now time.Duration) {
	r := &run{task: t, worker: w, number: number, need: needOf(t.step), orderedAt: now, checkpoint: t.checkpoint(), isolation: t.isolation()}
	if t.step.job.advised {
		r.ticket, _ = t.step.ticketFor(w.ID, now)
	}
	t.lastRun = number
	t.addRun(r)
	p.forgetPlace(t)
	w.add(r)
	if w.health.onTrial() && !t.step.decl.LongRunning {
		w.health.trial = r
	}
	p.quotas.countRun(r, 1)
	p.recordStart(t, w, number)
	if t.step.recordsPlacements() {
		p.recordPlacement(r)
		return
	}
	p.sendFirstStart(r, now)
}

// sendFirstStart sends the start order of a run for the first time.
func (p *Pool) sendFirstStart(r *run, now time.Duration) {
	waited := now - r.task.step.readyAt
	if len(r.task.runs) > 1 {
		waited = 0 // a copy: its task runs already
	}
	p.recordEvent(Event{Kind: RunStarted, Worker: r.worker.ID, Run: r.ref(), Since: now - r.worker.lastAnswerAt, Waited: waited}, now)
	p.startsLeft--
	r.orderedAt = now
	p.sendStart(r, now)
}

// fullSpeed is the speed, in percent, of a run that is not throttled.
const fullSpeed = 100

// nextRun returns the number of a task's next run.
func (p *Pool) nextRun(last int64) int64 {
	return max(last+1, (p.term-1)*runNumbersPerTerm+1)
}

const (
	// idleReportWait is how long a worker without short runs may delay its report until a run
	// ends, and busyReportWait the same for a worker with runs that end soon. They limit how
	// late a silent worker is noticed, and how late an end whose report was lost.
	idleReportWait = time.Second
	busyReportWait = 400 * time.Millisecond
	// unrecordedDelay is the least delay before the next request to a worker whose ends are not
	// recorded yet, or whose report has unreadable or unknown rows: it would give the same
	// answer immediately. The delay is delayPerEnd for each end that the answer lists, up to
	// maxUnrecordedDelay.
	unrecordedDelay    = 100 * time.Millisecond
	delayPerEnd        = 5 * time.Millisecond
	maxUnrecordedDelay = time.Second
	// silentRetryDelay is the delay before a silent worker is asked again.
	silentRetryDelay = 200 * time.Millisecond
	// silentAfter is the number of consecutive missing reports after which a worker counts as
	// silent.
	silentAfter = 2
)

// repeatDelay returns the delay before a worker is asked again that would give the same answer
// immediately, with as many ends.
//
// It handles this load: a pool had no owner for some seconds, and each of its hundreds of workers
// lists all ends since. Asked again every unrecordedDelay, they would occupy the new owner until
// it answers no pings, and is replaced before it has recorded the ends.
func repeatDelay(ends int) time.Duration {
	return min(max(unrecordedDelay, time.Duration(ends)*delayPerEnd), maxUnrecordedDelay)
}

// reportWait returns how long the worker may delay its next report: not at all if it would
// answer immediately anyway, or if its previous report is missing. A worker with a suspect must
// show soon that it has survived.
func (w *worker) reportWait() time.Duration {
	switch {
	case w.processed != w.acknowledged || w.missingReports > 0 || len(w.unknownJobs) > 0 || len(w.withheldFor) > 0:
		return 0
	case w.suspected > 0:
		return startRiskTime
	case slices.ContainsFunc(w.inOrder, func(r *run) bool { return !r.task.step.decl.LongRunning }):
		return busyReportWait
	default:
		return idleReportWait
	}
}

// renewLeases sends a lease renewal to each worker without a pending one.
func (p *Pool) renewLeases(now time.Duration) {
	for _, w := range p.sorted {
		if w.asking || now < w.askAt {
			continue
		}
		order := jayport.LeaseOrder{Fence: p.fence, Acknowledged: w.acknowledged}
		if w.contact == connected {
			order.Wait = w.reportWait()
		}
		// The lease of a worker that may have become silent is not extended: its tasks would
		// start elsewhere later by as much.
		if w.contact == connected && w.missingReports == 0 && len(w.withheldFor) == 0 {
			order.LeaseUntil = w.leaseUntil(now, p.settings.Lease)
		}
		w.asking = true
		unanswered := 0
		if w.contact == unconfirmed {
			unanswered = w.missingReports
		}
		p.actions = append(p.actions, RenewLease{To: w.workerRef(), Order: order, Unanswered: unanswered})
	}
}
