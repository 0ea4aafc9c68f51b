package jaystate

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"jaythread/jaypool"
	"jaythread/jaywire"
)

const document = `{
  "pools": [
    {"name": "seats", "instances": ["seats-*"], "minAvailable": 3},
    {"name": "fees", "instances": ["fees-*"], "minAvailable": 1}],
  "teams": [{"name": "t"}],
  "jobs": [{"name": "index", "pool": "seats", "team": "t", "replicas": 2}],
  "rules": [{"name": "all", "about": "request", "then": {"route": "seats"}}]}`

// applyAll applies commands, each in a record of its own, and returns their
// outcomes.
func applyAll(t testing.TB, s *State, commands ...*jaywire.Command) []Outcome {
	t.Helper()
	var outcomes []Outcome
	for _, c := range commands {
		decided, err := s.Apply(s.Offset, record(t, c))
		if err != nil {
			t.Fatal(err)
		}
		outcomes = append(outcomes, decided...)
	}
	return outcomes
}

func record(t testing.TB, commands ...*jaywire.Command) []byte {
	t.Helper()
	text, err := proto.Marshal(&jaywire.Batch{Commands: commands})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func publish(id string, replaces uint64, text string) *jaywire.Command {
	return &jaywire.Command{Id: id, Actor: id, Body: &jaywire.Command_PublishConfiguration{
		PublishConfiguration: &jaywire.PublishConfiguration{Replaces: replaces, Document: []byte(text)},
	}}
}

func attach(id string, base uint64, pool, rack string) *jaywire.Command {
	return &jaywire.Command{Base: base, Body: &jaywire.Command_AttachInstance{
		AttachInstance: &jaywire.AttachInstance{Instance: id, Pool: pool, Rack: rack, DataCenter: "dc"},
	}}
}

func startStep(wave, id string, base uint64) *jaywire.Command {
	return &jaywire.Command{Base: base, Body: &jaywire.Command_StartStep{
		StartStep: &jaywire.StartStep{Wave: wave, Instance: id},
	}}
}

func startWave(id string, pools ...string) *jaywire.Command {
	return &jaywire.Command{Body: &jaywire.Command_StartWave{StartWave: &jaywire.StartWave{Wave: id, Pools: pools}}}
}

func setWave(id string, base uint64, phase jaywire.WavePhase, automatic bool) *jaywire.Command {
	return &jaywire.Command{Base: base, Body: &jaywire.Command_SetWavePhase{
		SetWavePhase: &jaywire.SetWavePhase{Wave: id, Phase: phase, Automatic: automatic},
	}}
}

func place(job string, replica int32, instance string) *jaywire.Command {
	return &jaywire.Command{Body: &jaywire.Command_PlaceTask{
		PlaceTask: &jaywire.PlaceTask{Job: job, Replica: replica, Instance: instance},
	}}
}

// newState returns a state with six workers in three racks, and a wave.
func newState(t testing.TB) *State {
	t.Helper()
	s := New()
	applyAll(t, s, publish("first", 0, document))
	for n := range 6 {
		applyAll(t, s, attach(fmt.Sprintf("seats-%d", n), 0, "seats", fmt.Sprint(n/2)))
	}
	for _, o := range applyAll(t, s, startWave("w", "seats")) {
		if o.Err != nil {
			t.Fatal(o.Err)
		}
	}
	return s
}

func digest(t testing.TB, s *State) []byte {
	t.Helper()
	d, err := s.Digest()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestConcurrentPublishIsRejected(t *testing.T) {
	// Lost update: two operators read revision 1, edit it and publish. If a
	// command did not name the revision that it replaces, the second would
	// silently overwrite the first.
	is := is.New(t)
	s := New()
	is.NoErr(applyAll(t, s, publish("first", 0, document))[0].Err)
	outcomes := applyAll(t, s, publish("aster", 1, document), publish("bekele", 1, document))
	is.NoErr(outcomes[0].Err)
	is.True(errors.Is(outcomes[1].Err, ErrConflict))
	is.Equal(s.Revision.Author, "aster")
	is.Equal(s.Revision.Number, uint64(2))
	last := s.Audit()[len(s.Audit())-1]
	is.Equal(last.Actor, "bekele") // the audit trail contains the rejected change
	is.True(last.Rejected != "")
}

func TestInvalidConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	before := s.Revision.Number
	outcome := applyAll(t, s, publish("bad", before, `{"pools": []}`))[0]
	is.True(outcome.Err != nil)
	is.Equal(s.Revision.Number, before)
	is.True(s.Configuration() != nil)
}

func TestRepeatedCommandIsAppliedOnce(t *testing.T) {
	// An append takes effect, its response is lost, and the proposer appends
	// the command again. The log service cannot distinguish the repeat from
	// a new record, so without deduplication a wave would start twice or an accepted
	// change would be reported as rejected.
	is := is.New(t)
	s := New()
	c := publish("once", 0, document)
	outcomes := applyAll(t, s, c, c)
	is.NoErr(outcomes[0].Err)
	is.True(errors.Is(outcomes[1].Err, ErrDuplicate))
	is.Equal(s.Revision.Number, uint64(1))
}

func TestAlreadyAppliedRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	before := digest(t, s)
	outcomes, err := s.Apply(0, record(t, publish("late", 0, document)))
	is.NoErr(err)
	is.Equal(len(outcomes), 0)
	is.True(bytes.Equal(before, digest(t, s)))
}

func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	_, err := s.Apply(s.Offset, []byte{0xff, 0xff, 0xff})
	is.True(err != nil)
	is.NoErr(applyAll(t, s, attach("fees-1", 0, "fees", "r"))[0].Err)
}

func TestConcurrentPlannersKeepBudget(t *testing.T) {
	// A planner process is suspended; another one takes over and starts a step;
	// the first one resumes and starts the step that it had planned. Each step
	// alone keeps the pool within its budget, both together do not. Apply must
	// check the second step against the state after the first.
	is := is.New(t)
	s := newState(t)
	outcomes := applyAll(t, s, startStep("w", "seats-0", 1), startStep("w", "seats-2", 1))
	is.NoErr(outcomes[0].Err)
	is.True(errors.Is(outcomes[1].Err, jaypool.ErrBudget))
}

func TestPlannerTermIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	s := New()
	take := func(entry string, term uint64) *jaywire.Command {
		return &jaywire.Command{Body: &jaywire.Command_TakePlannerLease{TakePlannerLease: &jaywire.TakePlannerLease{Entry: entry, Term: term}}}
	}
	outcomes := applyAll(t, s, take("a", 1), take("b", 1), take("a", 2))
	is.NoErr(outcomes[0].Err)
	is.True(outcomes[1].Err != nil)
	is.NoErr(outcomes[2].Err)
	is.Equal(s.Planner, Planner{Entry: "a", Term: 2})
}

func TestPlannerCannotResumeOperatorPause(t *testing.T) {
	// The planner pauses waves on failures and resumes them afterwards. If its
	// pauses could not be distinguished from an operator's, it would also resume a
	// wave that an operator paused on purpose.
	is := is.New(t)
	s := newState(t)
	paused, running := jaywire.WavePhase_WAVE_PHASE_PAUSED, jaywire.WavePhase_WAVE_PHASE_RUNNING
	outcomes := applyAll(t, s, setWave("w", 1, paused, false), setWave("w", 2, running, true), setWave("w", 2, running, false))
	is.NoErr(outcomes[0].Err)
	is.True(outcomes[1].Err != nil)
	is.NoErr(outcomes[2].Err)
}

func TestTaskIsPlacedOnOneInstance(t *testing.T) {
	// A task must not run on two workers. This could happen when two planners
	// place the same task, or when a late report ends a newer placement than
	// the one it refers to because it does not carry that placement's fence.
	is := is.New(t)
	s := newState(t)
	outcomes := applyAll(t, s, place("index", 0, "seats-0"), place("index", 0, "seats-1"))
	is.NoErr(outcomes[0].Err)
	is.True(errors.Is(outcomes[1].Err, ErrInvalidState))
	fence := s.Tasks[TaskKey{Job: "index"}].Fence
	end := func(base uint64) *jaywire.Command {
		return &jaywire.Command{Base: base, Body: &jaywire.Command_EndTask{EndTask: &jaywire.EndTask{Job: "index", Outcome: "lost"}}}
	}
	outcomes = applyAll(t, s, end(fence), place("index", 0, "seats-1"), end(fence))
	is.NoErr(outcomes[0].Err)
	is.NoErr(outcomes[1].Err)
	is.True(errors.Is(outcomes[2].Err, ErrInvalidState))
	is.Equal(s.Tasks[TaskKey{Job: "index"}].Instance, "seats-1")
}

func TestAuditRecordsOldAndNewValues(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	report := func(failed bool) *jaywire.Command {
		return &jaywire.Command{Body: &jaywire.Command_ReportInstance{ReportInstance: &jaywire.ReportInstance{Instance: "seats-0", Failed: failed}}}
	}
	quarantine := &jaywire.Command{Base: 3, Body: &jaywire.Command_QuarantineInstance{QuarantineInstance: &jaywire.QuarantineInstance{Instance: "seats-0"}}}
	for _, o := range applyAll(t, s, report(true), report(false), quarantine) {
		is.NoErr(o.Err)
	}
	var words []string
	for _, e := range s.Audit()[len(s.Audit())-3:] {
		words = append(words, e.Before+" -> "+e.After)
	}
	is.Equal(words, []string{"healthy -> failed", "failed -> healthy", "in service -> quarantined"})
}

func TestMeasures(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	move := &jaywire.Command{Base: 1, Body: &jaywire.Command_DrainForMove{DrainForMove: &jaywire.DrainForMove{Instance: "seats-0", ToPool: "fees"}}}
	done := setWave("w", 1, jaywire.WavePhase_WAVE_PHASE_DONE, true)
	done.UnixMillis = 90_000
	for _, o := range applyAll(t, s, move, done) {
		is.NoErr(o.Err)
	}
	is.Equal(s.Measures.InstanceMoves, uint64(1))
	is.Equal(s.Measures.LastRollOut.Seconds(), 90.0)
	snapshot, err := s.Snapshot()
	is.NoErr(err)
	loaded, err := Load(snapshot)
	is.NoErr(err)
	is.Equal(loaded.Measures, s.Measures)
}

func TestSnapshot(t *testing.T) {
	t.Run("restores the same state", func(t *testing.T) {
		is := is.New(t)
		s := newState(t)
		applyAll(t, s, startStep("w", "seats-0", 1), place("index", 0, "seats-1"))
		snapshot, err := s.Snapshot()
		is.NoErr(err)
		loaded, err := Load(snapshot)
		is.NoErr(err)
		is.True(bytes.Equal(digest(t, s), digest(t, loaded)))
	})
	t.Run("corrupt snapshot is rejected", func(t *testing.T) {
		is := is.New(t)
		snapshot, err := newState(t).Snapshot()
		is.NoErr(err)
		snapshot.State[len(snapshot.State)/2] ^= 1
		_, err = Load(snapshot)
		is.True(errors.Is(err, ErrSnapshotDigest))
	})
	t.Run("unsupported format is rejected", func(t *testing.T) {
		is := is.New(t)
		snapshot, err := newState(t).Snapshot()
		is.NoErr(err)
		snapshot.Format++
		_, err = Load(snapshot)
		is.True(errors.Is(err, ErrSnapshotFormat))
	})
}

// anyCommand draws a command over a small set of names, so that commands often
// affect the same objects.
func anyCommand(t *rapid.T, s *State) *jaywire.Command {
	id := fmt.Sprintf("seats-%d", rapid.IntRange(0, 5).Draw(t, "instance"))
	base := uint64(rapid.IntRange(0, 6).Draw(t, "base"))
	if i, ok := s.Fleet.Instance(id); ok && rapid.Bool().Draw(t, "fresh") {
		base = i.Version
	}
	wave := rapid.SampledFrom([]string{"w", "x"}).Draw(t, "wave")
	replica := int32(rapid.IntRange(0, 1).Draw(t, "replica"))
	switch rapid.IntRange(0, 10).Draw(t, "command") {
	case 0:
		return attach(id, base, rapid.SampledFrom([]string{"seats", "fees", "none"}).Draw(t, "pool"), "r")
	case 1:
		return startStep(wave, id, base)
	case 2:
		phase := jaywire.StepPhase(rapid.IntRange(0, 5).Draw(t, "phase"))
		return &jaywire.Command{Base: base, Body: &jaywire.Command_AdvanceStep{AdvanceStep: &jaywire.AdvanceStep{Wave: wave, Instance: id, Phase: phase}}}
	case 3:
		return startWave(wave, "seats")
	case 4:
		phase := jaywire.WavePhase(rapid.IntRange(0, 5).Draw(t, "phase"))
		return setWave(wave, base, phase, rapid.Bool().Draw(t, "automatic"))
	case 5:
		return &jaywire.Command{Base: base, Body: &jaywire.Command_DrainForMove{DrainForMove: &jaywire.DrainForMove{Instance: id, ToPool: "fees"}}}
	case 6:
		return &jaywire.Command{Base: base, Body: &jaywire.Command_DetachInstance{DetachInstance: &jaywire.DetachInstance{Instance: id, Gone: rapid.Bool().Draw(t, "gone")}}}
	case 7:
		return &jaywire.Command{Body: &jaywire.Command_ReportInstance{ReportInstance: &jaywire.ReportInstance{Instance: id, Failed: rapid.Bool().Draw(t, "failed")}}}
	case 8:
		return place("index", replica, id)
	case 9:
		if task, ok := s.Tasks[TaskKey{Job: "index", Replica: replica}]; ok {
			base = task.Fence
		}
		return &jaywire.Command{Base: base, Body: &jaywire.Command_EndTask{EndTask: &jaywire.EndTask{Job: "index", Replica: replica, Outcome: "failed"}}}
	default:
		return &jaywire.Command{Base: base, Body: &jaywire.Command_QuarantineInstance{QuarantineInstance: &jaywire.QuarantineInstance{Instance: id, Lifted: rapid.Bool().Draw(t, "lifted")}}}
	}
}

// TestReplicasReachSameState checks that applying records in sequence leads to
// the same state as applying them with snapshots, restores and repeated
// deliveries in between.
func TestReplicasReachSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newState(t)
		var records [][]byte
		start := s.Offset
		snapshot, _ := s.Snapshot()
		for n := range rapid.IntRange(1, 40).Draw(rt, "records") {
			c := anyCommand(rt, s)
			c.Id = fmt.Sprint("c", n%30) // some IDs are repeated
			r := record(t, c)
			records = append(records, r)
			_, _ = s.Apply(s.Offset, r)
		}
		other, err := Load(snapshot)
		if err != nil {
			rt.Fatal(err)
		}
		for n, r := range records {
			_, _ = other.Apply(start+uint64(n), r)
			if rapid.Bool().Draw(rt, "again") {
				back := rapid.IntRange(0, n).Draw(rt, "back")
				_, _ = other.Apply(start+uint64(back), records[back])
			}
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				if snapshot, err = other.Snapshot(); err != nil {
					rt.Fatal(err)
				}
				if other, err = Load(snapshot); err != nil {
					rt.Fatal(err)
				}
			}
		}
		if !bytes.Equal(digest(t, s), digest(t, other)) {
			rt.Fatal("the same records folded to another state")
		}
	})
}

// TestInvariantsHoldForRandomCommands checks that the invariants of the
// aggregates hold after any sequence of commands.
func TestInvariantsHoldForRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newState(t)
		for range rapid.IntRange(1, 80).Draw(rt, "commands") {
			slack := s.Fleet.Pool("seats").BudgetStatus(s.budget("seats")).Slack()
			revision := s.Revision.Number
			c := anyCommand(rt, s)
			outcomes, err := s.Apply(s.Offset, record(t, c))
			if err != nil {
				rt.Fatal(err)
			}
			after := s.Fleet.Pool("seats").BudgetStatus(s.budget("seats")).Slack()
			_, observed := c.Body.(*jaywire.Command_ReportInstance)
			_, advanced := c.Body.(*jaywire.Command_AdvanceStep)
			chosen := outcomes[0].Accepted() && !observed && !advanced
			if chosen && after < slack && after < 0 {
				rt.Fatalf("%T was accepted and left a slack of %d", c.Body, after)
			}
			if s.Revision.Number < revision {
				rt.Fatal("the revision went back")
			}
			running := 0
			for _, w := range s.Waves {
				if w.Active() {
					running++
				}
			}
			if running > 1 {
				rt.Fatal("two waves cover one pool")
			}
		}
	})
}

// TestUnknownWavePhaseIsRejected guards against a wave that gets a phase that no code knows,
// so that nobody carries it on and its pools stay in it.
func TestUnknownWavePhaseIsRejected(t *testing.T) {
	is := is.New(t)
	s := newState(t)
	for _, phase := range []jaywire.WavePhase{5, 99, -1} {
		outcome := applyAll(t, s, setWave("w", 1, phase, false))[0]
		is.True(errors.Is(outcome.Err, ErrUnknown))
		is.True(strings.Contains(outcome.Err.Error(), fmt.Sprintf("phase %d", phase)))
		w, _ := s.Wave("w")
		is.Equal(w.Phase, jaywire.WavePhase_WAVE_PHASE_RUNNING)
	}
	is.NoErr(applyAll(t, s, setWave("w", 1, jaywire.WavePhase_WAVE_PHASE_PAUSED, false))[0].Err)
}

// TestPlannerTermRejectionsNameTheReason guards against a rejection that calls a term taken
// by an entry although nobody has taken it, since terms before it are missing.
func TestPlannerTermRejectionsNameTheReason(t *testing.T) {
	s := New()
	take := func(term uint64) error {
		return applyAll(t, s, &jaywire.Command{Body: &jaywire.Command_TakePlannerLease{TakePlannerLease: &jaywire.TakePlannerLease{Entry: "a", Term: term}}})[0].Err
	}
	wantRejected := func(term uint64, reason string) {
		t.Helper()
		is := is.New(t)
		err := take(term)
		is.True(errors.Is(err, ErrInvalidState))
		is.True(strings.Contains(err.Error(), reason))
	}
	wantRejected(7, "term 7 is too high; the next term is 1")
	is.New(t).NoErr(take(1))
	wantRejected(1, "term 1 is taken, by a")
	wantRejected(3, "term 3 is too high; the next term is 2")
	is.New(t).NoErr(take(2))
}
