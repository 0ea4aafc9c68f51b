package jayapi

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayconfig"
	"jaythread/jayplan"
	"jaythread/jayrule"
	"jaythread/jaystate"
)

func (s *Server) handleExplain(ctx *fasthttp.RequestCtx) error {
	var query Explain
	if err := readBody(ctx, &query); err != nil {
		return err
	}
	var config *jayconfig.Configuration
	s.backend.Read(func(state *jaystate.State) {
		config = state.Configuration()
		query.PoolStates = poolStates(state)
	})
	if config == nil {
		return badRequest{text: "no configuration is in force"}
	}
	response, err := ExplainRequest(config, query, time.Now())
	if err != nil {
		return err
	}
	return writeJSON(ctx, response)
}

func poolStates(state *jaystate.State) map[string]string {
	states := map[string]string{}
	if config := state.Configuration(); config != nil {
		for _, p := range config.Pools {
			states[p.Name] = jayplan.PoolState(state.Fleet.Pool(p.Name).BudgetStatus(config.Budget(p.Name)))
		}
	}
	return states
}

// ExplainRequest returns the rule of a configuration that applies to a request, and
// why earlier rules do not match. The time is now unless the query gives one.
func ExplainRequest(config *jayconfig.Configuration, q Explain, now time.Time) (*Explained, error) {
	at := now.In(config.Location())
	if q.Time != "" {
		clock, err := time.Parse("15:04", q.Time)
		if err != nil {
			return nil, badRequest{text: "time is not HH:MM: " + q.Time}
		}
		at = time.Date(at.Year(), at.Month(), at.Day(), clock.Hour(), clock.Minute(), 0, 0, at.Location())
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(q.Path, "/"), "/")
	subject := &jayrule.Subject{
		Kind:        jayrule.AboutRequest,
		Service:     service,
		Method:      q.Method,
		Path:        q.Path,
		Header:      func(name string) string { return q.Header[name] },
		Caller:      q.Caller,
		Priority:    q.Header["Jaythread-Priority"],
		PoolStateOf: func(pool string) string { return q.PoolStates[pool] },
		Time:        at,
	}
	response := &Explained{Traces: config.Rules.Explain(subject), Action: "refused: no rule matches"}
	action, rule := config.Decide(subject)
	if action != nil {
		response.Rule = rule
		response.Action = fmt.Sprintf("%T %+v", action, action)
	}
	return response, nil
}
