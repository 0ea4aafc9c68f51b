package jaysched

import (
	"time"

	"jaythread/jayport"
)

// NoteKind is the kind of event that a note reports.
type NoteKind string

// The kinds of notes. Each is a line in the log.
const (
	JobDeclared  NoteKind = "job declared"
	JobEnded     NoteKind = "job ended"
	JobRecorded  NoteKind = "job recorded"
	RunStarted   NoteKind = "run started"
	RunEnded     NoteKind = "run ended"
	RunAdopted   NoteKind = "run adopted"
	RunVanished  NoteKind = "run vanished"
	RunLost      NoteKind = "run lost"
	RunStopped   NoteKind = "run stopped"
	RunThrottled NoteKind = "run throttled"
	StartRefused NoteKind = "start refused"
	EndIgnored   NoteKind = "end ignored"
	// WorkerReturned is a worker that was restarted under its ID.
	WorkerReturned NoteKind = "worker returned"
	// WorkerResized is a worker whose capacity has changed, TaskMisfit a task that no worker is
	// large enough for.
	WorkerResized NoteKind = "worker resized"
	TaskMisfit    NoteKind = "task fits no worker"
	// JobGivenUp is a job with a task that crashes its workers.
	JobGivenUp NoteKind = "job given up"
	// CrashAttributed is the loss of a worker that is attributed to a task, TaskParked a
	// service task that is not started any more, TaskCleared a suspicion that is withdrawn.
	CrashAttributed NoteKind = "crash attributed to task"
	TaskParked      NoteKind = "task parked"
	TaskCleared     NoteKind = "task cleared"
	WorkerJoined    NoteKind = "worker joined"
	WorkerDrains    NoteKind = "worker drains"
	WorkerLeft      NoteKind = "worker left"
	WorkerSilent    NoteKind = "worker silent"
	WorkerAnswers   NoteKind = "worker answers"
	WorkerLapsed    NoteKind = "worker lapsed"
	WorkerAvoided   NoteKind = "worker avoided"
	WorkerTrusted   NoteKind = "worker trusted"
)

// Note reports a decision, or a change of the pool's state, with its cause.
type Note struct {
	Kind   NoteKind
	At     time.Duration
	Job    string
	Worker string
	Run    jayport.RunRef
	Detail string
	// Since is the age of the information that the decision was based on. For WorkerSilent,
	// WorkerAnswers and WorkerLapsed it is the time of the worker's last answer.
	Since time.Duration
	// Waited is how long the task or job had waited, or how long ago a run that has ended had
	// begun.
	Waited time.Duration
}

func (p *Pool) note(n Note, now time.Duration) {
	n.At = now
	p.notes = append(p.notes, n)
}

// Notes returns the notes since the last call.
func (p *Pool) Notes() []Note {
	notes := p.notes
	p.notes = nil
	return notes
}
