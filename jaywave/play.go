package jaywave

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"jaythread/jaypool"
)

// Failure is an instance that fails in a played wave and comes back.
type Failure struct {
	Instance string
	At       time.Duration
	Until    time.Duration
}

// Started is a step of a played wave.
type Started struct {
	Instance string
	At       time.Duration
}

// Run is how a played wave went.
type Run struct {
	Steps    []Started
	RollOut  time.Duration
	Breaches int
	// BufferCost is the mean of spare over needed instances of the fleet.
	BufferCost float64
	// Stuck names instances that were never maintained.
	Stuck []string
	// Rounds is how many decisions were taken.
	Rounds int
	// TaskMoves counts the moves of tasks, MostMoves those of one task.
	TaskMoves int
	MostMoves int
}

// Play plays a wave on the view's fleet, which it changes, as if each step
// took the view's step time, with the failures given. It is a calculation for
// dry runs and comparisons; nothing runs.
func Play(v View, p Policy, failures ...Failure) Run {
	g := &game{view: v, policy: p, ends: map[string]time.Duration{}, moved: map[string]int{}}
	g.view.Busy = maps.Clone(v.Busy)
	for id := range g.view.Busy {
		g.tasks = append(g.tasks, id)
	}
	slices.Sort(g.tasks)
	for _, f := range failures {
		g.events = append(g.events, event{at: f.At, instance: f.Instance, failed: true}, event{at: f.Until, instance: f.Instance})
	}
	slices.SortStableFunc(g.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for g.step() {
	}
	g.finish()
	return g.run
}

type event struct {
	at       time.Duration
	instance string
	failed   bool
}

type game struct {
	view   View
	policy Policy
	now    time.Duration
	ends   map[string]time.Duration
	events []event
	run    Run
	spare  time.Duration
	needed time.Duration
	// tasks holds the instance of each task; moved counts by first instance.
	tasks []string
	moved map[string]int
}

// step starts what may start and goes on to the next event; it returns false
// when nothing is left to happen.
func (g *game) step() bool {
	g.run.Rounds++
	for _, id := range Next(g.view, g.policy) {
		i, _ := g.view.Fleet.Instance(id)
		if err := g.view.Fleet.BeginDrain(id, i.Version, g.budget(i.Pool)); err != nil {
			continue
		}
		g.moveTask(id)
		g.ends[id] = g.now + g.view.StepTime
		g.run.Steps = append(g.run.Steps, Started{Instance: id, At: g.now})
	}
	next, ok := g.next()
	if !ok {
		return false
	}
	g.account(next - g.now)
	g.now = next
	g.endSteps()
	g.failAndRecover()
	return true
}

// moveTask moves the task of a draining instance to an instance of its pool
// without one, one that was maintained if there is any.
func (g *game) moveTask(from string) {
	if !g.view.Busy[from] {
		return
	}
	target := g.taskTarget(from)
	if target == "" {
		return
	}
	delete(g.view.Busy, from)
	g.view.Busy[target] = true
	for n, at := range g.tasks {
		if at != from {
			continue
		}
		g.tasks[n] = target
		task := fmt.Sprint("task ", n)
		g.moved[task]++
		g.run.TaskMoves++
		g.run.MostMoves = max(g.run.MostMoves, g.moved[task])
	}
}

func (g *game) taskTarget(from string) string {
	pool, _ := g.view.Fleet.Instance(from)
	target := ""
	for _, id := range g.view.Fleet.IDs() {
		i, _ := g.view.Fleet.Instance(id)
		if i.Pool != pool.Pool || !i.Available() || g.view.Busy[id] {
			continue
		}
		if i.MaintainedIn == g.view.Wave {
			return id
		}
		if target == "" {
			target = id
		}
	}
	return target
}

func (g *game) budget(pool string) jaypool.Budget {
	for _, p := range g.view.Pools {
		if p.Name == pool {
			return p.Budget
		}
	}
	return jaypool.Budget{}
}

func (g *game) next() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, at := range g.ends {
		if !found || at < next {
			next, found = at, true
		}
	}
	if len(g.events) > 0 && (!found || g.events[0].at < next) {
		next, found = g.events[0].at, true
	}
	return next, found
}

func (g *game) endSteps() {
	for id, at := range g.ends {
		if at > g.now {
			continue
		}
		delete(g.ends, id)
		i, _ := g.view.Fleet.Instance(id)
		i.MaintainedIn = g.view.Wave
		_ = g.view.Fleet.Advance(id, i.Version, jaypool.Draining, jaypool.Serving)
		g.run.RollOut = g.now
	}
}

func (g *game) failAndRecover() {
	for len(g.events) > 0 && g.events[0].at <= g.now {
		e := g.events[0]
		g.events = g.events[1:]
		_ = g.view.Fleet.SetFailed(e.instance, e.failed)
	}
	for _, p := range g.view.Pools {
		if !g.view.Fleet.Pool(p.Name).Standing(p.Budget).Holds() {
			g.run.Breaches++
		}
	}
}

func (g *game) account(d time.Duration) {
	for _, p := range g.view.Pools {
		s := g.view.Fleet.Pool(p.Name).Standing(p.Budget)
		g.spare += d * time.Duration(s.Available-s.MinAvailable)
		g.needed += d * time.Duration(s.MinAvailable)
	}
}

func (g *game) finish() {
	if g.needed > 0 {
		g.run.BufferCost = float64(g.spare) / float64(g.needed)
	}
	for _, id := range g.view.Fleet.IDs() {
		i, _ := g.view.Fleet.Instance(id)
		for _, p := range g.view.Pools {
			if p.Name == i.Pool && i.MaintainedIn != g.view.Wave {
				g.run.Stuck = append(g.run.Stuck, id)
			}
		}
	}
}
