package jaystate

import (
	"fmt"

	"jaythread/jaypool"
	"jaythread/jaywire"
)

func (s *State) attach(base uint64, a *jaywire.AttachInstance, e *jaywire.AuditEntry) error {
	e.Kind = "attach"
	e.Subject = a.Instance
	e.After = a.Pool
	if err := s.checkDeclared(a.Pool); err != nil {
		return err
	}
	fresh := jaypool.Instance{
		ID:         a.Instance,
		Pool:       a.Pool,
		Rack:       a.Rack,
		DataCenter: a.DataCenter,
		Capacity: jaypool.Resources{
			ProcessorsMilli: a.ProcessorsMilli,
			MemoryMegabytes: a.MemoryMegabytes,
			Accelerators:    a.Accelerators,
		},
	}
	if old, known := s.Fleet.Instance(a.Instance); known && old.MoveTo != "" && old.MoveTo != a.Pool {
		return fmt.Errorf("%w: %s is moving to %s", ErrInvalidState, a.Instance, old.MoveTo)
	}
	return s.Fleet.Attach(fresh, base)
}

// checkDeclared returns an error unless the configuration declares a pool.
func (s *State) checkDeclared(pool string) error {
	if s.Revision.Parsed != nil {
		if _, ok := s.Revision.Parsed.Pool(pool); ok {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", ErrPoolNotDeclared, pool)
}

func (s *State) drainForMove(offset, base uint64, d *jaywire.DrainForMove, e *jaywire.AuditEntry) error {
	e.Kind = "move"
	e.Subject = d.Instance
	e.After = d.ToPool
	if err := s.checkDeclared(d.ToPool); err != nil {
		return err
	}
	i, err := s.instance(d.Instance)
	if err != nil {
		return err
	}
	e.Before = i.Pool
	move := jaypool.Move{ToPool: d.ToPool, Fence: offset, Lent: d.Lent}
	if err := s.Fleet.DrainForMove(d.Instance, move, base, s.budget(i.Pool)); err != nil {
		return err
	}
	s.Measures.InstanceMoves++
	return nil
}

func (s *State) detach(base uint64, d *jaywire.DetachInstance, e *jaywire.AuditEntry) error {
	e.Kind = "detach"
	e.Subject = d.Instance
	if i, ok := s.Fleet.Instance(d.Instance); ok {
		e.Before = i.Pool
	}
	if d.Gone {
		e.After = "gone"
		return s.Fleet.Remove(d.Instance, base)
	}
	return s.Fleet.Detach(d.Instance, base)
}

func (s *State) report(r *jaywire.ReportInstance, e *jaywire.AuditEntry) error {
	e.Kind = "health"
	e.Subject = r.Instance
	e.After = healthName(r.Failed)
	i, err := s.instance(r.Instance)
	if err != nil {
		return err
	}
	e.Before = healthName(i.Failed)
	if i.Failed == r.Failed {
		return fmt.Errorf("%w: %s is %s already", ErrInvalidState, r.Instance, e.After)
	}
	return s.Fleet.SetFailed(r.Instance, r.Failed)
}

func (s *State) quarantine(base uint64, q *jaywire.QuarantineInstance, e *jaywire.AuditEntry) error {
	e.Kind = "quarantine"
	e.Subject = q.Instance
	e.After = quarantineName(!q.Lifted)
	i, err := s.instance(q.Instance)
	if err != nil {
		return err
	}
	e.Before = quarantineName(i.Quarantined)
	if err := s.Fleet.SetQuarantined(q.Instance, !q.Lifted, base, s.budget(i.Pool)); err != nil {
		return err
	}
	s.clearInstanceFailures(q.Instance)
	return nil
}

func healthName(failed bool) string {
	if failed {
		return "failed"
	}
	return "healthy"
}

func quarantineName(on bool) string {
	if on {
		return "quarantined"
	}
	return "in service"
}

func (s *State) instance(id string) (*jaypool.Instance, error) {
	i, ok := s.Fleet.Instance(id)
	if !ok {
		return nil, fmt.Errorf("%w: %s", jaypool.ErrUnknownInstance, id)
	}
	return i, nil
}
