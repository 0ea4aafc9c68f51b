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
	maxAvoidTime = 8 * time.Second
	// unhealthyAvoidTime is how long a worker is avoided after it has refused a start as
	// unhealthy.
	unhealthyAvoidTime = 500 * time.Millisecond
)

// health is the health of a worker as its own runs show it. A worker that fails every run still
// reports itself as healthy; it would use up one attempt of task after task.
//
// Long-running tasks have no attempts to use up, and no end that shows that the worker is healthy
// again: they may start on an avoided worker and are no trial. They are delayed by themselves.
type health struct {
	// failedSteps holds the steps of the failures since the last success.
	failedSteps []jayport.StepID
	avoidUntil  time.Duration
	avoidFor    time.Duration
	// refusesUntil is until when no run at all is started, since the worker has refused one as
	// unhealthy.
	refusesUntil time.Duration
	// trial is the run that was started while the worker was on trial, or nil.
	trial *run
}

// recordSuccess makes the worker trusted, and reports whether it was on trial.
func (h *health) recordSuccess() (wasOnTrial bool) {
	wasOnTrial = h.onTrial()
	*h = health{failedSteps: h.failedSteps[:0]}
	return wasOnTrial
}

// recordFailure records a failed run, and reports whether the worker is avoided for it: if runs of
// enough steps have failed, or if it was the trial.
func (h *health) recordFailure(step jayport.StepID, wasTrial bool, now time.Duration) (avoided bool) {
	if !slices.Contains(h.failedSteps, step) {
		h.failedSteps = append(h.failedSteps, step)
	} else if !wasTrial {
		return false
	}
	if len(h.failedSteps) < avoidAfter {
		return false
	}
	h.avoidFor = min(max(2*h.avoidFor, minAvoidTime), maxAvoidTime)
	h.avoidUntil = now + h.avoidFor
	return true
}

func (h *health) recordRefusal(reason jayport.Reason, now time.Duration) {
	if reason == jayport.RefusedUnhealthy {
		h.refusesUntil = now + unhealthyAvoidTime
	}
}

// refuses reports whether the worker is expected to refuse a start now.
func (h *health) refuses(now time.Duration) bool {
	return now < h.refusesUntil
}

// avoided reports whether no run that is not long-running should be started on the worker now.
func (h *health) avoided(now time.Duration) bool {
	return now < h.avoidUntil
}

// onTrial reports whether the worker failed its last runs and may get only one new run at a time
// until one succeeds.
func (h *health) onTrial() bool {
	return len(h.failedSteps) >= avoidAfter
}

// awaitsTrial reports whether the worker gets no new run, but long-running ones, before the one on
// trial has ended.
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
func (p *Pool) failed(w *worker, step jayport.StepID, wasTrial bool, now time.Duration) {
	if w.health.recordFailure(step, wasTrial, now) {
		p.recordEvent(Event{Kind: WorkerAvoided, Worker: w.ID, Detail: fmt.Sprintf("for %v, runs of %d steps failed", w.health.avoidFor, len(w.health.failedSteps))}, now)
	}
}
