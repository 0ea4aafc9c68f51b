// Package jaywave decides which instances a maintenance wave stops next. It is free of
// side effects and deterministic: the same view gives the same steps.
package jaywave

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jaypool"
)

// Policy determines the order of the steps of a wave. It is one of Packed, Sequential and
// RackByRack.
type Policy interface {
	isPolicy()
}

// Packed starts as many steps as the budgets allow and prefers racks that are already
// under maintenance. With Slack, pools with the least remaining time flexibility come
// first (after the S3 paper, section IV-A).
type Packed struct {
	Slack bool
}

// Sequential stops one instance at a time across the whole fleet.
type Sequential struct{}

// RackByRack maintains one rack at a time and waits until all of its instances have
// returned.
type RackByRack struct{}

func (Packed) isPolicy()     {}
func (Sequential) isPolicy() {}
func (RackByRack) isPolicy() {}

// Pool holds the limits of one pool in a wave.
type Pool struct {
	Name   string
	Budget jaypool.Budget
	// MaxShare is the maximum fraction of the pool's members under maintenance; zero means
	// no limit.
	MaxShare float64
	// Paused prevents new steps in the pool.
	Paused bool
}

// View is the state that a decision is based on.
type View struct {
	Fleet *jaypool.Fleet
	// Wave is the identifier of the wave, recorded in instances that it has maintained.
	Wave  string
	Pools []Pool
	// MaxConcurrent is the maximum number of steps in progress; zero means no limit.
	MaxConcurrent int
	// Busy holds the instances with a placed task; nil means unknown.
	Busy map[string]bool
	// StepTime is the duration of a step from drain to return.
	StepTime time.Duration
}

// Next returns the IDs of the instances whose steps start now. It does not modify the
// view.
func Next(v View, p Policy) []string {
	r := newRound(v)
	switch policy := p.(type) {
	case Sequential:
		r.limit = 1 - r.underWay
		r.startAllowed(r.remaining)
	case RackByRack:
		r.rackByRack()
	case Packed:
		r.packed(policy.Slack)
	}
	return r.chosen
}

// Remaining returns the number of instances that the wave has not yet maintained,
// including those in progress.
func Remaining(v View) int {
	r := newRound(v)
	return len(r.remaining) + r.underWay
}

// round is one decision. Its counters include the steps chosen so far.
type round struct {
	view      View
	pools     map[string]*poolRound
	remaining []*jaypool.Instance
	busyRacks map[string]int
	underWay  int
	limit     int
	// checkTaskTargets makes an instance wait until its task has an instance to move to.
	checkTaskTargets bool
	chosen           []string
}

type poolRound struct {
	Pool
	budgetStatus jaypool.BudgetStatus
	spread       *jaypool.Spread
	underWay     int
	remaining    int
	// free is the number of maintained instances that can take a task.
	free int
	// empty is the number of unmaintained instances without a task.
	empty int
}

func newRound(v View) *round {
	r := &round{view: v, pools: make(map[string]*poolRound, len(v.Pools)), busyRacks: map[string]int{}}
	for _, p := range v.Pools {
		budgetStatus := v.Fleet.Pool(p.Name).BudgetStatus(p.Budget)
		r.pools[p.Name] = &poolRound{Pool: p, budgetStatus: budgetStatus, spread: jaypool.NewSpread()}
	}
	for _, id := range v.Fleet.IDs() {
		r.countInstance(id)
	}
	r.limit = len(r.remaining)
	if v.MaxConcurrent > 0 {
		r.limit = v.MaxConcurrent - r.underWay
	}
	return r
}

func (r *round) countInstance(id string) {
	i, _ := r.view.Fleet.Instance(id)
	p, ok := r.pools[i.Pool]
	if !ok {
		return
	}
	if i.Available() {
		p.spread.Add(i.Domain(p.Budget.FailureDomain), 1)
	}
	switch i.Phase {
	case jaypool.Draining, jaypool.Rebooting, jaypool.Settling:
		r.underWay++
		p.underWay++
		r.busyRacks[i.Domain(jaypool.RackDomain)]++
	case jaypool.Serving:
		r.countServing(p, i)
	}
}

func (r *round) countServing(p *poolRound, i *jaypool.Instance) {
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

// startAllowed starts the steps that the limits and budgets allow, in the given order.
func (r *round) startAllowed(order []*jaypool.Instance) {
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
	if p.MaxShare > 0 && p.underWay+1 > max(1, int(p.MaxShare*float64(p.budgetStatus.Members))) {
		return false
	}
	if r.checkTaskTargets && r.view.Busy[i.ID] && !p.hasTaskTarget() {
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
		p.budgetStatus.Available--
		p.spread.Add(i.Domain(p.Budget.FailureDomain), -1)
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

// hasTaskTarget reports whether one more instance with a task may be stopped: its task can
// move to a maintained instance, or no other step is in progress or possible that would
// provide one. Otherwise the instance waits, because its task would have to move twice.
func (p *poolRound) hasTaskTarget() bool {
	return p.free > 0 || p.empty == 0 && p.underWay == 0
}

func (p *poolRound) slackWithout(i *jaypool.Instance) int {
	worst := p.spread.WorstWithout(i.Domain(p.Budget.FailureDomain))
	return p.budgetStatus.Available - 1 - worst - p.budgetStatus.MinAvailable
}

// rackByRack starts steps in a single rack until all of its instances have returned.
func (r *round) rackByRack() {
	rack := r.currentRack()
	var members []*jaypool.Instance
	for _, i := range r.remaining {
		if i.Domain(jaypool.RackDomain) == rack {
			members = append(members, i)
		}
	}
	r.startAllowed(members)
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

// packed starts steps in racks under maintenance first: further instances of a partly
// stopped rack use up less of the reserve than instances of another rack.
func (r *round) packed(slack bool) {
	r.checkTaskTargets = true
	order := slices.Clone(r.remaining)
	slices.SortStableFunc(order, func(a, b *jaypool.Instance) int {
		if slack {
			if c := cmp.Compare(r.flexibility(a.Pool), r.flexibility(b.Pool)); c != 0 {
				return c
			}
		}
		// Instances without a task come first: once one has returned, tasks of other
		// instances move there and need not move again in this wave.
		if busyA, busyB := r.view.Busy[a.ID], r.view.Busy[b.ID]; busyA != busyB {
			return compareBool(busyA, busyB)
		}
		if c := cmp.Compare(r.domainSize(b), r.domainSize(a)); c != 0 {
			return c
		}
		busyA := r.busyRacks[a.Domain(jaypool.RackDomain)]
		busyB := r.busyRacks[b.Domain(jaypool.RackDomain)]
		if c := cmp.Compare(busyB, busyA); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	r.startAllowed(order)
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

// domainSize returns the number of available members of the pool in the instance's failure
// domain. Stopping an instance in the largest domain reduces the worst loss.
func (r *round) domainSize(i *jaypool.Instance) int {
	p := r.pools[i.Pool]
	return p.spread.Count(i.Domain(p.Budget.FailureDomain))
}

// flexibility returns the negated time that the pool's remaining steps take with as many
// steps in parallel as its budget allows. The wave has one deadline for all pools, so that
// the pool with the longest remaining time has the least flexibility.
func (r *round) flexibility(pool string) time.Duration {
	p := r.pools[pool]
	width := max(1, p.underWay+p.budgetStatus.Slack())
	rounds := (p.remaining + p.underWay + width - 1) / width
	return -time.Duration(rounds) * r.view.StepTime
}

// LowerBound returns the shortest roll-out time that the budgets allow under any policy. A
// pool of n members of which at most w may be stopped at once needs n/w consecutive steps;
// the fleet needs at least the total number of steps divided by MaxConcurrent.
func LowerBound(v View) time.Duration {
	var longest time.Duration
	total := 0
	for _, p := range v.Pools {
		s := v.Fleet.Pool(p.Name).BudgetStatus(p.Budget)
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

// minWorstLoss returns the smallest possible size of the worst domain when the pool has
// only its minimum and the reserve available, which is the case for an even distribution
// over its domains.
func minWorstLoss(s jaypool.BudgetStatus, v View, p Pool) int {
	domains := map[string]bool{}
	for _, id := range v.Fleet.IDs() {
		if i, _ := v.Fleet.Instance(id); i.Pool == p.Name {
			domains[i.Domain(p.Budget.FailureDomain)] = true
		}
	}
	if len(domains) <= 1 {
		return 0
	}
	// With w instances available beyond the minimum over d domains, the worst domain holds
	// at least (min+w)/d of them, rounded up, and w must not be less than that.
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
