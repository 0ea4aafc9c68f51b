package jaysoak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// patience is how long a hurried caller waits for the answer to its job.
	patience = 100 * time.Millisecond
	// hurriedPause is the time between two hurried callers.
	hurriedPause = 250 * time.Millisecond
	// hurriedSteps is the number of the steps of a hurried caller's job, one after the other, each of
	// which takes hurriedStep. The job is longer than the faults and startsEnd together.
	hurriedSteps = 60
	hurriedStep  = time.Second
	// startsEnd is how long after the last fault a task of a cancelled job may start: until all entries
	// are in touch, and then until the cancellation must have taken effect.
	startsEnd = 6 * time.Second
)

// hurriedCallers submit jobs, leave before they have an answer, and cancel the jobs at another entry.
type hurriedCallers struct {
	callers *callers
	// canceled are the IDs of the jobs whose cancellation was answered with 2xx or 410.
	canceled []string
	// submitted counts the jobs.
	submitted int
}

// run lets callers come until some time.
func (h *hurriedCallers) run(until time.Time, r *rand.Rand) {
	for ; time.Now().Before(until); time.Sleep(hurriedPause) {
		h.submitted++
		j := h.callers.newJob(1_000_000+h.submitted, []string{"/seats/", "/fees/"}[r.IntN(2)])
		if h.callers.soak.scenario.organised() {
			h.callers.soak.platform.Checker.Submitted(j.id, h.callers.soak.scenario.organisations()[j.organisation])
		}
		ctx, leave := context.WithTimeout(context.Background(), patience)
		h.callers.callContext(ctx, h.callers.soak.organisations.key(j.organisation), h.callers.soak.anyEntry(r), http.MethodPost, j.path, hurriedBody())
		leave()
		for range submitAttempts {
			status := h.callers.call(h.callers.soak.anyEntry(r), j, http.MethodDelete, nil).status
			if status/100 == 2 || status == http.StatusGone {
				h.canceled = append(h.canceled, j.id)
				break
			}
		}
	}
}

// hurriedBody returns the declaration of a job whose steps run one after the other.
func hurriedBody() []byte {
	var steps []any
	for n := range hurriedSteps {
		step := map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estMs": hurriedStep.Milliseconds()}
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	text, _ := json.Marshal(map[string]any{"spec": hurriedStep.String(), "steps": steps})
	return text
}

// check waits until no task of a cancelled job may start any more, and checks that none does.
func (h *hurriedCallers) check() {
	time.Sleep(startsEnd)
	checker := h.callers.soak.platform.Checker
	before := map[string]int{}
	for _, id := range h.canceled {
		before[id] = checker.Starts(id)
	}
	time.Sleep(3 * hurriedStep)
	for _, id := range h.canceled {
		if starts := checker.Starts(id); starts > before[id] {
			h.callers.soak.fail("unasked", fmt.Sprintf("%s starts tasks although its cancellation was answered: %d, then %d", id, before[id], starts))
		}
	}
}
