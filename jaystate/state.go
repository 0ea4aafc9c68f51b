// Package jaystate is a replicated state machine: it applies the records of the
// log service to the state that all entry instances share. A command is accepted
// or rejected when it is applied, not when it is proposed, by the rules of the
// aggregates at that offset. Conflicts between concurrent proposers are therefore
// resolved in log order, with the same result on every entry. The package uses no
// clock and no I/O.
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
	// maxAuditEntries limits the number of audit entries in memory and in
	// snapshots. Older ones are read from the log service as long as it
	// retains them.
	maxAuditEntries = 2000
	// maxRecentIDs limits the number of command IDs that are kept to detect
	// repeats. A repeat comes from a retried append, which follows the first
	// one after seconds, not after thousands of commands.
	maxRecentIDs = 8192
	// maxEndedWaves limits the number of ended waves that are kept for the
	// status report.
	maxEndedWaves = 16
)

// Member is an entry instance that has joined.
type Member struct {
	Entry      string
	PeerAddr   string
	DataCenter string
}

// Planner is the entry that holds the planner lease. The lease only avoids
// duplicate work: the state stays correct when several entries plan.
type Planner struct {
	Entry string
	Term  uint64
}

// Revision is an accepted configuration. Its number is the offset of its record
// plus one.
type Revision struct {
	Number   uint64
	Document []byte
	Author   string
	Message  string
	Parsed   *jayconfig.Configuration
}

// Step is the maintenance of one instance in a wave.
type Step struct {
	Instance string
	Phase    jaywire.StepPhase
	// Fence is the offset at which the step was accepted.
	Fence uint64
	// Boots is the number of times that the instance had booted before the
	// step.
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
	// StartedUnixMillis is the time of the start in Unix milliseconds, by the
	// clock of its proposer.
	StartedUnixMillis int64
}

// Active reports whether the wave has not ended.
func (w *Wave) Active() bool {
	return w.Phase == jaywire.WavePhase_WAVE_PHASE_RUNNING || w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED
}

// TaskKey identifies a task.
type TaskKey struct {
	Job     string
	Replica int32
}

// Measures are metrics over all records since the first one.
type Measures struct {
	InstanceMoves uint64
	TaskMoves     uint64
	// LastRollOut is the duration of the last completed wave, by the clocks
	// of its proposers.
	LastRollOut time.Duration
}

// State is the state after all records before Offset. Only Apply changes it.
type State struct {
	// Offset is the offset of the next record to apply.
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

// New returns the state before the first record, which is empty.
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

// Member returns the entry with an ID.
func (s *State) Member(entry string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, entry, func(m Member, e string) int { return cmp.Compare(m.Entry, e) })
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// Wave returns the wave with an ID.
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

// TaskKeys returns the keys of all tasks, sorted by job and replica.
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

// Audit returns the newest audit entries, oldest first. The caller must not
// change them.
func (s *State) Audit() []*jaywire.AuditEntry {
	return s.audit
}

// budget returns the availability budget of a pool, or an empty one when no
// configuration is in force.
func (s *State) budget(pool string) jaypool.Budget {
	if s.Revision.Parsed == nil {
		return jaypool.Budget{}
	}
	return s.Revision.Parsed.Budget(pool)
}

// recordCommandID records the ID of a command and reports whether it is new.
// Commands without an ID always count as new.
func (s *State) recordCommandID(id string) bool {
	if id == "" {
		return true
	}
	if _, seen := s.recent[id]; seen {
		return false
	}
	s.recent[id] = struct{}{}
	s.recentIDs = append(s.recentIDs, id)
	if len(s.recentIDs) > maxRecentIDs {
		delete(s.recent, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
	return true
}
