package jaysched

import (
	"slices"
	"time"

	"jaythread/jayport"
	"jaythread/jaytrial"
	"jaythread/jaywire"
)

// maxUnsuspectedTrials is the maximum number of trials of unsuspected tasks in the record of one job. It
// limits the record's size.
const maxUnsuspectedTrials = 64

// trials are the recorded runs of a task.
type trials struct {
	jaytrial.Trials
	// former is the loss that counts if the worker of a former owner's trial is gone. Its run is
	// zero if there is none.
	former crash
}

// newTrial returns the trial of a run on a worker.
func newTrial(w *worker, run int64) jaytrial.Trial {
	return jaytrial.Trial{Run: run, Worker: w.ID, Incarnation: w.Incarnation, Rack: w.Rack}
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
// recorded first.
func (p *Pool) admitTrial(t *task, w *worker, number int64, now time.Duration) bool {
	if t.isolation() <= watched {
		return true
	}
	admitted, changed := t.holdTrials().Admit(newTrial(w, number), now)
	if changed {
		p.markChanged(t.step.job)
		p.recordNow = true
	}
	return admitted
}

// recordStart records a run of an inherited job that begins on a worker. A former owner may have been
// lost together with the first worker that the task has crashed, so that the task is no suspect; if
// this owner is lost with the next one, that must be known to the owner after it. The run does not wait
// for the record.
func (p *Pool) recordStart(t *task, w *worker, number int64) {
	if t.step.job.inherited && t.holdTrials().Begin(newTrial(w, number)) {
		p.markChanged(t.step.job)
	}
}

// recordedWorker returns the worker that is recorded for the next run of a task, or nil.
func (p *Pool) recordedWorker(t *task) *worker {
	known := t.knownTrials()
	next := known.Latest()
	if next.Run <= t.lastRun {
		return nil
	}
	return p.workers[next.Worker]
}

// endTrial removes a run from a task's record whose outcome is known.
func (p *Pool) endTrial(t *task, run int64) {
	if t.trials != nil && t.step.job.outcome == Open && t.trials.End(run) {
		p.markChanged(t.step.job)
	}
}

// recordedTrial returns the loss that the next owner is to attribute to a task if the worker is
// gone. Its run is zero if there is none.
func (t *task) recordedTrial() crash {
	known := t.knownTrials()
	latest := known.Latest()
	if latest.Run == 0 {
		return known.former
	}
	// Whether the run of an unsuspected task has just been started is not recorded.
	return crash{run: latest.Run, worker: latest.Worker, incarnation: latest.Incarnation, rack: latest.Rack, atStart: len(t.crashes) > 0, probability: certainProbability}
}

// trialShown handles a run that a worker has shown. If a former owner has recorded it and it is
// active, it remains recorded.
func (t *task) trialShown(run int64, w *worker, active bool) {
	if t.knownTrials().former.run != run {
		return
	}
	t.trials.former = crash{}
	if active {
		t.trials.Begin(newTrial(w, run))
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

// trialRecord returns a trial in its stored form, in which the worker's incarnation follows its ID.
func (c crash) trialRecord() *jaywire.WorkerCrash {
	record := c.record()
	record.Worker = jaytrial.WorkerText(c.worker, c.incarnation)
	return record
}

// asTrial returns the trial that is restored as a crash.
func (c crash) asTrial() crash {
	c.worker, c.incarnation = jaytrial.ParseWorker(c.worker)
	return c
}
