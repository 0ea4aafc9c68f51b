package jayplan

import (
	"jaythread/jayplatform"
	"jaythread/jaypool"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywave"
	"jaythread/jaywire"
)

// correlatedFailures is the number of failed instances in one rack that pauses a wave,
// because more failures are likely to follow.
const correlatedFailures = 2

// waves advances each wave: steps in progress first, then new ones.
func (r *round) waves() {
	for _, w := range r.in.State.Waves {
		r.steps(w)
		if !w.Active() {
			continue
		}
		r.pauseOrResume(w)
		if w.Phase == jaywire.WavePhase_WAVE_PHASE_RUNNING {
			r.startSteps(w)
		}
	}
}

func (r *round) steps(w *jaystate.Wave) {
	for n := range w.Steps {
		step := &w.Steps[n]
		i, known := r.in.State.Fleet.Instance(step.Instance)
		if !known {
			continue
		}
		worker := r.in.Workers[step.Instance]
		switch step.Phase {
		case jaywire.StepPhase_STEP_PHASE_UNSPECIFIED:
			r.draining(w, step, i)
		case jaywire.StepPhase_STEP_PHASE_REBOOTING:
			r.rebooting(w, step, i, worker)
		case jaywire.StepPhase_STEP_PHASE_SETTLING:
			r.settling(w, i, worker)
		}
	}
}

func (r *round) draining(w *jaystate.Wave, step *jaystate.Step, i *jaypool.Instance) {
	cancelled := w.Phase == jaywire.WavePhase_WAVE_PHASE_CANCELLED
	// Check again before the reboot: a failure since the step was accepted may have used
	// up the reserve.
	atRisk := r.budgetStatus(i.Pool).Slack() < 0 && !i.Failed
	if cancelled || atRisk {
		reason := "cancelled"
		if atRisk {
			reason = "the reserve was used up meanwhile"
		}
		r.order(i.ID, step.Fence, jayplatform.Undrain{})
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_ABANDONED, reason)
		return
	}
	r.order(i.ID, step.Fence, jayplatform.Drain{})
	if r.drained(i.ID, step.Fence) {
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_REBOOTING, "drained")
		return
	}
	// A request or task that does not end, or an instance list that does not show its end,
	// must not keep the instance out of service forever.
	if r.due("drain "+i.ID, i.Version, r.planner.settings.RebootTimeout) {
		r.order(i.ID, step.Fence, jayplatform.Undrain{})
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_ABANDONED, "did not become idle in time")
	}
}

func (r *round) rebooting(w *jaystate.Wave, step *jaystate.Step, i *jaypool.Instance, worker jayplatform.Instance) {
	back := worker.State == jayplatform.Live && int64(worker.Boots) > step.Boots
	if back {
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_SETTLING, "back on the instance list")
		return
	}
	if r.due("reboot "+i.ID, i.Version, r.planner.settings.RebootTimeout) {
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_ABANDONED, "did not come back in time")
		return
	}
	r.order(i.ID, step.Fence, jayplatform.Reboot{})
}

func (r *round) settling(w *jaystate.Wave, i *jaypool.Instance, worker jayplatform.Instance) {
	if worker.State == jayplatform.Live && r.due("settle "+i.ID, i.Version, r.planner.settings.SettleTime) {
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_RETURNED, "settled")
		return
	}
	if r.due("settled "+i.ID, i.Version, r.planner.settings.RebootTimeout) {
		r.advance(w, i, jaywire.StepPhase_STEP_PHASE_ABANDONED, "did not settle in time")
	}
}

func (r *round) advance(w *jaystate.Wave, i *jaypool.Instance, phase jaywire.StepPhase, reason string) {
	r.propose(reason, i.Version, &jaywire.Command{
		Body: &jaywire.Command_AdvanceStep{AdvanceStep: &jaywire.AdvanceStep{Wave: w.ID, Instance: i.ID, Phase: phase}},
	})
}

// pauseOrResume pauses a wave on correlated failures or a broken budget, and resumes it
// once these have been over for twice the settle time to prevent flapping.
func (r *round) pauseOrResume(w *jaystate.Wave) {
	why := r.pauseReason(w)
	healthySince := r.planner.healthySince
	switch {
	case w.Phase == jaywire.WavePhase_WAVE_PHASE_RUNNING && why != "":
		r.setPhase(w, jaywire.WavePhase_WAVE_PHASE_PAUSED, why)
	case w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED && w.Automatic && why != "":
		delete(healthySince, w.ID)
	case w.Phase == jaywire.WavePhase_WAVE_PHASE_PAUSED && w.Automatic:
		if _, seen := healthySince[w.ID]; !seen {
			healthySince[w.ID] = r.in.Now
		}
		if r.in.Now.Sub(healthySince[w.ID]) >= 2*r.planner.settings.SettleTime {
			delete(healthySince, w.ID)
			r.setPhase(w, jaywire.WavePhase_WAVE_PHASE_RUNNING, "failures are over")
		}
	}
}

// pauseReason returns the reason why a wave should pause, or an empty string.
func (r *round) pauseReason(w *jaystate.Wave) string {
	failed := map[string]int{}
	for _, id := range r.in.State.Fleet.IDs() {
		i, _ := r.in.State.Fleet.Instance(id)
		if !i.Failed || i.Phase != jaypool.Serving {
			continue
		}
		rack := i.Domain(jaypool.RackDomain)
		failed[rack]++
		if failed[rack] >= correlatedFailures {
			return "several instances failed in rack " + rack
		}
	}
	for _, pool := range w.Pools {
		if !r.budgetStatus(pool).Holds() {
			return "the budget of pool " + pool + " is broken"
		}
	}
	return ""
}

func (r *round) setPhase(w *jaystate.Wave, phase jaywire.WavePhase, reason string) {
	r.propose(reason, w.Version, &jaywire.Command{
		Body: &jaywire.Command_SetWavePhase{SetWavePhase: &jaywire.SetWavePhase{Wave: w.ID, Phase: phase, Automatic: true}},
	})
}

func (r *round) startSteps(w *jaystate.Wave) {
	view, rules := r.waveView(w)
	for _, id := range jaywave.Next(view, jaywave.Packed{Slack: true}) {
		i, _ := r.in.State.Fleet.Instance(id)
		boots := int64(r.in.Workers[id].Boots)
		r.propose(rules[i.Pool], i.Version, &jaywire.Command{
			Body: &jaywire.Command_StartStep{StartStep: &jaywire.StartStep{Wave: w.ID, Instance: id, Boots: boots}},
		})
	}
	if jaywave.Remaining(view) == 0 {
		r.setPhase(w, jaywire.WavePhase_WAVE_PHASE_DONE, "all instances are maintained")
	}
}

// waveView returns the wave's pools with the limits set by the rules, and by pool the rule
// that applied.
func (r *round) waveView(w *jaystate.Wave) (jaywave.View, map[string]string) {
	view := jaywave.View{Fleet: r.in.State.Fleet, Wave: w.ID, Busy: r.busy}
	rules := map[string]string{}
	for _, name := range w.Pools {
		pool := jaywave.Pool{Name: name, Budget: r.config.Budget(name)}
		action, rule := r.decide(jayrule.AboutWave, name, "")
		rules[name] = "no rule"
		if rule != "" {
			rules[name] = "rule " + rule
		}
		switch a := action.(type) {
		case jayrule.PauseWave:
			pool.Paused = true
		case jayrule.LimitWave:
			pool.MaxShare = a.Share
		}
		view.Pools = append(view.Pools, pool)
	}
	return view, rules
}
