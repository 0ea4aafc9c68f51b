package jayjob

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayrule"
)

// newView returns a view of six workers in three racks, one job and the given tasks.
func newView(tasks ...Task) View {
	f := jaypool.NewFleet()
	for n := range 6 {
		f.Restore(jaypool.Instance{
			ID: fmt.Sprint("w", n), Pool: "seats", Rack: fmt.Sprint("r", n/2), DataCenter: fmt.Sprint("dc", n/3),
			Version: 1, Capacity: jaypool.Resources{ProcessorsMilli: 8000, MemoryMegabytes: 1000},
		})
	}
	return View{
		Fleet:  f,
		Jobs:   map[string]Job{"a": {Name: "a", Pool: "seats", Team: "t", Priority: jayrule.Normal, Need: jaypool.Resources{ProcessorsMilli: 1000}}},
		Tasks:  tasks,
		Quotas: map[string]jaypool.Resources{},
	}
}

// starts returns the instance on which each task is started.
func starts(decisions []Decision) map[string]string {
	at := map[string]string{}
	for _, d := range decisions {
		if s, ok := d.(Start); ok {
			at[fmt.Sprint(s.Task.Job, s.Task.Replica)] = s.Instance
		}
	}
	return at
}

func stops(decisions []Decision) []string {
	var words []string
	for _, d := range decisions {
		if s, ok := d.(Stop); ok {
			words = append(words, fmt.Sprint(s.Task.Job, s.Task.Replica, " ", s.Why))
		}
	}
	return words
}

func parks(decisions []Decision) string {
	for _, d := range decisions {
		if p, ok := d.(Park); ok {
			return p.Why
		}
	}
	return ""
}

func (v View) withJob(name string, change func(*Job)) View {
	j := v.Jobs["a"]
	j.Name = name
	change(&j)
	v.Jobs[name] = j
	return v
}

func TestPlacement(t *testing.T) {
	t.Run("spreads over racks", func(t *testing.T) {
		is := is.New(t)
		v := newView(Task{Job: "a"}, Task{Job: "a", Replica: 1}, Task{Job: "a", Replica: 2})
		at := starts(Place(v))
		racks := map[string]bool{}
		for _, id := range at {
			i, _ := v.Fleet.Instance(id)
			racks[i.Domain(jaypool.RackDomain)] = true
		}
		is.Equal(len(at), 3)
		is.Equal(len(racks), 3)
	})
	t.Run("stays on an available instance", func(t *testing.T) {
		is.New(t).Equal(len(Place(newView(Task{Job: "a", Instance: "w3"}))), 0)
	})
	t.Run("leaves a draining instance", func(t *testing.T) {
		is := is.New(t)
		v := newView(Task{Job: "a", Instance: "w3"})
		is.NoErr(v.Fleet.BeginDrain("w3", 1, jaypool.Budget{}))
		is.Equal(stops(Place(v)), []string{"a0 moved"})
	})
	t.Run("prefers an instance that the wave has maintained", func(t *testing.T) {
		v := newView(Task{Job: "a"})
		v.Wave = "w"
		i, _ := v.Fleet.Instance("w5")
		i.MaintainedIn = "w"
		is.New(t).Equal(starts(Place(v))["a0"], "w5")
	})
	t.Run("keeps to the data centres of its rule", func(t *testing.T) {
		v := newView(Task{Job: "a"}).withJob("a", func(j *Job) { j.DataCenters = []string{"dc1"} })
		is.New(t).True(strings.Contains("w3 w4 w5", starts(Place(v))["a0"]))
	})
	t.Run("avoids workers on which it failed", func(t *testing.T) {
		v := newView(Task{Job: "a", FailedOn: []string{"w0", "w1"}})
		is.New(t).True(!strings.Contains("w0 w1", starts(Place(v))["a0"]))
	})
	t.Run("waits for capacity on a worker on which it has not failed", func(t *testing.T) {
		v := newView(Task{Job: "a", FailedOn: []string{"w0", "w1"}})
		for n := 2; n < 6; n++ {
			v.Tasks = append(v.Tasks, Task{Job: "b", Replica: n, Instance: fmt.Sprint("w", n)})
		}
		v = v.withJob("b", func(j *Job) { j.Need.ProcessorsMilli = 8000 })
		is.New(t).Equal(len(Place(v)), 0)
	})
	t.Run("starts again where it failed if no other worker can hold it", func(t *testing.T) {
		v := newView(Task{Job: "a", FailedOn: []string{"w0", "w1"}}).withJob("a", func(j *Job) { j.DataCenters = []string{"dc0"} })
		is := is.New(t)
		is.Equal(starts(Place(v))["a0"], "w2")
		i, _ := v.Fleet.Instance("w2")
		i.Capacity.ProcessorsMilli = 500
		is.True(slices.Contains([]string{"w0", "w1"}, starts(Place(v))["a0"]))
	})
	t.Run("a withdrawn task is cancelled", func(t *testing.T) {
		is.New(t).Equal(stops(Place(newView(Task{Job: "a", Instance: "w1", Withdrawn: true}))), []string{"a0 cancelled"})
	})
	t.Run("the same view gives the same decisions", func(t *testing.T) {
		is := is.New(t)
		first := fmt.Sprint(Place(newView(Task{Job: "a"}, Task{Job: "a", Replica: 1})))
		for range 20 {
			is.Equal(fmt.Sprint(Place(newView(Task{Job: "a"}, Task{Job: "a", Replica: 1}))), first)
		}
	})
}

func TestParking(t *testing.T) {
	cases := []struct {
		name string
		view View
		want string
	}{
		{"larger than any instance", newView(Task{Job: "a"}).withJob("a", func(j *Job) { j.Need.MemoryMegabytes = 2000 }), "large enough"},
		{"failed on several workers", newView(Task{Job: "a", FailedOn: []string{"w0", "w1", "w2"}}), "failed on"},
		{"failed several times on the workers of a small pool", newView(Task{Job: "a", FailedOn: []string{"w0", "w1", "w0"}}), "failed on"},
		{"larger than the quota", withQuota(newView(Task{Job: "a"}), 500), "whole quota"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			decisions := Place(c.view)
			is.Equal(len(starts(decisions)), 0)
			is.True(strings.Contains(parks(decisions), c.want))
		})
	}
	t.Run("a parked job keeps what runs and starts nothing", func(t *testing.T) {
		v := newView(Task{Job: "a", Instance: "w1"}, Task{Job: "a", Replica: 1}).withJob("a", func(j *Job) { j.Parked = true })
		is.New(t).Equal(len(Place(v)), 0)
	})
}

func withQuota(v View, processorsMilli int64) View {
	v.Quotas["t"] = jaypool.Resources{ProcessorsMilli: processorsMilli, MemoryMegabytes: 1 << 40, Accelerators: 1 << 20}
	return v
}

func TestTeamQuota(t *testing.T) {
	v := withQuota(newView(Task{Job: "a"}, Task{Job: "a", Replica: 1}, Task{Job: "a", Replica: 2}), 2000)
	is.New(t).Equal(len(starts(Place(v))), 2)
}

func TestDisplacement(t *testing.T) {
	full := func(displace bool) View {
		var tasks []Task
		for n := range 6 {
			tasks = append(tasks, Task{Job: "a", Replica: n, Instance: fmt.Sprint("w", n)})
		}
		v := newView(append(tasks, Task{Job: "urgent"})...)
		v = v.withJob("a", func(j *Job) { j.Need.ProcessorsMilli = 8000 })
		return v.withJob("urgent", func(j *Job) { j.Priority, j.Displace = jayrule.Urgent, displace })
	}
	t.Run("stops one task of lower priority, and starts once it has stopped", func(t *testing.T) {
		is := is.New(t)
		v := full(true)
		decisions := Place(v)
		is.Equal(stops(decisions), []string{"a0 displaced by urgent"})
		is.Equal(len(starts(decisions)), 0)
		is.Equal(stops(Place(v)), stops(decisions)) // the same in each round until then
		v.Tasks[0].Instance = ""
		is.Equal(starts(Place(v)), map[string]string{"urgent0": "w0"})
	})
	t.Run("only where a rule allows it", func(t *testing.T) {
		is.New(t).Equal(len(Place(full(false))), 0)
	})
	t.Run("never one of the same priority", func(t *testing.T) {
		v := full(true).withJob("a", func(j *Job) { j.Priority, j.Need.ProcessorsMilli = jayrule.Urgent, 8000 })
		is.New(t).Equal(len(Place(v)), 0)
	})
}

func TestEstimateNeed(t *testing.T) {
	is := is.New(t)
	declared := jaypool.Resources{ProcessorsMilli: 8000, MemoryMegabytes: 64000, Accelerators: 1}
	is.Equal(EstimateNeed(declared, []Usage{{ProcessorsMilli: 1000, MemoryMegabytes: 1000}}), declared)
	need := EstimateNeed(declared, []Usage{{ProcessorsMilli: 1000, MemoryMegabytes: 1000}, {ProcessorsMilli: 500, MemoryMegabytes: 2000}})
	is.Equal(need, jaypool.Resources{ProcessorsMilli: 1200, MemoryMegabytes: 2400, Accelerators: 1})
}

// BenchmarkCapacityPlace measures a placement round by fleet size, with two placed tasks
// for each worker.
func BenchmarkCapacityPlace(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			v := View{Fleet: jaypool.NewFleet(), Jobs: map[string]Job{}, Quotas: map[string]jaypool.Resources{}}
			for n := range workers {
				id, job := fmt.Sprintf("w%05d", n), fmt.Sprint("job", n%300)
				v.Fleet.Restore(jaypool.Instance{ID: id, Pool: fmt.Sprint("p", n%34), Rack: fmt.Sprint(n / 4), Version: 1, Capacity: jaypool.Resources{ProcessorsMilli: 64000}})
				v.Jobs[job] = Job{Name: job, Pool: fmt.Sprint("p", n%34), Team: fmt.Sprint("t", n%330), Need: jaypool.Resources{ProcessorsMilli: 1000}}
				v.Tasks = append(v.Tasks, Task{Job: job, Replica: n, Instance: id}, Task{Job: job, Replica: n + workers, Instance: id})
			}
			for b.Loop() {
				Place(v)
			}
		})
	}
}

// Guards against a task that waits for good without a word: it has failed on each worker of its pool,
// which has fewer than MaxTaskFailures.
func TestTaskThatFailedOnAllWorkersOfASmallPoolIsStartedOrParked(t *testing.T) {
	is := is.New(t)
	v := newView(Task{Job: "a", FailedOn: []string{"x0", "x1"}}).withJob("a", func(j *Job) { j.Pool = "small" })
	for _, id := range []string{"x0", "x1"} {
		v.Fleet.Restore(jaypool.Instance{ID: id, Pool: "small", Version: 1, Capacity: jaypool.Resources{ProcessorsMilli: 8000, MemoryMegabytes: 1000}})
	}
	is.True(len(Place(v)) > 0)
}

// TestDisplacementKeepsQuota guards against a team that displaces tasks of other teams beyond
// its quota: each of its waiting tasks was compared with the quota without those for which
// tasks were displaced in the same round, so that running tasks were stopped for nothing.
func TestDisplacementKeepsQuota(t *testing.T) {
	is := is.New(t)
	v := newView()
	whole := jaypool.Resources{ProcessorsMilli: 8000}
	v = v.withJob("a", func(j *Job) { j.Need, j.Priority = whole, jayrule.Low })
	v = v.withJob("b", func(j *Job) { j.Need, j.Priority, j.Team, j.Displace = whole, jayrule.Normal, "u", true })
	v.Quotas["u"] = jaypool.Resources{ProcessorsMilli: 16000}
	for n := range 6 {
		v.Tasks = append(v.Tasks, Task{Job: "a", Replica: n, Instance: fmt.Sprint("w", n)}, Task{Job: "b", Replica: n})
	}
	is.Equal(len(stops(Place(v))), 2)
}
