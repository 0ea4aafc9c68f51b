package jaysched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"jaythread/jaycancel"
	"jaythread/jayfootprint"
	"jaythread/jayownership"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// Settings are the limits that a pool observes.
type Settings struct {
	// Lease is how long a worker may continue its runs without hearing from the owner.
	Lease time.Duration
	// Stop is the maximum time that a worker takes to stop a run.
	Stop time.Duration
	// MoveTime is how long a host takes to move from one pool to another.
	MoveTime time.Duration
	// FarFactor is the factor by which a task takes longer on a worker outside the rack of its
	// data or of its step. It has no effect: the scheduler does not use it.
	FarFactor float64
	// WorkerSpeeds, CopyShare, FairShares and RejectHopeless select decisions under load; see
	// jayoptions.Overload.
	WorkerSpeeds   bool
	CopyShare      float64
	FairShares     bool
	RejectHopeless bool
}

// Action is an action that the pool's owner is to perform: StartRun, StopRun, ThrottleRun,
// RenewLease, ForgetWorker, AskAdvice or ConfirmOwner.
type Action interface {
	isAction()
}

// StartRun sends a start order to a worker. The same order may be requested again after an
// answer was lost: it is idempotent by its run.
type StartRun struct {
	To    jayport.WorkerRef
	Order jayport.StartOrder
	// Attempt counts how often the order was sent, from 1.
	Attempt int
}

// StopRun orders a worker to stop a run, or never to start it.
type StopRun struct {
	To  jayport.WorkerRef
	Run jayport.RunRef
	Why string
}

// ThrottleRun sets the speed of a run as a percentage.
type ThrottleRun struct {
	To      jayport.WorkerRef
	Run     jayport.RunRef
	Percent int
}

// RenewLease renews a worker's lease and requests its report.
type RenewLease struct {
	To    jayport.WorkerRef
	Order jayport.LeaseOrder
	// Unanswered counts the earlier requests to a worker that has not reported to this owner yet.
	Unanswered int
}

// ForgetWorker closes the connections to a worker that has ended.
type ForgetWorker struct {
	To jayport.WorkerRef
}

func (StartRun) isAction()     {}
func (ForgetWorker) isAction() {}
func (RenewLease) isAction()   {}
func (StopRun) isAction()      {}
func (ThrottleRun) isAction()  {}

// Pool is the scheduling state of one pool. It is not safe for concurrent use.
type Pool struct {
	name     string
	settings Settings
	term     int64
	fence    int64
	// dueAt converts a time of day to the pool's clock.
	dueAt func(time.Time) time.Duration
	// policyOf returns the present policy of a job's queue, if the queue still exists.
	policyOf func(*jayspec.Job) (jayspec.Policy, bool)

	jobs map[string]*job
	// footprint is the sum of the footprints of the jobs that have not ended.
	footprint int64
	// cancellations are those of unknown jobs.
	cancellations *jaycancel.Register
	// open are the jobs that have not ended, in the order in which they are served.
	open []*job
	// noRoom are the needs that no worker could meet in the present decision.
	noRoom []jaypool.Resources
	// lackedRoom says that some task that fits on a worker found none in the latest decision.
	lackedRoom bool
	// reservedForSuspects counts the workers that are reserved for suspects in the present
	// decision.
	reservedForSuspects int
	// recordNow says that progress is to be recorded without delay.
	recordNow bool
	// losses are the recent losses of workers.
	losses []workerLoss
	// startsLeft is how many more runs may be started in the present decision.
	startsLeft int
	// heldBack says that the limit of starts held tasks back in the latest review, heldBackAt is
	// when that was.
	heldBack   bool
	heldBackAt time.Duration
	// deadlineReviewAt is when the deadline status of the jobs is reviewed next.
	deadlineReviewAt time.Duration
	// serviceWaits is the latest report of the waits of long-running tasks.
	serviceWaits ServiceWaits
	holdReport   holdReport
	// lastRoomAt is the latest time at which no task lacked room.
	lastRoomAt time.Duration
	// batchRecordedAt is the latest time at which a batch was recorded.
	batchRecordedAt time.Duration
	// changed are the jobs whose progress is to be recorded.
	changed []*job
	// declaredEnded are the ended jobs whose declarations can be removed, in the order in which their
	// ends were recorded.
	declaredEnded []*job
	workers       map[string]*worker
	// maxCapacity is the largest amount of each resource that any worker had.
	maxCapacity jaypool.Resources
	// sorted are the workers in the order of their IDs.
	sorted     []*worker
	formerRuns formerRuns
	// formerTrials are the tasks with recorded trials of former owners, by the workers of the trials.
	formerTrials map[string][]*task
	// formerPlacements are the tasks with recorded placements of former owners, by the workers of the
	// placements.
	formerPlacements map[string][]*task
	// placementsSince is the first term from which on all owners record placements; placementsIncomplete says
	// that a former owner may have started a restored service task without a record.
	placementsSince      int64
	placementsIncomplete bool
	// recordedRuns are the runs whose placements are recorded and that may not have been started yet.
	recordedRuns []*run
	// placementWaitsAt is when the waits for the workers of former placements were last updated.
	placementWaitsAt time.Duration
	// restoredAt is when this owner first restored a job.
	restoredAt  time.Duration
	right       jayownership.Right
	unknownJobs unknownJobs
	// endedWorkers are the workers with ended incarnations, by their IDs.
	endedWorkers map[string]endedIncarnations
	// trend and offeredWork predict the pool's usage.
	trend       trend
	offeredWork offeredWork
	// expected are the jobs that are about to be stored, with the time at which they were
	// submitted.
	expected map[string]time.Duration
	vacating vacating
	// kept are the places that are kept for tasks, in the order in which they were kept.
	kept      []keptPlace
	release   release
	quotas    quotas
	fairness  fairness
	actions   []Action
	events    []Event
	durations *durations
	outlook   *outlook
	speeds    speeds
	copies    copies
}

// Option configures a new pool.
type Option func(*Pool)

// WithFence sets the owner's fence and its term, which counts the owners.
func WithFence(fence, term int64) Option {
	return func(p *Pool) { p.fence, p.term = fence, term }
}

// WithDueTimes sets the function that converts times of day to the pool's clock.
func WithDueTimes(dueAt func(time.Time) time.Duration) Option {
	return func(p *Pool) { p.dueAt = dueAt }
}

// WithPolicies sets the function that returns the present policy of a job's queue.
func WithPolicies(of func(*jayspec.Job) (jayspec.Policy, bool)) Option {
	return func(p *Pool) { p.policyOf = of }
}

// NewPool returns a pool without jobs and workers.
func NewPool(name string, settings Settings, options ...Option) *Pool {
	p := &Pool{
		name:         name,
		settings:     settings,
		term:         1,
		fence:        1,
		dueAt:        func(time.Time) time.Duration { return 0 },
		policyOf:     func(*jayspec.Job) (jayspec.Policy, bool) { return jayspec.Policy{}, false },
		jobs:         map[string]*job{},
		workers:      map[string]*worker{},
		endedWorkers: map[string]endedIncarnations{},
		formerTrials: map[string][]*task{},

		formerPlacements: map[string][]*task{},

		expected: map[string]time.Duration{},

		cancellations: jaycancel.NewRegister(),

		quotas:     newQuotas(),
		durations:  newDurations(),
		outlook:    newOutlook(),
		speeds:     newSpeeds(),
		startsLeft: math.MaxInt,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Name returns the pool's name.
func (p *Pool) Name() string {
	return p.name
}

// Fence returns the owner's fence.
func (p *Pool) Fence() int64 {
	return p.fence
}

// StateOf returns the state of a job as shown to callers; known is false if the pool has no
// such job.
func (p *Pool) StateOf(id string) (state State, known bool) {
	j, known := p.jobs[id]
	if !known {
		return Queued, false
	}
	return j.state(), true
}

// VisibleTo reports whether the callers of an organisation may know of a job. A job without an
// organisation is known to all: its queue needs no key, or it was submitted before there were
// organisations.
func (p *Pool) VisibleTo(organisation, id string) bool {
	j, known := p.jobs[id]
	return known && (j.spec.Organisation == "" || j.spec.Organisation == organisation)
}

// Recorded reports whether a job has ended and its end is recorded in the store.
func (p *Pool) Recorded(id string) bool {
	j, known := p.jobs[id]
	return known && j.recorded != Open
}

// AllowedTime returns the time from a job's submission to its target, as far as its sizes are
// known, and zero for an unknown job.
func (p *Pool) AllowedTime(id string) time.Duration {
	j, known := p.jobs[id]
	if !known {
		return 0
	}
	return j.target - j.submittedAt
}

// SetStarts sets how many runs may be started in the next decision.
func (p *Pool) SetStarts(most int) {
	p.startsLeft = most
}

// LacksRoom reports whether tasks wait for room.
func (p *Pool) LacksRoom() bool {
	return p.lackedRoom
}

// Pending counts the open jobs of a queue of which no task has started. The queue may have had another
// name when they were submitted. An empty address stands for the queue of that name.
func (p *Pool) Pending(queue, address string) int {
	count := 0
	for _, j := range p.open {
		ofQueue := j.spec.Address == address
		if address == "" || j.spec.Address == "" {
			ofQueue = j.spec.Queue == queue
		}
		if ofQueue && !j.started {
			count++
		}
	}
	return count
}

// policy returns the present policy of a job's queue, or the one that the job was accepted
// under.
func (p *Pool) policy(spec *jayspec.Job) jayspec.Policy {
	if present, ok := p.policyOf(spec); ok {
		return present
	}
	return spec.Policy
}

// Declare adds a job that this owner has stored. A known job stays unchanged.
func (p *Pool) Declare(spec *jayspec.Job, now time.Duration) (added bool) {
	if _, known := p.jobs[spec.ID]; known {
		return false
	}
	canceledAt, covered, canceled := p.cancellations.Declare(spec.ID, spec.Organisation)
	if covered {
		p.declareCanceled(spec, canceledAt, now)
		return false
	}
	j := newJob(spec, now, p.dueAt)
	// A former owner may have stored the job too, and begun it.
	j.foundInStore = p.hasUnprocessedRuns(j)
	p.completePlacements(j)
	if j.longRunning && p.placementsSince != 1 {
		p.markChanged(j) // the next owner does not rely on a missing record
	}
	j.holdDue(now)
	p.needOwner(j, jayownership.NeededForStored(now))
	p.shareWithFormer(j, now)
	chain := p.add(j)
	if canceled {
		p.markChanged(j) // replaces the record of the cancellation
	}
	if _, expected := p.expected[spec.ID]; !expected {
		p.addArrival(spec, chain, now)
	}
	delete(p.expected, spec.ID)
	return true
}

// add adds a job and returns how long it takes if it runs alone.
func (p *Pool) add(j *job) (chain time.Duration) {
	p.jobs[j.spec.ID] = j
	j.footprint = jayfootprint.Of(j.spec, maxHeldWaiting)
	p.footprint += j.footprint
	policy := p.policy(j.spec)
	j.advised, j.priority = policy.Advised, policy.Priority
	chain = p.longestChain(j.spec)
	j.chain = chain
	j.target = j.submittedAt + time.Duration(policy.Stretch*float64(chain)) + policy.Objective
	j.slack = j.target - j.submittedAt - chain
	p.enqueue(j)
	p.outlook.stored(j.spec.ID)
	return chain
}

// Fits reports whether a job can be added within a limit of the memory for the pool's open jobs, and how
// much they take, both in bytes. A known job always can.
func (p *Pool) Fits(spec *jayspec.Job, limit int64) (fits bool, held int64) {
	_, known := p.jobs[spec.ID]
	return known || p.footprint+jayfootprint.Of(spec, maxHeldWaiting) <= limit, p.footprint
}

// Footprint estimates how many bytes of memory the pool needs for its open jobs.
func (p *Pool) Footprint() int64 {
	return p.footprint
}

// Cancel ends a job; known is false if the pool has no such job. A job that has ended keeps its
// outcome.
func (p *Pool) Cancel(id string, now time.Duration) (known bool) {
	j, known := p.jobs[id]
	if !known {
		return false
	}
	if j.outcome == Open {
		p.end(j, Canceled, now)
		p.recordEvent(Event{Kind: JobEnded, Job: id, Detail: Canceled.String(), Waited: now - j.submittedAt}, now)
	}
	return true
}

// end closes a job and stops its remaining runs.
func (p *Pool) end(j *job, outcome Outcome, now time.Duration) {
	j.outcome = outcome
	j.endedAt = now
	p.footprint -= j.footprint
	p.markChanged(j)
	p.open = slices.DeleteFunc(p.open, func(other *job) bool { return other == j })
	j.eachTask(func(t *task) {
		for _, r := range t.runs {
			p.stop(r, outcome.String(), now)
		}
	})
}

// stop orders a worker to stop a run. Decide repeats the order until the run has ended.
func (p *Pool) stop(r *run, why string, now time.Duration) {
	if r.phase == stopping || r.phase == stopped {
		return
	}
	r.phase = stopping
	r.stopWhy = why
	r.resendAfter(now)
	p.actions = append(p.actions, StopRun{To: r.worker.workerRef(), Run: r.ref(), Why: why})
}

// insert adds a worker, in the order of the IDs.
func (p *Pool) insert(w *worker) {
	p.workers[w.ID] = w
	at, _ := slices.BinarySearchFunc(p.sorted, w, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	p.sorted = slices.Insert(p.sorted, at, w)
}

func (p *Pool) remove(w *worker) {
	delete(p.workers, w.ID)
	w.listed = false // forgets the places that are kept on it
	p.sorted = slices.DeleteFunc(p.sorted, func(other *worker) bool { return other == w })
}

func compareTasks(a, b jayport.TaskID) int {
	return cmp.Or(
		strings.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
