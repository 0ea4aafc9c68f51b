package jaysched

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"jaythread/jayport"
)

const (
	// waitReportAfter is how long a long-running task waits before its wait is reported, and
	// waitReportInterval is the time between two such reports.
	waitReportAfter    = 2 * time.Second
	waitReportInterval = time.Second
)

// obstacle is what keeps a task from starting on a worker.
type obstacle uint8

const (
	noObstacle obstacle = iota
	// notUsable workers are unlisted, draining, closed, or do not answer.
	notUsable
	// notConfirmed workers joined after the owner's latest confirmation.
	notConfirmed
	// unaccounted workers have runs that the pool does not account for, or get no lease yet.
	unaccounted
	// refusing workers have just refused a start.
	refusing
	// avoided workers have failed runs; long-running tasks may start there.
	avoided
	wrongLabel
	// limitReached workers have as many tasks of the step as may share one.
	limitReached
	notAdvised
	lacksRoom
	// reserved workers are reserved for another task.
	reserved
	// isolated workers have a suspect, or a run that the task, a suspect, must not join.
	isolated
	// tooSlow workers would end the task too late for its job.
	tooSlow
)

var obstacleNames = [...]string{"none", "notUsable", "notConfirmed", "unaccounted", "refusing", "avoided", "wrongLabel", "limitReached", "notAdvised", "lacksRoom", "reserved", "isolated", "tooSlow"}

// String returns the obstacle in camel case.
func (o obstacle) String() string {
	return obstacleNames[o]
}

// holdReport is what has been reported about restored tasks that are held.
type holdReport struct {
	// since is when the hold began, or zero; reportedAt is when it was last reported.
	since, reportedAt time.Duration
	// reported says that the present hold has been reported.
	reported bool
}

// reportHold records an event at intervals while restored tasks are held because a former owner
// may have started them, and one once they are not held any more.
func (p *Pool) reportHold(formerRuns bool, now time.Duration) {
	h := &p.holdReport
	switch {
	case formerRuns && h.since == 0:
		h.since, h.reportedAt = now, now
	case formerRuns && now >= h.reportedAt+waitReportInterval:
		h.reportedAt = now
		if held, service := p.heldTasks(now); held > 0 {
			h.reported = true
			p.recordEvent(Event{Kind: TasksHeld, Detail: fmt.Sprintf("%d, %d of services: %s", held, service, p.formerRunsReason()), Waited: now - h.since}, now)
		}
	case !formerRuns && h.since > 0:
		if h.reported {
			p.recordEvent(Event{Kind: TasksReleased, Waited: now - h.since}, now)
		}
		*h = holdReport{}
	}
}

// heldTasks counts the waiting tasks that a former owner may have started, and those of services
// among them.
func (p *Pool) heldTasks(now time.Duration) (held, service int) {
	for _, j := range p.open {
		if j.waiting == 0 {
			continue
		}
		j.eachTask(func(t *task) {
			if p.mayRunUnreported(t, true, now) && t.waiting() {
				held++
				if t.step.decl.LongRunning {
					service++
				}
			}
		})
		if j.mayRunUnreported {
			held += j.unheldTasks()
		}
	}
	return held, service
}

// reportWaits records an event for each long-running task that has waited for long, with what
// keeps it from starting.
func (p *Pool) reportWaits(now time.Duration) {
	if now < p.waitsReportedAt+waitReportInterval {
		return
	}
	p.waitsReportedAt = now
	for _, j := range p.open {
		if !j.longRunning {
			return // the other jobs follow
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.decl.LongRunning && s.waiting > 0 && s.ready(now) {
					p.reportWaitsOf(s, now)
				}
			}
		}
	}
}

func (p *Pool) reportWaitsOf(s *step, now time.Duration) {
	for _, t := range s.tasks {
		waited := now - t.waitingSince()
		if t.waiting() && waited >= waitReportAfter {
			run := jayport.RunRef{Task: t.id(), Number: p.nextRun(t.lastRun)}
			p.recordEvent(Event{Kind: TaskWaits, Run: run, Detail: p.waitReason(t, now), Waited: waited}, now)
		}
	}
}

// waitReason returns why a task waits: what keeps the pool from starting it anywhere, or else the
// number of workers by obstacle.
func (p *Pool) waitReason(t *task, now time.Duration) string {
	switch {
	case p.OwnerUnconfirmed():
		return "the owner is not confirmed"
	case t.step.job.foundInStore && p.hasUnprocessedRuns(t.step.job):
		return "a worker's report precedes the job"
	case t.step.job.unsettled():
		return "another pool may have the job"
	case t.formerPlacement != nil && now < p.placementHeldUntil(t.formerPlacement):
		return "a former owner may have started it on " + t.formerPlacement.worker
	case t.mayRunUnreported && p.formerRunsPossible(now):
		return "a former owner may have started it: " + p.formerRunsReason()
	case now < t.notBefore:
		return "its last run has just ended"
	case !p.quotaAllows(t.step, 1):
		return "the quota of its organisation"
	}
	counts := map[obstacle]int{}
	for _, w := range p.sorted {
		counts[p.obstacleTo(w, t, isolatedStart, now)]++
	}
	var texts []string
	for o := range obstacleNames {
		if n := counts[obstacle(o)]; n > 0 {
			texts = append(texts, fmt.Sprintf("%v %d", obstacle(o), n))
		}
	}
	return cmp.Or(strings.Join(texts, ", "), "no workers")
}
