package jaystate

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jayconfig"
	"jaythread/jayjob"
	"jaythread/jaypool"
	"jaythread/jaywire"
)

// snapshotFormat is the version of the snapshot format. It is incremented with
// each change that older programs cannot read.
const snapshotFormat = 1

// Errors that Load returns.
var (
	ErrSnapshotFormat = errors.New("unsupported snapshot format")
	ErrSnapshotDigest = errors.New("snapshot is corrupt: digest mismatch")
)

// Snapshot returns the encoded state with its digest. Equal states have equal
// encodings.
func (s *State) Snapshot() (*jaywire.Snapshot, error) {
	state, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.message())
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	digest := sha256.Sum256(state)
	return &jaywire.Snapshot{Format: snapshotFormat, Offset: s.Offset, State: state, Digest: digest[:]}, nil
}

// Digest returns the SHA-256 hash of the encoded state, by which the states of
// two entries are compared.
func (s *State) Digest() ([]byte, error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	return snapshot.Digest, nil
}

// Load verifies the digest of a snapshot and returns its state.
func Load(snapshot *jaywire.Snapshot) (*State, error) {
	if snapshot.Format != snapshotFormat {
		return nil, fmt.Errorf("%w: version %d, expected version %d", ErrSnapshotFormat, snapshot.Format, snapshotFormat)
	}
	digest := sha256.Sum256(snapshot.State)
	if !bytes.Equal(digest[:], snapshot.Digest) {
		return nil, ErrSnapshotDigest
	}
	m := &jaywire.State{}
	if err := proto.Unmarshal(snapshot.State, m); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return restore(m)
}

func (s *State) message() *jaywire.State {
	m := &jaywire.State{
		Offset:    s.Offset,
		Planner:   &jaywire.PlannerState{Entry: s.Planner.Entry, Term: s.Planner.Term},
		Audit:     s.audit,
		RecentIds: s.recentIDs,
		Measures: &jaywire.Measures{
			InstanceMoves:     s.Measures.InstanceMoves,
			TaskMoves:         s.Measures.TaskMoves,
			LastRollOutMillis: s.Measures.LastRollOut.Milliseconds(),
		},
		Configuration: &jaywire.ConfigurationState{
			Revision: s.Revision.Number,
			Document: s.Revision.Document,
			Author:   s.Revision.Author,
			Message:  s.Revision.Message,
		},
	}
	for _, member := range s.Members {
		m.Entries = append(m.Entries, &jaywire.EntryState{Entry: member.Entry, PeerAddr: member.PeerAddr, DataCenter: member.DataCenter})
	}
	for _, id := range s.Fleet.IDs() {
		i, _ := s.Fleet.Instance(id)
		m.Instances = append(m.Instances, instanceMessage(i))
	}
	for _, w := range s.Waves {
		m.Waves = append(m.Waves, waveMessage(w))
	}
	for _, key := range s.TaskKeys() {
		t := s.Tasks[key]
		m.Tasks = append(m.Tasks, &jaywire.TaskState{
			Job: t.Job, Replica: int32(t.Replica), Instance: t.Instance, Fence: t.Fence, FailedOn: t.FailedOn,
		})
	}
	for job, why := range s.Parked {
		m.Parked = append(m.Parked, &jaywire.ParkedState{Job: job, Why: why})
	}
	slices.SortFunc(m.Parked, func(a, b *jaywire.ParkedState) int { return cmp.Compare(a.Job, b.Job) })
	return m
}

func instanceMessage(i *jaypool.Instance) *jaywire.InstanceState {
	return &jaywire.InstanceState{
		Id:              i.ID,
		Pool:            i.Pool,
		Rack:            i.Rack,
		DataCenter:      i.DataCenter,
		Phase:           uint32(i.Phase),
		Failed:          i.Failed,
		Quarantined:     i.Quarantined,
		Version:         i.Version,
		MoveTo:          i.MoveTo,
		MaintainedIn:    i.MaintainedIn,
		Fence:           i.Fence,
		Home:            i.Home,
		ProcessorsMilli: i.Capacity.ProcessorsMilli,
		MemoryMegabytes: i.Capacity.MemoryMegabytes,
		Accelerators:    i.Capacity.Accelerators,
	}
}

func waveMessage(w *Wave) *jaywire.WaveState {
	m := &jaywire.WaveState{Id: w.ID, Pools: w.Pools, Phase: w.Phase, Automatic: w.Automatic, Version: w.Version, StartedUnixMillis: w.StartedUnixMillis}
	for _, step := range w.Steps {
		m.Steps = append(m.Steps, &jaywire.StepState{Instance: step.Instance, Phase: step.Phase, Fence: step.Fence, Boots: step.Boots})
	}
	return m
}

func restore(m *jaywire.State) (*State, error) {
	s := New()
	s.Offset = m.Offset
	s.audit = m.Audit
	s.Measures = Measures{
		InstanceMoves: m.Measures.GetInstanceMoves(),
		TaskMoves:     m.Measures.GetTaskMoves(),
		LastRollOut:   time.Duration(m.Measures.GetLastRollOutMillis()) * time.Millisecond,
	}
	if err := s.restoreConfiguration(m.Configuration); err != nil {
		return nil, err
	}
	if m.Planner != nil {
		s.Planner = Planner{Entry: m.Planner.Entry, Term: m.Planner.Term}
	}
	for _, id := range m.RecentIds {
		s.recordCommandID(id)
	}
	for _, e := range m.Entries {
		s.Members = append(s.Members, Member{Entry: e.Entry, PeerAddr: e.PeerAddr, DataCenter: e.DataCenter})
	}
	for _, i := range m.Instances {
		s.Fleet.Restore(instanceFromMessage(i))
	}
	for _, w := range m.Waves {
		s.Waves = append(s.Waves, waveFromMessage(w))
	}
	for _, t := range m.Tasks {
		s.Tasks[TaskKey{Job: t.Job, Replica: t.Replica}] = &jayjob.Task{
			Job: t.Job, Replica: int(t.Replica), Instance: t.Instance, Fence: t.Fence, FailedOn: t.FailedOn,
		}
	}
	for _, p := range m.Parked {
		s.Parked[p.Job] = p.Why
	}
	return s, nil
}

func (s *State) restoreConfiguration(c *jaywire.ConfigurationState) error {
	if c == nil || len(c.Document) == 0 {
		return nil
	}
	parsed, err := jayconfig.Parse("configuration", c.Document)
	if err != nil {
		return fmt.Errorf("parse configuration in snapshot: %w", err)
	}
	s.Revision = Revision{Number: c.Revision, Document: c.Document, Author: c.Author, Message: c.Message, Parsed: parsed}
	return nil
}

func instanceFromMessage(i *jaywire.InstanceState) jaypool.Instance {
	return jaypool.Instance{
		ID:           i.Id,
		Pool:         i.Pool,
		Rack:         i.Rack,
		DataCenter:   i.DataCenter,
		Phase:        jaypool.Phase(i.Phase),
		Failed:       i.Failed,
		Quarantined:  i.Quarantined,
		Version:      i.Version,
		MoveTo:       i.MoveTo,
		MaintainedIn: i.MaintainedIn,
		Fence:        i.Fence,
		Home:         i.Home,
		Capacity: jaypool.Resources{
			ProcessorsMilli: i.ProcessorsMilli,
			MemoryMegabytes: i.MemoryMegabytes,
			Accelerators:    i.Accelerators,
		},
	}
}

func waveFromMessage(w *jaywire.WaveState) *Wave {
	wave := &Wave{ID: w.Id, Pools: w.Pools, Phase: w.Phase, Automatic: w.Automatic, Version: w.Version, StartedUnixMillis: w.StartedUnixMillis}
	for _, step := range w.Steps {
		wave.Steps = append(wave.Steps, Step{Instance: step.Instance, Phase: step.Phase, Fence: step.Fence, Boots: step.Boots})
	}
	return wave
}
