package jaystate

import (
	"cmp"
	"fmt"
	"slices"

	"jaythread/jayconfig"
	"jaythread/jaywire"
)

// publish accepts a configuration that replaces the revision in force. The new
// revision number is the record's offset plus one, so that later revisions have
// higher numbers and zero means that there is no configuration.
func (s *State) publish(offset uint64, c *jaywire.Command, p *jaywire.PublishConfiguration, e *jaywire.AuditEntry) error {
	e.Kind = "configuration"
	e.Subject = p.Message
	e.Before = fmt.Sprint(s.Revision.Number)
	if p.Replaces != s.Revision.Number {
		return fmt.Errorf("%w: %d is in force, the author edited %d", ErrConflict, s.Revision.Number, p.Replaces)
	}
	parsed, err := jayconfig.Parse("configuration", p.Document)
	if err != nil {
		return err
	}
	e.After = fmt.Sprint(offset + 1)
	s.Revision = Revision{
		Number:   offset + 1,
		Document: p.Document,
		Author:   c.Actor,
		Message:  p.Message,
		Parsed:   parsed,
	}
	return nil
}

func (s *State) joinEntry(j *jaywire.JoinEntry, e *jaywire.AuditEntry) error {
	e.Kind = "entryJoined"
	e.Subject = j.Entry
	e.After = j.PeerAddr
	if j.Entry == "" {
		return fmt.Errorf("%w: an entry without identity", ErrNotFound)
	}
	m := Member{Entry: j.Entry, PeerAddr: j.PeerAddr, DataCenter: j.DataCenter}
	i, known := s.findMember(j.Entry)
	if known {
		s.Members[i] = m
		return nil
	}
	s.Members = slices.Insert(s.Members, i, m)
	return nil
}

func (s *State) leaveEntry(l *jaywire.LeaveEntry, e *jaywire.AuditEntry) error {
	e.Kind = "entryLeft"
	e.Subject = l.Entry
	i, known := s.findMember(l.Entry)
	if !known {
		return fmt.Errorf("%w: entry %s", ErrNotFound, l.Entry)
	}
	s.Members = slices.Delete(s.Members, i, i+1)
	return nil
}

func (s *State) findMember(entry string) (int, bool) {
	return slices.BinarySearchFunc(s.Members, entry, func(m Member, id string) int { return cmp.Compare(m.Entry, id) })
}

// takePlannerLease grants the next term to the first entry that requests it. A
// renewal takes a new term too. A former holder sees the higher term and stops
// planning.
func (s *State) takePlannerLease(t *jaywire.TakePlannerLease, e *jaywire.AuditEntry) error {
	if next := s.Planner.Term + 1; t.Term > next {
		return fmt.Errorf("%w: term %d is too high; the next term is %d", ErrInvalidState, t.Term, next)
	} else if t.Term < next {
		return fmt.Errorf("%w: term %d is taken, by %s", ErrInvalidState, t.Term, s.Planner.Entry)
	}
	if t.Entry != s.Planner.Entry {
		e.Kind = "planner"
		e.Subject = t.Entry
		e.Before = s.Planner.Entry
		e.After = t.Entry
	}
	s.Planner = Planner{Entry: t.Entry, Term: t.Term}
	return nil
}
