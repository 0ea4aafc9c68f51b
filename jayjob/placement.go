// Package jayjob decides where the tasks of jobs run. It has no state, no clock and no
// I/O.
package jayjob

import (
	"cmp"
	"fmt"
	"slices"

	"jaythread/jaypool"
	"jaythread/jayrule"
)

// Task is one replica of a job.
type Task struct {
	Job     string
	Replica int
	// Instance is empty if the task is not placed.
	Instance string
	// Fence is the offset of the placement. Workers reject lower fences.
	Fence uint64
	// FailedOn lists the workers on which the task has failed, one entry for each failure.
	FailedOn []string
	// Withdrawn reports that the configuration no longer declares the task.
	Withdrawn bool
}

// Job is the description of a job that placement uses.
type Job struct {
	Name     string
	Pool     string
	Team     string
	Priority jayrule.Priority
	// Need is the size of one task, estimated from usage or, before enough usage is
	// reported, as declared.
	Need jaypool.Resources
	// DataCenters is the list of permitted data centres; empty permits all.
	DataCenters []string
	// Displace allows the job to displace tasks of jobs with lower priority.
	Displace bool
	// Parked prevents new tasks of the job; running ones continue.
	Parked bool
}

// Decision is an action of a placement round: Start, Stop or Park.
type Decision interface {
	isDecision()
}

// Start places a task on an instance.
type Start struct {
	Task     Task
	Instance string
}

// Stop checkpoints and stops a task. Why is recorded in the audit trail.
type Stop struct {
	Task Task
	Why  string
}

// Park excludes a job from placement. Why is the reason shown to its operator.
type Park struct {
	Job string
	Why string
}

func (Start) isDecision() {}
func (Stop) isDecision()  {}
func (Park) isDecision()  {}

// MaxTaskFailures is the number of times that a task must have failed for its job to be
// parked: the task is then expected to fail on any other worker as well. It fails twice on
// one worker only if no other can hold it.
const MaxTaskFailures = 3

// View is the state that a placement round is based on.
type View struct {
	Fleet *jaypool.Fleet
	Jobs  map[string]Job
	// Tasks is sorted by job and replica.
	Tasks  []Task
	Quotas map[string]jaypool.Resources
	Wave   string
}

// Place returns the tasks to stop and start and the jobs to park now. A placed task stays
// on its instance as long as the instance is available.
func Place(v View) []Decision {
	r := newRound(v)
	r.evictTasks()
	for _, t := range r.waiting() {
		r.place(t)
	}
	return r.decisions
}

type round struct {
	view       View
	free       map[string]jaypool.Resources
	byPool     map[string][]*jaypool.Instance
	rackCounts map[string]map[string]int
	usedByTeam map[string]jaypool.Resources
	// tasksOn holds the indexes in view.Tasks of the tasks on each instance.
	tasksOn   map[string][]int
	stopped   map[int]bool
	parked    map[string]bool
	decisions []Decision
}

func newRound(v View) *round {
	r := &round{
		view:       v,
		free:       make(map[string]jaypool.Resources, len(v.Fleet.IDs())),
		byPool:     map[string][]*jaypool.Instance{},
		rackCounts: map[string]map[string]int{},
		usedByTeam: map[string]jaypool.Resources{},
		tasksOn:    map[string][]int{},
		stopped:    map[int]bool{},
		parked:     map[string]bool{},
	}
	for _, id := range v.Fleet.IDs() {
		i, _ := v.Fleet.Instance(id)
		if i.Available() {
			r.free[id] = i.Capacity
			r.byPool[i.Pool] = append(r.byPool[i.Pool], i)
		}
	}
	for n, t := range v.Tasks {
		if t.Instance != "" {
			r.allocate(t, t.Instance)
			r.tasksOn[t.Instance] = append(r.tasksOn[t.Instance], n)
		}
	}
	return r
}

func (r *round) allocate(t Task, instance string) {
	j := r.view.Jobs[t.Job]
	if free, ok := r.free[instance]; ok {
		r.free[instance] = free.Sub(j.Need)
	}
	r.usedByTeam[j.Team] = r.usedByTeam[j.Team].Add(j.Need)
	if r.rackCounts[t.Job] == nil {
		r.rackCounts[t.Job] = map[string]int{}
	}
	if i, ok := r.view.Fleet.Instance(instance); ok {
		r.rackCounts[t.Job][i.Domain(jaypool.RackDomain)]++
	}
}

func (r *round) release(t Task) {
	j := r.view.Jobs[t.Job]
	if free, ok := r.free[t.Instance]; ok {
		r.free[t.Instance] = free.Add(j.Need)
	}
	r.usedByTeam[j.Team] = r.usedByTeam[j.Team].Sub(j.Need)
}

// evictTasks stops the tasks on instances that are no longer available, and withdrawn
// tasks.
func (r *round) evictTasks() {
	for n, t := range r.view.Tasks {
		if t.Instance == "" {
			continue
		}
		_, declared := r.view.Jobs[t.Job]
		_, serves := r.free[t.Instance]
		switch {
		case !declared || t.Withdrawn:
			r.stop(n, "cancelled")
		case !serves:
			r.stop(n, "moved")
		}
	}
}

func (r *round) stop(n int, why string) {
	t := r.view.Tasks[n]
	r.stopped[n] = true
	r.release(t)
	r.decisions = append(r.decisions, Stop{Task: t, Why: why})
}

// waiting returns the tasks that are not placed, by descending priority.
func (r *round) waiting() []Task {
	var tasks []Task
	for _, t := range r.view.Tasks {
		if _, declared := r.view.Jobs[t.Job]; declared && t.Instance == "" {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b Task) int {
		return cmp.Compare(r.view.Jobs[b.Job].Priority, r.view.Jobs[a.Job].Priority)
	})
	return tasks
}

func (r *round) place(t Task) {
	j := r.view.Jobs[t.Job]
	if j.Parked || r.parked[j.Name] {
		return
	}
	if len(t.FailedOn) >= MaxTaskFailures {
		r.park(j.Name, fmt.Sprintf("replica %d failed on %v", t.Replica, t.FailedOn))
		return
	}
	quota, limited := r.view.Quotas[j.Team]
	if limited && !quota.Sub(r.usedByTeam[j.Team]).Fits(j.Need) {
		if !quota.Fits(j.Need) {
			r.park(j.Name, fmt.Sprintf("one task is larger than the whole quota of team %s", j.Team))
		}
		return
	}
	avoid := r.avoidedBy(t, j)
	target := r.bestInstance(j, avoid)
	if target == nil && j.Displace && r.displaceFor(j, avoid) {
		// The capacity becomes available only when the displaced tasks have stopped.
		return
	}
	if target == nil {
		if why := r.permanentMisfit(j); why != "" {
			r.park(j.Name, why)
		}
		return
	}
	r.allocate(t, target.ID)
	r.decisions = append(r.decisions, Start{Task: t, Instance: target.ID})
}

// avoidedBy returns the workers on which the task must not be placed: those on which it
// has failed, unless no other available one can hold it. Otherwise a task of a pool with
// fewer than MaxTaskFailures workers would be neither started nor parked.
func (r *round) avoidedBy(t Task, j Job) []string {
	for _, i := range r.byPool[j.Pool] {
		if allowed(j, i) && i.Capacity.Fits(j.Need) && !slices.Contains(t.FailedOn, i.ID) {
			return t.FailedOn
		}
	}
	return nil
}

func (r *round) park(job, why string) {
	r.parked[job] = true
	r.decisions = append(r.decisions, Park{Job: job, Why: why})
}

// bestInstance returns the best instance with enough free capacity: instances already
// maintained in the current wave come first, then those in the rack with the fewest tasks
// of the job, then those with the most free memory.
func (r *round) bestInstance(j Job, avoid []string) *jaypool.Instance {
	var best *jaypool.Instance
	for _, i := range r.byPool[j.Pool] {
		if !allowed(j, i) || slices.Contains(avoid, i.ID) || !r.free[i.ID].Fits(j.Need) {
			continue
		}
		if best == nil || r.better(j, i, best) {
			best = i
		}
	}
	return best
}

func (r *round) better(j Job, a, b *jaypool.Instance) bool {
	maintainedA, maintainedB := r.maintained(a), r.maintained(b)
	if maintainedA != maintainedB {
		return maintainedA
	}
	spreadA := r.rackCounts[j.Name][a.Domain(jaypool.RackDomain)]
	spreadB := r.rackCounts[j.Name][b.Domain(jaypool.RackDomain)]
	if spreadA != spreadB {
		return spreadA < spreadB
	}
	return r.free[a.ID].MemoryMegabytes > r.free[b.ID].MemoryMegabytes
}

// maintained reports whether the current wave has already maintained the instance, so that
// a task placed on it need not move again in this wave.
func (r *round) maintained(i *jaypool.Instance) bool {
	return r.view.Wave != "" && i.MaintainedIn == r.view.Wave
}

func allowed(j Job, i *jaypool.Instance) bool {
	return len(j.DataCenters) == 0 || slices.Contains(j.DataCenters, i.DataCenter)
}

// displaceFor stops the fewest tasks of lower priority that free enough capacity on one
// instance, those of the lowest priority first. The choice is the same in each round until
// they have stopped, because nothing else has changed. It returns false if no instance has
// enough such tasks.
func (r *round) displaceFor(j Job, avoid []string) bool {
	var best *jaypool.Instance
	var displaced []int
	for _, i := range r.byPool[j.Pool] {
		if !allowed(j, i) || slices.Contains(avoid, i.ID) {
			continue
		}
		candidate, fits := r.displaceableOn(i, j)
		if fits && (best == nil || len(candidate) < len(displaced)) {
			best, displaced = i, candidate
		}
	}
	if best == nil {
		return false
	}
	for _, n := range displaced {
		r.stop(n, "displaced by "+j.Name)
	}
	r.free[best.ID] = r.free[best.ID].Sub(j.Need)
	r.usedByTeam[j.Team] = r.usedByTeam[j.Team].Add(j.Need)
	return true
}

func (r *round) priorityOf(n int) jayrule.Priority {
	return r.view.Jobs[r.view.Tasks[n].Job].Priority
}

func (r *round) displaceableOn(i *jaypool.Instance, j Job) ([]int, bool) {
	var lower []int
	for _, n := range r.tasksOn[i.ID] {
		if !r.stopped[n] && r.priorityOf(n) < j.Priority {
			lower = append(lower, n)
		}
	}
	slices.SortStableFunc(lower, func(a, b int) int {
		return cmp.Compare(r.priorityOf(a), r.priorityOf(b))
	})
	room := r.free[i.ID]
	var displaced []int
	for _, n := range lower {
		if room.Fits(j.Need) {
			break
		}
		room = room.Add(r.view.Jobs[r.view.Tasks[n].Job].Need)
		displaced = append(displaced, n)
	}
	return displaced, room.Fits(j.Need)
}

// permanentMisfit returns the reason why no instance can ever hold a task of the job, or
// an empty string if the task only has to wait.
func (r *round) permanentMisfit(j Job) string {
	members := 0
	for _, id := range r.view.Fleet.IDs() {
		i, _ := r.view.Fleet.Instance(id)
		if i.Pool != j.Pool {
			continue
		}
		members++
		if allowed(j, i) && i.Capacity.Fits(j.Need) {
			return ""
		}
	}
	if members == 0 {
		return ""
	}
	return fmt.Sprintf("no instance of pool %s is large enough for one task (%d milli-processors, %d MB, %d accelerators)",
		j.Pool, j.Need.ProcessorsMilli, j.Need.MemoryMegabytes, j.Need.Accelerators)
}
