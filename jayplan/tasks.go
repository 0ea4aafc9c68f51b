package jayplan

import (
	"fmt"

	"jaythread/jayjob"
	"jaythread/jayplatform"
	"jaythread/jaypool"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

// quarantineJobs is the number of different jobs that must fail on a worker before it is
// quarantined as the cause of the failures.
const quarantineJobs = 3

// tasks proposes the end of tasks that their workers report as failed or that are lost,
// orders the start of placed ones and places the others.
func (r *round) tasks() {
	for _, key := range r.in.State.TaskKeys() {
		r.trackTask(key, r.in.State.Tasks[key])
	}
	r.quarantine()
	stopping := map[jaystate.TaskKey]bool{}
	for _, decision := range jayjob.Place(r.jobView()) {
		switch d := decision.(type) {
		case jayjob.Stop:
			stopping[jaystate.TaskKey{Job: d.Task.Job, Replica: int32(d.Task.Replica)}] = true
			r.order(d.Task.Instance, d.Task.Fence, jayplatform.StopTask{Job: d.Task.Job, Replica: d.Task.Replica})
			r.endIfStopped(d)
		case jayjob.Start:
			r.propose("placement", 0, &jaywire.Command{Body: &jaywire.Command_PlaceTask{PlaceTask: &jaywire.PlaceTask{
				Job: d.Task.Job, Replica: int32(d.Task.Replica), Instance: d.Instance,
			}}})
		case jayjob.Park:
			r.propose("placement", 0, &jaywire.Command{Body: &jaywire.Command_ParkJob{ParkJob: &jaywire.ParkJob{Job: d.Job, Why: d.Why}}})
		}
	}
	r.endWithdrawn(stopping)
}

// endWithdrawn ends tasks that their workers report as stopped without a current stop
// decision: their start was withdrawn because it was not reported in time.
func (r *round) endWithdrawn(stopping map[jaystate.TaskKey]bool) {
	for _, key := range r.in.State.TaskKeys() {
		t := r.in.State.Tasks[key]
		report, reported := r.reportOf(t)
		if reported && report.State == jayplatform.TaskStopped && !stopping[key] {
			r.end(t, "lost", "the worker did not report its start in time")
		}
	}
}

// trackTask starts a placed task on its worker and handles what the worker reports about
// it.
func (r *round) trackTask(key jaystate.TaskKey, t *jayjob.Task) {
	if t.Instance == "" {
		return
	}
	report, reported := r.reportOf(t)
	name := fmt.Sprintf("task %s/%d", key.Job, key.Replica)
	switch {
	case reported && report.State == jayplatform.TaskFailed:
		r.end(t, "failed", "the worker reports a failure")
	case reported:
	case r.unavailable(t.Instance):
		// The worker stops the task when its lease expires. Starting it elsewhere earlier
		// could run it on two workers.
		if r.due(name+" lost", t.Fence, r.planner.settings.TaskLease) {
			r.end(t, "lost", "the worker has been down for the lease")
		}
	case r.due(name+" start", t.Fence, r.planner.settings.TaskLease):
		// The list may lag or the start may still be in transit, so that the task may run
		// on the worker.
		r.order(t.Instance, t.Fence, jayplatform.StopTask{Job: t.Job, Replica: t.Replica})
	default:
		r.order(t.Instance, t.Fence, jayplatform.StartTask{Job: t.Job, Replica: t.Replica})
	}
}

func (r *round) unavailable(instance string) bool {
	worker, listed := r.in.Workers[instance]
	return !listed || worker.State == jayplatform.Down || worker.State == jayplatform.Gone
}

func (r *round) reportOf(t *jayjob.Task) (jayplatform.TaskReport, bool) {
	for _, report := range r.in.Workers[t.Instance].Tasks {
		if report.Job == t.Job && report.Replica == t.Replica && report.Fence == t.Fence {
			return report, true
		}
	}
	return jayplatform.TaskReport{}, false
}

// endIfStopped ends a task that its worker reports as stopped.
func (r *round) endIfStopped(d jayjob.Stop) {
	report, reported := r.reportOf(&d.Task)
	if reported && report.State == jayplatform.TaskStopped {
		r.end(&d.Task, outcomeOf(d.Why), d.Why)
	}
}

func outcomeOf(why string) string {
	if why == "cancelled" {
		return why
	}
	return "moved"
}

func (r *round) end(t *jayjob.Task, outcome, reason string) {
	r.propose(reason, t.Fence, &jaywire.Command{Body: &jaywire.Command_EndTask{EndTask: &jaywire.EndTask{
		Job: t.Job, Replica: int32(t.Replica), Outcome: outcome,
	}}})
}

// quarantine proposes to quarantine workers on which several different jobs have failed.
// The state rejects the proposal if the pool's budget would be broken.
func (r *round) quarantine() {
	jobs := map[string]map[string]bool{}
	for key, t := range r.in.State.Tasks {
		for _, worker := range t.FailedOn {
			if jobs[worker] == nil {
				jobs[worker] = map[string]bool{}
			}
			jobs[worker][key.Job] = true
		}
	}
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		if len(jobs[id]) >= quarantineJobs && i.Available() {
			r.propose(fmt.Sprintf("%d jobs failed on it", len(jobs[id])), i.Version, &jaywire.Command{
				Body: &jaywire.Command_QuarantineInstance{QuarantineInstance: &jaywire.QuarantineInstance{Instance: id}},
			})
		}
	}
}

func (r *round) jobView() jayjob.View {
	v := jayjob.View{
		Fleet:  r.in.State.Fleet,
		Jobs:   map[string]jayjob.Job{},
		Quotas: map[string]jaypool.Resources{},
	}
	for n := range r.config.Teams {
		v.Quotas[r.config.Teams[n].Name] = r.config.Teams[n].Quota()
	}
	for _, w := range r.in.State.Waves {
		if w.Active() {
			v.Wave = w.ID
		}
	}
	usage := r.usage()
	declared := map[jaystate.TaskKey]bool{}
	for n := range r.config.Jobs {
		j := &r.config.Jobs[n]
		_, parked := r.in.State.Parked[j.Name]
		priority, _ := jayrule.ParsePriority(j.Priority)
		job := jayjob.Job{
			Name:     j.Name,
			Pool:     j.Pool,
			Team:     j.Team,
			Priority: priority,
			Need:     jayjob.EstimateNeed(j.Need(), usage[j.Name]),
			Parked:   parked,
		}
		if place, ok := r.placeRule(j.Pool, j.Team, priority); ok {
			job.DataCenters, job.Displace = place.DataCenters, place.Displace
		}
		v.Jobs[j.Name] = job
		for replica := range j.Replicas {
			declared[jaystate.TaskKey{Job: j.Name, Replica: int32(replica)}] = true
		}
	}
	v.Tasks = r.taskList(declared)
	return v
}

func (r *round) placeRule(pool, team string, priority jayrule.Priority) (jayrule.PlaceJob, bool) {
	action, _ := r.config.Decide(&jayrule.Subject{
		Kind:      jayrule.AboutJob,
		Pool:      pool,
		Team:      team,
		Priority:  priority.String(),
		PoolState: r.poolState(pool),
		Time:      r.in.Now.In(r.config.Location()),
	})
	place, ok := action.(jayrule.PlaceJob)
	return place, ok
}

// taskList returns the known tasks, followed by the declared ones that are not known yet.
// A replica above the declared number is marked as withdrawn.
func (r *round) taskList(declared map[jaystate.TaskKey]bool) []jayjob.Task {
	var tasks []jayjob.Task
	for _, key := range r.in.State.TaskKeys() {
		t := *r.in.State.Tasks[key]
		if !declared[key] {
			if t.Instance == "" {
				continue
			}
			t.Withdrawn = true
		}
		delete(declared, key)
		tasks = append(tasks, t)
	}
	for n := range r.config.Jobs {
		j := &r.config.Jobs[n]
		for replica := range j.Replicas {
			key := jaystate.TaskKey{Job: j.Name, Replica: int32(replica)}
			if declared[key] {
				tasks = append(tasks, jayjob.Task{Job: j.Name, Replica: replica})
			}
		}
	}
	return tasks
}

func (r *round) usage() map[string][]jayjob.Usage {
	usage := map[string][]jayjob.Usage{}
	for _, t := range r.in.State.Tasks {
		report, reported := r.reportOf(t)
		if reported && report.MemoryMegabytes > 0 {
			usage[t.Job] = append(usage[t.Job], jayjob.Usage{
				ProcessorsMilli: report.ProcessorsMilli,
				MemoryMegabytes: report.MemoryMegabytes,
			})
		}
	}
	return usage
}
