package jaystate

import (
	"fmt"
	"slices"

	"jaythread/jayjob"
	"jaythread/jaywire"
)

// placeTask assigns a task to an instance. A task that is already assigned must
// be ended first, so that it is never assigned to two instances.
func (s *State) placeTask(offset uint64, p *jaywire.PlaceTask, e *jaywire.AuditEntry) error {
	e.Kind = "task"
	e.Subject = fmt.Sprintf("%s/%d", p.Job, p.Replica)
	e.After = p.Instance
	key := TaskKey{Job: p.Job, Replica: p.Replica}
	task, known := s.Tasks[key]
	if known && task.Instance != "" {
		return fmt.Errorf("%w: %s runs on %s", ErrInvalidState, e.Subject, task.Instance)
	}
	if why, parked := s.Parked[p.Job]; parked {
		return fmt.Errorf("%w: job %s is parked: %s", ErrInvalidState, p.Job, why)
	}
	i, err := s.instance(p.Instance)
	if err != nil {
		return err
	}
	if !i.Available() {
		return fmt.Errorf("%w: %s is %s", ErrInvalidState, i.ID, i.Phase)
	}
	if !known {
		task = &jayjob.Task{Job: p.Job, Replica: int(p.Replica)}
		s.Tasks[key] = task
	}
	task.Instance = p.Instance
	task.Fence = offset
	return nil
}

// endTask removes a task from its instance. The base is the fence of the
// placement that ended; a late report of an earlier placement is rejected.
func (s *State) endTask(base uint64, t *jaywire.EndTask, e *jaywire.AuditEntry) error {
	e.Kind = "task"
	e.Subject = fmt.Sprintf("%s/%d", t.Job, t.Replica)
	e.After = t.Outcome
	task, known := s.Tasks[TaskKey{Job: t.Job, Replica: t.Replica}]
	if !known || task.Instance == "" {
		return fmt.Errorf("%w: %s is not placed", ErrInvalidState, e.Subject)
	}
	e.Before = task.Instance
	if task.Fence != base {
		return fmt.Errorf("%w: %s was placed again at %d", ErrInvalidState, e.Subject, task.Fence)
	}
	task.Instance = ""
	switch t.Outcome {
	case "moved":
		s.Measures.TaskMoves++
	case "failed":
		task.FailedOn = append(task.FailedOn, e.Before)
	case "cancelled":
		delete(s.Tasks, TaskKey{Job: t.Job, Replica: t.Replica})
	}
	return nil
}

func (s *State) parkJob(p *jaywire.ParkJob, e *jaywire.AuditEntry) error {
	e.Kind = "job"
	e.Subject = p.Job
	e.After = "parked: " + p.Why
	why, parked := s.Parked[p.Job]
	if parked {
		e.Before = "parked: " + why
	}
	if parked != p.Released {
		return fmt.Errorf("%w: job %s", ErrInvalidState, p.Job)
	}
	if p.Released {
		e.After = "released"
		delete(s.Parked, p.Job)
		s.clearJobFailures(p.Job)
		return nil
	}
	s.Parked[p.Job] = p.Why
	return nil
}

func (s *State) clearJobFailures(job string) {
	for key, task := range s.Tasks {
		if key.Job == job {
			task.FailedOn = nil
		}
	}
}

// clearInstanceFailures removes an instance that was quarantined or released
// from the failure history of all tasks. Failures that a faulty instance caused
// must not lead to jobs being parked.
func (s *State) clearInstanceFailures(instance string) {
	for _, task := range s.Tasks {
		task.FailedOn = slices.DeleteFunc(task.FailedOn, func(on string) bool { return on == instance })
	}
}
