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
	k := p.newPacking(now)
	for _, u := range p.unplacedSteps(p.formerRunsPossible(now), now) {
		k.place(u.step, u.tasks)
	}
	return k.workers() + p.workersOfFormerPlacements(now)
}

// unplacedStep is a step with the number of its tasks that need a worker.
type unplacedStep struct {
	*step
	tasks int
}

// unplacedSteps returns the steps with tasks that need a worker, those with the largest tasks first: long-running
// tasks that wait, or run on a worker that is being vacated, and others that wait although no worker could take
// them even if only long-running tasks ran there. While a former owner may have started tasks, only
// long-running ones count that it has not.
func (p *Pool) unplacedSteps(formerRuns bool, now time.Duration) []unplacedStep {
	var steps []unplacedStep
	for _, j := range p.open {
		if !j.longRunning && j.waiting == 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.ready(now) {
					continue
				}
				if tasks := p.countUnplaced(s, formerRuns, now); tasks > 0 {
					steps = append(steps, unplacedStep{step: s, tasks: tasks})
				}
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b unplacedStep) int {
		return cmp.Compare(needOf(b.step).MemoryMegabytes, needOf(a.step).MemoryMegabytes)
	})
	return steps
}

// countUnplaced counts the tasks of a step that need a worker.
func (p *Pool) countUnplaced(s *step, formerRuns bool, now time.Duration) int {
	if s.exceedsQuota {
		return 0
	}
	if s.decl.LongRunning {
		count := 0
		for _, t := range s.tasks {
			if !t.done && !t.parked && !t.runsOnUsableWorker() && !p.heldForFormerOwner(t, formerRuns, now) {
				count++
			}
		}
		return count
	}
	if formerRuns || s.waiting == 0 || p.fitsSomewhere(s, now) {
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

// maxOpenBins limits the groups of additional workers that further tasks are added to.
const maxOpenBins = 64

// packing computes by first fit how many workers some tasks need, beside the long-running ones on the
// present workers.
//
// It handles this load: some jobs have thousands of tasks that fit on no worker. The tasks of a step are
// alike, and so are the additional workers that they fill: both are counted, and the effort depends on the
// number of steps.
type packing struct {
	pool    *Pool
	now     time.Duration
	present []*bin
	// added are the additional workers with room, in the order in which they were added; closed counts
	// those to which nothing is added any more.
	added  []*bin
	closed int
	// size is the capacity of an additional worker.
	size jaypool.Resources
}

// bin is a present worker, or some additional ones that run the same tasks.
type bin struct {
	worker *worker
	number int
	room   jaypool.Resources
	used   bool
}

func (p *Pool) newPacking(now time.Duration) *packing {
	k := &packing{pool: p, now: now, size: p.maxCapacity}
	for _, w := range p.sorted {
		if w.usable() {
			k.present = append(k.present, &bin{worker: w, number: 1, room: w.roomBesideLongRuns(), used: w.longRuns > 0})
		}
	}
	return k
}

// place assigns tasks of a step to present workers, then to additional ones that have room, and the rest to
// new additional ones. If there is a rest, the workers that have room but must not run it count as used, since
// the additional ones are needed beside them.
func (k *packing) place(s *step, tasks int) {
	var refused []*bin
	for _, b := range k.present {
		most := b.most(s)
		if tasks == 0 {
			return
		}
		switch {
		case most == 0:
		case k.pool.mustNotRun(b.worker, s, k.now):
			refused = append(refused, b)
		default:
			placed := min(tasks, most)
			b.add(s, placed)
			tasks -= placed
		}
	}
	if tasks = k.fill(s, tasks); tasks == 0 {
		return
	}
	for _, b := range refused {
		b.used = true
	}
	k.extend(s, tasks)
}

// fill assigns tasks of a step to additional workers that have room, and returns how many are left.
func (k *packing) fill(s *step, tasks int) (left int) {
	added := make([]*bin, 0, len(k.added))
	for _, b := range k.added {
		most := b.most(s)
		if tasks == 0 || most == 0 {
			added = append(added, b)
			continue
		}
		full := min(b.number, tasks/most)
		tasks -= full * most
		added = append(added, b.split(full, s, most)...)
		if b.number > 0 && tasks > 0 {
			added = append(added, b.split(1, s, tasks)...)
			tasks = 0
		}
		if b.number > 0 {
			added = append(added, b)
		}
	}
	k.added = added
	k.closeBins()
	return tasks
}

// extend assigns tasks of a step to new additional workers. A task that is too large for any takes one.
func (k *packing) extend(s *step, tasks int) {
	b := &bin{number: tasks, room: k.size}
	most := b.most(s)
	if most == 0 {
		k.closed += tasks
		return
	}
	k.added = append(k.added, b.split(tasks/most, s, most)...)
	k.added = append(k.added, b.split(min(1, tasks%most), s, tasks%most)...)
	k.closeBins()
}

// closeBins closes the earliest additional workers, which are the fullest, beyond maxOpenBins.
func (k *packing) closeBins() {
	for len(k.added) > maxOpenBins {
		k.closed += k.added[0].number
		k.added = k.added[1:]
	}
}

// workers counts the workers with long-running tasks and the additional ones.
func (k *packing) workers() int {
	count := k.closed
	for _, b := range k.present {
		if b.used {
			count++
		}
	}
	for _, b := range k.added {
		count += b.number
	}
	return count
}

// most returns how many tasks of a step each of the workers can take.
func (b *bin) most(s *step) int {
	need := needOf(s)
	if !b.room.Fits(need) {
		return 0
	}
	most := int64(s.decl.Tasks)
	for _, of := range [][2]int64{
		{need.ProcessorsMilli, b.room.ProcessorsMilli}, {need.MemoryMegabytes, b.room.MemoryMegabytes}, {need.Accelerators, b.room.Accelerators},
	} {
		if of[0] > 0 {
			most = min(most, of[1]/of[0])
		}
	}
	if limit := s.decl.MaxPerInstance; limit > 0 {
		most = min(most, int64(max(0, limit-s.placed[b.worker])))
	}
	return int(most)
}

// split takes some of the workers off the others and adds tasks of a step to each of them. It returns none
// for no workers.
func (b *bin) split(number int, s *step, tasks int) []*bin {
	if number == 0 {
		return nil
	}
	b.number -= number
	part := &bin{number: number, room: b.room}
	part.add(s, tasks)
	return []*bin{part}
}

func (b *bin) add(s *step, tasks int) {
	b.used = true
	b.room = b.room.Sub(needOf(s).Times(int64(tasks)))
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
