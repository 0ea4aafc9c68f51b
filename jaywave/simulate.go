package jaywave

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"jaythread/jaypool"
)

// Failure is a temporary failure of an instance in a simulated wave.
type Failure struct {
	Instance string
	At       time.Duration
	Until    time.Duration
}

// StartedStep is a step of a simulated wave.
type StartedStep struct {
	Instance string
	At       time.Duration
}

// SimulationResult is the result of a simulated wave.
type SimulationResult struct {
	Steps    []StartedStep
	RollOut  time.Duration
	Breaches int
	// BufferCost is the ratio of spare to needed available instances, weighted by time.
	BufferCost float64
	// Stuck lists instances that were never maintained.
	Stuck []string
	// Rounds is the number of decisions.
	Rounds int
	// TaskMoves is the number of task moves, MostMoves the largest number of moves of one
	// task.
	TaskMoves int
	MostMoves int
}

// Simulate simulates a wave with the given failures, in which each step takes the view's
// StepTime. It modifies the view's fleet. It is used for dry runs and comparisons and has
// no effect on real instances.
func Simulate(v View, p Policy, failures ...Failure) SimulationResult {
	g := &simulation{view: v, policy: p, ends: map[string]time.Duration{}, taskMoves: map[string]int{}}
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
	return g.result
}

type event struct {
	at       time.Duration
	instance string
	failed   bool
}

type simulation struct {
	view   View
	policy Policy
	now    time.Duration
	ends   map[string]time.Duration
	events []event
	result SimulationResult
	spare  time.Duration
	needed time.Duration
	// tasks holds the instance of each task; taskMoves counts the moves of each task.
	tasks     []string
	taskMoves map[string]int
}

// step starts the permitted steps and advances to the next event. It returns false if no
// event is left.
func (g *simulation) step() bool {
	g.result.Rounds++
	for _, id := range Next(g.view, g.policy) {
		i, _ := g.view.Fleet.Instance(id)
		if err := g.view.Fleet.BeginDrain(id, i.Version, g.budget(i.Pool)); err != nil {
			continue
		}
		g.moveTask(id)
		g.ends[id] = g.now + g.view.StepTime
		g.result.Steps = append(g.result.Steps, StartedStep{Instance: id, At: g.now})
	}
	next, ok := g.nextEventTime()
	if !ok {
		return false
	}
	g.addBufferCost(next - g.now)
	g.now = next
	g.endSteps()
	g.failAndRecover()
	return true
}

// moveTask moves the task of a draining instance to an instance of the same pool without a
// task, preferably one that has been maintained already.
func (g *simulation) moveTask(from string) {
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
		g.taskMoves[task]++
		g.result.TaskMoves++
		g.result.MostMoves = max(g.result.MostMoves, g.taskMoves[task])
	}
}

func (g *simulation) taskTarget(from string) string {
	source, _ := g.view.Fleet.Instance(from)
	target := ""
	for _, id := range g.view.Fleet.IDs() {
		i, _ := g.view.Fleet.Instance(id)
		if i.Pool != source.Pool || !i.Available() || g.view.Busy[id] {
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

func (g *simulation) budget(pool string) jaypool.Budget {
	for _, p := range g.view.Pools {
		if p.Name == pool {
			return p.Budget
		}
	}
	return jaypool.Budget{}
}

func (g *simulation) nextEventTime() (time.Duration, bool) {
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

func (g *simulation) endSteps() {
	for id, at := range g.ends {
		if at > g.now {
			continue
		}
		delete(g.ends, id)
		i, _ := g.view.Fleet.Instance(id)
		i.MaintainedIn = g.view.Wave
		_ = g.view.Fleet.Advance(id, i.Version, jaypool.Draining, jaypool.Serving)
		g.result.RollOut = g.now
	}
}

func (g *simulation) failAndRecover() {
	for len(g.events) > 0 && g.events[0].at <= g.now {
		e := g.events[0]
		g.events = g.events[1:]
		_ = g.view.Fleet.SetFailed(e.instance, e.failed)
	}
	for _, p := range g.view.Pools {
		if !g.view.Fleet.Pool(p.Name).BudgetStatus(p.Budget).Holds() {
			g.result.Breaches++
		}
	}
}

func (g *simulation) addBufferCost(d time.Duration) {
	for _, p := range g.view.Pools {
		s := g.view.Fleet.Pool(p.Name).BudgetStatus(p.Budget)
		g.spare += d * time.Duration(s.Available-s.MinAvailable)
		g.needed += d * time.Duration(s.MinAvailable)
	}
}

func (g *simulation) finish() {
	if g.needed > 0 {
		g.result.BufferCost = float64(g.spare) / float64(g.needed)
	}
	for _, id := range g.view.Fleet.IDs() {
		i, _ := g.view.Fleet.Instance(id)
		for _, p := range g.view.Pools {
			if p.Name == i.Pool && i.MaintainedIn != g.view.Wave {
				g.result.Stuck = append(g.result.Stuck, id)
			}
		}
	}
}
