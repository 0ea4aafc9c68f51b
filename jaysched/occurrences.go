package jaysched

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
)

// maxHeldWaiting is the number of waiting tasks of a job from which no further occurrence of it is
// held in memory, although it is due. Without a limit, a job whose occurrences are all due at once, or
// that waits for room for long, would need memory for all of them.
const maxHeldWaiting = 64

// holdDue holds the occurrences that are due, the earliest first, until maxHeldWaiting tasks could
// start. That of a job without times is always held.
func (j *job) holdDue(now time.Duration) {
	ready := -1
	j.series.Begin(now, func(number int) bool { return j.held(number) != nil }, func(number int) bool {
		if ready < 0 {
			ready = j.readyWaiting()
		}
		if ready >= maxHeldWaiting {
			return false
		}
		ready += j.hold(number).readyWaiting()
		return true
	})
}

// readyWaiting counts the tasks of all held occurrences that wait and depend on no open step.
func (j *job) readyWaiting() int {
	count := 0
	for _, o := range j.occurrences {
		count += o.readyWaiting()
	}
	return count
}

// readyWaiting counts the tasks of the occurrence that wait and depend on no open step.
func (o *occurrence) readyWaiting() int {
	count := 0
	for _, s := range o.steps {
		if s.openPredecessors == 0 {
			count += s.waiting
		}
	}
	return count
}

// held returns a held occurrence, or nil.
func (j *job) held(number int) *occurrence {
	n, found := slices.BinarySearchFunc(j.occurrences, number, compareNumber)
	if !found {
		return nil
	}
	return j.occurrences[n]
}

func compareNumber(o *occurrence, number int) int {
	return cmp.Compare(o.number, number)
}

// hold returns an occurrence that has not ended, which is held in memory from then on.
func (j *job) hold(number int) *occurrence {
	n, found := slices.BinarySearchFunc(j.occurrences, number, compareNumber)
	if !found {
		j.occurrences = slices.Insert(j.occurrences, n, newOccurrence(j, number, j.series.Due(number)))
	}
	return j.occurrences[n]
}

// endOccurrence releases an occurrence whose steps have all ended.
func (j *job) endOccurrence(o *occurrence) {
	j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == o })
	j.series.End(o.number)
}

// unheld returns how many occurrences have not ended and are not held in memory, and how many of these
// are due.
func (j *job) unheld(now time.Duration) (all, due int) {
	return j.series.Unheld(len(j.occurrences), now)
}

// earliest returns the first held occurrence, or one without steps.
func (j *job) earliest() *occurrence {
	if len(j.occurrences) == 0 {
		return &occurrence{}
	}
	return j.occurrences[0]
}

// unheldTasks counts the tasks that are not held and not done, those of the occurrences that are
// not held included.
func (j *job) unheldTasks() int {
	all, _ := j.unheld(0)
	count := all * j.spec.Tasks()
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			count += s.unheld()
		}
	}
	return count
}

// markUnreported records that a former owner may have started any task of the job.
func (j *job) markUnreported() {
	j.mayRunUnreported = true
	j.eachTask(func(t *task) { t.mayRunUnreported = !t.done && t.step.mayHaveUnreported() })
}

// stepOf returns a step of an occurrence that has not ended, or nil.
func (j *job) stepOf(id jayport.StepID) *step {
	if id.Occurrence < 0 || id.Occurrence >= j.series.Count() || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil
	}
	o := j.held(id.Occurrence)
	if o == nil && (j.outcome != Open || j.series.Ended(id.Occurrence)) {
		return nil
	}
	return j.hold(id.Occurrence).steps[id.Step]
}

// taskOf returns the task with an ID, or nil if there is none or it is done.
func (j *job) taskOf(id jayport.TaskID) *task {
	s := j.stepOf(jayport.StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if s == nil || id.Index < 0 || id.Index >= s.decl.Tasks {
		return nil
	}
	return s.holdTask(id.Index)
}

// holdTask returns the task with an index, which is held in memory from then on, as are those before it
// that are not done. It returns nil if the task is done and has no run.
func (s *step) holdTask(index int) *task {
	for ; s.made <= index && s.made < s.decl.Tasks; s.made++ {
		if !hasBit(s.done, s.made) {
			s.tasks = append(s.tasks, &task{step: s, index: s.made, mayRunUnreported: s.mayHaveUnreported()})
		}
	}
	n, found := slices.BinarySearchFunc(s.tasks, index, func(t *task, index int) int { return cmp.Compare(t.index, index) })
	if !found {
		return nil
	}
	return s.tasks[n]
}

// unheld counts the tasks that are neither held nor done.
func (s *step) unheld() int {
	return s.decl.Tasks - s.made
}

// release stops holding a task that is done and has no run.
func (s *step) release(t *task) {
	if t.done && len(t.runs) == 0 {
		s.tasks = slices.DeleteFunc(s.tasks, func(other *task) bool { return other == t })
	}
}

// taskAt returns the task at a position in tasks. Beyond the last one, it holds the next task of the
// step; it returns nil if there is none.
func (s *step) taskAt(position int) *task {
	for position >= len(s.tasks) && s.made < s.decl.Tasks {
		s.holdTask(s.made)
	}
	if position >= len(s.tasks) {
		return nil
	}
	return s.tasks[position]
}

// waitingTask returns the first waiting task of a step for which a condition holds, or nil. A nil
// condition holds for each.
func (s *step) waitingTask(holds func(*task) bool) *task {
	for n := 0; s.waiting > 0; n++ {
		untouched := n >= len(s.tasks)
		t := s.taskAt(n)
		if t == nil {
			return nil
		}
		if t.waiting() && (holds == nil || holds(t)) {
			return t
		}
		if untouched {
			return nil // the later ones do not differ from it
		}
	}
	return nil
}

// initialNeed returns what the tasks of an occurrence need together that could start when it is due.
func (j *job) initialNeed() jaypool.Resources {
	var total jaypool.Resources
	for n := range j.spec.Steps {
		if s := &j.spec.Steps[n]; len(s.After) == 0 {
			total = total.Add(declaredNeed(s).Times(int64(s.Tasks)))
		}
	}
	return total
}
