package jaysched

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// clockDrift is the maximum share by which a worker's clock may be slow: the two percent of the
// platform, rounded up.
const clockDrift = 0.021

// contact is the state of the communication with a worker.
type contact uint8

const (
	// unconfirmed workers have not reported under this owner's fence yet: their runs are not
	// known.
	unconfirmed contact = iota
	// connected workers answered the last request.
	connected
	// silent workers did not answer: their runs continue until the lease ends.
	silent
	// lapsed workers were silent until their lease must have ended.
	lapsed
)

// worker is one incarnation of an instance with its runs.
type worker struct {
	jayport.Worker
	// identified says that the worker's incarnation became known only after it was in use.
	identified bool
	contact    contact
	// clock is the time that the worker's clock showed in the latest answer, clockAt when that
	// answer arrived: the worker's clock showed at least clock by then.
	clock   time.Duration
	clockAt time.Duration
	// leaseBound is when the longest lease granted has ended even if the worker's clock is slow
	// by clockDrift.
	leaseBound time.Duration
	// joinedAt is when the worker was first listed.
	joinedAt time.Duration
	// firstReportAt is when the worker first reported under this owner's fence, lastAnswerAt
	// when its last answer arrived.
	firstReportAt time.Duration
	lastAnswerAt  time.Duration
	runs          map[jayport.RunRef]*run
	// inOrder are the same runs in the order of their tasks.
	inOrder []*run
	// resendAt is when the first order to the worker may have to be repeated.
	resendAt time.Duration
	free     jaypool.Resources
	// longRuns counts the runs of long-running tasks, longRunNeed is their total need.
	longRuns    int
	longRunNeed jaypool.Resources
	// processed is the number of the last end that was handled, acknowledged that of the last
	// end that is recorded: the worker may forget the ends up to it.
	processed    int64
	acknowledged int64
	// lastDone is the number of the last end of a task that is done.
	lastDone int64
	// missingReports counts the reports that are missing since the last one, missingSince is
	// when the first of them was missed.
	missingReports int
	missingSince   time.Duration
	// asking says that a request is in flight; askAt is when the next one is due.
	asking bool
	askAt  time.Duration
	// listed says that the latest list of workers contains the worker, inventoried that the inventory
	// has had it.
	listed      bool
	inventoried bool
	// unaccountedRuns counts the runs in the latest report that the pool does not account for:
	// they take an unknown amount of room until they have been stopped.
	unaccountedRuns int
	// unknownJobs are the jobs in the latest report that were not known.
	unknownJobs map[string]bool
	// withheldFor are the jobs that must be recorded before the worker gets a lease.
	withheldFor map[*job]bool
	// reservedFor is the only task that may start on the worker in the present decision.
	reservedFor *task
	// kept are the tasks that have a place kept on the worker, see keptPlace.
	kept []*task
	// closed workers get no new run, except by chooseClosed; the runs of urgent ones are stopped,
	// and those of workers with migrate set are moved to other workers where that costs little.
	closed  bool
	urgent  bool
	migrate bool
	// restart allows restarting runs of a closed worker elsewhere, and busyUntil is until when the
	// worker is expected to be busy, while the pool is contracting.
	restart   bool
	busyUntil time.Duration
	// idleSince is since when the worker has had no runs.
	idleSince time.Duration
	// bestEffort counts the runs that use only spare processor time, and throttle limits their
	// speed.
	bestEffort int
	throttle   throttle
	// health is the worker's health as its own runs show it.
	health health
	// fullUntil is until when no run is started on the worker, since it had less room than its
	// heartbeat shows; fullFor is the length of the latest such pause.
	fullUntil time.Duration
	fullFor   time.Duration
	// suspected counts the runs whose tasks may have crashed a worker.
	suspected int
	// confirmedLost says that the worker is known to be lost, together with others.
	confirmedLost bool
	// lapsedSuspects are the runs that may have caused the loss of the worker if the worker
	// turns out to be lost. They were given up when its lease had ended.
	lapsedSuspects        []*run
	lapsedSuspectsAtStart bool
	pace                  pace
}

// run is one run of a task on a worker.
type run struct {
	task   *task
	worker *worker
	number int64
	phase  phase
	need   jaypool.Resources
	// orderedAt is when the start was sent, or decided on if it is not recorded yet, confirmedAt when the worker was known to have the
	// run.
	orderedAt   time.Duration
	confirmedAt time.Duration
	// stopWhy is the reason of the stop, for the log.
	stopWhy string
	// checkpoint is the checkpoint that the run was started with: a repeated start must have
	// the same.
	checkpoint string
	// ticket is the advisor's ticket that the run was started with: a repeated start must have
	// the same.
	ticket string
	// attempt counts how often the start was sent; resendAt is when an order without an answer
	// may be sent again.
	attempt  int
	resendAt time.Duration
	speed    int
	load     int64
	// isolation is that of the task when the run began.
	isolation isolation
	// copied says that the run is a copy of a straggling one, copyOfSlow that the other run's
	// worker was known as slow.
	copied     bool
	copyOfSlow bool
}

// phase is the known state of a run.
type phase uint8

const (
	// ordered runs were sent to the worker and have no answer yet.
	ordered phase = iota
	// unanswered runs got no answer: they may have started, or may still start.
	unanswered
	// running runs were reported by the worker.
	running
	// stopping runs were ordered to stop and have no answer yet.
	stopping
	// stopped runs will end, as the worker has confirmed.
	stopped
	// unrecorded runs are sent to the worker once their placement is recorded.
	unrecorded
)

func (r *run) ref() jayport.RunRef {
	return jayport.RunRef{Task: r.task.id(), Number: r.number}
}

// resendAfter schedules the repetition of the run's order after a delay.
func (r *run) resendAfter(now time.Duration) {
	r.resendAt = now + resendDelay
	r.expectAnswer()
}

// expectAnswer schedules a check of the worker for the time when the run's order may be
// overdue.
func (r *run) expectAnswer() {
	switch r.phase {
	case unanswered, stopping:
		r.worker.resendAt = min(r.worker.resendAt, r.resendAt)
	case ordered:
		r.worker.resendAt = min(r.worker.resendAt, r.resendAt+unreportedTimeout)
	case running, stopped, unrecorded:
	}
}

func compareRuns(a, b *run) int {
	return cmp.Or(compareTasks(a.task.id(), b.task.id()), cmp.Compare(a.number, b.number))
}

func newWorker(w jayport.Worker, now time.Duration) *worker {
	return &worker{Worker: w, runs: map[jayport.RunRef]*run{}, free: w.Capacity, idleSince: now, joinedAt: now}
}

func (w *worker) workerRef() jayport.WorkerRef {
	return jayport.WorkerRef{ID: w.ID, Incarnation: w.Incarnation, Addr: w.Addr}
}

// usable reports whether new runs may be started on the worker.
func (w *worker) usable() bool {
	return w.connectedAndListed() && !w.closed
}

// connectedAndListed reports whether new runs may be started on the worker unless it is closed.
func (w *worker) connectedAndListed() bool {
	return w.contact == connected && w.listed && !w.Draining
}

// add reserves the room of a run.
func (w *worker) add(r *run) {
	w.runs[r.ref()] = r
	at, _ := slices.BinarySearchFunc(w.inOrder, r, compareRuns)
	w.inOrder = slices.Insert(w.inOrder, at, r)
	w.free = w.free.Sub(r.need)
	if r.task.step.decl.Fills {
		w.bestEffort++
	}
	if r.task.step.decl.LongRunning {
		w.longRuns++
		w.longRunNeed = w.longRunNeed.Add(r.need)
	}
	if r.isolation != unsuspected {
		w.suspected++
	}
	r.task.step.countPlaced(w, 1)
}

// remove releases the room of a run. It returns false if the worker has no such run.
func (w *worker) remove(r *run, now time.Duration) bool {
	if w.runs[r.ref()] != r {
		return false
	}
	delete(w.runs, r.ref())
	if w.health.trial == r {
		w.health.trial = nil
	}
	at, _ := slices.BinarySearchFunc(w.inOrder, r, compareRuns)
	w.inOrder = slices.Delete(w.inOrder, at, at+1)
	w.free = w.free.Add(r.need)
	if r.task.step.decl.Fills {
		w.bestEffort--
	}
	if r.task.step.decl.LongRunning {
		w.longRuns--
		w.longRunNeed = w.longRunNeed.Sub(r.need)
	}
	if r.isolation != unsuspected {
		w.suspected--
	}
	if len(w.runs) == 0 {
		w.idleSince = now
	}
	r.task.step.countPlaced(w, -1)
	return true
}

// leaseUntil returns the time on the worker's clock at which a lease granted now should end,
// and extends leaseBound accordingly.
func (w *worker) leaseUntil(now, length time.Duration) time.Duration {
	if w.clockAt == 0 {
		return 0
	}
	until, bound := LeaseClock{Clock: w.clock, At: w.clockAt}.LeaseUntil(now, length)
	w.leaseBound = max(w.leaseBound, bound)
	return until
}

// stretched returns the maximum real time for a duration on a worker's clock.
func stretched(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*clockDrift)
}

// recordClock records the worker's clock as an answer shows it.
func (w *worker) recordClock(clock, now time.Duration) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
	w.lastAnswerAt = now
}

// need returns the room that a run of the task takes.
func (t *task) need() jaypool.Resources {
	return needOf(t.step)
}

// needOf returns the room that a run of the step takes. Best-effort tasks use spare processor
// time only.
func needOf(s *step) jaypool.Resources {
	return declaredNeed(s.decl)
}

func declaredNeed(decl *jayspec.Step) jaypool.Resources {
	need := decl.Need
	if decl.Fills {
		need.ProcessorsMilli = 0
	}
	return need
}
