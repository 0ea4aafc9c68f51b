// Package jayapi defines the operator API: its messages, its HTTP handlers and its
// client. The subcommands that operate a running fleet call entries only through
// this client.
package jayapi

import "jaythread/jayrule"

// Request headers of the operator API.
const (
	// HeaderActor is the header that identifies the user. It is required in each
	// write and recorded in the audit trail.
	HeaderActor = "Jaythread-Actor"
)

// Status is the state of the fleet as known to one entry.
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

// EntryStatus describes an entry and the revision that it has in force.
type EntryStatus struct {
	Entry    string `json:"entry"`
	PeerAddr string `json:"peerAddr"`
	Revision uint64 `json:"revision"`
}

// PoolStatus describes a pool, its availability relative to its budget, and its
// instances.
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

// InstanceStatus describes an instance of a pool.
type InstanceStatus struct {
	Instance    string `json:"instance"`
	Phase       string `json:"phase"`
	Failed      bool   `json:"failed"`
	Quarantined bool   `json:"quarantined"`
}

// WaveStatus describes a maintenance wave and counts its instances by progress.
type WaveStatus struct {
	Wave     string   `json:"wave"`
	Pools    []string `json:"pools"`
	Phase    string   `json:"phase"`
	Returned int      `json:"returned"`
	UnderWay int      `json:"underWay"`
	Due      int      `json:"due"`
}

// JobStatus describes a job and how many of its tasks are placed.
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

// Publish is a request to replace the configuration.
type Publish struct {
	Replaces uint64 `json:"replaces"`
	Message  string `json:"message"`
	Document string `json:"document"`
}

// WriteResult is the response to a write that was accepted.
type WriteResult struct {
	Offset   uint64 `json:"offset"`
	Revision uint64 `json:"revision,omitempty"`
}

// Problem is the response to a call that was refused or failed.
type Problem struct {
	Error string `json:"error"`
	// MayHaveTakenEffect is set if the outcome of a write is unknown.
	MayHaveTakenEffect bool `json:"mayHaveTakenEffect"`
	// InForce is the configuration in force that a write conflicts with.
	InForce *Configuration `json:"inForce,omitempty"`
}

// RevisionStatus lists the revision that each live entry has in force.
type RevisionStatus struct {
	Revision uint64            `json:"revision"`
	Entries  map[string]uint64 `json:"entries"`
	// Everywhere is set if all live entries have the revision, or a later one, in
	// force.
	Everywhere bool `json:"everywhere"`
}

// Wave is a request to start a maintenance wave.
type Wave struct {
	Wave  string   `json:"wave"`
	Pools []string `json:"pools"`
}

// Move is a request to move an instance to another pool.
type Move struct {
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
}

// AuditEntry describes one proposed change, which was applied or rejected.
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

// Explain describes a request for which the applicable rule is to be determined.
type Explain struct {
	Method string            `json:"method"`
	Path   string            `json:"path"`
	Caller string            `json:"caller"`
	Header map[string]string `json:"header"`
	// Time is HH:MM in the configuration's time zone; empty means now.
	Time string `json:"time"`
	// PoolStates holds the state of each pool. An entry replaces it with the
	// current states.
	PoolStates map[string]string `json:"poolStates"`
}

// Explained is the rule that applies to a request and its action, with a trace of
// the rules that were examined.
type Explained struct {
	Rule   string          `json:"rule"`
	Action string          `json:"action"`
	Traces []jayrule.Trace `json:"traces"`
}

// PlanStep is one step of a dry run.
type PlanStep struct {
	AtMillis int64  `json:"atMillis"`
	Instance string `json:"instance"`
	Pool     string `json:"pool"`
	Rule     string `json:"rule"`
}

// Plan is the result of a dry run of a wave.
type Plan struct {
	Steps            []PlanStep `json:"steps"`
	RollOutMillis    int64      `json:"rollOutMillis"`
	LowerBoundMillis int64      `json:"lowerBoundMillis"`
	// BufferCost is the mean ratio of spare to needed instances while the wave
	// runs.
	BufferCost float64 `json:"bufferCost"`
	// Stuck lists the instances that were not maintained because no rule or budget
	// allowed it.
	Stuck []string `json:"stuck"`
}
