// Package jaystate folds the records of the log service into the state that
// all entry instances share. The fold, not the proposer, accepts or rejects a
// command, by the rules of the aggregate at that offset; so racing proposers
// are resolved in log order, everywhere the same way. It has no clock and no
// I/O.
package jaystate

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jayconfig"
	"jaythread/jayjob"
	"jaythread/jaypool"
	"jaythread/jaywire"
)

const (
	// auditKept bounds the audit entries in memory and in snapshots. Older
	// ones are read from the log service as long as it keeps them.
	auditKept = 2000
	// idsKept bounds the command identities that are remembered. A repeat
	// comes from a retried append, seconds later, not thousands of commands.
	idsKept = 8192
	// endedWavesKept bounds the ended waves that status can show.
	endedWavesKept = 16
)

// Member is an entry instance that has joined.
type Member struct {
	Entry      string
	PeerAddr   string
	DataCenter string
}

// Planner says which entry plans now. It only saves duplicate work.
type Planner struct {
	Entry string
	Term  uint64
}

// Revision is an accepted configuration; its number is its offset plus one.
type Revision struct {
	Number   uint64
	Document []byte
	Author   string
	Message  string
	Parsed   *jayconfig.Configuration
}

// Step is one instance's part in a wave.
type Step struct {
	Instance string
	Phase    jaywire.StepPhase
	// Fence is the offset at which the step was accepted.
	Fence uint64
	// Boots is the instance's count of starts before the step.
	Boots int64
}

// Wave is a maintenance wave.
type Wave struct {
	ID        string
	Pools     []string
	Phase     jaywire.WavePhase
	Automatic bool
	Version   uint64
	Steps     []Step
	// StartedUnixMillis is by the clock of who proposed the start.
	StartedUnixMillis int64
}

// Active reports whether the wave has not ended.
func (w *Wave) Active() bool {
	return w.Phase == jaywire.WavePhase_WAVE_PHASE_RUNNING || w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED
}

// TaskKey names a task.
type TaskKey struct {
	Job     string
	Replica int32
}

// Measures count what operators measure, since the first record.
type Measures struct {
	InstanceMoves uint64
	TaskMoves     uint64
	// LastRollOut is how long the last wave that was done took, by its
	// proposers' clocks.
	LastRollOut time.Duration
}

// State is the folded state. Only Apply changes it.
type State struct {
	// Offset is the next offset to fold.
	Offset   uint64
	Revision Revision
	Members  []Member
	Planner  Planner
	Fleet    *jaypool.Fleet
	Waves    []*Wave
	Tasks    map[TaskKey]*jayjob.Task
	Parked   map[string]string
	Measures Measures

	audit     []*jaywire.AuditEntry
	recent    map[string]struct{}
	recentIDs []string
}

// New returns the empty state before the first record.
func New() *State {
	return &State{
		Fleet:  jaypool.NewFleet(),
		Tasks:  map[TaskKey]*jayjob.Task{},
		Parked: map[string]string{},
		recent: map[string]struct{}{},
	}
}

// Configuration returns the configuration in force, or nil.
func (s *State) Configuration() *jayconfig.Configuration {
	return s.Revision.Parsed
}

// Member returns the entry with this identity.
func (s *State) Member(entry string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, entry, func(m Member, e string) int { return cmp.Compare(m.Entry, e) })
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Wave returns the wave with this identity.
func (s *State) Wave(id string) (*Wave, bool) {
	for _, w := range s.Waves {
		if w.ID == id {
			return w, true
		}
	}
	return nil, false
}

// WaveOf returns the active wave that covers a pool.
func (s *State) WaveOf(pool string) (*Wave, bool) {
	for _, w := range s.Waves {
		if w.Active() && slices.Contains(w.Pools, pool) {
			return w, true
		}
	}
	return nil, false
}

// TaskKeys returns the keys of all tasks in order.
func (s *State) TaskKeys() []TaskKey {
	keys := make([]TaskKey, 0, len(s.Tasks))
	for k := range s.Tasks {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b TaskKey) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Replica, b.Replica))
	})
	return keys
}

// Audit returns the newest audit entries, oldest first; do not change them.
func (s *State) Audit() []*jaywire.AuditEntry {
	return s.audit
}

func (s *State) budget(pool string) jaypool.Budget {
	if s.Revision.Parsed == nil {
		return jaypool.Budget{}
	}
	return s.Revision.Parsed.Budget(pool)
}

// remember notes a command's identity and reports whether it is new.
func (s *State) remember(id string) bool {
	if id == "" {
		return true
	}
	if _, seen := s.recent[id]; seen {
		return false
	}
	s.recent[id] = struct{}{}
	s.recentIDs = append(s.recentIDs, id)
	if len(s.recentIDs) > idsKept {
		delete(s.recent, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
	return true
}
