package jayentry

import (
	"jaythread/jaymetric"
	"jaythread/jaystate"
)

func (e *Entry) registerMetrics() {
	m := e.metrics
	m.Gauge("jaythread_configuration_revision", "Revision in force here.", func() float64 {
		if v := e.router.View(); v != nil {
			return float64(v.Revision)
		}
		return 0
	})
	m.Gauge("jaythread_log_age_seconds", "Time since the state stream was last read.", func() float64 {
		return e.stateFollower.Age().Seconds()
	})
	m.Gauge("jaythread_members", "Entry instances that have joined.", func() float64 {
		return float64(len(e.members.Others()) + 1)
	})
	m.Gauge("jaythread_caller_connections", "Callers connected here.", func() float64 { return float64(e.edge.Conns()) })
	m.Gauge("jaythread_requests_in_flight", "Requests being answered here.", func() float64 { return float64(e.edge.InFlight()) })
	m.Gauge("jaythread_claim_keys", "Idempotency keys remembered here.", func() float64 { return float64(e.claimer.Keys()) })
	m.Counter("jaythread_claims_by_log_total", "Claims decided by the log.", func() float64 { return float64(e.claimer.Counters().ByLog) })
	m.Counter("jaythread_claims_by_peers_total", "Claims decided by all peers while the log was down.", func() float64 { return float64(e.claimer.Counters().ByPeers) })
	m.Counter("jaythread_claims_replayed_total", "Resends that got the stored answer.", func() float64 { return float64(e.claimer.Counters().Replayed) })
	m.Counter("jaythread_claims_refused_total", "Keyed requests refused because their claim could not be made safe.", func() float64 { return float64(e.claimer.Counters().Refused) })
	m.Counter("jaythread_state_appends_total", "Appends to the state stream by this entry.", func() float64 { return float64(e.store.committer.Appends()) })
	m.Counter("jaythread_claim_appends_total", "Appends to the claims stream by this entry.", func() float64 { return float64(e.claimLog.committer.Appends()) })
	m.Counter("jaythread_instance_moves_total", "Instances that were told to move to another pool.", func() float64 { return float64(e.measures().InstanceMoves) })
	m.Counter("jaythread_task_moves_total", "Tasks that moved to another instance.", func() float64 { return float64(e.measures().TaskMoves) })
	m.Gauge("jaythread_last_roll_out_seconds", "Time from start to end of the last wave that was done.", func() float64 { return e.measures().LastRollOut.Seconds() })
	m.Gauge("jaythread_budget_broken_pools", "Pools with fewer available instances than their budget asks for.", e.brokenPools)
	m.PoolGauges(e.poolSamples)
}

func (e *Entry) measures() jaystate.Measures {
	var measures jaystate.Measures
	e.store.Read(func(s *jaystate.State) { measures = s.Measures })
	return measures
}

func (e *Entry) brokenPools() float64 {
	broken := 0
	for _, p := range e.poolSamples() {
		if p.Available < p.MinAvailable {
			broken++
		}
	}
	return float64(broken)
}

func (e *Entry) poolSamples() []jaymetric.PoolSample {
	v := e.router.View()
	if v == nil {
		return nil
	}
	var samples []jaymetric.PoolSample
	e.store.Read(func(s *jaystate.State) {
		config := s.Configuration()
		if config == nil {
			return
		}
		for _, p := range config.Pools {
			budgetStatus := s.Fleet.Pool(p.Name).BudgetStatus(config.Budget(p.Name))
			sample := jaymetric.PoolSample{
				Pool:         p.Name,
				Members:      budgetStatus.Members,
				Available:    budgetStatus.Available,
				MinAvailable: budgetStatus.MinAvailable,
				Slack:        budgetStatus.Slack(),
			}
			if pool, ok := v.Pools[p.Name]; ok {
				sample.Waiting = pool.Waiting()
			}
			samples = append(samples, sample)
		}
	})
	return samples
}
