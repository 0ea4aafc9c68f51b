package jayreplay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaythread/jayfleet"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayshare"
)

// simulation is the state of the simulation of one load.
type simulation struct {
	clock    clock
	load     Load
	fleet    *jayfleet.Fleet
	uses     *jayshare.Ledger
	owners   []*poolOwner
	hosts    []*host
	tasks    map[jayport.TaskID]*task
	jobs     map[string]*JobResult
	jobOrder []string
	// expiredRuns counts the runs that ended because their lease was not renewed.
	expiredRuns int
	// crashes counts the workers that were crashed by a task.
	crashes int
	// moves counts the instances that were moved to another pool.
	moves int
	// instanceSeconds sums up for how long instances were on, in instance-seconds.
	instanceSeconds float64
	// usedSeconds sums up the part of these instance-seconds that tasks reserved.
	usedSeconds float64
	// events counts the events of the pools by kind.
	events map[jaysched.EventKind]int
}

// task is the actual behaviour of a task, which may differ from its declared estimate.
type task struct {
	need jaypool.Resources
	// duration is the run time of the task without interruptions.
	duration    time.Duration
	longRunning bool
	// savedTime is the run time that is covered by a checkpoint.
	savedTime time.Duration
	// checkpoint is true if the task writes checkpoints.
	checkpoint bool
	// startedAt is when the first run of the task began.
	startedAt time.Duration
	// starts counts the runs of the task, and lostRunAt is when it had its latest run, or zero
	// while it has one.
	starts    int
	lostRunAt time.Duration
	// longestWait is the longest time that the task was without a run between two runs.
	longestWait time.Duration
	// crashes is true if each run of the task crashes its worker.
	crashes bool
	// crashAfter is the time from the start of a run to the crash of its worker.
	crashAfter time.Duration
}

// Play simulates a load from start to end and returns the result.
func Play(load Load) Result {
	s := newSimulation(load)
	s.run()
	return s.result()
}

// run runs the simulation until the end of the load.
func (s *simulation) run() {
	for _, o := range s.owners {
		o.start()
	}
	s.startFleetOwner()
	for n := range s.load.Arrivals {
		a := &s.load.Arrivals[n]
		s.clock.after(a.At, func() { s.submitJob(a) })
	}
	for _, o := range s.load.Outages {
		s.clock.after(o.At, func() { s.startOutage(o) })
	}
	s.clock.every(usageInterval, s.measureUsage)
	s.clock.run(s.load.Until)
}

func newSimulation(load Load) *simulation {
	s := &simulation{load: load, uses: jayshare.NewLedger(), tasks: map[jayport.TaskID]*task{}, jobs: map[string]*JobResult{}, events: map[jaysched.EventKind]int{}}
	s.clock.now = 0
	s.fleet = jayfleet.New(jayfleet.Settings{MoveTime: load.MoveTime, MaintenanceTime: maintenanceTime, DivideHosts: load.DivideHosts, PredictBursts: load.PredictBursts, BurstPredictors: load.BurstPredictors})
	var working []string
	for pool := range load.Hosts {
		working = append(working, pool)
	}
	slices.Sort(working)
	s.fleet.SetPools(working, []string{standby})
	for _, pool := range working {
		s.owners = append(s.owners, newPoolOwner(s, pool))
		for range load.Hosts[pool] {
			s.addHost(pool)
		}
	}
	for range load.StandbyHosts {
		s.addHost(standby)
	}
	return s
}

const (
	// standby is the name of the pool that holds the instances that are switched off.
	standby = "standby"
	// maintenanceTime is how long the maintenance of an instance takes.
	maintenanceTime = 2 * time.Second
	// storeLatency is how long an append to the store takes.
	storeLatency = 12 * time.Millisecond
	// usageInterval is the interval at which the usage of instances is sampled.
	usageInterval = 50 * time.Millisecond
)

// submitJob submits a job. Its pool expects the job at once and can schedule it as soon as
// the job is stored.
func (s *simulation) submitJob(a *Arrival) {
	owner := s.owner(a.Job.Pool)
	s.jobs[a.Job.ID] = &JobResult{Queue: a.Job.Queue, Organisation: a.Job.Organisation, Submitted: s.clock.now, Objective: a.objective(), Work: a.work()}
	if !a.Job.LongRunning() {
		s.jobOrder = append(s.jobOrder, a.Job.ID)
	}
	for step := range a.Job.Steps {
		decl := &a.Job.Steps[step]
		for index := range decl.Tasks {
			id := taskID(a.Job.ID, step, index)
			t := &task{need: decl.Need, longRunning: decl.LongRunning, checkpoint: decl.Checkpoint}
			if !t.longRunning {
				t.duration = a.Durations[step][index]
			}
			s.tasks[id] = t
		}
	}
	for _, c := range a.Crashes {
		t := s.tasks[taskID(a.Job.ID, c.Step, c.Index)]
		t.crashes, t.crashAfter = true, c.After
		s.jobs[a.Job.ID].Crashes = true
	}
	for at, when := range a.FailsAt {
		s.clock.after(when-s.clock.now, func() { s.failTask(taskID(a.Job.ID, at[0], at[1])) })
	}
	s.store(owner, a)
}

// maxReturns limits how often the caller of a rejected job repeats the request.
const maxReturns = 4

// store asks a pool's owner to store a job.
func (s *simulation) store(owner *poolOwner, a *Arrival) {
	admission := owner.pool.Admit(a.Job, s.clock.now)
	if admission.Rejected {
		j := s.jobs[a.Job.ID]
		if j.Rejections++; j.Rejections <= maxReturns {
			s.clock.after(admission.RetryAfter, func() { s.store(owner, a) })
		}
		return
	}
	s.jobs[a.Job.ID].Accepted = s.clock.now
	owner.pool.Expect(a.Job, s.clock.now)
	s.clock.after(storeLatency, func() {
		owner.pool.Declare(a.Job, s.clock.now)
		owner.scheduleDecision()
	})
}

func taskID(job string, step, index int) jayport.TaskID {
	return jayport.TaskID{Job: job, Step: step, Index: index}
}

// owner returns the owner of a pool.
func (s *simulation) owner(pool string) *poolOwner {
	at, _ := slices.BinarySearchFunc(s.owners, pool, func(o *poolOwner, name string) int { return strings.Compare(o.name, name) })
	return s.owners[at]
}

// failTask ends the present run of a task as failed.
func (s *simulation) failTask(id jayport.TaskID) {
	for _, h := range s.hosts {
		if h.worker == nil {
			continue
		}
		for _, run := range h.worker.activeRuns() {
			if run.Task == id {
				h.worker.end(h.worker.active[run], jayport.EndedFailed)
			}
		}
	}
}

// saveCheckpoint records the work done in a stopped run if its task writes checkpoints,
// and returns the checkpoint.
func (s *simulation) saveCheckpoint(r *activeRun, done time.Duration) string {
	t := s.tasks[r.order.Run.Task]
	if !t.checkpoint {
		return ""
	}
	t.savedTime = min(t.savedTime+done, t.duration)
	return "saved"
}

// measureUsage adds one sample to the instance-seconds that were available and used.
func (s *simulation) measureUsage() {
	if s.clock.now < s.load.MeasureFrom {
		return
	}
	for _, h := range s.hosts {
		if h.pool == standby {
			continue
		}
		s.instanceSeconds += usageInterval.Seconds()
		if h.worker != nil {
			taken := s.load.Size.ProcessorsMilli - h.worker.free.ProcessorsMilli
			s.usedSeconds += usageInterval.Seconds() * float64(taken) / float64(s.load.Size.ProcessorsMilli)
		}
	}
}

func (s *simulation) result() Result {
	r := Result{InstanceSeconds: s.instanceSeconds, Used: s.usedSeconds, Moves: s.moves, Lapsed: s.expiredRuns, Crashes: s.crashes}
	for id, t := range s.tasks {
		if t.crashes {
			j := s.jobs[id.Job]
			j.Starts = max(j.Starts, t.starts)
		}
	}
	for _, id := range s.jobOrder {
		r.Jobs = append(r.Jobs, *s.jobs[id])
	}
	return r
}

func compareRuns(a, b jayport.RunRef) int {
	return cmp.Or(
		strings.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
