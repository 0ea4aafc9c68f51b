package jaysched

import (
	"slices"
	"time"
)

// arrivalWindow is over how long the rate of new work is measured. A rush
// begins within a fraction of a second, and a worker takes 1.5 s to come.
const arrivalWindow = 500 * time.Millisecond

// Load is what one worker carries.
type Load struct {
	Worker    string
	UsedMilli int64
	Runs      int
	LongRuns  int
	// Vacated says that the worker is closed and nothing runs there.
	Vacated bool
	// Idle is for how long nothing has run there.
	Idle time.Duration
}

// Demand is what a pool needs of the fleet.
type Demand struct {
	// WantedMilli is how many thousandths of a core the pool could use soon.
	WantedMilli int64
	Loads       []Load
}

// Vacate is a worker that is to get no new run. Urgent ones have their runs
// stopped where that loses little.
type Vacate struct {
	Worker string
	Urgent bool
}

// Demand returns what the pool needs now.
func (p *Pool) Demand(now time.Duration) Demand {
	d := Demand{WantedMilli: max(p.parallelMilli(now), p.arrivals.rateMilli(now))}
	for _, w := range p.sorted {
		if w.contact == connected && w.listed && !w.Draining {
			d.Loads = append(d.Loads, w.load(now))
		}
	}
	return d
}

func (w *worker) load(now time.Duration) Load {
	l := Load{Worker: w.ID, UsedMilli: w.Capacity.ProcessorsMilli - w.free.ProcessorsMilli, Runs: len(w.runs)}
	for _, r := range w.runs {
		if r.task.step.decl.LongRunning {
			l.LongRuns++
		}
	}
	if len(w.runs) == 0 {
		l.Idle = now - w.idleSince
		l.Vacated = w.closed
	}
	return l
}

// parallelMilli is what the tasks that run or could run now take together.
func (p *Pool) parallelMilli(now time.Duration) int64 {
	total := int64(0)
	for _, j := range p.open {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.ready(now) {
					total += int64(s.open) * needOf(s).ProcessorsMilli
				}
			}
		}
	}
	return total
}

// arrivals measures the rate of new work.
type arrivals struct {
	recent []arrival
}

type arrival struct {
	at time.Duration
	// work is in thousandths of a core times seconds.
	work float64
}

func (a *arrivals) add(j *job, now time.Duration) {
	if j.spec.LongRunning() || j.spec.Schedule.Timed() {
		return
	}
	a.recent = append(a.recent, arrival{at: now, work: 1000 * j.spec.Work()})
}

// rateMilli is the new work a second over the window, in thousandths of a
// core.
func (a *arrivals) rateMilli(now time.Duration) int64 {
	a.recent = slices.DeleteFunc(a.recent, func(one arrival) bool { return one.at < now-arrivalWindow })
	work := 0.0
	for _, one := range a.recent {
		work += one.work
	}
	return int64(work / arrivalWindow.Seconds())
}

// SetVacating closes the workers named and opens all others again.
func (p *Pool) SetVacating(orders []Vacate, now time.Duration) {
	for _, w := range p.sorted {
		w.closed, w.urgent = false, false
	}
	for _, o := range orders {
		if w, known := p.workers[o.Worker]; known {
			w.closed, w.urgent = true, o.Urgent
		}
	}
	p.vacatingUntil = now + vacatingTime
}

// vacatingTime is for how long an order to vacate holds. The fleet's owner
// repeats it several times a second; after its loss the workers are used again.
const vacatingTime = 2 * time.Second

// vacate opens workers whose order has expired and moves long-running tasks
// off those that are closed or drain.
func (p *Pool) vacate(now time.Duration) {
	if now >= p.vacatingUntil {
		for _, w := range p.sorted {
			w.closed, w.urgent = false, false
		}
	}
	for _, w := range p.sorted {
		if w.contact != connected || !w.closed && !w.Draining {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.phase == running && (p.mayEvict(r, now) || w.urgent && !r.task.step.decl.LongRunning) {
				p.note(Note{Kind: RunStopped, Worker: w.ID, Run: r.ref(), Detail: "vacating"}, now)
				p.stop(r, "vacating")
			}
		}
	}
}

// mayEvict reports whether a run should be stopped so that its worker becomes
// free: its step can miss one more task, and there is room for it elsewhere.
func (p *Pool) mayEvict(r *run, now time.Duration) bool {
	s := r.task.step
	if !s.decl.LongRunning || s.away() >= max(1, s.decl.MayMiss) {
		return false
	}
	return p.choose(r.task, now) != nil
}

// away counts the tasks of a long-running step that are not at work.
func (s *step) away() int {
	count := 0
	for _, t := range s.tasks {
		if !t.atWork() {
			count++
		}
	}
	return count
}

// atWork reports whether a long-running task serves: its worker reports it at
// full speed, past its startup and not slowed down.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.phase == running && r.worker.contact == connected && r.pace >= fullPace {
			return true
		}
	}
	return false
}
