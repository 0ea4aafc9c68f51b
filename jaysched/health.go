package jaysched

import (
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
type health struct {
	// failedSteps holds the steps of the failures since the last success.
	failedSteps []jayport.StepID
	avoidUntil  time.Duration
	avoidFor    time.Duration
}

func (h *health) recordSuccess() {
	h.failedSteps = h.failedSteps[:0]
	h.avoidFor = 0
	h.avoidUntil = 0
}

func (h *health) recordFailure(step jayport.StepID, now time.Duration) {
	for _, seen := range h.failedSteps {
		if seen == step {
			return
		}
	}
	h.failedSteps = append(h.failedSteps, step)
	if len(h.failedSteps) < avoidAfter {
		return
	}
	h.avoidFor = min(max(2*h.avoidFor, minAvoidTime), maxAvoidTime)
	h.avoidUntil = now + h.avoidFor
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

// onTrial reports whether the worker failed its last runs and may get only one run at a time
// until one succeeds.
func (h *health) onTrial() bool {
	return len(h.failedSteps) >= avoidAfter
}
