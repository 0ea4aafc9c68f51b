package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

var errLost = fmt.Errorf("%w: test", jayport.ErrNoAnswer)

// world drives a pool and answers its actions as workers would, unless a test
// says otherwise.
type world struct {
	t    *testing.T
	pool *Pool
	now  time.Duration
	// workers are by ID.
	workers map[string]*fakeWorker
	// lose says whether the answer to an action is lost; a lost start is not
	// carried out.
	lose func(Action) bool
	sent []Action
	// storeAway says that nothing can be recorded.
	storeAway bool
}

// fakeWorker is a worker's own view.
type fakeWorker struct {
	info   jayport.Worker
	silent bool
	active map[jayport.RunRef]jayport.ActiveRun
	ended  []jayport.EndedRun
	next   int64
	// started is when its clock began.
	started time.Duration
}

func newWorld(t *testing.T, workers int, options ...Option) *world {
	w := &world{t: t, workers: map[string]*fakeWorker{}, now: time.Minute, lose: func(Action) bool { return false }}
	w.pool = NewPool("seats", Settings{Lease: 4 * time.Second, Stop: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond, FarFactor: 1.5}, options...)
	for n := range workers {
		w.addWorker(fmt.Sprint("w", n))
	}
	w.list()
	w.run()
	return w
}

func (w *world) addWorker(id string) {
	w.workers[id] = &fakeWorker{
		info: jayport.Worker{
			ID: id, Addr: id + ":1", Pool: "seats", Rack: "r0-" + id, Labels: []string{"a"},
			Capacity: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 1000},
		},
		active: map[jayport.RunRef]jayport.ActiveRun{},
		next:   1,
	}
}

// list tells the pool which workers there are.
func (w *world) list() {
	var list []jayport.Worker
	for _, f := range w.workers {
		list = append(list, f.info)
	}
	w.pool.Listed(list, w.now)
}

// run performs the pool's actions until it asks for nothing but leases, and
// answers each worker's report once.
func (w *world) run() {
	w.t.Helper()
	for range 20 {
		acted := false
		for _, a := range w.pool.Decide(w.now) {
			w.sent = append(w.sent, a)
			acted = w.perform(a) || acted
		}
		// What is known of tasks that may crash workers is recorded at once.
		if w.pool.recordNow && !w.storeAway {
			w.record()
			acted = true
		}
		if !acted {
			return
		}
		w.now += time.Millisecond
	}
	w.t.Fatal("the pool does not come to rest")
}

// perform answers an action; it returns true if the pool may act on it.
func (w *world) perform(a Action) bool {
	lost := w.lose(a)
	if to, call := calledWorker(a); call && w.reborn(to) {
		w.pool.Ended(to, "another incarnation answers", w.now)
		return true
	}
	switch a := a.(type) {
	case StartRun:
		f := w.workers[a.To.ID]
		if lost || f == nil || f.silent {
			w.pool.StartAnswered(a.To, a.Order.Run, 0, errLost, w.now)
			return true
		}
		f.active[a.Order.Run] = jayport.ActiveRun{Run: a.Order.Run, Speed: 100}
		w.pool.StartAnswered(a.To, a.Order.Run, w.now, nil, w.now)
		return true
	case StopRun:
		f := w.workers[a.To.ID]
		if lost || f == nil || f.silent {
			w.pool.StopAnswered(a.To, a.Run, 0, errLost, w.now)
			return true
		}
		if _, there := f.active[a.Run]; there {
			f.end(a.Run, jayport.EndedStopped)
		}
		w.pool.StopAnswered(a.To, a.Run, w.now, nil, w.now)
		return true
	case RenewLease:
		f := w.workers[a.To.ID]
		if lost || f == nil || f.silent {
			w.pool.Silent(a.To, w.now)
			return true
		}
		f.acknowledge(a.Order.Acknowledged)
		if a.Order.Wait > 0 {
			return false
		}
		w.pool.Reported(a.To, f.report(w.now), w.now, w.now)
		return true
	default:
		return false
	}
}

// calledWorker returns the incarnation that an action makes a call to.
func calledWorker(a Action) (to jayport.WorkerRef, call bool) {
	switch a := a.(type) {
	case StartRun:
		return a.To, true
	case StopRun:
		return a.To, true
	case RenewLease:
		return a.To, true
	default:
		return jayport.WorkerRef{}, false
	}
}

// reborn reports whether another incarnation answers where an incarnation listened.
func (w *world) reborn(to jayport.WorkerRef) bool {
	f := w.workers[to.ID]
	return f != nil && !f.silent && f.info.Incarnation != to.Incarnation && to.Incarnation != 0
}

// restart crashes a worker and starts it again under the same ID.
func (w *world) restart(id string, incarnation jayport.Incarnation) {
	f := w.workers[id]
	f.info.Incarnation = incarnation
	f.active = map[jayport.RunRef]jayport.ActiveRun{}
	f.ended, f.next = nil, 1
	f.started = w.now
}

func (f *fakeWorker) workerRef() jayport.WorkerRef {
	return jayport.WorkerRef{ID: f.info.ID, Incarnation: f.info.Incarnation, Addr: f.info.Addr}
}

// report is what the worker says of itself.
func (f *fakeWorker) report(clock time.Duration) jayport.Report {
	r := jayport.Report{Incarnation: f.info.Incarnation, Clock: clock - f.started, Ended: append([]jayport.EndedRun{}, f.ended...)}
	for _, a := range f.active {
		r.Active = append(r.Active, a)
	}
	return r
}

func (f *fakeWorker) end(run jayport.RunRef, how jayport.Ending) {
	delete(f.active, run)
	f.ended = append(f.ended, jayport.EndedRun{Number: f.next, Run: run, Ending: how})
	f.next++
}

func (f *fakeWorker) acknowledge(upTo int64) {
	for len(f.ended) > 0 && f.ended[0].Number <= upTo {
		f.ended = f.ended[1:]
	}
}

// reports lets every worker that is not silent report.
func (w *world) reports() {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if !f.silent {
			w.pool.Reported(f.workerRef(), f.report(w.now), w.now, w.now)
		}
	}
	w.run()
}

// finish ends all runs of a job's step in a way, and lets the workers report.
func (w *world) finish(job string, step int, how jayport.Ending) {
	for _, f := range w.workers {
		for ref := range f.active {
			if ref.Task.Job == job && ref.Task.Step == step {
				f.end(ref, how)
			}
		}
	}
	w.pass(time.Millisecond)
	w.reports()
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	w.now += d
	w.run()
}

// record stores what the pool wants stored.
func (w *world) record() *Batch {
	b := w.pool.Flush()
	if b != nil {
		w.pool.Flushed(b, w.now)
	}
	return b
}

// running names the tasks that workers run, with their workers.
func (w *world) running() map[string]string {
	at := map[string]string{}
	for id, f := range w.workers {
		for ref := range f.active {
			at[ref.Task.String()] = id
		}
	}
	return at
}

// starts counts the runs of a task that were ordered.
func (w *world) starts(task string) int {
	runs := map[int64]bool{}
	for _, a := range w.sent {
		if s, ok := a.(StartRun); ok && s.Order.Run.Task.String() == task {
			runs[s.Order.Run.Number] = true
		}
	}
	return len(runs)
}

// refOf names an incarnation of a worker that does not tell its incarnation.
func refOf(id string) jayport.WorkerRef {
	return jayport.WorkerRef{ID: id}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	for i := range keys {
		for j := i + 1; j < len(keys); j++ {
			if keys[j] < keys[i] {
				keys[i], keys[j] = keys[j], keys[i]
			}
		}
	}
	return keys
}

// newSpec returns a job of some steps of two tasks, each after the one before.
func newSpec(id string, steps int, change ...func(*jayspec.Step)) *jayspec.Job {
	j := &jayspec.Job{ID: id, Queue: "q", Pool: "seats", Text: "text", Policy: jayspec.Policy{Attempts: 3, Stretch: 2, Objective: time.Second}}
	for n := range steps {
		s := jayspec.Step{Tasks: 2, Need: jaypool.Resources{ProcessorsMilli: 1000, MemoryMegabytes: 100}, Estimate: time.Second}
		if n > 0 {
			s.After = []int{n - 1}
		}
		for _, c := range change {
			c(&s)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func declare(w *world, job *jayspec.Job) {
	w.pool.Declare(job, w.now)
	w.run()
}

func wantState(t *testing.T, w *world, id string, want State) {
	t.Helper()
	got, known := w.pool.StateOf(id, w.now)
	is.New(t).True(known)
	is.New(t).Equal(got.String(), want.String())
}
