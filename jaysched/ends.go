package jaysched

import (
	"fmt"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// failureRetryDelay is the delay before a failed task starts again. It is short, since the
	// task prefers a worker on which it has not failed.
	failureRetryDelay = 10 * time.Millisecond
	// maxFailureRetryDelay limits the delay of a long-running task, which doubles with each run
	// that fails before it has run for as long.
	maxFailureRetryDelay = time.Second
)

// failureDelay returns the delay before the task starts again after a run that failed. The number of
// a long-running task's failures has no limit.
func (t *task) failureDelay(ran time.Duration) time.Duration {
	if !t.step.decl.LongRunning || ran >= maxFailureRetryDelay {
		t.retryDelay = 0
	}
	t.retryDelay = min(max(2*t.retryDelay, failureRetryDelay), maxFailureRetryDelay)
	return t.retryDelay
}

// processEnd handles the end of a run from a worker's list.
func (p *Pool) processEnd(w *worker, end jayport.EndedRun, now time.Duration) {
	t := p.taskOf(end.Run.Task)
	r, present := w.runs[end.Run]
	wasTrial, ran := present && w.health.trial == r, time.Duration(0)
	if present {
		ran = now - r.orderedAt
		w.fullUntil = 0
		if end.Ending == jayport.EndedDone {
			p.dropRun(r, now)
		} else {
			p.loseRun(r, now, now)
		}
		p.recordEvent(Event{Kind: RunEnded, Worker: w.ID, Run: end.Run, Detail: end.Ending.String(), Waited: now - r.confirmedAt}, now)
	}
	if t == nil && present {
		t = r.task
	}
	if t == nil {
		p.processLateEnd(w, end, now)
		return
	}
	t.step.job.begun = true
	t.lastRun = max(t.lastRun, end.Run.Number)
	t.trialShown(end.Run.Number, w, false)
	p.endTrial(t, end.Run.Number)
	t.step.gangRun = max(t.step.gangRun, end.Run.Number)
	if !t.done && len(t.runs) == 0 {
		t.saveCheckpoint(end.Checkpoint, end.Run.Number)
	}
	switch end.Ending {
	case jayport.EndedDone:
		w.lastDone = end.Number
		p.taskDone(t, r, w, now)
	case jayport.EndedFailed:
		p.failed(w, t.step.id, wasTrial, now)
		p.taskFailed(t, w, end.Run.Number, ran, now)
	case jayport.EndedStopped, jayport.EndedLapsed, jayport.EndedBroken, jayport.EndedAlone, jayport.EndedUnknown:
	}
}

// processLateEnd handles the end of a run of a task that is done, or whose job has ended. The pool does
// not have the run any more, and the end counts only for the worker.
func (p *Pool) processLateEnd(w *worker, end jayport.EndedRun, now time.Duration) {
	if _, known := p.jobs[end.Run.Task.Job]; !known {
		p.recordEvent(Event{Kind: EndIgnored, Worker: w.ID, Run: end.Run, Detail: end.Ending.String() + ", of an unknown job"}, now)
		return
	}
	switch end.Ending {
	case jayport.EndedDone:
		w.lastDone = end.Number
		p.succeeded(w, now)
	case jayport.EndedFailed:
		id := end.Run.Task
		p.failed(w, jayport.StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}, false, now)
	case jayport.EndedStopped, jayport.EndedLapsed, jayport.EndedBroken, jayport.EndedAlone, jayport.EndedUnknown:
	}
}

// taskDone handles a successful end of a run of a task. The end of one member of a gang ends
// the whole gang.
func (p *Pool) taskDone(t *task, r *run, w *worker, now time.Duration) {
	p.succeeded(w, now)
	if t.done || t.step.decl.LongRunning || t.step.job.outcome != Open {
		return
	}
	if r == nil && len(t.runs) > 0 && !t.step.decl.Speculative {
		// The worker was silent beyond its lease and the task was started elsewhere; the result
		// of that run decides.
		p.recordEvent(Event{Kind: EndIgnored, Worker: w.ID, Run: jayport.RunRef{Task: t.id()}, Detail: "superseded"}, now)
		return
	}
	if r != nil && p.runDone(r, now) {
		p.durations.observe(t.step, now-r.confirmedAt)
	}
	p.copyEnded(t, r, now)
	finished := []*task{t}
	if t.step.decl.Gang {
		finished = slices.Clone(t.step.tasks)
	}
	for _, f := range finished {
		p.finishTask(f, now)
	}
	p.markChanged(t.step.job)
	if t.step.open == 0 {
		p.stepDone(t.step, now)
	}
}

func (p *Pool) finishTask(t *task, now time.Duration) {
	if t.done {
		return
	}
	t.finish()
	for _, other := range t.runs {
		if !t.step.decl.Gang {
			p.stop(other, "anotherCopyEnded", now)
		}
	}
}

// stepDone unblocks the steps that depend on a step and ends the job with its last step.
func (p *Pool) stepDone(s *step, now time.Duration) {
	for _, next := range s.successors {
		next.openPredecessors--
		next.readyAt = now
	}
	s.occ.openSteps--
	if s.occ.openSteps > 0 {
		return
	}
	s.job.endOccurrence(s.occ)
	if s.job.series.Open() > 0 {
		return
	}
	p.end(s.job, Done, now)
	p.recordEvent(Event{Kind: JobEnded, Job: s.job.spec.ID, Detail: Done.String(), Waited: now - s.job.submittedAt}, now)
}

// taskFailed handles a run that failed after it had run for some time, whether the task or the
// worker was at fault.
func (p *Pool) taskFailed(t *task, w *worker, number int64, ran, now time.Duration) {
	if t.done || t.step.job.outcome != Open {
		return
	}
	t.notBefore = now + t.failureDelay(ran)
	if !slices.Contains(t.failedOn, w.ID) {
		t.failedOn = append(t.failedOn, w.ID)
	}
	if t.step.decl.LongRunning || slices.Contains(t.failedRuns, number) {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	p.markChanged(t.step.job)
	if failures := t.failures(); failures >= p.policy(t.step.job.spec).Attempts {
		p.end(t.step.job, Failed, now)
		p.recordEvent(Event{Kind: JobEnded, Job: t.step.job.spec.ID, Detail: fmt.Sprintf("failed: %s failed %d times", t.id(), failures), Waited: now - t.step.job.submittedAt}, now)
	}
}

// failures counts the failed runs of a task, or of its gang.
func (t *task) failures() int {
	if !t.step.decl.Gang {
		return len(t.failedRuns)
	}
	failed := map[int64]bool{}
	for _, member := range t.step.tasks {
		for _, number := range member.failedRuns {
			failed[number] = true
		}
	}
	return len(failed)
}
