package jaystate

import (
	"fmt"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jaywire"
)

func (s *State) startWave(c *jaywire.Command, w *jaywire.StartWave, e *jaywire.AuditEntry) error {
	e.Kind = "wave"
	e.Subject = w.Wave
	e.After = "running"
	if w.Wave == "" || len(w.Pools) == 0 {
		return fmt.Errorf("%w: a wave needs a name and pools", ErrInvalidState)
	}
	if _, known := s.Wave(w.Wave); known {
		return fmt.Errorf("%w: wave %s exists", ErrInvalidState, w.Wave)
	}
	for _, pool := range w.Pools {
		if err := s.checkDeclared(pool); err != nil {
			return err
		}
		if other, busy := s.WaveOf(pool); busy {
			return fmt.Errorf("%w: pool %s is in wave %s", ErrInvalidState, pool, other.ID)
		}
	}
	pools := slices.Clone(w.Pools)
	slices.Sort(pools)
	s.Waves = append(s.Waves, &Wave{
		ID:      w.Wave,
		Pools:   slices.Compact(pools),
		Phase:   jaywire.WavePhase_WAVE_PHASE_RUNNING,
		Version: 1,

		StartedUnixMillis: c.UnixMillis,
	})
	s.pruneEndedWaves()
	return nil
}

// pruneEndedWaves removes the oldest ended waves beyond maxEndedWaves.
func (s *State) pruneEndedWaves() {
	ended := 0
	for _, w := range s.Waves {
		if !w.Active() {
			ended++
		}
	}
	s.Waves = slices.DeleteFunc(s.Waves, func(w *Wave) bool {
		if w.Active() || ended <= maxEndedWaves {
			return false
		}
		ended--
		return true
	})
}

func (s *State) setWavePhase(c *jaywire.Command, p *jaywire.SetWavePhase, e *jaywire.AuditEntry) error {
	e.Kind = "wave"
	e.Subject = p.Wave
	e.After = wavePhaseName(p.Phase)
	w, ok := s.Wave(p.Wave)
	if !ok {
		return fmt.Errorf("%w: wave %s", ErrNotFound, p.Wave)
	}
	e.Before = wavePhaseName(w.Phase)
	if _, known := jaywire.WavePhase_name[int32(p.Phase)]; !known {
		return fmt.Errorf("%w: wave phase %d", ErrUnknown, p.Phase)
	}
	if w.Version != c.Base {
		return fmt.Errorf("%w: wave %s is at %d, the command was based on %d", jaypool.ErrStaleVersion, w.ID, w.Version, c.Base)
	}
	if !w.Active() {
		return fmt.Errorf("%w: wave %s is %s", ErrInvalidState, w.ID, wavePhaseName(w.Phase))
	}
	// An operator may turn a pause by the planner into one by the operator.
	takesOver := p.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED && w.Automatic && !p.Automatic
	if p.Phase == jaywire.WavePhase_WAVE_PHASE_UNSPECIFIED || p.Phase == w.Phase && !takesOver {
		return fmt.Errorf("%w: wave %s is %s", ErrInvalidState, w.ID, wavePhaseName(w.Phase))
	}
	// Only an operator may end an operator's pause. Without this check the
	// planner would resume a wave that was paused on purpose.
	operatorPause := w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED && !w.Automatic
	if operatorPause && p.Automatic {
		return fmt.Errorf("%w: wave %s was paused by an operator", ErrInvalidState, w.ID)
	}
	if p.Phase == jaywire.WavePhase_WAVE_PHASE_DONE && s.countUnfinishedSteps(w) > 0 {
		return fmt.Errorf("%w: wave %s has steps under way", ErrInvalidState, w.ID)
	}
	if p.Phase == jaywire.WavePhase_WAVE_PHASE_DONE {
		took := c.UnixMillis - w.StartedUnixMillis
		s.Measures.LastRollOut = time.Duration(took) * time.Millisecond
	}
	w.Phase = p.Phase
	w.Automatic = p.Automatic
	w.Version++
	return nil
}

// countUnfinishedSteps returns the number of a wave's steps that have not
// ended.
func (s *State) countUnfinishedSteps(w *Wave) int {
	n := 0
	for _, step := range w.Steps {
		if step.Phase < jaywire.StepPhase_STEP_PHASE_RETURNED {
			n++
		}
	}
	return n
}

// startStep starts to drain an instance for maintenance. The budget is checked
// here, in log order, so that two planners together cannot exceed it.
func (s *State) startStep(offset, base uint64, st *jaywire.StartStep, e *jaywire.AuditEntry) error {
	e.Kind = "step"
	e.Subject = st.Instance
	e.Before = "serving"
	e.After = "draining"
	w, ok := s.Wave(st.Wave)
	if !ok {
		return fmt.Errorf("%w: wave %s", ErrNotFound, st.Wave)
	}
	if w.Phase != jaywire.WavePhase_WAVE_PHASE_RUNNING {
		return fmt.Errorf("%w: wave %s is %s", ErrInvalidState, w.ID, wavePhaseName(w.Phase))
	}
	i, err := s.instance(st.Instance)
	if err != nil {
		return err
	}
	if !slices.Contains(w.Pools, i.Pool) || i.MaintainedIn == w.ID {
		return fmt.Errorf("%w: %s is not due in wave %s", ErrInvalidState, i.ID, w.ID)
	}
	if err := s.Fleet.BeginDrain(i.ID, base, s.budget(i.Pool)); err != nil {
		return err
	}
	w.Steps = append(w.Steps, Step{Instance: i.ID, Fence: offset, Boots: st.Boots})
	return nil
}

func (s *State) advanceStep(base uint64, a *jaywire.AdvanceStep, e *jaywire.AuditEntry) error {
	e.Kind = "step"
	e.Subject = a.Instance
	e.After = stepPhaseName(a.Phase)
	w, ok := s.Wave(a.Wave)
	if !ok {
		return fmt.Errorf("%w: wave %s", ErrNotFound, a.Wave)
	}
	step, ok := w.lastStep(a.Instance)
	if !ok {
		return fmt.Errorf("%w: no step of %s in wave %s", ErrNotFound, a.Instance, a.Wave)
	}
	e.Before = stepPhaseName(step.Phase)
	if err := s.advanceInstance(base, a); err != nil {
		return err
	}
	step.Phase = a.Phase
	return nil
}

func (s *State) advanceInstance(base uint64, a *jaywire.AdvanceStep) error {
	switch a.Phase {
	case jaywire.StepPhase_STEP_PHASE_REBOOTING:
		return s.Fleet.Advance(a.Instance, base, jaypool.Draining, jaypool.Rebooting)
	case jaywire.StepPhase_STEP_PHASE_SETTLING:
		return s.Fleet.Advance(a.Instance, base, jaypool.Rebooting, jaypool.Settling)
	case jaywire.StepPhase_STEP_PHASE_RETURNED:
		return s.Fleet.Return(a.Instance, base, a.Wave)
	case jaywire.StepPhase_STEP_PHASE_ABANDONED:
		return s.abandon(base, a)
	default:
		return fmt.Errorf("%w: step phase %d", ErrUnknown, a.Phase)
	}
}

// abandon ends a step that was cancelled before its reboot, or whose instance
// does not come back, so that the step does not block the wave. An instance
// that did not come back is marked as failed.
func (s *State) abandon(base uint64, a *jaywire.AdvanceStep) error {
	i, err := s.instance(a.Instance)
	if err != nil {
		return err
	}
	switch i.Phase {
	case jaypool.Draining, jaypool.Rebooting, jaypool.Settling:
	default:
		return fmt.Errorf("%w: %s is %s", jaypool.ErrPhase, i.ID, i.Phase)
	}
	neverReturned := i.Phase != jaypool.Draining
	if err := s.Fleet.Advance(a.Instance, base, i.Phase, jaypool.Serving); err != nil {
		return err
	}
	if neverReturned {
		i.MaintainedIn = a.Wave
		return s.Fleet.SetFailed(a.Instance, true)
	}
	return nil
}

// lastStep returns the newest step of an instance.
func (w *Wave) lastStep(instance string) (*Step, bool) {
	for n := len(w.Steps) - 1; n >= 0; n-- {
		if w.Steps[n].Instance == instance {
			return &w.Steps[n], true
		}
	}
	return nil, false
}

func wavePhaseName(p jaywire.WavePhase) string {
	switch p {
	case jaywire.WavePhase_WAVE_PHASE_RUNNING:
		return "running"
	case jaywire.WavePhase_WAVE_PHASE_PAUSED:
		return "paused"
	case jaywire.WavePhase_WAVE_PHASE_CANCELLED:
		return "cancelled"
	case jaywire.WavePhase_WAVE_PHASE_DONE:
		return "done"
	default:
		return "unknown"
	}
}

// String returns the name of the wave's phase, with a mark for a pause by the
// planner.
func (w *Wave) String() string {
	name := wavePhaseName(w.Phase)
	if w.Automatic && w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED {
		return name + " (automatic)"
	}
	return name
}

func stepPhaseName(p jaywire.StepPhase) string {
	switch p {
	case jaywire.StepPhase_STEP_PHASE_UNSPECIFIED:
		return "draining"
	case jaywire.StepPhase_STEP_PHASE_REBOOTING:
		return "rebooting"
	case jaywire.StepPhase_STEP_PHASE_SETTLING:
		return "settling"
	case jaywire.StepPhase_STEP_PHASE_RETURNED:
		return "returned"
	case jaywire.StepPhase_STEP_PHASE_ABANDONED:
		return "abandoned"
	default:
		return "unknown"
	}
}
