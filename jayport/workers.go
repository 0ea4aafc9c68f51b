package jayport

import (
	"errors"
	"fmt"
	"time"

	"jaythread/jaypool"
)

// Incarnation identifies a process among those that a worker has run under one ID. It is the
// time of the process's start in Unix milliseconds, or zero if the worker does not report
// it. Incarnations are compared for equality only, since the system clock may have been set
// back between two starts.
type Incarnation int64

// Worker is one incarnation of an instance that runs tasks, as its latest heartbeat
// describes it.
type Worker struct {
	// ID and Incarnation identify the incarnation.
	ID          string
	Incarnation Incarnation
	Addr        string
	Pool        string
	DataCenter  string
	Rack        string
	// Labels holds the labels that steps may require, including that of the rack.
	Labels   []string
	Capacity jaypool.Resources
	Draining bool
	// DrainLeft is the minimum time before a draining worker leaves.
	DrainLeft time.Duration
	// Warming is the remaining time for which the worker is slow after its start.
	Warming time.Duration
	// Clock is the worker's monotonic clock at the time of the heartbeat.
	Clock time.Duration
}

// WorkerRef identifies one incarnation of a worker and holds the address at which it
// listens.
type WorkerRef struct {
	ID          string
	Incarnation Incarnation
	Addr        string
}

// TaskID identifies a task by its job, the occurrence, the step and the index in the step.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the step's name in the form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step)
}

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID {
	return StepID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task TaskID
	// Number starts at 1 and increases with each start of the task.
	Number int64
}

// String returns the name of the task and the number of the run.
func (r RunRef) String() string {
	return fmt.Sprintf("%s run %d", r.Task, r.Number)
}

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Run   RunRef
	Spec  string
	Fence int64
	// LeaseUntil is the end of the lease on the worker's clock. The lease covers all runs
	// on the worker.
	LeaseUntil time.Duration
	// Checkpoint is the checkpoint from which the run resumes. If it is empty, the run
	// starts from the beginning.
	Checkpoint string
	// Ticket is the advisor's permission, if the queue uses the advisor.
	Ticket string
}

// LeaseOrder renews the lease of all runs on a worker and asks for a report.
type LeaseOrder struct {
	Fence int64
	// LeaseUntil is the new end of the lease on the worker's clock. If it is zero, the
	// order only asks for a report.
	LeaseUntil time.Duration
	// Acknowledged is the number of the last ended run that the worker may forget.
	Acknowledged int64
	// Wait is how long the worker may delay the response until a run has ended.
	Wait time.Duration
}

// ActiveRun is a run that a worker reports as running.
type ActiveRun struct {
	Run        RunRef
	Checkpoint string
	// Speed is the percentage of its full speed to which the run is limited.
	Speed int
	// Load is the tail latency of a serving task in milliseconds, or the processor use of
	// any other task in thousandths of a core. It is an approximate value.
	Load int64
}

// Ending is the way in which a run ended.
type Ending uint8

// The ways in which runs end.
const (
	// EndedUnknown stands for any ending that this program does not know.
	EndedUnknown Ending = iota
	EndedDone
	// EndedFailed means that the run failed, by its own fault or the worker's.
	EndedFailed
	EndedStopped
	// EndedLapsed means that the worker's lease expired.
	EndedLapsed
	// EndedBroken means that another member of the gang ended.
	EndedBroken
	// EndedAlone means that the other members of the gang did not start.
	EndedAlone
)

var endingNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the ending in lower case.
func (e Ending) String() string {
	if int(e) < len(endingNames) {
		return endingNames[e]
	}
	return endingNames[EndedUnknown]
}

// EndedRun is an ended run, which a worker reports until it is acknowledged.
type EndedRun struct {
	// Number numbers the ended runs of this incarnation of the worker, starting at 1.
	Number     int64
	Run        RunRef
	Ending     Ending
	Checkpoint string
}

// Report is a worker's response to a lease order.
type Report struct {
	// Incarnation is the incarnation that responded.
	Incarnation Incarnation
	Clock       time.Duration
	Active      []ActiveRun
	Ended       []EndedRun
	// Partial is set if some rows could not be decoded. A run that is missing from the
	// other rows may be in one of them.
	Partial bool
}

// MaxReportedEnds is the maximum number of ended runs in a report. If a report contains that
// many, the worker may have more of them.
const MaxReportedEnds = 500

// ThrottleOrder limits a run to a percentage of its full speed, so that it disturbs the
// other runs on the worker less.
type ThrottleOrder struct {
	Run     RunRef
	Fence   int64
	Percent int
}

// Reason is the reason for which a worker refused an order. A refused order has no effect.
type Reason uint8

// The reasons for which workers refuse orders.
const (
	// RefusedUnknown stands for any reason that this program does not know.
	RefusedUnknown Reason = iota
	// RefusedFenced means that the worker has received a higher fence.
	RefusedFenced
	// RefusedOutdated means that the run's number is not higher than that of a run of the
	// task that has ended on the worker.
	RefusedOutdated
	// RefusedLate means that the lease in the order had already expired.
	RefusedLate
	// RefusedNoRoom means that the task does not fit into the worker's free capacity.
	RefusedNoRoom
	// RefusedNoTicket means that the advisor's ticket is missing or expired.
	RefusedNoTicket
	// RefusedUnhealthy means that the worker currently accepts no orders.
	RefusedUnhealthy
	// RefusedOtherIncarnation means that another worker or incarnation listens at the
	// address.
	RefusedOtherIncarnation
	// RefusedMalformed means that the order was invalid.
	RefusedMalformed
)

var reasonNames = [...]string{"unknown", "fenced", "outdated", "late", "noRoom", "noTicket", "unhealthy", "otherIncarnation", "malformed"}

// String returns the reason in camel case.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return reasonNames[RefusedUnknown]
}

// RefusedError is returned for an order that a worker refused.
type RefusedError struct {
	Reason Reason
	// Clock is the worker's clock, or zero if the response did not include it.
	Clock time.Duration
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return "worker refused: " + e.Reason.String()
}

// ErrInvalidResponse is returned together with ErrNoAnswer for a response that is not a valid
// response of a worker.
var ErrInvalidResponse = errors.New("foreign message")

// Workers sends orders to workers. Every error is ErrNoAnswer or a *RefusedError. Start,
// Stop and Throttle return the worker's clock. An order is only ever carried out by the
// incarnation to which it was sent.
type Workers interface {
	Start(to WorkerRef, order StartOrder, timeout time.Duration) (time.Duration, error)
	Stop(to WorkerRef, run RunRef, fence int64, timeout time.Duration) (time.Duration, error)
	Throttle(to WorkerRef, order ThrottleOrder, timeout time.Duration) (time.Duration, error)
	// Renew renews the lease and returns a report of the active and the ended runs.
	Renew(to WorkerRef, order LeaseOrder, timeout time.Duration) (Report, error)
	// Healthy queries the worker's health endpoint and reports whether the worker
	// considers itself healthy.
	Healthy(to WorkerRef, path string, timeout time.Duration) (bool, error)
	// Forget closes the connections to an incarnation that has ended.
	Forget(to WorkerRef)
}

// Advice is the advisor's permission to run a step on some workers.
type Advice struct {
	// Tickets holds a ticket for each permitted worker by its ID. A worker without a
	// ticket must not run the step.
	Tickets map[string]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise asks which of up to MaxAdvised workers may run the step.
	Advise(step StepID, workers []string, timeout time.Duration) (Advice, error)
}

// MaxAdvised is the maximum number of workers in one request to the advisor.
const MaxAdvised = 100
