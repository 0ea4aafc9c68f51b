package jaysched

import (
	"time"

	"jaythread/jayoccurrence"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// Outcome is how a job has ended, or Open.
type Outcome uint8

// The outcomes of jobs.
const (
	Open Outcome = iota
	Done
	Failed
	Canceled
)

var outcomeNames = [...]string{"open", "done", "failed", "canceled"}

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// State is the state of a job as shown to callers.
type State uint8

// The states of jobs.
const (
	Queued State = iota
	Running
	StateDone
	StateFailed
	StateCanceled
)

var stateNames = [...]string{"queued", "running", "done", "failed", "canceled"}

// String returns the state in lower case.
func (s State) String() string {
	return stateNames[s]
}

// job is a declared job and its progress.
type job struct {
	spec *jayspec.Job
	// footprint is what the job counts for in the pool's memory, in bytes.
	footprint int64
	// submittedAt is when the job was submitted.
	submittedAt time.Duration
	// foundInStore says that another owner stored the job, so that a former owner may have
	// begun it.
	foundInStore bool
	// disputed says that another pool may have the job too, disputedAt since when.
	disputed   bool
	disputedAt time.Duration
	// ownerNeededAt is the time up to which the owner must be confirmed to begin the job.
	ownerNeededAt time.Duration
	// inherited says that a former owner may have begun the job.
	inherited bool
	// longRunning says that the job runs until it is cancelled, advised that the advisor
	// decides on which workers its steps may run.
	longRunning bool
	advised     bool
	// priority is that of the job's queue; zero is served first.
	priority int
	// slack is how long the job can wait altogether and still be done by its target.
	slack time.Duration
	// target is when the job should be done.
	target         time.Duration
	deadlineStatus deadlineStatus
	// chain is how long the job takes if it runs alone, targetLead by how much its target counts as
	// earlier in the order.
	chain, targetLead time.Duration
	forecast          jobForecast
	// beyondShare says that other jobs use the share of the job's organisation.
	beyondShare bool
	// occurrences are the held occurrences, in the order of their numbers: those that have begun
	// or could begin, and have not ended.
	occurrences []*occurrence
	series      jayoccurrence.Series
	// mayRunUnreported says that a former owner may have started any task of the job on a worker
	// that has not reported yet.
	mayRunUnreported bool
	// placementsTerm is the owner's term if all runs of the job's service tasks are known or recorded, and
	// zero otherwise. The record has the term, so that an owner of an earlier version after this one outdates it.
	placementsTerm int64
	// waiting counts the tasks of the steps of the held occurrences that are not done and have no
	// run.
	waiting int
	outcome Outcome
	endedAt time.Duration
	// recorded is the outcome recorded in the store. Callers are shown no other outcome, since
	// the loss of the owner would revoke it.
	recorded Outcome
	// removing says that records of the ended job are being removed.
	removing bool
	started  bool
	// begun says that a run of the job has ended, under this owner or a former one.
	begun bool
	// unreadable says that the job's recorded progress could not be read. It is replaced only by an
	// outcome: whatever this owner knows is less.
	unreadable bool
	// dirty says that the progress differs from the one last passed to the store.
	dirty bool
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	number    int
	due       time.Duration
	openSteps int
	steps     []*step
	// remaining is the latest estimate of the remaining time.
	remaining remainingEstimate
}

// step is one step of one occurrence.
type step struct {
	job  *job
	occ  *occurrence
	id   jayport.StepID
	decl *jayspec.Step
	// open counts the tasks that are not done, waiting those of them that have no run.
	open             int
	waiting          int
	openPredecessors int
	// successors are the steps that wait for this one.
	successors []*step
	// tasks are the tasks that are held in memory, in the order of their indexes: those with an index
	// below made that are not done or have a run. Those from made on wait and are all alike.
	tasks []*task
	made  int
	// done has the bit of each task that is done, see setBit.
	done []byte
	// rack is the rack on which a rack-local step runs.
	rack string
	// gangRun is the number of the gang's latest run, gangCheckpoint the one of its members' checkpoints that
	// all of them resume from, and gangCheckpointRun the run that it is from.
	gangRun           int64
	gangCheckpoint    string
	gangCheckpointRun int64
	// placed counts the present runs of the step's tasks on each worker.
	placed map[*worker]int
	// advice holds the advisor's answers, for a queue that has an advisor.
	advice advice
	// eviction is used while workers are vacated.
	eviction vacateReview
	// suspected says that a task of the step has been suspected of crashing a worker.
	suspected bool
	// tooLarge says that no worker is large enough for a task of the step.
	tooLarge bool
	// exceedsQuota says that the step is a gang that waits for a larger quota of its organisation.
	exceedsQuota bool
	// readyAt is when the last predecessor of the step ended, or when the occurrence began.
	readyAt time.Duration
}

// addWaiting adds to the number of tasks that wait for a worker.
func (s *step) addWaiting(more int) {
	s.waiting += more
	s.job.waiting += more
}

// countPlaced adds to the number of present runs of the step's tasks on a worker.
func (s *step) countPlaced(w *worker, more int) {
	if s.placed == nil {
		s.placed = map[*worker]int{}
	}
	if s.placed[w] += more; s.placed[w] == 0 {
		delete(s.placed, w)
	}
}

func (s *step) ready(now time.Duration) bool {
	return s.openPredecessors == 0 && s.open > 0 && now >= s.occ.due
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// ownCheckpoint is the task's checkpoint unless it is a member of a gang, see checkpoint.
	ownCheckpoint string
	// failedRuns are the numbers of the runs that have ended as failed. The numbers are kept,
	// since a worker repeats an end that was recorded but not acknowledged.
	failedRuns []int64
	// runs are the present runs; only a task of a speculative step has more than one.
	runs []*run
	// lastRun is the number of the task's latest run.
	lastRun int64
	// mayRunUnreported says that a former owner may have started the task on a worker that
	// has not reported yet.
	mayRunUnreported bool
	// formerPlacement is the run that a former owner has recorded and that no worker has shown yet, or nil.
	formerPlacement *placement
	// failedOn names the workers on which the task failed.
	failedOn []string
	// crashes are the losses of workers that the task may have caused.
	crashes []crash
	// trials are the recorded runs, or nil.
	trials *trials
	// parked says that the task, one of a service, is not started any more.
	parked bool
	// released says that a run of the task was restarted to release its worker.
	released bool
	// droppedAt is when the task lost its latest run, lostAt when its latest run was over without
	// the task being done.
	droppedAt time.Duration
	lostAt    time.Duration
	// notBefore delays the next start after a failure, by retryDelay after the latest one.
	notBefore  time.Duration
	retryDelay time.Duration
}

func (t *task) id() jayport.TaskID {
	return jayport.TaskID{Job: t.step.id.Job, Occurrence: t.step.id.Occurrence, Step: t.step.id.Step, Index: t.index}
}

// checkpoint returns the checkpoint that the task resumes from, or an empty one. That of any member of a gang is
// valid for the gang, and all members must resume from the same one.
func (t *task) checkpoint() string {
	if t.step.decl.Gang {
		return t.step.gangCheckpoint
	}
	return t.ownCheckpoint
}

// saveCheckpoint sets the checkpoint of a run of the task. For a gang, the one that was heard of last counts, but
// none from before its latest run with a checkpoint.
func (t *task) saveCheckpoint(checkpoint string, run int64) {
	switch s := t.step; {
	case checkpoint == "" || !s.decl.Checkpoint:
	case !s.decl.Gang:
		t.ownCheckpoint = checkpoint
	case run >= s.gangCheckpointRun:
		s.gangCheckpoint, s.gangCheckpointRun = checkpoint, run
	}
}

// waiting reports whether the task needs a worker.
func (t *task) waiting() bool {
	return !t.done && !t.parked && len(t.runs) == 0
}

// addRun adds a run of the task.
func (t *task) addRun(r *run) {
	if t.waiting() {
		t.step.addWaiting(-1)
	}
	t.runs = append(t.runs, r)
}

// removeRun removes a run of the task.
func (t *task) removeRun(r *run) {
	for n, other := range t.runs {
		if other != r {
			continue
		}
		t.runs = append(t.runs[:n], t.runs[n+1:]...)
		t.step.occ.remaining.known = false
		if t.waiting() {
			t.step.addWaiting(1)
		}
		t.step.release(t)
		return
	}
}

// park excludes the task from being started.
func (t *task) park() {
	if t.waiting() {
		t.step.addWaiting(-1)
	}
	t.parked = true
	t.step.open--
}

// finish marks the task as done.
func (t *task) finish() {
	if t.waiting() {
		t.step.addWaiting(-1)
	}
	t.done = true
	t.step.open--
	t.step.occ.remaining.known = false
	t.step.done = setBit(t.step.done, t.index)
	t.step.release(t)
}

// newJob returns a declared job. It holds no occurrence yet, so that recorded progress can be restored
// first. dueAt converts times of day to the pool's clock.
func newJob(spec *jayspec.Job, now time.Duration, dueAt func(time.Time) time.Duration) *job {
	j := &job{spec: spec, submittedAt: now, longRunning: spec.LongRunning()}
	// A job that was submitted to a former owner has already waited for some time.
	if submitted := dueAt(spec.Accepted); submitted > 0 {
		j.submittedAt = min(now, submitted)
	}
	first := now
	if spec.Schedule.Timed() {
		first = dueAt(spec.Schedule.First)
	}
	j.series = jayoccurrence.New(first, spec.Schedule.Interval, spec.Schedule.Count())
	return j
}

func newOccurrence(j *job, number int, due time.Duration) *occurrence {
	o := &occurrence{number: number, due: due, openSteps: len(j.spec.Steps)}
	for n := range j.spec.Steps {
		decl := &j.spec.Steps[n]
		s := &step{
			job:     j,
			occ:     o,
			id:      jayport.StepID{Job: j.spec.ID, Occurrence: number, Step: n},
			decl:    decl,
			open:    decl.Tasks,
			waiting: decl.Tasks,
			readyAt: due,
		}
		j.waiting += decl.Tasks
		if decl.Gang || decl.LongRunning {
			// The members of a gang start together, and a service misses each of its tasks.
			s.holdTask(decl.Tasks - 1)
		}
		for _, before := range uniqueSteps(decl.After) {
			s.openPredecessors++
			o.steps[before].successors = append(o.steps[before].successors, s)
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// uniqueSteps removes duplicates, which would be counted twice.
func uniqueSteps(after []int) []int {
	var unique []int
	seen := map[int]bool{}
	for _, n := range after {
		if !seen[n] {
			seen[n] = true
			unique = append(unique, n)
		}
	}
	return unique
}

// state returns the state that is shown to callers.
func (j *job) state() State {
	switch j.recorded {
	case Done:
		return StateDone
	case Failed:
		return StateFailed
	case Canceled:
		return StateCanceled
	default:
		if j.started {
			return Running
		}
		return Queued
	}
}

// eachTask calls a function for every held task.
func (j *job) eachTask(do func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				do(t)
			}
		}
	}
}
