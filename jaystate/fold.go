package jaystate

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

// Errors for which a command is rejected, besides those of packages jaypool and
// jayconfig.
var (
	ErrConflict        = errors.New("the revision in force is another one")
	ErrDuplicate       = errors.New("duplicate command")
	ErrUnknown         = errors.New("unknown command")
	ErrNotFound        = errors.New("no such thing")
	ErrPoolNotDeclared = errors.New("no such pool is declared")
	ErrInvalidState    = errors.New("not possible in this state")
)

// Outcome is the result of one command.
type Outcome struct {
	ID     string
	Offset uint64
	// Err is nil if the command was accepted.
	Err error
}

// Accepted reports whether the command changed the state.
func (o Outcome) Accepted() bool {
	return o.Err == nil
}

// Apply applies one record and returns the outcome of each of its commands. A
// record that was applied before changes nothing. A record that cannot be
// decoded is skipped, by every entry in the same way: only the offset advances.
func (s *State) Apply(offset uint64, record []byte) ([]Outcome, error) {
	if offset < s.Offset {
		return nil, nil
	}
	s.Offset = offset + 1
	batch := &jaywire.Batch{}
	if err := proto.Unmarshal(record, batch); err != nil {
		return nil, fmt.Errorf("record at offset %d: %w", offset, err)
	}
	outcomes := make([]Outcome, 0, len(batch.Commands))
	for _, c := range batch.Commands {
		outcomes = append(outcomes, s.decide(offset, c))
	}
	return outcomes, nil
}

// decide applies one command, unless it is a repeat, and adds it to the audit
// trail, whether accepted or rejected. Renewals and rejected requests of the
// planner lease are not audited.
func (s *State) decide(offset uint64, c *jaywire.Command) Outcome {
	if !s.recordCommandID(c.Id) {
		return Outcome{ID: c.Id, Offset: offset, Err: ErrDuplicate}
	}
	entry := &jaywire.AuditEntry{Offset: offset, UnixMillis: c.UnixMillis, Actor: c.Actor, Reason: c.Reason}
	err := s.apply(offset, c, entry)
	if err != nil {
		entry.Rejected = err.Error()
	}
	if entry.Kind != "" {
		s.appendAudit(entry)
	}
	return Outcome{ID: c.Id, Offset: offset, Err: err}
}

func (s *State) appendAudit(entry *jaywire.AuditEntry) {
	s.audit = append(s.audit, entry)
	if len(s.audit) > maxAuditEntries {
		s.audit = s.audit[len(s.audit)-maxAuditEntries:]
	}
}

func (s *State) apply(offset uint64, c *jaywire.Command, e *jaywire.AuditEntry) error {
	switch body := c.Body.(type) {
	case *jaywire.Command_PublishConfiguration:
		return s.publish(offset, c, body.PublishConfiguration, e)
	case *jaywire.Command_JoinEntry:
		return s.joinEntry(body.JoinEntry, e)
	case *jaywire.Command_LeaveEntry:
		return s.leaveEntry(body.LeaveEntry, e)
	case *jaywire.Command_TakePlannerLease:
		return s.takePlannerLease(body.TakePlannerLease, e)
	case *jaywire.Command_AttachInstance:
		return s.attach(c.Base, body.AttachInstance, e)
	case *jaywire.Command_DrainForMove:
		return s.drainForMove(offset, c.Base, body.DrainForMove, e)
	case *jaywire.Command_DetachInstance:
		return s.detach(c.Base, body.DetachInstance, e)
	case *jaywire.Command_ReportInstance:
		return s.report(body.ReportInstance, e)
	case *jaywire.Command_QuarantineInstance:
		return s.quarantine(c.Base, body.QuarantineInstance, e)
	case *jaywire.Command_StartWave:
		return s.startWave(c, body.StartWave, e)
	case *jaywire.Command_SetWavePhase:
		return s.setWavePhase(c, body.SetWavePhase, e)
	case *jaywire.Command_StartStep:
		return s.startStep(offset, c.Base, body.StartStep, e)
	case *jaywire.Command_AdvanceStep:
		return s.advanceStep(c.Base, body.AdvanceStep, e)
	case *jaywire.Command_PlaceTask:
		return s.placeTask(offset, body.PlaceTask, e)
	case *jaywire.Command_EndTask:
		return s.endTask(c.Base, body.EndTask, e)
	case *jaywire.Command_ParkJob:
		return s.parkJob(body.ParkJob, e)
	default:
		e.Kind = "unknown"
		return ErrUnknown
	}
}
