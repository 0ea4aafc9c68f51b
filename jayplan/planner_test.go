package jayplan_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jayconfig"
	"jaythread/jayplan"
	"jaythread/jayplatform"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

// largeState returns a state with the given number of workers in 34 pools and a running
// wave.
func largeState(b *testing.B, workers int) (*jaystate.State, map[string]jayplatform.Instance) {
	b.Helper()
	const pools = 34
	s := jaystate.New()
	fold := func(commands ...*jaywire.Command) {
		record, err := proto.Marshal(&jaywire.Batch{Commands: commands})
		if err != nil {
			b.Fatal(err)
		}
		outcomes, err := s.Apply(s.Offset, record)
		if err != nil {
			b.Fatal(err)
		}
		for _, o := range outcomes {
			if o.Err != nil {
				b.Fatal(o.Err)
			}
		}
	}
	document := `{"teams":[{"name":"t"}],"pools":[`
	var names []string
	for p := range pools {
		name := fmt.Sprintf("p%02d", p)
		names = append(names, name)
		if p > 0 {
			document += ","
		}
		document += fmt.Sprintf(`{"name":%q,"instances":["%s-*"],"minAvailable":%d}`, name, name, workers/pools*8/10)
	}
	document += `],"rules":[{"name":"r","about":"request","then":{"route":"p00"}}]}`
	fold(&jaywire.Command{Body: &jaywire.Command_PublishConfiguration{PublishConfiguration: &jaywire.PublishConfiguration{Document: []byte(document)}}})
	list := map[string]jayplatform.Instance{}
	for n := range workers {
		pool := fmt.Sprintf("p%02d", n%pools)
		id := fmt.Sprintf("%s-%05d", pool, n)
		list[id] = jayplatform.Instance{ID: id, Kind: jayplatform.Worker, State: jayplatform.Live, DataCenter: fmt.Sprint("dc", n%10), Rack: fmt.Sprint("r", n/40)}
		fold(&jaywire.Command{Body: &jaywire.Command_AttachInstance{AttachInstance: &jaywire.AttachInstance{
			Instance: id, Pool: pool, DataCenter: fmt.Sprint("dc", n%10), Rack: fmt.Sprint("r", n/40),
		}}})
	}
	fold(&jaywire.Command{Body: &jaywire.Command_StartWave{StartWave: &jaywire.StartWave{Wave: "w", Pools: names}}})
	return s, list
}

// BenchmarkCapacityRound measures a whole planner round during a wave, by fleet size.
func BenchmarkCapacityRound(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s, list := largeState(b, workers)
			p := jayplan.NewPlanner(settings)
			for b.Loop() {
				p.Round(jayplan.Input{State: s, Workers: list, Now: sessionStart, MinAppliedOffset: s.Offset})
			}
		})
	}
}

// TestQuarantine checks that a worker on which tasks of several jobs fail is quarantined.
func TestQuarantine(t *testing.T) {
	// Guards against jobs being parked because of a worker on which every task fails:
	// failures were attributed to the jobs only.
	s := newSession(t)
	s.useProfile("mesob")
	s.config.Rules = append(jayrule.List{}, s.config.Rules...)
	s.failingWorkers["fees-01"] = true
	for n := range 4 {
		s.config.Jobs = append(s.config.Jobs, jayconfig.Job{
			Name: fmt.Sprint("job", n), Pool: "fees", Team: "platform", Replicas: 10, Processors: 1, MemoryGigabytes: 1,
		})
	}
	s.publish()
	for range 30 {
		s.step()
	}
	i, _ := s.state.Fleet.Instance("fees-01")
	if !i.Quarantined {
		t.Error("the worker on which four jobs failed is not quarantined")
	}
	if len(s.state.Parked) > 0 {
		t.Errorf("jobs are parked because of the failing worker: %v", s.state.Parked)
	}
	for key, task := range s.state.Tasks {
		if task.Instance == "" || task.Instance == "fees-01" {
			t.Errorf("task %v is at %q", key, task.Instance)
		}
	}
}

// TestUnlistedTaskRunsOnce guards against a task that runs on two workers because the
// instance list does not show its start for longer than its lease.
func TestUnlistedTaskRunsOnce(t *testing.T) {
	s := newSession(t)
	s.useProfile("mesob")
	for range 5 {
		s.step()
	}
	s.tasksUnlisted = true
	for n := range 4 {
		s.addJob(fmt.Sprintf(`{"name":"late%d","pool":"fees","team":"platform","replicas":%d,"processors":1,"memoryGigabytes":1}`, n, 3+n))
		for range int(settings.TaskLease/tick) - 2 {
			s.step()
		}
	}
	s.tasksUnlisted = false
	for range 2 * int(settings.TaskLease/tick) {
		s.step()
	}
	for key, task := range s.state.Tasks {
		if task.Instance == "" || !s.runs(key, task) {
			t.Errorf("task %v does not run at %q, where it is placed", key, task.Instance)
		}
	}
}

// TestInstanceNotBackAfterReboot checks that a wave completes if an instance does not come
// back from its reboot.
func TestInstanceNotBackAfterReboot(t *testing.T) {
	s := newSession(t)
	s.useProfile("mesob")
	s.neverBack["seats-05"] = true
	s.execute("wave", []string{"w"})
	for s.now < 20*time.Minute {
		s.step()
	}
	w, _ := s.state.Wave("w")
	if w.String() != "done" {
		t.Errorf("the wave is %s", w)
	}
	i, _ := s.state.Fleet.Instance("seats-05")
	if !i.Failed {
		t.Error("the instance that did not come back is not marked as failed")
	}
}

// TestDrainTimeout checks that an instance that does not become idle returns to service.
func TestDrainTimeout(t *testing.T) {
	// Guards against a wave that hangs with an instance out of service for hours: the
	// instance list keeps showing a request in flight, and the drain had no timeout.
	s := newSession(t)
	s.useProfile("mesob")
	w := s.workers["seats-05"]
	w.InFlight = 1
	s.workers["seats-05"] = w
	s.execute("wave", []string{"w", "seats"})
	for s.now < 10*time.Minute {
		s.step()
	}
	served := false
	for _, e := range s.state.Audit() {
		served = served || e.Subject == "seats-05" && e.Reason == "did not become idle in time"
	}
	if !served {
		t.Error("the drain never ended")
	}
	returned := 0
	wave, _ := s.state.Wave("w")
	for _, step := range wave.Steps {
		if step.Phase == jaywire.StepPhase_STEP_PHASE_RETURNED {
			returned++
		}
	}
	if returned != 9 {
		t.Errorf("%d of the other nine instances have returned", returned)
	}
}
