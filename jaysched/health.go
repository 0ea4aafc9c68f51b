package jaysched

import (
	"fmt"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// avoidAfter is the number of consecutive failed runs, of different steps, after which
	// their worker is avoided: a task that can never succeed fails on any worker.
	avoidAfter = 2
	// minAvoidTime and maxAvoidTime limit for how long a worker is avoided. The time doubles
	// each time a run of yet another step fails before a run succeeds.
	minAvoidTime = time.Second
	maxAvoidTime = 4 * time.Second
	// unhealthyAvoidTime is how long a worker is avoided after it has refused a start as
	// unhealthy.
	unhealthyAvoidTime = 500 * time.Millisecond
	// trialTime is how long a long-running task must have run on a worker on trial to count as a
	// success: it has no other end that is one.
	trialTime = time.Second
)

// health is the health of a worker as its own runs show it. A worker that fails every run still
// reports itself as healthy; it would use up one attempt of task after task.
type health struct {
	// failedSteps holds the steps of the failures since the last success.
	failedSteps []jayport.StepID
	avoidUntil  time.Duration
	avoidFor    time.Duration
	// trial is the run that was started while the worker was on trial, or nil. Runs that the
	// worker had before do not prevent a trial: they may be long-running.
	trial *run
}

// recordSuccess makes the worker trusted, and reports whether it was on trial.
func (h *health) recordSuccess() (wasOnTrial bool) {
	wasOnTrial = h.onTrial()
	*h = health{failedSteps: h.failedSteps[:0]}
	return wasOnTrial
}

// recordFailure records a failed run, and reports whether the worker is avoided for it.
func (h *health) recordFailure(step jayport.StepID, now time.Duration) (avoided bool) {
	if slices.Contains(h.failedSteps, step) {
		return false
	}
	h.failedSteps = append(h.failedSteps, step)
	if len(h.failedSteps) < avoidAfter {
		return false
	}
	h.avoidFor = min(max(2*h.avoidFor, minAvoidTime), maxAvoidTime)
	h.avoidUntil = now + h.avoidFor
	return true
}

func (h *health) recordRefusal(reason jayport.Reason, now time.Duration) {
	if reason == jayport.RefusedUnhealthy {
		h.avoidUntil = max(h.avoidUntil, now+unhealthyAvoidTime)
	}
}

// avoided reports whether no run should be started on the worker now.
func (h *health) avoided(now time.Duration) bool {
	return now < h.avoidUntil
}

// onTrial reports whether the worker failed its last runs and may get only one new run at a time
// until one succeeds.
func (h *health) onTrial() bool {
	return len(h.failedSteps) >= avoidAfter
}

// awaitsTrial reports whether the worker gets no new run before the one on trial has ended or
// succeeded.
func (h *health) awaitsTrial() bool {
	return h.onTrial() && h.trial != nil
}

// succeeded records a success on a worker.
func (p *Pool) succeeded(w *worker, now time.Duration) {
	if w.health.recordSuccess() {
		p.recordEvent(Event{Kind: WorkerTrusted, Worker: w.ID}, now)
	}
}

// failed records a failed run on a worker.
func (p *Pool) failed(w *worker, step jayport.StepID, now time.Duration) {
	if w.health.recordFailure(step, now) {
		p.recordEvent(Event{Kind: WorkerAvoided, Worker: w.ID, Detail: fmt.Sprintf("for %v, runs of %d steps failed", w.health.avoidFor, len(w.health.failedSteps))}, now)
	}
}

// reviewTrial ends a worker's trial if a long-running task has run there for long enough.
func (p *Pool) reviewTrial(w *worker, now time.Duration) {
	r := w.health.trial
	if r != nil && r.task.step.decl.LongRunning && r.phase == running && now-r.confirmedAt >= trialTime {
		p.succeeded(w, now)
	}
}
