package jayapi

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayconfig"
	"jaythread/jaypool"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywave"
)

// defaultStepTime is the duration of a step that a dry run assumes if the request
// gives none.
const defaultStepTime = 10 * time.Minute

func (s *Server) handlePlan(ctx *fasthttp.RequestCtx) error {
	step, err := queryNumber(ctx, "stepMillis")
	if err != nil {
		return err
	}
	stepTime := time.Duration(step) * time.Millisecond
	if stepTime == 0 {
		stepTime = defaultStepTime
	}
	pools := s.allPools()
	if named := string(ctx.QueryArgs().Peek("pools")); named != "" {
		pools = strings.Split(named, ",")
	}
	var plan *Plan
	s.backend.Read(func(state *jaystate.State) { plan = dryRun(state, pools, stepTime, time.Now()) })
	return writeJSON(ctx, plan)
}

// dryRun simulates a wave on a copy of the fleet.
func dryRun(state *jaystate.State, pools []string, step time.Duration, now time.Time) *Plan {
	config := state.Configuration()
	if config == nil {
		return &Plan{}
	}
	fleet := jaypool.NewFleet()
	for _, id := range state.Fleet.IDs() {
		i, _ := state.Fleet.Instance(id)
		fleet.Restore(afterMaintenance(*i))
	}
	view := jaywave.View{Fleet: fleet, Wave: "dry run", StepTime: step}
	rules := map[string]string{}
	for _, name := range pools {
		view.Pools = append(view.Pools, planPool(config, name, now, rules))
	}
	result := jaywave.Simulate(view, jaywave.Packed{Slack: true})
	plan := &Plan{
		RollOutMillis:    result.RollOut.Milliseconds(),
		LowerBoundMillis: jaywave.LowerBound(view).Milliseconds(),
		BufferCost:       result.BufferCost,
		Stuck:            result.Stuck,
	}
	for _, started := range result.Steps {
		i, _ := fleet.Instance(started.Instance)
		plan.Steps = append(plan.Steps, PlanStep{
			AtMillis: started.At.Milliseconds(), Instance: started.Instance, Pool: i.Pool, Rule: rules[i.Pool],
		})
	}
	return plan
}

// afterMaintenance returns an instance in the phase that it will have once its
// current maintenance step has ended.
func afterMaintenance(i jaypool.Instance) jaypool.Instance {
	switch i.Phase {
	case jaypool.Draining, jaypool.Rebooting, jaypool.Settling:
		i.Phase = jaypool.Serving
	}
	return i
}

func planPool(config *jayconfig.Configuration, name string, now time.Time, rules map[string]string) jaywave.Pool {
	pool := jaywave.Pool{Name: name, Budget: config.Budget(name)}
	action, rule := config.Decide(&jayrule.Subject{
		Kind: jayrule.AboutWave,
		Pool: name,
		Time: now.In(config.Location()),
	})
	rules[name] = rule
	switch a := action.(type) {
	case jayrule.PauseWave:
		pool.Paused = true
	case jayrule.LimitWave:
		pool.MaxShare = a.Share
	}
	return pool
}
