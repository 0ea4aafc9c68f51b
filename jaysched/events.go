package jaysched

import (
	"time"

	"jaythread/jayport"
)

// EventKind is the kind of an event.
type EventKind string

// The kinds of events. Each is a line in the log.
const (
	JobDeclared EventKind = "job declared"
	JobEnded    EventKind = "job ended"
	JobRecorded EventKind = "job recorded"
	RunStarted  EventKind = "run started"
	RunEnded    EventKind = "run ended"
	RunAdopted  EventKind = "run adopted"
	RunVanished EventKind = "run vanished"
	RunLost     EventKind = "run lost"
	RunStopped  EventKind = "run stopped"
	// RunRestarted is a run that was stopped to release its worker and starts anew elsewhere.
	RunRestarted EventKind = "run restarted"
	RunThrottled EventKind = "run throttled"
	StartRefused EventKind = "start refused"
	// TaskWaits is a long-running task that has waited for long.
	TaskWaits EventKind = "task waits"
	// TasksHeld are restored tasks that wait because a former owner may have started them,
	// TasksReleased says that they do not wait for that any more.
	TasksHeld     EventKind = "restored tasks held"
	TasksReleased EventKind = "restored tasks released"
	EndIgnored    EventKind = "end ignored"
	// WorkerReturned is a worker that was restarted under its ID.
	WorkerReturned EventKind = "worker returned"
	// WorkerResized is a worker whose capacity has changed, TaskTooLarge a task that no worker is
	// large enough for.
	WorkerResized EventKind = "worker resized"
	TaskTooLarge  EventKind = "task fits no worker"
	// JobGivenUp is a job with a task that crashes its workers.
	JobGivenUp EventKind = "job given up"
	// CrashAttributed is the loss of a worker that is attributed to a task, TaskParked a
	// service task that is not started any more, TaskCleared a suspicion that is withdrawn.
	CrashAttributed EventKind = "crash attributed to task"
	TaskParked      EventKind = "task parked"
	TaskCleared     EventKind = "task cleared"
	WorkerJoined    EventKind = "worker joined"
	WorkerDrains    EventKind = "worker drains"
	WorkerLeft      EventKind = "worker left"
	WorkerSilent    EventKind = "worker silent"
	WorkerAnswers   EventKind = "worker answers"
	WorkerLapsed    EventKind = "worker lapsed"
	WorkerAvoided   EventKind = "worker avoided"
	WorkerTrusted   EventKind = "worker trusted"
	// WorkerSlow is a worker whose runs take much longer than predicted, WorkerFastAgain one
	// that is not treated as slow any more.
	WorkerSlow      EventKind = "worker slow"
	WorkerFastAgain EventKind = "worker fast again"
	// CopyStarted is a second run of a straggling task. CopyWon is a copy that has ended first,
	// CopyLost one that has not.
	CopyStarted EventKind = "copy started"
	CopyWon     EventKind = "copy won"
	CopyLost    EventKind = "copy lost"
	// QuotaReached is an organisation whose tasks wait for its quota, QuotaFree one whose tasks
	// do not wait for it any more.
	QuotaReached EventKind = "quota reached"
	QuotaFree    EventKind = "quota free"
	// GangExceedsQuota is a gang that waits for a larger quota of its organisation.
	GangExceedsQuota EventKind = "gang exceeds quota"
	// UnknownJobCanceled is a cancellation of a job that the pool does not know.
	UnknownJobCanceled EventKind = "unknown job cancelled"
	// JobRejected is a job that cannot be done while its result is of use, JobReturned one that
	// was rejected and is accepted at its place in the order of return.
	JobRejected EventKind = "job rejected"
	JobReturned EventKind = "job returned in turn"
	// BeyondShare is an organisation with jobs beyond its share, WithinShare one without such jobs
	// again.
	BeyondShare EventKind = "organisation beyond its share"
	WithinShare EventKind = "organisation within its share again"
)

// Event reports a decision, or a change of the pool's state, with its cause.
type Event struct {
	Kind   EventKind
	At     time.Duration
	Job    string
	Worker string
	// Organisation is set for UnknownJobCanceled, GangExceedsQuota, QuotaReached, QuotaFree, JobRejected, BeyondShare and WithinShare.
	Organisation string
	Run          jayport.RunRef
	Detail       string
	// Since is the age of the information that the decision was based on. For WorkerSilent,
	// WorkerAnswers and WorkerLapsed it is the time of the worker's last answer.
	Since time.Duration
	// Waited is how long the task or job had waited, or how long ago a run that has ended had
	// begun.
	Waited time.Duration
	// Confirmed is how long ago the owner was last known not to have been replaced, for RunStarted,
	// RunLost, RunVanished and WorkerLapsed of an owner that may be replaced.
	Confirmed time.Duration
	// LostMilli is the lost work of a RunRestarted, in thousandths of a core times seconds.
	LostMilli float64
}

func (p *Pool) recordEvent(e Event, now time.Duration) {
	e.At = now
	switch e.Kind {
	case RunStarted, RunLost, RunVanished, WorkerLapsed:
		e.Confirmed = p.right.Age(now)
	}
	p.events = append(p.events, e)
}

// TakeEvents returns and clears the events since the last call.
func (p *Pool) TakeEvents() []Event {
	events := p.events
	p.events = nil
	return events
}
