package jaysched

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jaypool"
)

// workersAtLeast returns the minimum number of workers that the pool needs whatever their load:
// those with long-running tasks, and more for tasks that find no room beside these.
//
// It handles this load: long-running tasks take the memory of all workers and few of their
// cores. Counted by cores, the pool has more workers than it needs, and a task that fits on
// none of them waits for as long as the others run, although there are hosts on standby. The
// same happens for a step of which each worker may run only one task, and for one that the advisor
// allows on none of the workers. In place of refused workers others are sought; the refused ones
// count as well then, since otherwise the pool would have enough workers.
func (p *Pool) workersAtLeast(now time.Duration) int {
	if p.formerRunsPossible(now) {
		// Tasks that wait may already run somewhere.
		return p.longRunWorkers()
	}
	k := p.newPacking(now)
	for _, s := range p.unplacedTasks(now) {
		k.place(s)
	}
	return k.workers()
}

// longRunWorkers counts the workers with long-running tasks.
func (p *Pool) longRunWorkers() int {
	count := 0
	for _, w := range p.sorted {
		if w.usable() && w.longRuns > 0 {
			count++
		}
	}
	return count
}

// unplacedTasks returns the step of each task that needs a worker, the largest first: long-running
// tasks that wait, or run on a worker that is being vacated, and others that wait although no
// worker could take them even if only long-running tasks ran there.
func (p *Pool) unplacedTasks(now time.Duration) []*step {
	var steps []*step
	for _, j := range p.open {
		if !j.longRunning && j.waiting == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.ready(now) {
					steps = append(steps, slices.Repeat([]*step{s}, p.countUnplaced(s, now))...)
				}
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b *step) int {
		return cmp.Compare(needOf(b).MemoryMegabytes, needOf(a).MemoryMegabytes)
	})
	return steps
}

// countUnplaced counts the tasks of a step that need a worker.
func (p *Pool) countUnplaced(s *step, now time.Duration) int {
	if s.exceedsQuota {
		return 0
	}
	if s.decl.LongRunning {
		count := 0
		for _, t := range s.tasks {
			if !t.done && !t.parked && !t.runsOnUsableWorker() {
				count++
			}
		}
		return count
	}
	if s.waiting == 0 || p.fitsSomewhere(s, now) {
		return 0
	}
	if s.seeksWorker(p.settings.MoveTime+reportDelay, now) {
		// Tasks that end by themselves can all run on the first worker that is not refused.
		return 1
	}
	return s.waiting
}

// runsOnUsableWorker reports whether a task runs on a worker where it may stay.
func (t *task) runsOnUsableWorker() bool {
	return len(t.runs) > 0 && t.runs[0].worker.usable()
}

// fitsSomewhere reports whether some worker could take a task of a step if only long-running
// tasks ran there.
func (p *Pool) fitsSomewhere(s *step, now time.Duration) bool {
	return slices.ContainsFunc(p.sorted, func(w *worker) bool {
		return w.usable() && w.roomBesideLongRuns().Fits(needOf(s)) && !p.mustNotRun(w, s, now)
	})
}

// roomBesideLongRuns returns the room of a worker on which only long-running tasks run.
func (w *worker) roomBesideLongRuns() jaypool.Resources {
	return w.Capacity.Sub(w.longRunNeed)
}

// packing computes by first fit how many workers some tasks need, beside the long-running ones
// on the present workers.
type packing struct {
	pool *Pool
	now  time.Duration
	bins []*bin
	// size is the capacity of an additional worker.
	size jaypool.Resources
}

// bin is a present or an additional worker.
type bin struct {
	worker *worker
	room   jaypool.Resources
	used   bool
	placed map[*step]int
}

func (p *Pool) newPacking(now time.Duration) *packing {
	k := &packing{pool: p, now: now, size: p.maxCapacity}
	for _, w := range p.sorted {
		if w.usable() {
			k.bins = append(k.bins, &bin{worker: w, room: w.roomBesideLongRuns(), used: w.longRuns > 0})
		}
	}
	return k
}

// place assigns a task of a step to a present worker, an additional one that has room, or else a new
// additional one. In the latter case the workers that have room but must not run it count as
// used, since the additional one is needed beside them.
func (k *packing) place(s *step) {
	var refused []*bin
	for _, b := range k.bins {
		switch {
		case !b.fits(s):
		case b.worker != nil && k.pool.mustNotRun(b.worker, s, k.now):
			refused = append(refused, b)
		default:
			b.add(s)
			return
		}
	}
	for _, b := range refused {
		b.used = true
	}
	b := &bin{room: k.size}
	b.add(s)
	k.bins = append(k.bins, b)
}

// workers counts the workers with long-running tasks and the additional ones.
func (k *packing) workers() int {
	count := 0
	for _, b := range k.bins {
		if b.used {
			count++
		}
	}
	return count
}

func (b *bin) fits(s *step) bool {
	most := s.decl.MaxPerInstance
	return b.room.Fits(needOf(s)) && (most == 0 || b.count(s) < most)
}

// count returns the number of tasks of a step on the worker.
func (b *bin) count(s *step) int {
	count := b.placed[s]
	if b.worker != nil {
		count += s.placed[b.worker]
	}
	return count
}

func (b *bin) add(s *step) {
	b.used = true
	b.room = b.room.Sub(needOf(s))
	if b.placed == nil {
		b.placed = map[*step]int{}
	}
	b.placed[s]++
}

// blockedByMemory returns how many thousandths of a core no short task can use because
// long-running ones have taken the memory beside them. A short task is assumed to need the mean
// of those that run or could run.
func (p *Pool) blockedByMemory(short jaypool.Resources) int64 {
	if short.ProcessorsMilli == 0 || short.MemoryMegabytes == 0 {
		return 0
	}
	milli := int64(0)
	for _, w := range p.sorted {
		if !w.usable() || w.longRuns == 0 {
			continue
		}
		room := w.roomBesideLongRuns()
		usable := int64(float64(room.MemoryMegabytes) * float64(short.ProcessorsMilli) / float64(short.MemoryMegabytes))
		milli += max(0, room.ProcessorsMilli-usable)
	}
	return milli
}
