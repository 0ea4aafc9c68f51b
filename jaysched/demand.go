package jaysched

import (
	"math"
	"time"

	"jaythread/jaypool"
)

// Load is the load of one worker.
type Load struct {
	Worker string
	// CapacityMilli is the present capacity of the worker in thousandths of a core.
	CapacityMilli int64
	UsedMilli     int64
	// Runs counts the worker's runs. It is one higher while the worker holds unrecorded ends of
	// tasks that are done, or runs or ends that the pool does not account for: those would be lost
	// with the worker.
	Runs     int
	LongRuns int
	// Vacated says that the worker is closed and has no runs.
	Vacated bool
	// Idle is how long the worker has had no runs.
	Idle time.Duration
	// EmptyIn is the expected time until the worker is empty if its runs are migrated, or
	// MaxDuration.
	EmptyIn time.Duration
	// RestartCost is the work, in thousandths of a core times seconds, that is lost if the worker
	// is emptied within EmptyIn; Restartable says that EmptyIn is based on restarts of its runs.
	RestartCost int64
	Restartable bool
	// SpeedPercent is the worker's speed as its own runs show it; zero is unknown.
	SpeedPercent int
}

// MaxDuration stands for a time that never comes, such as until a worker with a long-running
// task is empty.
const MaxDuration = time.Duration(math.MaxInt64)

// Demand is what a pool needs from the fleet.
type Demand struct {
	// NeedMilli is how many thousandths of a core the pool could use soon; SpareMilli is how
	// much more it may need by random variation.
	NeedMilli  int64
	SpareMilli int64
	// ExpiredMilli is the part of the need that belongs to jobs whose results come too late for
	// their callers.
	ExpiredMilli int64
	// OnTimeMilli is the part of the need that belongs to jobs that can be done by their target.
	OnTimeMilli int64
	// ArrivingMilli is how many thousandths of a core the arriving jobs would keep busy if they
	// continued to arrive at the present rate.
	ArrivingMilli int64
	// WorkersAtLeast is the minimum number of workers that the pool needs, whatever their size.
	WorkersAtLeast int
	Loads          []Load
}

// Demand returns the pool's present demand.
func (p *Pool) Demand(now time.Duration) Demand {
	u := p.usage(now)
	lead := p.settings.MoveTime + reportDelay
	spread := int64(math.Sqrt(u.variance))
	// Within a burst, usage varies randomly; extrapolating each rise requested a third more
	// hosts than needed. Only growth beyond the random variation is counted.
	growth := max(0, p.trend.growth(u.milli, lead, now)-spread)
	need := max(u.milli+growth, p.offeredWork.forecast(u.milli, lead, now)) + p.blockedByMemory(u.shortTasks)
	arriving, _ := p.offeredWork.rate(now)
	d := Demand{
		NeedMilli:      need,
		SpareMilli:     spread,
		ExpiredMilli:   u.expired,
		OnTimeMilli:    p.onTimeMilli(need, now),
		ArrivingMilli:  int64(arriving),
		WorkersAtLeast: p.workersAtLeast(now),
	}
	for _, w := range p.sorted {
		if w.reportsLoad() {
			d.Loads = append(d.Loads, p.load(w, now))
		}
	}
	return d
}

// UpdateDemand returns the present demand with the estimates of an earlier one. Which workers have runs, and
// which are vacated, is that of the given time.
func (p *Pool) UpdateDemand(earlier Demand, now time.Duration) Demand {
	estimates := make(map[string]Load, len(earlier.Loads))
	for _, l := range earlier.Loads {
		estimates[l.Worker] = l
	}
	d := earlier
	d.Loads = nil
	for _, w := range p.sorted {
		if !w.reportsLoad() {
			continue
		}
		l := p.presentLoad(w, now)
		estimate, known := estimates[w.ID]
		switch {
		case l.Runs == 0:
		case known && l.LongRuns == 0:
			l.EmptyIn, l.RestartCost, l.Restartable = estimate.EmptyIn, estimate.RestartCost, estimate.Restartable
		default:
			l.EmptyIn = MaxDuration
		}
		d.Loads = append(d.Loads, l)
	}
	return d
}

// reportsLoad reports whether the worker's load is part of the demand.
func (w *worker) reportsLoad() bool {
	return w.contact == connected && w.listed && !w.Draining
}

// usage is what the tasks that run or could run now need, in thousandths of a core.
type usage struct {
	milli int64
	// expired is the part that belongs to jobs whose results come too late for their callers.
	expired int64
	// shortTasks is what the tasks that are not long-running need together.
	shortTasks jaypool.Resources
	// variance is the variance of the sum because jobs arrive one at a time: that of a sum of
	// as many independent jobs.
	variance float64
}

func (p *Pool) usage(now time.Duration) usage {
	var total usage
	for _, j := range p.open {
		need := j.usage(now)
		total.milli += need.ProcessorsMilli
		if j.deadlineStatus == expired {
			total.expired += need.ProcessorsMilli
		}
		if !j.longRunning {
			total.shortTasks = total.shortTasks.Add(need)
			total.variance += float64(need.ProcessorsMilli) * float64(need.ProcessorsMilli)
		}
	}
	return total
}

// usage returns what the tasks of a job that run or could run now need together.
func (j *job) usage(now time.Duration) jaypool.Resources {
	var total jaypool.Resources
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.ready(now) && !s.exceedsQuota {
				total = total.Add(needOf(s).Times(int64(s.open)))
			}
		}
	}
	if _, due := j.unheld(now); due > 0 {
		total = total.Add(j.initialNeed().Times(int64(due)))
	}
	return total
}

// presentLoad returns the load of a worker without what is estimated.
func (p *Pool) presentLoad(w *worker, now time.Duration) Load {
	l := Load{Worker: w.ID, CapacityMilli: w.Capacity.ProcessorsMilli, UsedMilli: w.Capacity.ProcessorsMilli - w.free.ProcessorsMilli, Runs: len(w.runs), SpeedPercent: w.speedPercent()}
	if w.lastDone > w.acknowledged || w.unaccountedRuns > 0 || len(w.unknownJobs) > 0 {
		l.Runs++
	}
	l.Runs += len(w.kept)
	l.LongRuns = w.longRuns + len(w.kept)
	if l.Runs == 0 {
		l.Idle = now - w.idleSince
		l.Vacated = w.closed && p.vacating.ordered(w.ID)
	}
	return l
}

func (p *Pool) load(w *worker, now time.Duration) Load {
	l := p.presentLoad(w, now)
	if len(w.kept) > 0 {
		l.EmptyIn = MaxDuration
	}
	for _, r := range w.runs {
		if r.task.step.decl.LongRunning {
			l.EmptyIn = MaxDuration
			break
		}
		l.EmptyIn = max(l.EmptyIn, p.timeToEmpty(r, now))
	}
	p.addRelease(&l, w, now)
	return l
}

// shouldStop reports whether a run on a closed worker is to be stopped now, and which worker has
// room for its task if the decision depends on it.
func (p *Pool) shouldStop(r *run, now time.Duration) (room *worker, stop bool) {
	switch {
	case r.task.step.decl.LongRunning:
		room = p.roomToEvict(r, now)
	case r.worker.urgent || r.copied && r.task.hasOtherRun(r):
		return nil, true
	case r.worker.migrate:
		room = p.roomToMigrate(r, now)
	}
	return room, room != nil
}

const (
	// migrationCost is how much a migration delays a run: its stop, and the time to resume
	// elsewhere.
	migrationCost = 900 * time.Millisecond
	// migrationSlack is the slack that the job of the run must have beyond migrationCost.
	migrationSlack = 600 * time.Millisecond
	// typicalStopTime is roughly how long a worker takes to stop a run.
	typicalStopTime = 250 * time.Millisecond
)

// maxLateFactor is the multiple of its allowed time up to which a late job is still of use.
const maxLateFactor = 3

// mayMigrate reports whether a run should continue elsewhere.
func (p *Pool) mayMigrate(r *run, now time.Duration) bool {
	return p.roomToMigrate(r, now) != nil
}

// roomToMigrate returns the worker with room for a run that should continue elsewhere, or nil if
// the run should not: it saves its progress, its remaining time exceeds the cost of a migration,
// its job does not become late by it (or, if it is late anyway, too late to be of use), and
// another worker has room.
func (p *Pool) roomToMigrate(r *run, now time.Duration) *worker {
	s := r.task.step
	if !s.decl.Checkpoint || s.decl.Gang || p.remainingTime(r, now) < migrationCost {
		return nil
	}
	ends := now + p.remainingTime(r, now)
	bound := s.job.target
	if ends > bound {
		bound = s.job.submittedAt + maxLateFactor*(s.job.target-s.job.submittedAt)
	}
	if bound-ends <= migrationCost+migrationSlack {
		return nil
	}
	return p.chooseWorker(r.task, now)
}

// remainingTime returns the expected remaining time of a run. A run that has exceeded its
// estimate is expected to take as long again as it has exceeded it.
func (p *Pool) remainingTime(r *run, now time.Duration) time.Duration {
	takes := p.predictOn(r.worker, r.task.step)
	ran := now - r.orderedAt
	if ran < takes {
		return takes - ran
	}
	return ran - takes
}

// timeToEmpty returns how long a run is expected to occupy its worker if it may be migrated.
func (p *Pool) timeToEmpty(r *run, now time.Duration) time.Duration {
	if r.copied && r.task.hasOtherRun(r) || p.mayMigrate(r, now) {
		return typicalStopTime
	}
	return p.remainingTime(r, now)
}

// roomToEvict returns the worker with room for the task of a long-running run that may be stopped
// so that its worker becomes free, or nil if it may not: its step can miss one more task, and
// another worker has room for it.
func (p *Pool) roomToEvict(r *run, now time.Duration) *worker {
	s := r.task.step
	if !s.decl.LongRunning || !p.reviewEviction(s, now) {
		return nil
	}
	return p.chooseWorker(r.task, now)
}

// vacateReview is what decides whether runs of a long-running step may be stopped, in one pass over the runs of
// closed workers.
type vacateReview struct {
	pass        int
	unavailable int
	stopsEnded  bool
	// awaits says that a task of the step waits for its next run.
	awaits bool
}

// reviewEviction reports whether a run of a long-running step may be stopped in the present pass.
//
// It handles this load: a closed worker runs thousands of tasks of a service. Which of them are available was
// determined again for each of them.
func (p *Pool) reviewEviction(s *step, now time.Duration) bool {
	e := &s.eviction
	if e.pass != p.vacating.pass {
		*e = vacateReview{pass: p.vacating.pass, unavailable: s.unavailable(), stopsEnded: p.formerStopsEnded(s, now), awaits: p.awaitsRun(s)}
	}
	return e.stopsEnded && !e.awaits && e.unavailable < max(1, s.decl.MayMiss)
}

// evict stops a run on a worker that is being vacated.
func (p *Pool) evict(r *run, now time.Duration) {
	available := r.task.available()
	p.stop(r, "vacating", now)
	if available && !r.task.available() {
		r.task.step.eviction.unavailable++
	}
}

// stopReportDelay is how long the report of a stopped run's end takes, beyond the stop itself.
const stopReportDelay = 600 * time.Millisecond

// formerStopsEnded reports whether no run of a step can still be ending because a former owner
// ordered it to stop. A run that was ordered to stop is listed as active until it has ended; a
// new owner that counts it as available would stop more runs than the step can miss.
func (p *Pool) formerStopsEnded(s *step, now time.Duration) bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if p.term > 1 && now < r.worker.firstReportAt+p.settings.Stop+stopReportDelay {
				return false
			}
		}
	}
	return true
}

// unavailable counts the tasks of a long-running step that are not available.
func (s *step) unavailable() int {
	count := 0
	for _, t := range s.tasks {
		if !t.available() {
			count++
		}
	}
	return count
}

// available reports whether a long-running task serves: its worker reports it at full speed,
// after its startup and not throttled.
func (t *task) available() bool {
	for _, r := range t.runs {
		if r.phase == running && r.worker.contact == connected && r.speed >= fullSpeed {
			return true
		}
	}
	return false
}
