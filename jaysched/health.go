package jaysched

import (
	"time"

	"jaythread/jayport"
)

const (
	// avoidAfter is how many runs in a row must fail, of different steps,
	// before their worker is avoided: tasks that can never be done fail
	// anywhere.
	avoidAfter = 2
	// avoidFirst and avoidLongest bound for how long a worker is avoided. The
	// time doubles while its next run fails too.
	avoidFirst   = time.Second
	avoidLongest = 8 * time.Second
	// unhealthyPause is after a worker has turned work away as unhealthy.
	unhealthyPause = 500 * time.Millisecond
)

// health is what a worker's own runs say of it. A worker that fails all it
// starts goes on reporting itself well; it would take one attempt of task
// after task.
type health struct {
	// streak holds the steps of the failures since the last success.
	streak     []jayport.StepID
	avoidUntil time.Duration
	avoidFor   time.Duration
}

func (h *health) succeeded() {
	h.streak = h.streak[:0]
	h.avoidFor = 0
	h.avoidUntil = 0
}

func (h *health) failed(step jayport.StepID, now time.Duration) {
	for _, seen := range h.streak {
		if seen == step {
			return
		}
	}
	h.streak = append(h.streak, step)
	if len(h.streak) < avoidAfter {
		return
	}
	h.avoidFor = min(max(2*h.avoidFor, avoidFirst), avoidLongest)
	h.avoidUntil = now + h.avoidFor
}

func (h *health) refused(reason jayport.Reason, now time.Duration) {
	if reason == jayport.RefusedUnhealthy {
		h.avoidUntil = max(h.avoidUntil, now+unhealthyPause)
	}
}

// avoided reports whether nothing should be started on the worker now.
func (h *health) avoided(now time.Duration) bool {
	return now < h.avoidUntil
}

// onTrial reports whether the worker failed its last runs and may get one more
// to show that it is well again.
func (h *health) onTrial() bool {
	return len(h.streak) >= avoidAfter
}
