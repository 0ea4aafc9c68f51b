package jayapi

import (
	"github.com/valyala/fasthttp"

	"jaythread/jayplan"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) error {
	status := Status{Entry: s.backend.Self(), Ready: "yes"}
	if err := s.backend.Ready(); err != nil {
		status.Ready = err.Error()
	}
	revisions := s.backend.Revisions()
	s.backend.Read(func(state *jaystate.State) { fillStatus(&status, state, revisions) })
	return writeJSON(ctx, status)
}

func fillStatus(status *Status, state *jaystate.State, revisions map[string]uint64) {
	status.Offset = state.Offset
	status.Revision = state.Revision.Number
	status.Author = state.Revision.Author
	status.Message = state.Revision.Message
	status.Planner = state.Planner.Entry
	for _, m := range state.Members {
		status.Entries = append(status.Entries, EntryStatus{Entry: m.Entry, PeerAddr: m.PeerAddr, Revision: revisions[m.Entry]})
	}
	for _, w := range state.Waves {
		status.Waves = append(status.Waves, waveStatus(state, w))
	}
	config := state.Configuration()
	if config == nil {
		return
	}
	for n := range config.Pools {
		status.Pools = append(status.Pools, poolStatus(state, config.Pools[n].Name))
	}
	placed := map[string]int{}
	for _, t := range state.Tasks {
		if t.Instance != "" {
			placed[t.Job]++
		}
	}
	for _, j := range config.Jobs {
		status.Jobs = append(status.Jobs, JobStatus{
			Job: j.Name, Pool: j.Pool, Replicas: j.Replicas, Placed: placed[j.Name], Parked: state.Parked[j.Name],
		})
	}
}

func poolStatus(state *jaystate.State, name string) PoolStatus {
	budgetStatus := state.Fleet.Pool(name).BudgetStatus(state.Configuration().Budget(name))
	p := PoolStatus{
		Pool:         name,
		Members:      budgetStatus.Members,
		Available:    budgetStatus.Available,
		MinAvailable: budgetStatus.MinAvailable,
		WorstLoss:    budgetStatus.WorstLoss,
		Slack:        budgetStatus.Slack(),
		State:        jayplan.PoolState(budgetStatus),
	}
	for _, id := range state.Fleet.IDs() {
		i, _ := state.Fleet.Instance(id)
		if i.Pool == name {
			p.Instances = append(p.Instances, InstanceStatus{
				Instance: id, Phase: i.Phase.String(), Failed: i.Failed, Quarantined: i.Quarantined,
			})
		}
	}
	return p
}

func waveStatus(state *jaystate.State, w *jaystate.Wave) WaveStatus {
	status := WaveStatus{Wave: w.ID, Pools: w.Pools, Phase: w.String()}
	for _, step := range w.Steps {
		switch {
		case step.Phase == jaywire.StepPhase_STEP_PHASE_RETURNED:
			status.Returned++
		case step.Phase < jaywire.StepPhase_STEP_PHASE_RETURNED:
			status.UnderWay++
		}
	}
	if !w.Active() {
		return status
	}
	for _, id := range state.Fleet.IDs() {
		i, _ := state.Fleet.Instance(id)
		for _, pool := range w.Pools {
			if i.Pool == pool && i.MaintainedIn != w.ID {
				status.Due++
			}
		}
	}
	return status
}
