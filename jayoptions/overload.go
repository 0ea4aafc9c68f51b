package jayoptions

import "jaythread/jaydocument"

// Overload selects the decisions of the job service under a load that its pools have too
// little room for. All are off by default.
type Overload struct {
	// DivideHosts divides the hosts among pools that all lack some.
	DivideHosts bool `json:"divideHosts"`
	// PredictBursts moves hosts ahead of bursts that recur.
	PredictBursts bool `json:"predictBursts"`
	// WorkerSpeeds learns how fast each worker is and avoids slow ones.
	WorkerSpeeds bool `json:"workerSpeeds"`
	// CopyShare is the share of a pool's room that copies of straggling tasks may use. Only
	// tasks of speculative steps are copied. Zero means that there are no copies.
	CopyShare float64 `json:"copyShare"`
	// FairShares serves the organisations by their weights while a pool lacks room.
	FairShares bool `json:"fairShares"`
	// RejectHopeless rejects a job that cannot be done while its result is of use.
	RejectHopeless bool `json:"rejectHopeless"`
}

func (o *Overload) check(d *jaydocument.Document) {
	checkNumber(d, "/jobService/overload/copyShare", o.CopyShare, 0, 1)
}
