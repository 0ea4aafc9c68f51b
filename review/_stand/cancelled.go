package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancelled"] = playCancelled }

const (
	// outage is how long the store answers nothing, cancelTime is cancel_ms, and touchTime is
	// touchMs: that long after the outage all machines are in touch again.
	outage     = 4500 * time.Millisecond
	cancelTime = 3 * time.Second
	touchTime  = 3 * time.Second
	// patience is how long the callers wait for the answer to a new job before they leave.
	patience = 200 * time.Millisecond
)

// cancelledJob is a job whose caller has left, and then cancelled it.
type cancelledJob struct {
	id          string
	submitted   string
	status      int
	cancelledAt time.Time
	starts      int
	// lateStarts counts the starts later than cancelTime after the cancelling was acknowledged,
	// by machines in touch.
	lateStarts int
}

// playCancelled submits jobs just after the store has begun to answer nothing. Their callers leave
// before their deadline, and cancel them.
func playCancelled(r *record, trouble bool) int {
	s, err := newStand(r, machines, 16, entries)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.line("not run: %v", err)
		return exitNotRun
	}
	for range 10 {
		s.submit(newID(), small())
		time.Sleep(300 * time.Millisecond)
	}
	calmFrom := time.Now()
	if trouble {
		calmFrom = calmFrom.Add(outage + touchTime)
		s.silence(outage)
		r.line("store: answers nothing for %v", outage)
	}
	jobs := make([]cancelledJob, 8)
	var all sync.WaitGroup
	for n := range jobs {
		all.Go(func() { s.submitAndCancel(&jobs[n], n) })
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for n := range jobs {
			j := &jobs[n]
			starts := s.platform.Checker.Starts(j.id)
			if starts == j.starts {
				continue
			}
			now := time.Now()
			late := acknowledged(j.status) && now.After(j.cancelledAt.Add(cancelTime)) && now.After(calmFrom)
			if late {
				j.lateStarts += starts - j.starts
			}
			r.line("job %s: its task %d is started, %v after the answer to its cancelling; later than allowed: %v", j.id, starts, now.Sub(j.cancelledAt).Round(time.Millisecond), late)
			j.starts = starts
		}
	}
	broken := 0
	for _, j := range jobs {
		r.line("job %s: submitted: %s; cancelling answered with %d; state now %s; %d tasks started, %d of them later than allowed", j.id, j.submitted, j.status, s.state(j.id, askTime), j.starts, j.lateStarts)
		if j.lateStarts > 0 {
			broken++
		}
	}
	if broken > 0 {
		r.line("rule UNASKED is broken for %d of %d jobs", broken, len(jobs))
		return exitBroken
	}
	r.line("rule UNASKED held for %d jobs", len(jobs))
	return exitHeld
}

// acknowledged reports whether a status acknowledges that a job is cancelled.
func acknowledged(status int) bool {
	return status/100 == 2 || status == http.StatusGone
}

// submitAndCancel submits a job of several steps, leaves after patience, and cancels the job at
// another entry. A cancelling that gets another answer than 2xx or 410 is repeated.
func (s *stand) submitAndCancel(j *cancelledJob, n int) {
	j.id, j.submitted = newID(), "answered"
	body := job{Spec: "1500ms", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstMs: 1500}}}
	for after := range 7 {
		body.Steps = append(body.Steps, step{Count: 1, CPU: 1000, MemMB: 1000, EstMs: 1500, After: []int{after}})
	}
	if status, _, err := s.callWithin(patience, s.entries[n%len(s.entries)], http.MethodPost, j.id, body); err != nil {
		j.submitted = "the caller has left without an answer"
	} else if status != http.StatusOK {
		j.submitted = http.StatusText(status)
	}
	for try := 1; try <= 4; try++ {
		sent := time.Now()
		status, _, err := s.call(s.entries[(n+try)%len(s.entries)], http.MethodDelete, j.id, nil)
		j.status, j.cancelledAt = status, time.Now()
		s.record.line("job %s: submitted: %s; cancelling answered with %d %v after %v", j.id, j.submitted, status, err, time.Since(sent).Round(time.Millisecond))
		if acknowledged(status) {
			return
		}
	}
}
