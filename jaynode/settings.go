package jaynode

import "time"

// Settings configures an entry of the job service.
type Settings struct {
	Entry      string
	DataCenter string
	PeerAddr   string
	// ProcessorsMilli and LinkMegabits are the entry's share of its host.
	ProcessorsMilli int64
	LinkMegabits    int64
	// MemoryBytes is the memory that the entry may use. Zero is no limit.
	MemoryBytes int64
	// StoreReadRate is the number of reads per second that the store serves all entries
	// together. Zero means that there is no limit.
	StoreReadRate float64
	// HostCommandRate is the number of commands to hosts per second that the inventory serves,
	// and HostCommands the number that may wait for their answer. Zero is no limit.
	HostCommandRate float64
	HostCommands    int
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// StopTime is the maximum time that a worker takes to stop a run.
	StopTime time.Duration
	// FarFactor is the factor by which a task takes longer on a worker outside the rack
	// of its data or of its step. It has no effect: the scheduler does not use it.
	FarFactor float64
	// MoveTime and MaintenanceTime are how long a host is unavailable during a move and
	// during maintenance.
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	// HolderTime is how long the fleet's next owner must wait after a command of the
	// former owner before it may act on the same host.
	HolderTime time.Duration
	// FencesChecked is set if the inventory rejects commands with a lower fence than the
	// host has already received.
	FencesChecked bool
	// RetainEnded is how long the state of an ended job remains available. It should be at least
	// MinRetainEnded; zero keeps the state forever.
	RetainEnded time.Duration
	// RevocationTime is how long after the removal of an API key calls with it may still be
	// accepted. Zero means that there is no limit.
	RevocationTime time.Duration
	// DeclarationTime is how long after a change of the declarations the former ones may still
	// be applied to requests and to the start of tasks. Zero means that there is no limit.
	DeclarationTime time.Duration
	// Overload selects the decisions under a load that the pools have too little room for.
	Overload Overload
}

// Overload selects decisions under load; see jayoptions.Overload.
type Overload struct {
	DivideHosts    bool
	PredictBursts  bool
	WorkerSpeeds   bool
	CopyShare      float64
	FairShares     bool
	RejectHopeless bool
}
