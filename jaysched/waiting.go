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
			if p.heldForFormerOwner(t, true, now) && t.waiting() {
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

// WaitReason is why long-running tasks wait, as a label of the metrics.
type WaitReason string

// The reasons of waits.
const (
	WaitOwnerUnconfirmed WaitReason = "ownerUnconfirmed"
	// WaitFormerRun is that of a task that a former owner may have started.
	WaitFormerRun WaitReason = "formerRun"
	// WaitUnrecorded is that of a task whose run is not sent before it is recorded.
	WaitUnrecorded WaitReason = "unrecorded"
	WaitQuota      WaitReason = "quota"
	// WaitNoWorker is that of a task that may start, but on no present worker.
	WaitNoWorker WaitReason = "noWorker"
	// WaitWorkerFree is that of a task that waits although it may start on some worker.
	WaitWorkerFree WaitReason = "workerFree"
	WaitOther      WaitReason = "other"
)

// WaitReasons returns all reasons of waits.
func WaitReasons() []WaitReason {
	return []WaitReason{WaitOwnerUnconfirmed, WaitFormerRun, WaitUnrecorded, WaitQuota, WaitNoWorker, WaitWorkerFree, WaitOther}
}

// waitCause is what keeps a long-running task from starting.
type waitCause uint8

const (
	ownerUnconfirmed waitCause = iota
	reportPrecedesJob
	jobUnsettled
	formerRunPossible
	formerPlacementPossible
	placementUnrecorded
	runJustEnded
	overQuota
	allWorkersHaveObstacles
	someWorkerFree
)

// waitCauses holds the reason of each cause and its text in the log. The text of the last two is
// the number of workers by obstacle.
var waitCauses = [...]struct {
	reason WaitReason
	text   string
}{
	ownerUnconfirmed:        {WaitOwnerUnconfirmed, "the owner is not confirmed"},
	reportPrecedesJob:       {WaitOther, "a worker's report precedes the job"},
	jobUnsettled:            {WaitOther, "another pool may have the job"},
	formerRunPossible:       {WaitFormerRun, "a former owner may have started it: "},
	formerPlacementPossible: {WaitFormerRun, "a former owner may have started it on "},
	placementUnrecorded:     {WaitUnrecorded, "its run is not recorded"},
	runJustEnded:            {WaitOther, "its last run has just ended"},
	overQuota:               {WaitQuota, "the quota of its organisation"},
	allWorkersHaveObstacles: {reason: WaitNoWorker},
	someWorkerFree:          {reason: WaitWorkerFree},
}

// taskWait is why a task waits.
type taskWait struct {
	cause waitCause
	// workers is the number of workers by obstacle if nothing else keeps the task from starting.
	workers [len(obstacleNames)]int
}

// reason returns the reason of the wait.
func (w *taskWait) reason() WaitReason {
	return waitCauses[w.cause].reason
}

// ServiceWaits counts the long-running tasks that could be started and have no run.
type ServiceWaits struct {
	// At is when the tasks were counted, or zero.
	At    time.Duration
	Tasks map[WaitReason]int
	// Longest is the longest present wait under this owner.
	Longest time.Duration
}

// ServiceWaits returns the latest count of the long-running tasks that wait.
func (p *Pool) ServiceWaits() ServiceWaits {
	return p.serviceWaits
}

// reportWaits counts the long-running tasks that wait, and records an event for each that has
// waited for long, with what keeps it from starting.
func (p *Pool) reportWaits(formerRuns bool, now time.Duration) {
	if now < p.serviceWaits.At+waitReportInterval {
		return
	}
	p.serviceWaits = ServiceWaits{At: now, Tasks: map[WaitReason]int{}}
	for _, j := range p.open {
		if !j.longRunning {
			return // the other jobs follow
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.decl.LongRunning && s.ready(now) {
					p.reportWaitsOf(s, formerRuns, now)
				}
			}
		}
	}
}

func (p *Pool) reportWaitsOf(s *step, formerRuns bool, now time.Duration) {
	for _, t := range s.tasks {
		if !t.waiting() && t.unrecordedRun() == nil {
			continue
		}
		waited := now - t.waitingSince()
		wait := p.waitOf(t, formerRuns, now)
		p.serviceWaits.Tasks[wait.reason()]++
		p.serviceWaits.Longest = max(p.serviceWaits.Longest, waited)
		if waited < waitReportAfter {
			continue
		}
		if wait.cause == overQuota {
			p.noteQuotaReached(s, 1)
		}
		run := jayport.RunRef{Task: t.id(), Number: p.nextRun(t.lastRun)}
		if r := t.unrecordedRun(); r != nil {
			run = r.ref()
		}
		p.recordEvent(Event{Kind: TaskWaits, Run: run, Detail: p.waitText(t, &wait), Waited: waited}, now)
	}
}

// waitOf returns why a task waits: what keeps the pool from starting it anywhere, or else the
// number of workers by obstacle. formerRuns says that a former owner may have started the restored
// tasks.
func (p *Pool) waitOf(t *task, formerRuns bool, now time.Duration) taskWait {
	switch {
	case p.OwnerUnconfirmed():
		return taskWait{cause: ownerUnconfirmed}
	case t.unrecordedRun() != nil:
		return taskWait{cause: placementUnrecorded}
	case t.step.job.foundInStore && p.hasUnprocessedRuns(t.step.job):
		return taskWait{cause: reportPrecedesJob}
	case t.step.job.unsettled():
		return taskWait{cause: jobUnsettled}
	case t.formerPlacement != nil && now < p.placementHeldUntil(t.formerPlacement):
		return taskWait{cause: formerPlacementPossible}
	case t.mayRunUnreported && formerRuns:
		return taskWait{cause: formerRunPossible}
	case now < t.notBefore:
		return taskWait{cause: runJustEnded}
	case !p.withinQuota(t.step, 1):
		return taskWait{cause: overQuota}
	}
	wait := taskWait{cause: allWorkersHaveObstacles}
	for _, w := range p.sorted {
		wait.workers[p.obstacleTo(w, t, isolatedStart, now)]++
	}
	if wait.workers[noObstacle] > 0 {
		wait.cause = someWorkerFree
	}
	return wait
}

// waitText returns the text of a task's wait in the log.
func (p *Pool) waitText(t *task, w *taskWait) string {
	text := waitCauses[w.cause].text
	switch w.cause {
	case formerPlacementPossible:
		return text + t.formerPlacement.worker
	case formerRunPossible:
		return text + p.formerRunsReason()
	case allWorkersHaveObstacles, someWorkerFree:
	default:
		return text
	}
	var counts []string
	for o, n := range w.workers {
		if n > 0 {
			counts = append(counts, fmt.Sprintf("%v %d", obstacle(o), n))
		}
	}
	return cmp.Or(strings.Join(counts, ", "), "no workers")
}
