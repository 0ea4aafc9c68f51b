package jaysched

import (
	"fmt"
	"math"
	"slices"
	"time"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// A task may crash each worker that starts it. The runs of other tasks are lost with the
// worker, and no end of the task is reported, so the task would be restarted without limit and
// crash all workers of its pool. The loss of a worker is therefore attributed to the runs that
// may have caused it. The cause is found by isolating the suspects from each other: each
// further loss leaves fewer of them.

const (
	// provenProbability is the probability of losing its workers by chance at or below which a
	// task is proven to crash them: a day has far fewer tasks than the inverse of it.
	provenProbability = 1e-6
	// minProvenRacks is the number of racks in which the task must have lost workers: a single
	// host, or a single rack, may fail repeatedly by itself.
	minProvenRacks = 2
	// maxCrashes is the number of losses after which a task is given up in any case, a service task
	// only if it is proven; one fewer if a former owner may have been lost together with the first
	// of them.
	maxCrashes = 5
	// minCrashDelay and maxCrashDelay limit the delay before a service task starts that has lost
	// maxCrashes workers or more. It doubles with each further loss.
	minCrashDelay          = time.Second
	maxCrashDelay          = 4 * time.Second
	maxCrashDelayDoublings = 2
)

// crash is the loss of a worker that a run of a task may have caused.
type crash struct {
	run    int64
	worker string
	// incarnation is that of the worker if the crash stands for a trial, and zero otherwise or if it
	// is not known.
	incarnation jayport.Incarnation
	rack        string
	// atStart says that the run had just been started.
	atStart bool
	// probability is the probability that the worker failed by itself in that time. It is
	// certainProbability if a run of another job may have caused the loss.
	probability float64
	// rackLost says that the whole rack seemed to be lost. Such a loss counts towards the
	// number of the task's losses, but its probability is no evidence against the task.
	rackLost bool
	// disproved says that a later run of the task was started and its worker survived.
	disproved bool
}

// certainProbability is the probability of a certain event.
const certainProbability = 1.0

// String names the worker and lists the evidence against the run.
func (c crash) String() string {
	text := c.worker
	if c.atStart {
		text += " at its start"
	}
	if c.rackLost {
		text += " with its rack"
	}
	if c.probability < certainProbability {
		text += fmt.Sprintf(" with probability %.1e", c.probability)
	}
	return text
}

// attribute records the loss of a worker with the tasks whose runs may have caused it.
func (p *Pool) attribute(w *worker, suspects []*run, atStart bool, now time.Duration) {
	if len(suspects) == 0 {
		return
	}
	others := slices.ContainsFunc(suspects, func(r *run) bool { return r.task.step.job != suspects[0].task.step.job })
	rackLost := p.rackLost(w, now)
	for _, r := range suspects {
		t := r.task
		if t.done || t.step.job.outcome != Open {
			continue
		}
		c := crash{run: r.number, worker: w.ID, rack: w.Rack, atStart: atStart, probability: certainProbability, rackLost: rackLost}
		if !others && !rackLost {
			c.probability = p.chanceOfLoss(w, r, now)
		}
		p.attributeTo(t, c, now-r.orderedAt, now)
	}
}

// attributeTo records the loss of a worker with a task whose run was ordered some time ago, and
// gives up its job if the task is proven to crash its workers.
func (p *Pool) attributeTo(t *task, c crash, ordered, now time.Duration) {
	if slices.ContainsFunc(t.crashes, func(known crash) bool { return known.run == c.run }) {
		return
	}
	t.addCrash(c)
	p.endTrial(t, c.run)
	p.markChanged(t.step.job)
	p.recordNow = true
	p.recordEvent(Event{Kind: CrashAttributed, Worker: c.worker, Run: jayport.RunRef{Task: t.id(), Number: c.run}, Detail: fmt.Sprintf("%v, %d in all", c, len(t.crashes)), Waited: ordered}, now)
	switch {
	case t.parked:
	case t.crashesWorkers(p.oneRack()):
		p.giveUpTask(t, now)
	case t.step.decl.LongRunning:
		t.delayAfterCrashes(now)
	}
}

// addCrash records a loss that the task may have caused.
func (t *task) addCrash(c crash) {
	t.crashes = append(t.crashes, c)
	t.step.suspected = true
}

// delayAfterCrashes delays the next start of a service task that has lost many workers without
// being proven to crash them.
func (t *task) delayAfterCrashes(now time.Duration) {
	if over := len(t.crashes) - maxCrashes; over >= 0 {
		t.notBefore = now + min(minCrashDelay<<min(over, maxCrashDelayDoublings), maxCrashDelay)
	}
}

// crashesWorkers reports whether a task is proven to crash its workers, or has lost as many of
// them as a task may. For a service task the number is no proof: it is started as often as its
// workers are lost, whatever they are lost of. It needs both, the number and the probability.
//
// In a pool of one rack, workers are counted in place of racks: several IDs may belong to one
// host.
func (t *task) crashesWorkers(oneRack bool) bool {
	most := maxCrashes
	if t.step.job.inherited {
		most--
	}
	service, enough := t.step.decl.LongRunning, len(t.crashes) >= most
	switch {
	case enough && !service:
		return true
	case !enough && service:
		return false
	}
	probability := certainProbability
	places := map[string]bool{}
	for _, c := range t.crashes {
		probability *= c.probability
		switch {
		case c.probability >= certainProbability:
		case oneRack:
			places[c.worker] = true
		default:
			places[c.rack] = true
		}
	}
	if service {
		probability = combinedProbability(probability, len(t.crashes))
	}
	return probability <= provenProbability && len(places) >= minProvenRacks
}

// combinedProbability returns how likely the product of the probabilities of independent losses is
// as small as the given one by chance: it decreases with each of them (Fisher's method).
func combinedProbability(product float64, losses int) float64 {
	if product <= 0 {
		return 0
	}
	sum, term := 0.0, 1.0
	for n := range losses {
		if n > 0 {
			term *= -math.Log(product) / float64(n)
		}
		sum += term
	}
	return min(certainProbability, product*sum)
}

// giveUpTask stops restarting a task that crashes its workers. The losses of these workers no
// longer count as losses by chance. The other tasks of a service continue; any other job has
// failed without the task.
func (p *Pool) giveUpTask(t *task, now time.Duration) {
	p.losses = slices.DeleteFunc(p.losses, func(l workerLoss) bool { return t.crashedWorker(l.worker) })
	j := t.step.job
	if t.step.decl.LongRunning && !t.parked {
		t.park()
		p.recordEvent(Event{Kind: TaskParked, Run: jayport.RunRef{Task: t.id(), Number: t.lastRun}, Detail: fmt.Sprint(t.crashes)}, now)
	}
	if t.step.decl.LongRunning && j.hasServingTask() {
		return
	}
	p.recordEvent(Event{Kind: JobGivenUp, Job: j.spec.ID, Detail: fmt.Sprintf("%s crashed its workers: %v", t.id(), t.crashes), Waited: now - j.submittedAt}, now)
	p.end(j, Failed, now)
	p.recordEvent(Event{Kind: JobEnded, Job: j.spec.ID, Detail: Failed.String(), Waited: now - j.submittedAt}, now)
}

// hasServingTask reports whether some task of a job is neither done nor parked.
func (j *job) hasServingTask() bool {
	serves := j.unheldTasks() > 0
	j.eachTask(func(t *task) { serves = serves || !t.done && !t.parked })
	return serves
}

// giveUpCrashing gives up the tasks of a restored job that a former owner has proven to crash
// their workers. Others are not delayed: the delay began under the owner that noticed the latest loss.
func (p *Pool) giveUpCrashing(j *job, now time.Duration) {
	j.eachTask(func(t *task) {
		if j.outcome == Open && !t.done && t.crashesWorkers(false) {
			p.giveUpTask(t, now)
		}
	})
}

// crashRecords returns the losses that the task may have caused in their stored form. That of the recorded
// trial, if it is wanted, is among them: it is a loss only if its worker is gone.
func (t *task) crashRecords(withTrial bool) []*jaywire.WorkerCrash {
	var records []*jaywire.WorkerCrash
	for _, c := range t.crashes {
		records = append(records, c.record())
	}
	if c := t.recordedTrial(); withTrial && c.run > 0 {
		records = append(records, c.trialRecord())
	}
	return records
}

func (c crash) record() *jaywire.WorkerCrash {
	return &jaywire.WorkerCrash{Run: c.run, Worker: c.worker, Rack: c.rack, AtStart: c.atStart, Probability: c.probability, RackLost: c.rackLost}
}

// restoreCrashes restores the losses that a former owner has recorded, and its trial. An earlier
// version did not record the worker of a trial, which then does not count.
func (t *task) restoreCrashes(record *jaywire.TaskProgress) {
	for _, r := range record.Crashes {
		c := crash{run: r.Run, worker: r.Worker, rack: r.Rack, atStart: r.AtStart, probability: r.Probability, rackLost: r.RackLost}
		if r.Run == record.TrialRun {
			t.holdTrials().former = c.asTrial()
		} else {
			t.addCrash(c)
		}
	}
}
