// Package jayapi is the operators' interface: its messages, its handlers and
// its client. The command line uses nothing else.
package jayapi

import "jaythread/jayrule"

// Header names of the interface.
const (
	// HeaderActor says who asks. Each write carries it into the audit trail.
	HeaderActor = "Jaythread-Actor"
)

// Status is the state of the fleet as one entry has it.
type Status struct {
	Entry    string        `json:"entry"`
	Offset   uint64        `json:"offset"`
	Revision uint64        `json:"revision"`
	Author   string        `json:"author"`
	Message  string        `json:"message"`
	Ready    string        `json:"ready"`
	Planner  string        `json:"planner"`
	Entries  []EntryStatus `json:"entries"`
	Pools    []PoolStatus  `json:"pools"`
	Waves    []WaveStatus  `json:"waves"`
	Jobs     []JobStatus   `json:"jobs"`
}

// EntryStatus is an entry and the revision that it has in force.
type EntryStatus struct {
	Entry    string `json:"entry"`
	PeerAddr string `json:"peerAddr"`
	Revision uint64 `json:"revision"`
}

// PoolStatus is a pool's standing.
type PoolStatus struct {
	Pool         string           `json:"pool"`
	Members      int              `json:"members"`
	Available    int              `json:"available"`
	MinAvailable int              `json:"minAvailable"`
	WorstLoss    int              `json:"worstLoss"`
	Slack        int              `json:"slack"`
	State        string           `json:"state"`
	Instances    []InstanceStatus `json:"instances"`
}

// InstanceStatus is an instance of a pool.
type InstanceStatus struct {
	Instance    string `json:"instance"`
	Phase       string `json:"phase"`
	Failed      bool   `json:"failed"`
	Quarantined bool   `json:"quarantined"`
}

// WaveStatus is a wave and how far it is.
type WaveStatus struct {
	Wave     string   `json:"wave"`
	Pools    []string `json:"pools"`
	Phase    string   `json:"phase"`
	Returned int      `json:"returned"`
	UnderWay int      `json:"underWay"`
	Due      int      `json:"due"`
}

// JobStatus is a job and where its tasks are.
type JobStatus struct {
	Job      string `json:"job"`
	Pool     string `json:"pool"`
	Replicas int    `json:"replicas"`
	Placed   int    `json:"placed"`
	Parked   string `json:"parked"`
}

// Configuration is the configuration in force.
type Configuration struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Message  string `json:"message"`
	Document string `json:"document"`
}

// Publish asks to replace the configuration.
type Publish struct {
	Replaces uint64 `json:"replaces"`
	Message  string `json:"message"`
	Document string `json:"document"`
}

// Decided is the outcome of a write.
type Decided struct {
	Offset   uint64 `json:"offset"`
	Revision uint64 `json:"revision,omitempty"`
}

// Problem is what a refused or failed call answers.
type Problem struct {
	Error string `json:"error"`
	// MayHaveTakenEffect says that the outcome is not known.
	MayHaveTakenEffect bool `json:"mayHaveTakenEffect"`
	// InForce is the other side of a conflict.
	InForce *Configuration `json:"inForce,omitempty"`
}

// InForce says which entries have a revision in force.
type InForce struct {
	Revision uint64            `json:"revision"`
	Entries  map[string]uint64 `json:"entries"`
	// Everywhere says that all live entries have it, or a later one.
	Everywhere bool `json:"everywhere"`
}

// Wave asks to start a wave.
type Wave struct {
	Wave  string   `json:"wave"`
	Pools []string `json:"pools"`
}

// Move asks to move an instance to another pool.
type Move struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
}

// AuditEntry is one decided change.
type AuditEntry struct {
	Offset     uint64 `json:"offset"`
	UnixMillis int64  `json:"unixMillis"`
	Actor      string `json:"actor"`
	Kind       string `json:"kind"`
	Subject    string `json:"subject"`
	Before     string `json:"before"`
	After      string `json:"after"`
	Reason     string `json:"reason"`
	Rejected   string `json:"rejected"`
}

// Explain describes a request whose rule is asked for.
type Explain struct {
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Caller string            `json:"caller"`
	Header map[string]string `json:"header"`
	// Time is HH:MM in the configuration's time zone; empty is now.
	Time string `json:"time"`
	// PoolStates are the states of pools; an entry fills in the present ones.
	PoolStates map[string]string `json:"poolStates"`
}

// Explained says which rule decides, and why the earlier ones did not.
type Explained struct {
	Rule   string          `json:"rule"`
	Action string          `json:"action"`
	Traces []jayrule.Trace `json:"traces"`
}

// PlanStep is a step of a dry run.
type PlanStep struct {
	AtMillis int64  `json:"atMillis"`
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Rule     string `json:"rule"`
}

// Plan is a dry run of a wave.
type Plan struct {
	Steps            []PlanStep `json:"steps"`
	RollOutMillis    int64      `json:"rollOutMillis"`
	LowerBoundMillis int64      `json:"lowerBoundMillis"`
	// BufferCost is spare over used instances while the wave runs.
	BufferCost float64 `json:"bufferCost"`
	// Stuck names instances that no rule or budget lets through.
	Stuck []string `json:"stuck"`
}
