// Package jayplan computes the planner's decisions: the commands that it proposes and the
// orders that it gives to the platform. It has no I/O and no clock. The only state kept
// between rounds is in Planner, which records when each item was first observed.
package jayplan

import (
	"fmt"
	"time"

	"jaythread/jayconfig"
	"jaythread/jayplatform"
	"jaythread/jaypool"
	"jaythread/jayrule"
	"jaythread/jaystate"
	"jaythread/jaywire"
)

// Settings configures the planner's timeouts.
type Settings struct {
	// RebootTimeout is how long a step of a wave waits for its instance to become idle, to
	// reboot or to settle.
	RebootTimeout time.Duration
	// SettleTime is how long an instance must be back before it counts as available, and
	// how long it must be healthy before a failure ends.
	SettleTime time.Duration
	// TaskLease is the time after which a task on an unavailable worker has certainly
	// ended.
	TaskLease time.Duration
}

// Input is the observed state that a round is based on.
type Input struct {
	State *jaystate.State
	// Workers is the instance list by instance ID.
	Workers map[string]jayplatform.Instance
	Now     time.Time
	// MinAppliedOffset is the lowest offset that all entries that may still route have
	// applied. An instance whose drain has a lower offset gets no new work.
	MinAppliedOffset uint64
}

// Order is an order to the platform for one instance.
type Order struct {
	Instance string
	Fence    uint64
	Order    jayplatform.Order
}

// Output holds the decisions of a round, in order.
type Output struct {
	Commands []*jaywire.Command
	Orders   []Order
}

// Planner computes rounds of decisions.
type Planner struct {
	settings     Settings
	observations map[string]observation
	healthySince map[string]time.Time
}

// observation records when the planner first observed an item at its current version.
type observation struct {
	version uint64
	at      time.Time
	// orderedAt is when the order was last given.
	orderedAt time.Time
	inUse     bool
}

// orderRepeatDelay is the minimum time before an order is repeated. The effect of an order
// appears on the instance list only after the list's lag; repeating it in each round would
// send the platform thousands of duplicates in a large wave.
const orderRepeatDelay = 2 * time.Second

// NewPlanner returns a planner without observations.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, observations: map[string]observation{}, healthySince: map[string]time.Time{}}
}

// Round returns the decisions for the given input. It returns none before a configuration
// is published.
func (p *Planner) Round(in Input) Output {
	config := in.State.Configuration()
	if config == nil {
		return Output{}
	}
	r := &round{planner: p, in: in, config: config, busy: map[string]bool{}}
	for _, t := range in.State.Tasks {
		r.busy[t.Instance] = true
	}
	r.attach()
	r.health()
	r.moves()
	r.lend()
	r.waves()
	r.tasks()
	p.prune()
	return r.out
}

// firstSeen returns when the planner first observed the named item at the given version.
func (p *Planner) firstSeen(name string, version uint64, now time.Time) time.Time {
	s, ok := p.observations[name]
	if !ok || s.version != version {
		s = observation{version: version, at: now}
	}
	s.inUse = true
	p.observations[name] = s
	return s.at
}

// prune removes the observations that the last round did not use, which limits their
// number to that of the open operations.
func (p *Planner) prune() {
	for name, s := range p.observations {
		if !s.inUse {
			delete(p.observations, name)
			continue
		}
		s.inUse = false
		p.observations[name] = s
	}
}

type round struct {
	planner *Planner
	in      Input
	config  *jayconfig.Configuration
	// busy holds the instances with a placed task.
	busy map[string]bool
	out  Output
}

func (r *round) propose(reason string, base uint64, c *jaywire.Command) {
	c.Reason = reason
	c.Base = base
	r.out.Commands = append(r.out.Commands, c)
}

// order gives the platform an order, and repeats it every orderRepeatDelay while it is
// still needed.
func (r *round) order(instance string, fence uint64, order jayplatform.Order) {
	name := fmt.Sprintf("order %s %T %v", instance, order, order)
	r.planner.firstSeen(name, fence, r.in.Now)
	s := r.planner.observations[name]
	if !s.orderedAt.IsZero() && r.in.Now.Sub(s.orderedAt) < orderRepeatDelay {
		return
	}
	s.orderedAt = r.in.Now
	r.planner.observations[name] = s
	r.out.Orders = append(r.out.Orders, Order{Instance: instance, Fence: fence, Order: order})
}

// due reports whether the named item has been at the given version for at least d.
func (r *round) due(name string, version uint64, d time.Duration) bool {
	return r.in.Now.Sub(r.planner.firstSeen(name, version, r.in.Now)) >= d
}

// decide evaluates the configured rules for a pool and returns the action and the name of
// the matching rule.
func (r *round) decide(kind jayrule.Kind, pool, team string) (jayrule.Action, string) {
	return r.config.Decide(&jayrule.Subject{
		Kind:      kind,
		Pool:      pool,
		Team:      team,
		PoolState: r.poolState(pool),
		Time:      r.in.Now.In(r.config.Location()),
	})
}

func (r *round) budgetStatus(pool string) jaypool.BudgetStatus {
	return r.in.State.Fleet.Pool(pool).BudgetStatus(r.config.Budget(pool))
}

func (r *round) poolState(pool string) string {
	return PoolState(r.budgetStatus(pool))
}

// PoolState returns the name that rules use for a budget status: holds, tight or broken.
func PoolState(s jaypool.BudgetStatus) string {
	switch {
	case !s.Holds():
		return "broken"
	case s.Slack() <= 0:
		return "tight"
	default:
		return "holds"
	}
}
