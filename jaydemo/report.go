package jaydemo

// Report is the result of a demo: the counters of the simulated platform and the callers.
// Those that jaystandin.Counters has too are explained there.
type Report struct {
	Profile string `json:"profile"`
	// Requests counts the attempts of the callers to send a request.
	Requests int `json:"requests"`
	// Answered counts the successful requests.
	Answered int `json:"answered"`
	// RefusedNotRun counts the requests that were rejected as not run.
	RefusedNotRun int `json:"refusedNotRun"`
	// MayHaveRun counts all other responses; their requests may have run.
	MayHaveRun int `json:"mayHaveRun"`
	// Reasons counts the entries' own responses by their text, and requests without a
	// response by their error.
	Reasons map[string]int `json:"reasons"`
	// Unsent counts the requests whose connection to an entry could not be opened.
	Unsent int `json:"unsent"`
	// WrongAnswers counts the responses with an unexpected body.
	WrongAnswers int `json:"wrongAnswers"`
	DoubledRuns  int `json:"doubledRuns"`
	// NotRunButRan counts the requests that were rejected as not run although they ran.
	NotRunButRan int `json:"notRunButRan"`
	// CutInFlight counts the requests in flight that got no response or were interrupted by
	// the planned stop of their worker.
	CutInFlight    int `json:"cutInFlight"`
	BudgetBreaches int `json:"budgetBreaches"`
	PoolOverlaps   int `json:"poolOverlaps"`
	LateWork       int `json:"lateWork"`
	TaskOverlaps   int `json:"taskOverlaps"`
	SlotOverruns   int `json:"slotOverruns"`
	// BufferCost is the ratio of spare to used capacity: the available workers above the
	// minimum of the budgets, divided by that minimum and averaged over the run.
	BufferCost          float64 `json:"bufferCost"`
	RollOutSeconds      float64 `json:"rollOutSeconds"`
	WaveDone            bool    `json:"waveDone"`
	Reboots             int     `json:"reboots"`
	InstanceMoves       int     `json:"instanceMoves"`
	JobMoves            int     `json:"jobMoves"`
	ConfigInForceMillis float64 `json:"configInForceMillis"`
	StateAppends        int     `json:"stateAppends"`
	ClaimAppends        int     `json:"claimAppends"`
	SnapshotAppends     int     `json:"snapshotAppends"`
	P50Millis           float64 `json:"p50Millis"`
	P99Millis           float64 `json:"p99Millis"`
}

// Broken returns the names of the counters that show a violated guarantee.
func (r *Report) Broken() []string {
	var broken []string
	check := func(name string, count int) {
		if count > 0 {
			broken = append(broken, name)
		}
	}
	check("wrongAnswers", r.WrongAnswers)
	check("doubledRuns", r.DoubledRuns)
	check("notRunButRan", r.NotRunButRan)
	check("cutInFlight", r.CutInFlight)
	check("budgetBreaches", r.BudgetBreaches)
	check("poolOverlaps", r.PoolOverlaps)
	check("lateWork", r.LateWork)
	check("taskOverlaps", r.TaskOverlaps)
	return broken
}
