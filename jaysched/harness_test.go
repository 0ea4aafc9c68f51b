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

// harness drives a pool and answers its actions as workers would, unless a test says otherwise.
type harness struct {
	t    *testing.T
	pool *Pool
	now  time.Duration
	// workers are the workers by ID.
	workers map[string]*fakeWorker
	// lose reports whether the answer to an action is lost; a lost start is not carried out.
	lose func(Action) bool
	sent []Action
	// storeUnavailable says that nothing can be recorded.
	storeUnavailable bool
}

// fakeWorker is the state of a worker.
type fakeWorker struct {
	info   jayport.Worker
	silent bool
	active map[jayport.RunRef]jayport.ActiveRun
	ended  []jayport.EndedRun
	next   int64
	// started is when the worker's clock began.
	started time.Duration
}

func newHarness(t *testing.T, workers int, options ...Option) *harness {
	w := &harness{t: t, workers: map[string]*fakeWorker{}, now: time.Minute, lose: func(Action) bool { return false }}
	w.pool = NewPool("seats", Settings{Lease: 4 * time.Second, Stop: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond, FarFactor: 1.5}, options...)
	for n := range workers {
		w.addWorker(fmt.Sprint("w", n))
	}
	w.list()
	w.run()
	return w
}

func (w *harness) addWorker(id string) {
	w.workers[id] = &fakeWorker{
		info: jayport.Worker{
			ID: id, Addr: id + ":1", Pool: "seats", Rack: "r0-" + id, Labels: []string{"a"},
			Capacity: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 1000},
		},
		active: map[jayport.RunRef]jayport.ActiveRun{},
		next:   1,
	}
}

// list passes the list of workers to the pool.
func (w *harness) list() {
	var list []jayport.Worker
	for _, f := range w.workers {
		list = append(list, f.info)
	}
	w.pool.Listed(list, w.now)
}

// run performs the pool's actions until only lease renewals are left, and answers each worker's
// report once.
func (w *harness) run() {
	w.t.Helper()
	for range 20 {
		acted := false
		for _, a := range w.pool.Decide(w.now) {
			w.sent = append(w.sent, a)
			acted = w.perform(a) || acted
		}
		// Information about tasks that may crash workers is recorded without delay.
		if w.pool.recordNow && !w.storeUnavailable {
			w.record()
			acted = true
		}
		if !acted {
			return
		}
		w.now += time.Millisecond
	}
	w.t.Fatal("the pool does not stop producing actions")
}

// perform answers an action; it returns true if the pool may react to the answer.
func (w *harness) perform(a Action) bool {
	lost := w.lose(a)
	if to, call := calledWorker(a); call && w.isReplaced(to) {
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
			w.pool.ReportFailed(a.To, w.now)
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

// calledWorker returns the incarnation that an action calls, if any.
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

// isReplaced reports whether another incarnation answers at the address of an incarnation.
func (w *harness) isReplaced(to jayport.WorkerRef) bool {
	f := w.workers[to.ID]
	return f != nil && !f.silent && f.info.Incarnation != to.Incarnation && to.Incarnation != 0
}

// restart crashes a worker and restarts it under the same ID.
func (w *harness) restart(id string, incarnation jayport.Incarnation) {
	f := w.workers[id]
	f.info.Incarnation = incarnation
	f.active = map[jayport.RunRef]jayport.ActiveRun{}
	f.ended, f.next = nil, 1
	f.started = w.now
}

func (f *fakeWorker) workerRef() jayport.WorkerRef {
	return jayport.WorkerRef{ID: f.info.ID, Incarnation: f.info.Incarnation, Addr: f.info.Addr}
}

// report returns the worker's report.
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

// reports delivers the report of every worker that is not silent.
func (w *harness) reports() {
	for _, id := range sortedKeys(w.workers) {
		f := w.workers[id]
		if !f.silent {
			w.pool.Reported(f.workerRef(), f.report(w.now), w.now, w.now)
		}
	}
	w.run()
}

// finish ends all runs of a job's step with an ending, and delivers the workers' reports.
func (w *harness) finish(job string, step int, how jayport.Ending) {
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
func (w *harness) pass(d time.Duration) {
	w.now += d
	w.run()
}

// record records the progress of the pool.
func (w *harness) record() *Batch {
	b := w.pool.TakeBatch()
	if b != nil {
		w.pool.BatchRecorded(b, w.now)
	}
	return b
}

// running returns the running tasks, with their workers.
func (w *harness) running() map[string]string {
	at := map[string]string{}
	for id, f := range w.workers {
		for ref := range f.active {
			at[ref.Task.String()] = id
		}
	}
	return at
}

// starts counts the runs of a task that were ordered.
func (w *harness) starts(task string) int {
	runs := map[int64]bool{}
	for _, a := range w.sent {
		if s, ok := a.(StartRun); ok && s.Order.Run.Task.String() == task {
			runs[s.Order.Run.Number] = true
		}
	}
	return len(runs)
}

// refOf refers to a worker that does not report its incarnation.
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

// newSpec returns a job of some steps of two tasks, each step after the one before.
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

func declare(w *harness, job *jayspec.Job) {
	w.pool.Declare(job, w.now)
	w.run()
}

func wantState(t *testing.T, w *harness, id string, want State) {
	t.Helper()
	got, known := w.pool.StateOf(id)
	is.New(t).True(known)
	is.New(t).Equal(got.String(), want.String())
}
