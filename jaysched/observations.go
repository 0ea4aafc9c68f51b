package jaysched

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"jaythread/jayport"
)

// Listed handles the newest list of the pool's workers. A worker that is not listed gets no new
// run; its present runs end with its lease.
func (p *Pool) Listed(list []jayport.Worker, now time.Duration) {
	for _, w := range p.sorted {
		w.listed = false
	}
	p.forgetEnded(list, now)
	for _, listed := range list {
		w, known := p.workers[listed.ID]
		if known && w.Incarnation != listed.Incarnation && listed.Incarnation != 0 {
			known = p.otherIncarnationListed(w, listed, now)
		}
		if !known {
			if p.endedWorkers[listed.ID].includes(listed.Incarnation, now) {
				continue
			}
			w = p.join(listed, now)
		}
		if w.Incarnation == listed.Incarnation || listed.Incarnation == 0 {
			p.update(w, listed, now)
		}
	}
	p.updateMaxCapacity()
}

// otherIncarnationListed handles the heartbeat of an incarnation other than the known one, and
// reports whether the known one remains. Heartbeats of one worker are listed in the order of
// its starts. If the known incarnation was learned only from an answer, it may be older or
// newer than the listed one; the worker's own answers decide.
func (p *Pool) otherIncarnationListed(w *worker, listed jayport.Worker, now time.Duration) (remains bool) {
	switch {
	case w.Incarnation == 0:
		p.identify(w, listed.Incarnation)
		return true
	case w.identified || p.endedWorkers[listed.ID].includes(listed.Incarnation, now):
		return true
	default:
		p.Ended(w.workerRef(), "it was started again", now)
		return false
	}
}

// identify sets the incarnation of a worker that was in use before its incarnation was known.
func (p *Pool) identify(w *worker, incarnation jayport.Incarnation) {
	p.actions = append(p.actions, ForgetWorker{To: w.workerRef()})
	w.Incarnation, w.identified = incarnation, true
}

// join adds a worker.
func (p *Pool) join(listed jayport.Worker, now time.Duration) *worker {
	w := newWorker(listed, now)
	p.insert(w)
	p.quotas.possible = nil
	p.formerRuns.listed(w.ID)
	if former := p.endedWorkers[w.ID].former; len(former) > 0 {
		p.recordEvent(Event{Kind: WorkerReturned, Worker: w.ID, Detail: fmt.Sprintf("incarnation %d after %d", w.Incarnation, former[len(former)-1])}, now)
	} else {
		p.recordEvent(Event{Kind: WorkerJoined, Worker: w.ID, Detail: incarnationText(w.Incarnation)}, now)
	}
	if order, vacating := p.vacating.orders[w.ID]; vacating && now < p.vacating.until {
		w.vacate(order)
	}
	return w
}

// update applies the attributes in a worker's newest heartbeat.
func (p *Pool) update(w *worker, listed jayport.Worker, now time.Duration) {
	if listed.Draining && !w.Draining {
		p.recordEvent(Event{Kind: WorkerDrains, Worker: w.ID}, now)
	}
	if listed.Capacity != w.Capacity {
		p.resize(w, listed.Capacity, now)
		p.quotas.possible = nil
	}
	w.listed = true
	w.Draining = listed.Draining
	w.DrainLeft = listed.DrainLeft
	w.Warming = listed.Warming
	w.Addr = listed.Addr
}

// InventoryRead handles the list of workers that the inventory had in the pool at the time
// asked. A worker that is not on the list of workers may have runs that a former owner started;
// a worker that the inventory no longer has, and that has not answered since, has ended. One that it
// never had must leave a request unanswered as well: it may be on the list of workers first. A list
// of the inventory that is older than the newest one is ignored.
func (p *Pool) InventoryRead(ids []string, asked, now time.Duration) {
	if !p.formerRuns.inventoryRead(ids, asked, now, p.workers) {
		return
	}
	p.quotas.possible = nil
	exists := make(map[string]bool, len(ids))
	for _, id := range ids {
		exists[id] = true
	}
	var ended []*worker
	for _, w := range p.sorted {
		w.inventoried = w.inventoried || exists[w.ID]
		if !exists[w.ID] && w.joinedAt < asked && w.lastAnswerAt < asked && (w.inventoried || w.missingReports > 0) {
			w.confirmedLost = true
			ended = append(ended, w)
		}
	}
	for _, w := range ended {
		p.Ended(w.workerRef(), "not in the inventory", now)
	}
	if p.formerRuns.candidatesAt == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.formerTrials)) {
		if _, known := p.workers[id]; !known && !exists[id] {
			p.endFormerTrials(id, 0, true, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.formerPlacements)) {
		if _, known := p.workers[id]; !known && !exists[id] {
			p.endFormerPlacements(id)
		}
	}
}

// NeedsInventory reports whether the pool waits for information about workers that do not answer.
func (p *Pool) NeedsInventory(now time.Duration) bool {
	if p.formerRunsPossible(now) || p.formerTrialsOpen(now) {
		return true
	}
	return slices.ContainsFunc(p.sorted, func(w *worker) bool { return w.contact == silent && len(w.runs) > 0 })
}

// Ended handles the end of an incarnation of a worker: none of its runs continues.
func (p *Pool) Ended(ref jayport.WorkerRef, why string, now time.Duration) {
	w, known := p.workerOf(ref)
	if !known {
		return
	}
	p.giveUpWorker(w, why, now)
	p.endedWorkers[w.ID] = p.endedWorkers[w.ID].with(w.Incarnation, now)
}

// giveUpWorker removes a worker with its runs and attributes its loss. Unless its incarnation is
// known to have ended it may be listed again, and then joins again.
func (p *Pool) giveUpWorker(w *worker, why string, now time.Duration) {
	suspects, atStart := w.suspects()
	if w.contact == lapsed {
		suspects, atStart = w.lapsedSuspects, w.lapsedSuspectsAtStart
	}
	if !w.Draining && !w.closed {
		p.recordLoss(w, now)
	}
	p.recordEvent(Event{Kind: WorkerLeft, Worker: w.ID, Detail: why}, now)
	for _, r := range w.inOrder {
		p.endTrial(r.task, r.number)
	}
	p.loseRuns(w, why, now, now)
	p.formerWorkerLost(w, now)
	p.remove(w)
	p.forgetAdvice(w)
	p.actions = append(p.actions, ForgetWorker{To: w.workerRef()})
	p.attribute(w, suspects, atStart, now)
	p.endFormerTrials(w.ID, w.Incarnation, !w.Draining, now)
	p.endFormerPlacements(w.ID)
}

// loseRuns removes all runs of a worker, which were over at some time: their tasks wait again.
func (p *Pool) loseRuns(w *worker, why string, over, now time.Duration) {
	for _, r := range slices.Clone(w.inOrder) {
		p.recordEvent(Event{Kind: RunLost, Worker: w.ID, Run: r.ref(), Detail: why, Since: now - w.lastAnswerAt, Waited: now - r.orderedAt}, now)
		p.loseRun(r, over, now)
	}
}

// loseRun removes a run that was over at some time without its task being done, as far as is known: a
// replaced owner may learn of it as the next one does.
func (p *Pool) loseRun(r *run, over, now time.Duration) {
	r.task.lostAt = over
	p.right.Need(over)
	p.dropRun(r, now)
}

func (p *Pool) dropRun(r *run, now time.Duration) {
	if r.worker.remove(r, now) {
		p.quotas.countRun(r, -1)
	}
	r.task.removeRun(r)
	r.task.droppedAt = now
	p.placementChanged(r.task)
}

// ReportFailed handles a request for a report that a worker did not answer.
func (p *Pool) ReportFailed(ref jayport.WorkerRef, now time.Duration) {
	w, known := p.workerOf(ref)
	if !known {
		return
	}
	w.asking = false
	if w.missingReports == 0 {
		w.missingSince = now
	}
	w.missingReports++
	if w.contact == connected && w.missingReports < silentAfter {
		// A single answer may be lost although the worker is healthy.
		w.askAt = now
		return
	}
	w.askAt = now + silentRetryDelay
	if w.contact == connected {
		w.contact = silent
		p.recordEvent(Event{Kind: WorkerSilent, Worker: w.ID, Since: w.lastAnswerAt}, now)
	}
}

// Reported handles a worker's report, which was requested at the time asked: it includes the
// orders that were answered before that time.
func (p *Pool) Reported(ref jayport.WorkerRef, report jayport.Report, asked, now time.Duration) {
	w, known := p.workerOf(ref)
	if !known {
		return
	}
	if report.Incarnation != 0 && report.Incarnation != w.Incarnation {
		if w.Incarnation != 0 {
			p.Ended(ref, "another incarnation answers", now)
			return
		}
		p.identify(w, report.Incarnation)
	}
	p.answered(w, now)
	p.withholdLease(w)
	w.recordClock(report.Clock, now)
	w.pace.reportedAt = now
	p.clearSuspicions(w, now)
	clear(w.unknownJobs)
	processed := p.processEnds(w, report.Ended, now)
	if processed && !report.Partial && len(report.Ended) < jayport.MaxReportedEnds {
		p.formerRuns.reported(w.ID)
	}
	seen := p.processActiveRuns(w, report.Active, now)
	for _, end := range report.Ended {
		if end.Number > w.processed {
			seen[end.Run] = true // listed, though its end is processed later
		}
	}
	if len(report.Ended) < jayport.MaxReportedEnds && !report.Partial {
		p.dropMissing(w, seen, asked, now)
		if processed {
			p.endFormerTrials(w.ID, w.Incarnation, false, now)
			p.endFormerPlacements(w.ID)
		}
	}
	w.askAt = now
	switch {
	case w.unaccountedRuns > 0 || len(w.withheldFor) > 0:
		w.askAt = now + unrecordedDelay // the worker takes no runs until the next report
	case w.processed > w.acknowledged || report.Partial || len(w.unknownJobs) > 0:
		w.askAt = now + repeatDelay(len(report.Ended))
	}
}

// answered records that a worker answers.
func (p *Pool) answered(w *worker, now time.Duration) {
	if w.contact != connected {
		p.recordEvent(Event{Kind: WorkerAnswers, Worker: w.ID, Since: w.lastAnswerAt}, now)
	}
	if w.contact == unconfirmed {
		w.firstReportAt = now
	}
	w.contact = connected
	w.asking = false
	w.missingReports = 0
}

// processEnds handles the new ends in order, up to one whose job may still become known. It reports
// whether it has handled all of them.
func (p *Pool) processEnds(w *worker, ends []jayport.EndedRun, now time.Duration) (all bool) {
	for _, end := range ends {
		if end.Number <= w.processed {
			continue
		}
		if p.mayBecomeKnown(w, end.Run, now) {
			return false
		}
		p.processEnd(w, end, now)
		w.processed = end.Number
	}
	return true
}

// processActiveRuns handles the active runs on a worker and counts those that must not continue
// there. It returns all runs that the worker has listed.
func (p *Pool) processActiveRuns(w *worker, runs []jayport.ActiveRun, now time.Duration) map[jayport.RunRef]bool {
	seen := make(map[jayport.RunRef]bool, len(runs))
	w.unaccountedRuns = 0
	for _, active := range runs {
		seen[active.Run] = true
		if p.mayBecomeKnown(w, active.Run, now) || !p.processActiveRun(w, active, now) {
			w.unaccountedRuns++
		}
	}
	return seen
}

// dropMissing removes runs that the worker had confirmed before the report was requested and
// that it now lists neither as active nor as ended.
func (p *Pool) dropMissing(w *worker, seen map[jayport.RunRef]bool, asked, now time.Duration) {
	for _, r := range slices.Clone(w.inOrder) {
		confirmed := r.confirmedAt > 0 && r.confirmedAt < asked
		if confirmed && !seen[r.ref()] {
			p.recordEvent(Event{Kind: RunVanished, Worker: w.ID, Run: r.ref(), Waited: now - r.orderedAt}, now)
			p.endTrial(r.task, r.number)
			p.loseRun(r, now, now)
		}
	}
}

// processActiveRun handles a run that a worker lists as active, and reports whether it may
// continue there.
func (p *Pool) processActiveRun(w *worker, active jayport.ActiveRun, now time.Duration) (mayContinue bool) {
	if r, known := w.runs[active.Run]; known {
		p.confirm(r, now)
		r.speed, r.load = active.Speed, active.Load
		r.task.saveCheckpoint(active.Checkpoint, active.Run.Number)
		return true
	}
	t := p.taskOf(active.Run.Task)
	adopted := t != nil && !t.done && t.step.job.outcome == Open && (len(t.runs) == 0 || t.step.decl.Speculative)
	if !adopted {
		p.actions = append(p.actions, StopRun{To: w.workerRef(), Run: active.Run, Why: "notWanted"})
		return false
	}
	r := &run{task: t, worker: w, number: active.Run.Number, phase: running, need: needOf(t.step), orderedAt: now, confirmedAt: now, speed: active.Speed, isolation: t.isolation()}
	w.add(r)
	p.quotas.countRun(r, 1)
	t.addRun(r)
	p.adoptCopy(t)
	t.lastRun = max(t.lastRun, r.number)
	t.step.gangRun = max(t.step.gangRun, r.number)
	t.mayRunUnreported = false
	p.placementAdopted(r)
	t.trialShown(r.number, w, true)
	t.step.job.started = true
	t.saveCheckpoint(active.Checkpoint, active.Run.Number)
	p.recordEvent(Event{Kind: RunAdopted, Worker: w.ID, Run: active.Run}, now)
	return true
}

// confirm records that a worker has a run.
func (p *Pool) confirm(r *run, now time.Duration) {
	if r.confirmedAt == 0 {
		r.confirmedAt = now
	}
	if r.phase == ordered || r.phase == unanswered {
		r.phase = running
		r.worker.fullFor = 0
	}
	if !r.task.step.job.started {
		r.task.step.job.started = true
	}
}

func (p *Pool) taskOf(id jayport.TaskID) *task {
	j, known := p.jobs[id.Job]
	if !known {
		return nil
	}
	return j.taskOf(id)
}

// StartAnswered handles the answer to a start order.
func (p *Pool) StartAnswered(to jayport.WorkerRef, ref jayport.RunRef, clock time.Duration, err error, now time.Duration) {
	w, known := p.workerOf(to)
	if !known {
		return
	}
	r, known := w.runs[ref]
	if !known {
		return
	}
	if err == nil {
		w.recordClock(clock, now)
		p.confirm(r, now)
		return
	}
	var refused *jayport.RefusedError
	if !errors.As(err, &refused) {
		if r.phase == ordered {
			r.phase = unanswered
			r.expectAnswer()
		}
		return
	}
	w.recordClock(refused.Clock, now)
	p.startRefused(r, refused.Reason, now)
}

// startRefused removes a run that the worker has refused. A repeated start that is outdated may
// have run and ended; its end is in the worker's list, so the report decides.
func (p *Pool) startRefused(r *run, reason jayport.Reason, now time.Duration) {
	p.recordEvent(Event{Kind: StartRefused, Worker: r.worker.ID, Run: r.ref(), Detail: reason.String()}, now)
	if reason == jayport.RefusedOutdated && r.attempt > 1 {
		r.confirmedAt = now
		return
	}
	r.worker.recordRefusal(reason, now)
	if r.attempt > 1 {
		// An earlier start had no answer and may be carried out seconds later, whatever the
		// answer to the repeated one. Once the worker has confirmed a stop it refuses that run
		// permanently, and the task can start elsewhere.
		p.stop(r, "refusedAfterALostAnswer", now)
		return
	}
	r.task.notBefore = now + refusedRetryDelay
	p.endTrial(r.task, r.number)
	if reason == jayport.RefusedNoTicket {
		delete(r.task.step.advice.tickets, r.worker.ID)
	}
	p.dropUnstarted(r, now)
}

// dropUnstarted removes a run that has not begun: its task has waited since its previous run.
func (p *Pool) dropUnstarted(r *run, now time.Duration) {
	waitingSince := r.task.droppedAt
	p.dropRun(r, now)
	r.task.droppedAt = waitingSince
}

// refusedRetryDelay is the delay before a refused task is started again: the worker's actual
// room is known only with its next report.
const refusedRetryDelay = 20 * time.Millisecond

// StopAnswered handles the answer to a stop order.
func (p *Pool) StopAnswered(to jayport.WorkerRef, ref jayport.RunRef, clock time.Duration, err error, now time.Duration) {
	w, known := p.workerOf(to)
	if !known {
		return
	}
	r, known := w.runs[ref]
	if err == nil {
		w.recordClock(clock, now)
		if known && r.phase == stopping {
			r.phase = stopped
			// The worker's next report shows the outcome of the run: a run that had not started
			// is in no list.
			if r.confirmedAt == 0 {
				r.confirmedAt = now
			}
		}
		return
	}
	if known && r.phase == stopping {
		r.resendAfter(now)
	}
}
