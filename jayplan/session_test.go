package jayplan_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	"jaythread/jayconfig"
	"jaythread/jaydemo"
	"jaythread/jayjob"
	"jaythread/jayplan"
	"jaythread/jayplatform"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

// A session runs a script of timed events and prints a transcript of the decisions. It
// drives the planner and the state on a simulated clock over a fake platform that carries
// out all orders. Each line of a script has the form
//
// MM:SS VERB ARGUMENTS
//
// with the verbs of (*session).execute. The invariants are checked every second.

const (
	tick     = time.Second
	bootTime = 20 * time.Second
)

// sessionStart is a Wednesday at 20:00 in Addis Ababa.
var sessionStart = time.Date(2026, 12, 2, 17, 0, 0, 0, time.UTC)

var settings = jayplan.Settings{
	RebootTimeout: 2 * time.Minute,
	SettleTime:    5 * time.Second,
	TaskLease:     10 * time.Second,
}

// session is the execution of one script.
type session struct {
	t       *testing.T
	profile jaydemo.Profile
	config  *jayconfig.Configuration
	state   *jaystate.State
	planner *jayplan.Planner
	workers map[string]jayplatform.Instance
	now     time.Duration
	out     bytes.Buffer
	audited int

	storeUnavailable bool
	mayBreak         bool
	// tasksUnlisted hides the workers' task reports from the planner.
	tasksUnlisted  bool
	failingWorkers map[string]bool
	neverBack      map[string]bool
	backAt         map[string]time.Duration
	memoryUse      map[string]int64
	running        map[string]string
	taskStarts     map[string]int
	breaches       int
}

func TestSessions(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata"))
	for _, path := range scripts {
		name := strings.TrimSuffix(filepath.Base(path), ".script")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := newSession(t)
			s.run(string(text))
			golden.Assert(t, name, s.out.Bytes())
		})
	}
}

func newSession(t *testing.T) *session {
	return &session{
		t:              t,
		state:          jaystate.New(),
		planner:        jayplan.NewPlanner(settings),
		workers:        map[string]jayplatform.Instance{},
		failingWorkers: map[string]bool{},
		neverBack:      map[string]bool{},
		backAt:         map[string]time.Duration{},
		memoryUse:      map[string]int64{},
		running:        map[string]string{},
		taskStarts:     map[string]int{},
	}
}

func (s *session) run(script string) {
	for line := range strings.SplitSeq(script, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		at := s.parseTime(words[0])
		for s.now < at {
			s.step()
		}
		s.printf("> %s", strings.Join(words[1:], " "))
		s.execute(words[1], words[2:])
		s.printDecisions()
	}
	s.summary()
}

func (s *session) parseTime(text string) time.Duration {
	minutes, seconds, ok := strings.Cut(text, ":")
	m, err1 := strconv.Atoi(minutes)
	sec, err2 := strconv.Atoi(seconds)
	if !ok || err1 != nil || err2 != nil {
		s.t.Fatalf("%q is not a time in the form MM:SS", text)
	}
	return time.Duration(m)*time.Minute + time.Duration(sec)*time.Second
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%02d:%02d ", int(s.now.Minutes()), int(s.now.Seconds())%60)
	fmt.Fprintf(&s.out, format+"\n", args...)
}

// execute carries out one event of the script.
func (s *session) execute(verb string, args []string) {
	switch verb {
	case "profile":
		s.useProfile(args[0])
	case "rules":
		s.addRules(strings.Join(args, " "))
	case "job":
		s.addJob(strings.Join(args, " "))
	case "cancelJob":
		s.config.Jobs = slices.DeleteFunc(s.config.Jobs, func(j jayconfig.Job) bool { return j.Name == args[0] })
		s.publish()
	case "wave":
		pools := args[1:]
		if len(pools) == 0 {
			pools = s.profile.Services
		}
		s.command("operator", 0, &jaywire.Command{Body: &jaywire.Command_StartWave{StartWave: &jaywire.StartWave{Wave: args[0], Pools: pools}}})
	case "setWave":
		s.setWave(args[0], args[1], args[2:])
	case "kill":
		s.changeWorkers(args[0], func(w *jayplatform.Instance) { w.State = jayplatform.Down; w.Tasks = nil })
	case "revive":
		s.changeWorkers(args[0], func(w *jayplatform.Instance) { w.State = jayplatform.Live; w.Boots++ })
	case "gone":
		s.changeWorkers(args[0], func(w *jayplatform.Instance) { w.State = jayplatform.Gone; w.Tasks = nil })
	case "add":
		s.workers[args[0]] = jayplatform.Instance{
			ID: args[0], Kind: jayplatform.Worker, DataCenter: args[1], Rack: args[2], State: jayplatform.Live,
			ProcessorsMilli: s.profile.Processors * 1000, MemoryMegabytes: s.profile.MemoryGigabytes * 1024,
		}
	case "log":
		s.storeUnavailable = args[0] == "down"
	case "planner":
		s.planner = jayplan.NewPlanner(settings)
	case "failsStarts":
		s.failingWorkers[args[0]] = true
	case "neverBack":
		s.neverBack[args[0]] = true
	case "uses":
		megabytes, _ := strconv.ParseInt(args[1], 10, 64)
		s.memoryUse[args[0]] = megabytes
	case "move":
		i, _ := s.state.Fleet.Instance(args[0])
		s.command("operator", i.Version, &jaywire.Command{Body: &jaywire.Command_DrainForMove{DrainForMove: &jaywire.DrainForMove{Instance: args[0], ToPool: args[1]}}})
	case "budgetMayBreak":
		s.mayBreak = args[0] == "yes"
	case "end":
	default:
		s.t.Fatalf("unknown event: %s", verb)
	}
}

func (s *session) useProfile(name string) {
	profile, err := jaydemo.ProfileNamed(name)
	if err != nil {
		s.t.Fatal(err)
	}
	s.profile = profile
	s.config = profile.Configuration()
	for _, w := range profile.Workers() {
		s.workers[w.ID] = w
	}
	s.publish()
}

func (s *session) publish() {
	text, err := json.Marshal(s.config)
	if err != nil {
		s.t.Fatal(err)
	}
	s.command("operator", 0, &jaywire.Command{Body: &jaywire.Command_PublishConfiguration{
		PublishConfiguration: &jaywire.PublishConfiguration{Replaces: s.state.Revision.Number, Document: text, Message: "session"},
	}})
}

func (s *session) addRules(text string) {
	var rules jayrule.List
	if err := json.Unmarshal([]byte(text), &rules); err != nil {
		s.t.Fatal(err)
	}
	s.config.Rules = append(s.profile.Configuration().Rules, rules...)
	s.publish()
}

func (s *session) addJob(text string) {
	var j jayconfig.Job
	if err := json.Unmarshal([]byte(text), &j); err != nil {
		s.t.Fatal(err)
	}
	s.config.Jobs = append(s.config.Jobs, j)
	s.publish()
}

// setWave sets a wave's phase. The optional version simulates an operator with outdated
// information.
func (s *session) setWave(wave, phase string, version []string) {
	phases := map[string]jaywire.WavePhase{
		"pause": jaywire.WavePhase_WAVE_PHASE_PAUSED, "resume": jaywire.WavePhase_WAVE_PHASE_RUNNING, "cancel": jaywire.WavePhase_WAVE_PHASE_CANCELLED,
	}
	w, _ := s.state.Wave(wave)
	base := w.Version
	if len(version) > 0 {
		base, _ = strconv.ParseUint(version[0], 10, 64)
	}
	s.command("operator", base, &jaywire.Command{Body: &jaywire.Command_SetWavePhase{SetWavePhase: &jaywire.SetWavePhase{Wave: wave, Phase: phases[phase]}}})
}

func (s *session) changeWorkers(name string, change func(w *jayplatform.Instance)) {
	found := false
	for id, w := range s.workers {
		if id == name || w.DataCenter+"/"+w.Rack == name || w.DataCenter == name {
			change(&w)
			s.workers[id] = w
			delete(s.backAt, id)
			found = true
		}
	}
	if !found {
		s.t.Fatalf("no worker matches %s", name)
	}
}

func (s *session) command(actor string, base uint64, c *jaywire.Command) {
	c.Actor, c.Base = actor, base
	record, err := proto.Marshal(&jaywire.Batch{Commands: []*jaywire.Command{c}})
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.state.Apply(s.state.Offset, record); err != nil {
		s.t.Fatal(err)
	}
}

func (s *session) printDecisions() {
	audit := s.state.Audit()
	for _, e := range audit[s.audited:] {
		line := fmt.Sprintf("%s %s", e.Kind, e.Subject)
		if e.Kind == "attach" && e.Rejected == "" && s.now < 5*time.Second {
			continue // the initial attachments are omitted
		}
		if e.Before != "" || e.After != "" {
			line += fmt.Sprintf(": %s -> %s", e.Before, e.After)
		}
		if e.Actor != "planner" {
			line += " by " + e.Actor
		}
		if e.Reason != "" {
			line += " (" + e.Reason + ")"
		}
		if e.Rejected != "" {
			line += " REFUSED: " + e.Rejected
		}
		s.printf("  %s", line)
	}
	s.audited = len(audit)
}

// check verifies the invariants against the state that the platform shows, not against the
// planner's own state.
func (s *session) check() {
	s.checkBudgets()
	s.checkTasks()
}

func (s *session) checkBudgets() {
	for _, pool := range s.config.Pools {
		available := 0
		for id, w := range s.workers {
			i, known := s.state.Fleet.Instance(id)
			if known && i.Pool == pool.Name && w.State == jayplatform.Live {
				available++
			}
		}
		settled := s.now > 3*time.Second
		if settled && available < pool.MinAvailable {
			s.breaches++
			if !s.mayBreak {
				s.t.Errorf("%s: pool %s has %d available of %d", s.now, pool.Name, available, pool.MinAvailable)
			}
		}
	}
}

func (s *session) checkTasks() {
	at := map[string]string{}
	for id, w := range s.workers {
		for _, task := range w.Tasks {
			if task.State != jayplatform.TaskRunning || w.State == jayplatform.Down {
				continue
			}
			name := fmt.Sprintf("%s/%d", task.Job, task.Replica)
			if other, twice := at[name]; twice {
				s.t.Errorf("%s: task %s runs on %s and %s", s.now, name, id, other)
			}
			at[name] = id
		}
	}
}

// runs reports whether a placed task runs on its worker.
func (s *session) runs(key jaystate.TaskKey, task *jayjob.Task) bool {
	for _, report := range s.workers[task.Instance].Tasks {
		if report.Job == key.Job && report.Replica == int(key.Replica) && report.State == jayplatform.TaskRunning {
			return true
		}
	}
	return false
}

func (s *session) summary() {
	most, sum := 0, 0
	for _, n := range s.taskStarts {
		most = max(most, n-1)
		sum += n - 1
	}
	s.printf("seconds below a budget: %d; task moves: %d, at most %d of one task", s.breaches, sum, most)
	for _, w := range s.state.Waves {
		s.printf("wave %s is %s with %d steps", w.ID, w, len(w.Steps))
	}
	for _, job := range slices.Sorted(mapKeys(s.state.Parked)) {
		s.printf("job %s is parked: %s", job, s.state.Parked[job])
	}
}

func mapKeys(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
