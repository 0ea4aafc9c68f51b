// Package jaywave decides which instances a maintenance wave stops next. It
// is pure: the same view gives the same steps.
package jaywave

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jaypool"
)

// Policy orders the steps of a wave. It is one of Packed, Sequential
// or RackByRack.
type Policy interface {
	isPolicy()
}

// Packed starts as many steps as the budgets allow, in the racks that are
// already under maintenance first, and with Slack the pools with the least
// remaining time flexibility first (after the S3 paper, section IV-A).
type Packed struct {
	Slack bool
}

// Sequential stops one instance at a time in the whole fleet.
type Sequential struct{}

// RackByRack empties one rack after another and waits for each to return.
type RackByRack struct{}

func (Packed) isPolicy()     {}
func (Sequential) isPolicy() {}
func (RackByRack) isPolicy() {}

// Pool is a pool's part in a wave.
type Pool struct {
	Name   string
	Budget jaypool.Budget
	// MaxShare bounds the share of members under maintenance; zero is no bound.
	MaxShare float64
	// Paused starts no step.
	Paused bool
}

// View is what a decision is based on.
type View struct {
	Fleet *jaypool.Fleet
	// Wave is the identity noted in instances that were maintained.
	Wave  string
	Pools []Pool
	// MaxConcurrent bounds the steps under way; zero is no bound.
	MaxConcurrent int
	// Busy holds the instances with a placed task; nil if that is not known.
	Busy map[string]bool
	// StepTime is how long a step takes from drain to return.
	StepTime time.Duration
}

// Next returns the identities of the instances whose steps start now, and
// changes nothing in the view.
func Next(v View, p Policy) []string {
	r := newRound(v)
	switch policy := p.(type) {
	case Sequential:
		r.limit = 1 - r.underWay
		r.take(r.remaining)
	case RackByRack:
		r.oneRack()
	case Packed:
		r.packed(policy.Slack)
	}
	return r.chosen
}

// Remaining returns how many instances the wave has yet to maintain,
// those under way included.
func Remaining(v View) int {
	r := newRound(v)
	return len(r.remaining) + r.underWay
}

// round is one decision: counters that follow the steps chosen so far.
type round struct {
	view      View
	pools     map[string]*poolRound
	remaining []*jaypool.Instance
	busyRacks map[string]int
	underWay  int
	limit     int
	// mindTasks lets an instance wait until its task has where to go.
	mindTasks bool
	chosen    []string
}

type poolRound struct {
	Pool
	standing  jaypool.Standing
	spread    *jaypool.Spread
	underWay  int
	remaining int
	// free counts the maintained instances that can take a task.
	free int
	// empty counts the instances without a task that are due.
	empty int
}

func newRound(v View) *round {
	r := &round{view: v, pools: make(map[string]*poolRound, len(v.Pools)), busyRacks: map[string]int{}}
	for _, p := range v.Pools {
		standing := v.Fleet.Pool(p.Name).Standing(p.Budget)
		r.pools[p.Name] = &poolRound{Pool: p, standing: standing, spread: jaypool.NewSpread()}
	}
	for _, id := range v.Fleet.IDs() {
		r.see(id)
	}
	r.limit = len(r.remaining)
	if v.MaxConcurrent > 0 {
		r.limit = v.MaxConcurrent - r.underWay
	}
	return r
}

func (r *round) see(id string) {
	i, _ := r.view.Fleet.Instance(id)
	p, ok := r.pools[i.Pool]
	if !ok {
		return
	}
	if i.Available() {
		p.spread.Add(i.Domain(p.Budget.Survive), 1)
	}
	switch i.Phase {
	case jaypool.Draining, jaypool.Rebooting, jaypool.Settling:
		r.underWay++
		p.underWay++
		r.busyRacks[i.Domain(jaypool.RackDomain)]++
	case jaypool.Serving:
		r.seeServing(p, i)
	}
}

func (r *round) seeServing(p *poolRound, i *jaypool.Instance) {
	busy := r.view.Busy[i.ID]
	switch {
	case i.MaintainedIn != r.view.Wave && !i.Failed:
		r.remaining = append(r.remaining, i)
		p.remaining++
		if !busy {
			p.empty++
		}
	case i.Available() && !busy:
		p.free++
	}
}

// take starts the steps that the budgets allow, in order.
func (r *round) take(order []*jaypool.Instance) {
	for _, i := range order {
		if r.limit <= 0 {
			return
		}
		if r.allowed(i) {
			r.start(i)
		}
	}
}

func (r *round) allowed(i *jaypool.Instance) bool {
	p := r.pools[i.Pool]
	if p.Paused {
		return false
	}
	if p.MaxShare > 0 && p.underWay+1 > max(1, int(p.MaxShare*float64(p.standing.Members))) {
		return false
	}
	if r.mindTasks && r.view.Busy[i.ID] && !p.hasPlaceForTask() {
		return false
	}
	if !i.Available() {
		return true
	}
	return p.slackWithout(i) >= 0
}

func (r *round) start(i *jaypool.Instance) {
	p := r.pools[i.Pool]
	if i.Available() {
		p.standing.Available--
		p.spread.Add(i.Domain(p.Budget.Survive), -1)
	}
	if r.view.Busy[i.ID] {
		p.free--
	} else {
		p.empty--
	}
	p.underWay++
	r.busyRacks[i.Domain(jaypool.RackDomain)]++
	r.limit--
	r.chosen = append(r.chosen, i.ID)
}

// hasPlaceForTask reports whether the task of one more instance would find a
// maintained instance. If not, the instance waits while others are on their
// way, or the task would have to move twice.
func (p *poolRound) hasPlaceForTask() bool {
	return p.free > 0 || p.empty == 0 && p.underWay == 0
}

func (p *poolRound) slackWithout(i *jaypool.Instance) int {
	worst := p.spread.WorstWithout(i.Domain(p.Budget.Survive))
	return p.standing.Available - 1 - worst - p.standing.MinAvailable
}

// oneRack works on a single rack until all of it has returned.
func (r *round) oneRack() {
	rack := r.currentRack()
	var members []*jaypool.Instance
	for _, i := range r.remaining {
		if i.Domain(jaypool.RackDomain) == rack {
			members = append(members, i)
		}
	}
	r.take(members)
}

func (r *round) currentRack() string {
	racks := make([]string, 0, len(r.busyRacks))
	for rack := range r.busyRacks {
		racks = append(racks, rack)
	}
	if len(racks) > 0 {
		return slices.Min(racks)
	}
	for _, i := range r.remaining {
		rack := i.Domain(jaypool.RackDomain)
		if len(racks) == 0 || rack < racks[0] {
			racks = []string{rack}
		}
	}
	if len(racks) == 0 {
		return ""
	}
	return racks[0]
}

// packed orders the candidates so that open racks are finished first: a rack
// that is partly stopped costs less of the reserve than a second one.
func (r *round) packed(slack bool) {
	r.mindTasks = true
	order := slices.Clone(r.remaining)
	slices.SortStableFunc(order, func(a, b *jaypool.Instance) int {
		if slack {
			if c := cmp.Compare(r.flexibility(a.Pool), r.flexibility(b.Pool)); c != 0 {
				return c
			}
		}
		// Empty instances first: once one has returned, the tasks of the
		// others move there and need not move again in this wave.
		if busyA, busyB := r.view.Busy[a.ID], r.view.Busy[b.ID]; busyA != busyB {
			return compareBool(busyA, busyB)
		}
		if c := cmp.Compare(r.fullest(b), r.fullest(a)); c != 0 {
			return c
		}
		busyA := r.busyRacks[a.Domain(jaypool.RackDomain)]
		busyB := r.busyRacks[b.Domain(jaypool.RackDomain)]
		if c := cmp.Compare(busyB, busyA); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	r.take(order)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// fullest is how many available members of the pool the instance's domain
// holds: stopping in the fullest domain lowers the worst loss.
func (r *round) fullest(i *jaypool.Instance) int {
	p := r.pools[i.Pool]
	return p.spread.Count(i.Domain(p.Budget.Survive))
}

// flexibility is minus the time that the pool's remaining steps need at the
// width its budget allows. The wave has one deadline for all pools, so the
// pool with the longest remaining time has the least flexibility.
func (r *round) flexibility(pool string) time.Duration {
	p := r.pools[pool]
	width := max(1, p.underWay+p.standing.Slack())
	rounds := (p.remaining + p.underWay + width - 1) / width
	return -time.Duration(rounds) * r.view.StepTime
}

// LowerBound is the shortest roll-out that the budgets allow to any policy: a
// pool of n members of which at most w may be stopped at once needs n/w steps
// one after the other, and the fleet no less than all steps over the bound on
// concurrent ones.
func LowerBound(v View) time.Duration {
	var longest time.Duration
	total := 0
	for _, p := range v.Pools {
		s := v.Fleet.Pool(p.Name).Standing(p.Budget)
		if s.Members == 0 {
			continue
		}
		width := max(1, s.Members-p.Budget.MinAvailable-minWorstLoss(s, v, p))
		total += s.Members
		longest = max(longest, steps(s.Members, width, v.StepTime))
	}
	if v.MaxConcurrent > 0 {
		longest = max(longest, steps(total, v.MaxConcurrent, v.StepTime))
	}
	return longest
}

// minWorstLoss is the least that the worst domain can hold when the pool runs
// with only its minimum and the reserve: an even spread over its domains.
func minWorstLoss(s jaypool.Standing, v View, p Pool) int {
	domains := map[string]bool{}
	for _, id := range v.Fleet.IDs() {
		if i, _ := v.Fleet.Instance(id); i.Pool == p.Name {
			domains[i.Domain(p.Budget.Survive)] = true
		}
	}
	if len(domains) <= 1 {
		return 0
	}
	// With w available on top of the minimum over d domains, the worst holds
	// at least (min+w)/d rounded up, and w must be no less than that.
	for loss := 1; loss <= s.Members; loss++ {
		available := p.Budget.MinAvailable + loss
		if (available+len(domains)-1)/len(domains) <= loss {
			return loss
		}
	}
	return s.Members
}

func steps(n, width int, each time.Duration) time.Duration {
	return time.Duration((n+width-1)/width) * each
}
