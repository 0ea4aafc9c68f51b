package jaysched

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// model is a small installation with random events: calls and answers arrive in any order or
// not at all, workers crash and return under their IDs, heartbeats are listed late, and the
// pool's owner is lost.
type model struct {
	t       *rapid.T
	now     time.Duration
	pool    *Pool
	term    int64
	specs   []*jayspec.Job
	workers map[string]*modelWorker
	// heartbeats are those of workers that have not been listed yet, listed is the latest
	// listed heartbeat of each worker.
	heartbeats []jayport.Worker
	listed     map[string]jayport.Worker
	calls      []modelCall
	answers    []func()
	// stored is the recorded progress, pending the batch that is being recorded.
	stored           map[string]*jaywire.JobProgress
	pending          *Batch
	usedIncarnations map[jayport.Incarnation]bool
	// done are the tasks whose successful end was acknowledged, started those that were started.
	done, started map[jayport.TaskID]bool
}

// modelCall is a call in flight from an owner.
type modelCall struct {
	owner  *Pool
	action Action
	asked  time.Duration
}

// modelWorker is a worker and its present incarnation.
type modelWorker struct {
	info    jayport.Worker
	up      bool
	started time.Duration
	fence   int64
	lease   time.Duration
	active  map[jayport.RunRef]bool
	refuse  map[jayport.TaskID]int64
	ended   []jayport.EndedRun
	next    int64
	// lapsed is the last end before the lease lapsed: tasks that ended until then may have been
	// started again elsewhere, and their ends are not decisive.
	lapsed int64
}

const modelLease = 2 * time.Second

// newModel returns a model with two jobs and further ones.
func newModel(t *rapid.T, further ...*jayspec.Job) *model {
	m := &model{
		t: t, now: time.Minute, term: 1,
		workers: map[string]*modelWorker{}, listed: map[string]jayport.Worker{},
		stored: map[string]*jaywire.JobProgress{}, usedIncarnations: map[jayport.Incarnation]bool{}, done: map[jayport.TaskID]bool{},
		started: map[jayport.TaskID]bool{},
	}
	m.pool = NewPool("seats", m.settings(), WithDueTimes(modelTime))
	learnDurations(m.pool)
	for _, id := range []string{"a", "b"} {
		m.workers[id] = &modelWorker{info: jayport.Worker{
			ID: id, Addr: id + ":1", Pool: "seats", Rack: "r" + id, Labels: []string{"x"},
			Capacity: jaypool.Resources{ProcessorsMilli: 2000, MemoryMegabytes: 1000},
		}}
		m.start(id)
	}
	for _, id := range []string{"j", "k"} {
		spec := newSpec(id, 2)
		if id == "k" {
			for n := range spec.Steps {
				// Half the room of the other job's tasks, so that copies find some.
				s := &spec.Steps[n]
				s.Speculative, s.Estimate, s.Need.ProcessorsMilli = true, 20*time.Millisecond, 500
			}
		}
		m.specs = append(m.specs, spec)
		m.pool.Declare(spec, m.now)
	}
	for _, spec := range further {
		m.specs = append(m.specs, spec)
		m.pool.Declare(spec, m.now)
	}
	return m
}

// modelTime converts a time of day to the model's clock, which is zero at the beginning of 1970.
func modelTime(at time.Time) time.Duration {
	return at.Sub(time.Unix(0, 0))
}

func (m *model) settings() Settings {
	return Settings{Lease: modelLease, Stop: 200 * time.Millisecond, MoveTime: time.Second, FarFactor: 1.5, WorkerSpeeds: true, CopyShare: 1}
}

// start starts a worker's process, at a time of day that may have been set back.
func (m *model) start(id string) {
	w := m.workers[id]
	for {
		w.info.Incarnation = jayport.Incarnation(rapid.IntRange(1, 1000).Draw(m.t, "born"))
		if !m.usedIncarnations[w.info.Incarnation] {
			break
		}
	}
	m.usedIncarnations[w.info.Incarnation] = true
	w.up, w.started, w.fence, w.lease, w.next, w.lapsed = true, m.now, 0, 0, 1, 0
	w.active, w.refuse, w.ended = map[jayport.RunRef]bool{}, map[jayport.TaskID]int64{}, nil
	m.heartbeats = append(m.heartbeats, w.info)
}

func (w *modelWorker) clock(now time.Duration) time.Duration { return now - w.started }

// lapse ends the runs that continue without a lease.
func (w *modelWorker) lapse(now time.Duration) {
	if w.up && w.clock(now) >= w.lease {
		w.lapsed = w.next - 1
		for _, run := range w.runs() {
			w.end(run, jayport.EndedLapsed)
		}
	}
}

func (w *modelWorker) runs() []jayport.RunRef {
	return slices.SortedFunc(maps.Keys(w.active), func(a, b jayport.RunRef) int { return compareTasks(a.Task, b.Task) })
}

func (w *modelWorker) end(run jayport.RunRef, how jayport.Ending) {
	delete(w.active, run)
	w.refuse[run.Task] = max(w.refuse[run.Task], run.Number)
	w.ended = append(w.ended, jayport.EndedRun{Number: w.next, Run: run, Ending: how})
	w.next++
}

// pass lets time pass and leases lapse.
func (m *model) pass(d time.Duration) {
	m.now += d
	for _, id := range sortedKeys(m.workers) {
		m.workers[id].lapse(m.now)
	}
}

// decide collects the calls that the owner makes.
func (m *model) decide() {
	for _, a := range m.pool.Decide(m.now) {
		if _, call := calledWorker(a); call {
			m.calls = append(m.calls, modelCall{owner: m.pool, action: a, asked: m.now})
		}
	}
}

// deliver delivers a call to its worker; its answer may be lost.
func (m *model) deliver(c modelCall, lost bool) {
	to, _ := calledWorker(c.action)
	answer := m.carryOut(c, m.workers[to.ID], to)
	if lost {
		answer = m.answerOf(c, jayport.Report{}, jayport.ErrNoAnswer)
	}
	m.answers = append(m.answers, answer)
}

// carryOut carries out a call on a worker. A call for another incarnation does not reach it: a
// connection is to one process.
func (m *model) carryOut(c modelCall, w *modelWorker, to jayport.WorkerRef) (answer func()) {
	if !w.up {
		return m.answerOf(c, jayport.Report{}, jayport.ErrNoAnswer)
	}
	if to.Incarnation != w.info.Incarnation {
		return m.answerOf(c, jayport.Report{}, &jayport.RefusedError{Reason: jayport.RefusedOtherIncarnation})
	}
	if c.owner.Fence() < w.fence {
		return m.answerOf(c, jayport.Report{}, &jayport.RefusedError{Reason: jayport.RefusedFenced})
	}
	w.fence = c.owner.Fence()
	switch a := c.action.(type) {
	case StartRun:
		return m.answerOf(c, m.reportOf(w), m.startRun(w, a.Order))
	case StopRun:
		w.refuse[a.Run.Task] = max(w.refuse[a.Run.Task], a.Run.Number)
		if w.active[a.Run] {
			w.end(a.Run, jayport.EndedStopped)
		}
	case RenewLease:
		w.lease = max(w.lease, a.Order.LeaseUntil)
		m.acknowledge(w, a.Order.Acknowledged)
	}
	return m.answerOf(c, m.reportOf(w), nil)
}

func (m *model) reportOf(w *modelWorker) jayport.Report {
	r := jayport.Report{Incarnation: w.info.Incarnation, Clock: w.clock(m.now), Ended: slices.Clone(w.ended)}
	for _, run := range w.runs() {
		r.Active = append(r.Active, jayport.ActiveRun{Run: run, Speed: fullSpeed})
	}
	return r
}

func (m *model) startRun(w *modelWorker, o jayport.StartOrder) error {
	refused := func(reason jayport.Reason) error {
		return &jayport.RefusedError{Reason: reason, Clock: w.clock(m.now)}
	}
	switch {
	case w.active[o.Run]:
		return nil
	case o.Run.Number <= w.refuse[o.Run.Task]:
		return refused(jayport.RefusedOutdated)
	case o.LeaseUntil <= w.clock(m.now):
		return refused(jayport.RefusedLate)
	}
	w.lease = max(w.lease, o.LeaseUntil)
	m.checkStart(o.Run)
	m.started[o.Run.Task] = true
	w.active[o.Run] = true
	return nil
}

// checkStart fails the test if a task is started twice, or a third time if it may have a copy, or
// before its time.
func (m *model) checkStart(run jayport.RunRef) {
	for _, spec := range m.specs {
		if spec.ID == run.Task.Job && spec.Schedule.Timed() && m.now < modelTime(spec.Schedule.Due(run.Task.Occurrence)) {
			m.t.Fatalf("%v is started before its time", run)
		}
	}
	if m.done[run.Task] {
		m.t.Fatalf("%v is started after its end was acknowledged", run)
	}
	others := 0
	for id, w := range m.workers {
		for other := range w.active {
			if !w.up || other.Task != run.Task {
				continue
			}
			if others++; run.Task.Job != "k" || others >= maxRunsOfTask || other.Number == run.Number {
				m.t.Fatalf("%v is started while it runs on %s", run, id)
			}
		}
	}
}

// acknowledge fails the test if an end is forgotten that is not recorded.
func (m *model) acknowledge(w *modelWorker, upTo int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= upTo {
		end := w.ended[0]
		w.ended = w.ended[1:]
		if end.Ending != jayport.EndedDone || end.Number <= w.lapsed {
			continue
		}
		if !m.recorded(end.Run.Task) {
			m.t.Fatalf("the worker forgot the end of %v, which is not recorded", end.Run)
		}
		m.done[end.Run.Task] = true
	}
}

func (m *model) recorded(task jayport.TaskID) bool {
	progress := m.stored[task.Job]
	if OutcomeOf(progress) != Open {
		return true
	}
	occurrence := uint32(task.Occurrence)
	if slices.Contains(progress.GetEndedAhead(), occurrence) || occurrence < progress.GetNextOccurrence() && !slices.Contains(progress.GetOpenOccurrences(), occurrence) {
		return true
	}
	for _, s := range progress.GetSteps() {
		if s.Occurrence == occurrence && int(s.Step) == task.Step && hasBit(s.Done, task.Index) {
			return true
		}
	}
	return false
}

// answerOf returns a function that delivers the answer to a call to the owner that made it, if
// that is still the owner.
func (m *model) answerOf(c modelCall, report jayport.Report, err error) func() {
	return func() {
		if c.owner != m.pool {
			return
		}
		to, _ := calledWorker(c.action)
		if refused, ok := err.(*jayport.RefusedError); ok && refused.Reason == jayport.RefusedOtherIncarnation {
			m.pool.Ended(to, "another incarnation answers", m.now)
			return
		}
		switch a := c.action.(type) {
		case StartRun:
			m.pool.StartAnswered(to, a.Order.Run, report.Clock, err, m.now)
		case StopRun:
			m.pool.StopAnswered(to, a.Run, report.Clock, err, m.now)
		case RenewLease:
			if err != nil {
				m.pool.ReportFailed(to, m.now)
			} else {
				m.pool.Reported(to, report, c.asked, m.now)
			}
		}
	}
}

// takeRandom removes a randomly drawn element.
func takeRandom[E any](t *rapid.T, name string, from *[]E) E {
	n := rapid.IntRange(0, len(*from)-1).Draw(t, name)
	e := (*from)[n]
	*from = slices.Delete(slices.Clone(*from), n, n+1)
	return e
}

// list passes the next heartbeat to the owner.
func (m *model) list() {
	if len(m.heartbeats) > 0 {
		m.listed[m.heartbeats[0].ID] = m.heartbeats[0]
		m.heartbeats = m.heartbeats[1:]
	}
	var list []jayport.Worker
	for _, id := range sortedKeys(m.listed) {
		list = append(list, m.listed[id])
	}
	m.pool.Listed(list, m.now)
}

// readInventory passes the workers in the inventory to the owner.
func (m *model) readInventory() {
	var ids []string
	for _, id := range sortedKeys(m.workers) {
		if m.workers[id].up {
			ids = append(ids, id)
		}
	}
	m.pool.InventoryRead(ids, m.now, m.now)
}

// record begins to record the changed progress, or completes the recording.
func (m *model) record() {
	if m.pending == nil {
		m.pending = m.pool.TakeBatch()
		return
	}
	maps.Copy(m.stored, m.pending.Progress)
	m.pool.BatchRecorded(m.pending, m.now)
	m.pending = nil
}

// takeOver replaces the owner by one that begins with the recorded progress.
func (m *model) takeOver() {
	m.term++
	m.pending = nil
	m.pool = NewPool("seats", m.settings(), WithDueTimes(modelTime), WithFence(m.term, m.term), WithFormerOwner(m.now+modelLease+modelLease/10))
	learnDurations(m.pool)
	for _, spec := range m.specs {
		if outcome := OutcomeOf(m.stored[spec.ID]); outcome != Open {
			m.pool.RestoreEnded(spec.ID, "", outcome, m.now)
		} else {
			m.pool.Restore(spec, m.stored[spec.ID], m.now)
		}
	}
	m.list()
}

// exchange decides, delivers all calls and their answers.
func (m *model) exchange() {
	m.decide()
	calls := m.calls
	m.calls = nil
	for _, c := range calls {
		m.deliver(c, false)
	}
	answers := m.answers
	m.answers = nil
	for _, answer := range answers {
		answer()
	}
}

// settle continues without faults and checks that all jobs end.
func (m *model) settle() {
	for range 4000 {
		m.pass(20 * time.Millisecond)
		for _, id := range sortedKeys(m.workers) {
			w := m.workers[id]
			if !w.up {
				m.start(id)
			}
			for _, run := range w.runs() {
				w.end(run, jayport.EndedDone)
			}
		}
		m.list()
		m.readInventory()
		m.exchange()
		m.record()
		if m.finished() {
			return
		}
	}
	m.t.Fatalf("the jobs did not end: %v", m.pool.TakeEvents())
}

func (m *model) finished() bool {
	for _, spec := range m.specs {
		if OutcomeOf(m.stored[spec.ID]) == Open {
			return false
		}
	}
	return true
}

// Guards against lost ends, tasks that run twice, and ends attributed to another incarnation,
// whatever the order in which the return of a worker becomes known.
func TestIncarnationsUnderRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newModel(t).play() })
}

// Guards against occurrences that are lost or run twice when their pool changes its owner, also those
// that overlap, are due at once, or were due while nobody owned the pool.
func TestOccurrencesUnderRandomEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := newSpec("t", 2)
		spec.Steps[0].Tasks = 3
		spec.Schedule = jayspec.Schedule{
			Occurrences: rapid.SampledFrom([]int{1, 4, 40}).Draw(t, "occurrences"),
			First:       time.UnixMilli(rapid.SampledFrom([]int64{0, 59_000, 60_500}).Draw(t, "first")),
			Interval:    rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond}).Draw(t, "interval"),
		}
		m := newModel(t, spec)
		m.play()
		if OutcomeOf(m.stored[spec.ID]) == Failed {
			return // given up, since one of its tasks has lost as many workers as a task may
		}
		for occurrence := range spec.Schedule.Occurrences {
			for step := range spec.Steps {
				for index := range spec.Steps[step].Tasks {
					task := jayport.TaskID{Job: spec.ID, Occurrence: occurrence, Step: step, Index: index}
					if !m.started[task] {
						t.Fatalf("%v was never started, and the job is %v", task, OutcomeOf(m.stored[spec.ID]))
					}
				}
			}
		}
	})
}

// play lets random events happen, then continues without faults until all jobs have ended.
func (m *model) play() {
	t := m.t
	crashes := 0
	worker := func() string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "worker") }
	t.Repeat(map[string]func(*rapid.T){
		"decide": func(*rapid.T) { m.decide() },
		"pass":   func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond) },
		"call": func(t *rapid.T) {
			if len(m.calls) == 0 {
				t.Skip("no call")
			}
			m.deliver(takeRandom(t, "call", &m.calls), rapid.IntRange(0, 9).Draw(t, "lost") == 0)
		},
		"answer": func(t *rapid.T) {
			if len(m.answers) == 0 {
				t.Skip("no answer")
			}
			takeRandom(t, "answer", &m.answers)()
		},
		"end": func(t *rapid.T) {
			w := m.workers[worker()]
			if !w.up || len(w.active) == 0 {
				t.Skip("nothing runs")
			}
			w.end(rapid.SampledFrom(w.runs()).Draw(t, "run"), jayport.EndedDone)
		},
		"crash": func(t *rapid.T) {
			w := m.workers[worker()]
			if !w.up || crashes >= maxCrashes-1 {
				t.Skip("the worker is down or has crashed often enough")
			}
			crashes++
			w.up, w.active = false, nil
		},
		"return": func(t *rapid.T) {
			id := worker()
			if m.workers[id].up {
				t.Skip("the worker is up")
			}
			m.start(id)
		},
		"straggle": func(*rapid.T) {
			// Runs become overdue at workers that report, so that they get copies.
			m.list()
			for range 3 {
				m.exchange()
				m.pass(copyInterval)
			}
		},
		"list":   func(*rapid.T) { m.list() },
		"survey": func(*rapid.T) { m.readInventory() },
		"record": func(*rapid.T) { m.record() },
		"takeOver": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "lose") > 0 {
				t.Skip("the owner is kept")
			}
			m.takeOver()
		},
	})
	m.settle()
}
