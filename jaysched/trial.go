package jaysched

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// trialRecordTimeout is how long a suspect waits for the record of its next run.
	trialRecordTimeout = time.Second
	// maxUnsuspectedTrials is the maximum number of trials of unsuspected tasks in the record of one
	// job. It limits the record's size.
	maxUnsuspectedTrials = 64
)

// trial is a run that is recorded with its worker: that of a suspect before it begins, that of an
// inherited job while it begins. If the owner is lost together with the worker, the next owner could
// not learn of the run otherwise.
//
// A recorded trial alone does not show that the run began. The next owner therefore looks for the
// worker: the run is over without a loss if the worker answers without it, and counts as the loss of
// a worker if the worker is gone. A worker that was lost by itself before the run began cannot be
// told apart, and counts too: otherwise a task that crashes its workers could be started without
// limit if its owners are lost with them. A worker that answers as another incarnation is gone. One that
// does not report its incarnation and has returned under its ID answers without the run, and its loss
// does not count.
type trial struct {
	run         int64
	worker      string
	incarnation jayport.Incarnation
	rack        string
}

// newTrial returns the trial of a run on a worker.
func newTrial(w *worker, run int64) trial {
	return trial{run: run, worker: w.ID, incarnation: w.Incarnation, rack: w.Rack}
}

// trials are the recorded runs of a task.
type trials struct {
	// latest is the latest one whose outcome is not known, which waits to be recorded since
	// waitsSince; stored is the latest one that is recorded.
	latest     trial
	waitsSince time.Duration
	stored     trial
	// former is the loss that counts if the worker of a former owner's trial is gone. Its run is
	// zero if there is none.
	former crash
}

// knownTrials returns the trials of a task.
func (t *task) knownTrials() trials {
	if t.trials == nil {
		return trials{}
	}
	return *t.trials
}

// holdTrials returns the trials of a task, to be changed.
func (t *task) holdTrials() *trials {
	if t.trials == nil {
		t.trials = &trials{}
	}
	return t.trials
}

// admitTrial reports whether the next run of a task may begin on a worker. That of a suspect is
// recorded first. If the recorded worker has become unsuitable, the run begins on another one while that
// is recorded: in a series of losses a suspect would wait for record after record.
func (p *Pool) admitTrial(t *task, w *worker, number int64, now time.Duration) bool {
	if t.isolation() <= watched {
		return true
	}
	held := t.holdTrials()
	if held.latest.run < number {
		held.waitsSince = now
	}
	if next := newTrial(w, number); held.latest != next {
		held.latest = next
		p.markChanged(t.step.job)
		p.recordNow = true
	}
	return held.stored.run >= number || now >= held.waitsSince+trialRecordTimeout
}

// recordStart records a run of an inherited job that begins on a worker. A former owner may have been
// lost together with the first worker that the task has crashed, so that the task is no suspect; if
// this owner is lost with the next one, that must be known to the owner after it. The run does not wait
// for the record.
func (p *Pool) recordStart(t *task, w *worker, number int64) {
	began := newTrial(w, number)
	if !t.step.job.inherited || t.knownTrials().latest == began {
		return
	}
	t.holdTrials().latest = began
	p.markChanged(t.step.job)
}

// recordedWorker returns the worker that is recorded for the next run of a task, or nil.
func (p *Pool) recordedWorker(t *task) *worker {
	next := t.knownTrials().latest
	if next.run <= t.lastRun {
		return nil
	}
	return p.workers[next.worker]
}

// endTrial removes a run from a task's record whose outcome is known.
func (p *Pool) endTrial(t *task, run int64) {
	if t.trials != nil && t.trials.latest.run == run && t.step.job.outcome == Open {
		t.trials.latest = trial{}
		p.markChanged(t.step.job)
	}
}

// recordedTrial returns the loss that the next owner is to attribute to a task if the worker is
// gone. Its run is zero if there is none.
func (t *task) recordedTrial() crash {
	known := t.knownTrials()
	if known.latest.run == 0 {
		return known.former
	}
	// Whether the run of an unsuspected task has just been started is not recorded.
	return crash{run: known.latest.run, worker: known.latest.worker, incarnation: known.latest.incarnation, rack: known.latest.rack, atStart: len(t.crashes) > 0, probability: certainProbability}
}

// trialShown handles a run that a worker has shown. If a former owner has recorded it and it is
// active, it remains recorded.
func (t *task) trialShown(run int64, w *worker, active bool) {
	if t.knownTrials().former.run != run {
		return
	}
	t.trials.former = crash{}
	if active {
		t.trials.latest = newTrial(w, run)
	}
}

// awaitFormerTrials registers the recorded trials of a restored job.
func (p *Pool) awaitFormerTrials(j *job) {
	j.eachTask(func(t *task) {
		if t.awaitsFormerTrial() {
			worker := t.trials.former.worker
			p.formerTrials[worker] = append(p.formerTrials[worker], t)
		}
	})
}

// formerTrialsOpen reports whether the outcome of a former owner's trial may still become known
// before its task starts again.
func (p *Pool) formerTrialsOpen(now time.Duration) bool {
	if now >= p.formerRuns.heldUntil {
		return false
	}
	for _, tasks := range p.formerTrials {
		if slices.ContainsFunc(tasks, (*task).awaitsFormerTrial) {
			return true
		}
	}
	return false
}

// awaitsFormerTrial reports whether the outcome of a former owner's trial of the task is unknown.
func (t *task) awaitsFormerTrial() bool {
	return t.knownTrials().former.run > 0 && !t.done && t.step.job.outcome == Open
}

// endFormerTrials ends the trials that former owners have recorded for a worker. They count as its
// loss if the worker is lost, or if its present incarnation is another one. Zero stands for an unknown
// incarnation.
func (p *Pool) endFormerTrials(worker string, present jayport.Incarnation, lost bool, now time.Duration) {
	tasks := p.formerTrials[worker]
	delete(p.formerTrials, worker)
	for _, t := range tasks {
		if !t.awaitsFormerTrial() {
			continue
		}
		c := t.trials.former
		lost := lost || present != 0 && c.incarnation != 0 && c.incarnation != present
		c.incarnation = 0
		t.trials.former = crash{}
		p.markChanged(t.step.job)
		if lost {
			p.attributeTo(t, c, 0, now)
		}
	}
}

// incarnationSeparator separates the ID and the incarnation of a worker in the record of a trial.
const incarnationSeparator = "@"

// trialRecord returns a trial in its stored form, in which the worker's incarnation follows its ID.
func (c crash) trialRecord() *jaywire.WorkerCrash {
	record := c.record()
	record.Worker = fmt.Sprintf("%s%s%d", c.worker, incarnationSeparator, int64(c.incarnation))
	return record
}

// asTrial returns the trial that is restored as a crash. Without a readable incarnation its worker is an
// ID.
func (c crash) asTrial() crash {
	text := c.worker
	if at := strings.LastIndex(text, incarnationSeparator); at >= 0 {
		if number, err := strconv.ParseInt(text[at+len(incarnationSeparator):], 10, 64); err == nil {
			c.worker, c.incarnation = text[:at], jayport.Incarnation(number)
		}
	}
	return c
}
