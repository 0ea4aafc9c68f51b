package main

import (
	"encoding/json"
	"time"
)

const (
	// lastingJob is the job of another client. Its lastingTasks tasks last until they are cancelled, and
	// mayMiss of them may be away by the system's doing at the same time.
	lastingJob   = "15c0e7a21d900001"
	lastingTasks = 5
	mayMiss      = 1
)

func (s *stand) submitLasting(c *client) bool {
	spec, _ := json.Marshal(taskSpec{Long: 600_000})
	s.fleet.declare(lastingJob, []stepNeed{{cpu: 500, mem: 256}})
	step := map[string]any{"count": lastingTasks, "cpu": 500, "memMb": 256, "estMs": 1000, "longRunning": true, "mayMiss": mayMiss}
	if !c.submit("/dede484/"+lastingJob, map[string]any{"spec": string(spec), "steps": []any{step}}, 4) {
		s.record.add("the lasting job was not accepted")
		return false
	}
	return s.awaitRuns(lastingJob, lastingTasks)
}

// awaitRuns waits until a number of runs of a job has begun.
func (s *stand) awaitRuns(id string, count int) bool {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if begun := len(s.fleet.runsOf(id)); begun >= count {
			s.record.add("workers: %d runs of %s have begun; %d workers are in the pool", begun, id, len(s.fleet.workers()))
			return true
		}
	}
	s.record.add("only %d runs of %s have begun", len(s.fleet.runsOf(id)), id)
	return false
}

// judgeLasting checks the rule AVAIL: from a time on, no lease lapses that ends a task of the lasting job
// while mayMiss others of it are away. No worker drains or fails, and no disruption is near.
func (s *stand) judgeLasting(from time.Duration) int {
	runs, violations, lapses := s.fleet.runsOf(lastingJob), 0, 0
	for _, r := range runs {
		if r.how != "lapsed" || r.ended < from {
			continue
		}
		lapses++
		away := map[string]bool{}
		for _, other := range runs {
			if other.task != r.task {
				away[other.task] = true
			}
		}
		for _, other := range runs {
			if other.began < r.ended && (other.ended == 0 || other.ended > r.ended) {
				delete(away, other.task)
			}
		}
		if len(away) >= mayMiss {
			violations++
			s.record.add("check AVAIL: the lease lapsed at %.3f s, which ended %s run %d on %s, while %d others of the step were away", r.ended.Seconds(), r.task, r.number, r.worker, len(away))
		}
	}
	s.record.add("check AVAIL: from %.1f s on, %d runs of the lasting job ended with a lease that lapsed, %d of them while %d others or more were away", from.Seconds(), lapses, violations, mayMiss)
	if violations > 0 {
		return broken
	}
	return held
}
