package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// newIncarnationHarness returns a harness whose workers report their incarnations.
func newIncarnationHarness(t *testing.T, workers int, incarnation jayport.Incarnation, options ...Option) *harness {
	t.Helper()
	w := newHarness(t, 0, options...)
	for n := range workers {
		id := string(rune('a' + n))
		w.addWorker(id)
		w.workers[id].info.Incarnation = incarnation
	}
	w.list()
	w.run()
	return w
}

// listAndReport delivers a list of workers and the reports of the next second.
func (w *harness) listAndReport() {
	w.list()
	w.reportFor(time.Second)
}

// Guards against confusing a worker that was restarted under its ID with its former
// incarnation: its new ends are ignored, its tasks wait for a lease that no worker holds, and
// its reports are attributed to the former incarnation.
func TestWorkerRestartedUnderItsID(t *testing.T) {
	// returns restarts a worker in some way, and checks that the job is done in the end.
	returns := func(name string, crash func(w *harness)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newIncarnationHarness(t, 1, 1000)
			declare(w, newSpec("before", 1))
			w.finish("before", 0, jayport.EndedDone)
			w.record()
			w.reportFor(time.Second)
			declare(w, newSpec("j", 1))
			is.Equal(len(w.workers["a"].active), 2)
			crash(w)
			w.listAndReport()
			is.Equal(len(w.workers["a"].active), 2) // both tasks run again
			is.Equal(w.starts("j.0.0.0"), 2)
			w.finish("j", 0, jayport.EndedDone)
			w.record()
			wantState(t, w, "j", StateDone)
			w.reportFor(time.Second)
			is.Equal(len(w.workers["a"].ended), 0) // its ends were acknowledged
		})
	}
	returns("the list shows it first", func(w *harness) {
		w.restart("a", 2000)
		w.list()
	})
	returns("an answer shows it first", func(w *harness) {
		w.restart("a", 2000)
		w.pass(busyReportWait)
		w.pool.ReportFailed(jayport.WorkerRef{ID: "a", Incarnation: 1000, Addr: "a:1"}, w.now)
		w.run()
		is.New(w.t).Equal(w.pool.workers["a"], nil) // not used before its heartbeat is listed
	})
	returns("the inventory shows it first", func(w *harness) {
		w.pool.ReportFailed(jayport.WorkerRef{ID: "a", Incarnation: 1000, Addr: "a:1"}, w.now)
		w.now += time.Millisecond
		w.pool.InventoryRead(nil, w.now, w.now)
		w.restart("a", 2000)
	})
	returns("within the delay of one report", func(w *harness) {
		w.restart("a", 2000)
		w.now += busyReportWait / 2
		w.list()
		w.pool.ReportFailed(jayport.WorkerRef{ID: "a", Incarnation: 1000, Addr: "a:1"}, w.now) // of the former incarnation
	})
	returns("with a clock that was set back", func(w *harness) {
		w.restart("a", 500)
		w.list()
	})
	returns("while it was silent", func(w *harness) {
		w.silenceFor("a", time.Second)
		w.workers["a"].silent = false
		w.restart("a", 2000)
	})
	returns("with an old entry that is listed again", func(w *harness) {
		before := w.workers["a"].info
		w.restart("a", 2000)
		w.list()
		w.run()
		w.pool.Listed([]jayport.Worker{before}, w.now)
		is.New(w.t).Equal(w.pool.workers["a"].Incarnation, jayport.Incarnation(2000))
	})

	t.Run("twice in a row", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		declare(w, newSpec("j", 1))
		w.restart("a", 2000)
		w.list()
		w.restart("a", 1500) // before the second incarnation was called
		w.run()
		w.listAndReport()
		is.Equal(w.pool.workers["a"].Incarnation, jayport.Incarnation(1500))
		is.Equal(len(w.workers["a"].active), 2)
	})
	t.Run("between a start and its answer", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		w.pool.Declare(newSpec("j", 1, single), w.now)
		start := w.pool.Decide(w.now)[0].(StartRun)
		w.restart("a", 2000)
		w.list()
		w.pool.StartAnswered(start.To, start.Order.Run, time.Hour, nil, w.now) // the answer of the former incarnation
		w.listAndReport()
		is.Equal(len(w.workers["a"].active), 1)
		is.True(w.pool.workers["a"].clock < time.Hour)
	})
	t.Run("no state of the former incarnation is sent to it", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		w.reportFor(time.Minute)
		declare(w, newSpec("before", 1))
		w.finish("before", 0, jayport.EndedDone)
		w.record()
		w.reportFor(time.Second)
		w.restart("a", 2000)
		w.list()
		w.sent = nil
		w.run()
		first := renewals(w.sent)["a"]
		is.Equal(first.To.Incarnation, jayport.Incarnation(2000))
		for _, a := range w.sent {
			if r, ok := a.(RenewLease); ok {
				is.Equal(r.Order.Acknowledged, int64(0))
				is.True(r.Order.LeaseUntil < 10*time.Second) // by its own clock
			}
		}
	})
	t.Run("late answers of the former incarnation are ignored", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		former := jayport.WorkerRef{ID: "a", Incarnation: 1000, Addr: "a:1"}
		declare(w, newSpec("j", 1, single))
		run := w.pool.workers["a"].inOrder[0].ref()
		w.restart("a", 2000)
		w.list()
		w.run()
		is.Equal(w.starts("j.0.0.0"), 2)
		ended := jayport.Report{Clock: time.Hour, Ended: []jayport.EndedRun{{Number: 9, Run: run, Ending: jayport.EndedDone}}}
		w.pool.Reported(former, ended, w.now, w.now)
		w.pool.StopAnswered(former, run, time.Hour, nil, w.now)
		w.pool.ReportFailed(former, w.now)
		w.pool.Ended(former, "late", w.now)
		next := w.pool.workers["a"]
		is.Equal(next.processed, int64(0))
		is.True(next.clock < time.Hour)
		is.Equal(next.missingReports, 0)
		is.Equal(len(next.runs), 1)
		is.True(!w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].done)
	})
	t.Run("ends of the former incarnation are not acknowledged to it", func(t *testing.T) {
		// Acknowledgements of other ends would make the new incarnation forget ends that were
		// not processed.
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		declare(w, newSpec("j", 1))
		w.finish("j", 0, jayport.EndedDone)
		batch := w.pool.TakeBatch()
		w.restart("a", 2000)
		w.list()
		w.run()
		w.pool.BatchRecorded(batch, w.now)
		is.Equal(w.pool.workers["a"].acknowledged, int64(0))
	})
	t.Run("a report of another incarnation ends it", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		declare(w, newSpec("j", 1, single))
		former := w.pool.workers["a"].workerRef()
		w.pool.Reported(former, jayport.Report{Incarnation: 2000, Clock: time.Second}, w.now, w.now)
		is.Equal(w.pool.workers["a"], nil)
		is.True(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].waiting())
	})
	t.Run("its health and the advice about it are reset", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		spec := newSpec("j", 1, single)
		spec.Policy.Advised = true
		declare(w, spec)
		asked := w.now
		s := w.pool.jobs["j"].occurrences[0].steps[0]
		s.advice.permit("a", ticket{text: "old", until: w.now + time.Hour})
		w.pool.workers["a"].health.recordRefusal(jayport.RefusedUnhealthy, w.now)
		w.restart("a", 2000)
		w.now += time.Millisecond
		w.list()
		w.pool.AdviceAnswered(AskAdvice{Step: s.id, Workers: []string{"a"}}, jayport.Advice{Tickets: map[string]string{"a": "late"}, Valid: time.Hour}, nil, asked, w.now)
		is.Equal(len(s.advice.tickets), 0)
		is.True(!w.pool.workers["a"].health.avoided(w.now))
	})
	t.Run("it may have another capacity and address", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		w.restart("a", 2000)
		w.workers["a"].info.Capacity = jaypool.Resources{ProcessorsMilli: 1000, MemoryMegabytes: 1000}
		w.workers["a"].info.Addr = "elsewhere:1"
		w.listAndReport()
		declare(w, newSpec("j", 1))
		is.Equal(len(w.workers["a"].active), 1) // one of two tasks fits
		is.Equal(w.pool.workers["a"].workerRef().Addr, "elsewhere:1")
	})
	t.Run("an order to vacate remains valid", func(t *testing.T) {
		w := newIncarnationHarness(t, 1, 1000)
		w.pool.SetVacating([]Vacate{{Worker: "a"}}, w.now)
		w.restart("a", 2000)
		w.listAndReport()
		declare(w, newSpec("j", 1))
		is.New(t).Equal(len(w.running()), 0)
	})
	t.Run("during a takeover", func(t *testing.T) {
		is := is.New(t)
		first := newIncarnationHarness(t, 2, 1000)
		spec := newSpec("j", 1, func(s *jayspec.Step) { s.MaxPerInstance = 1 })
		declare(first, spec)
		next := newHarness(t, 0, WithFence(9, 2), WithFormerOwner(first.now+15*time.Second))
		next.now, next.workers = first.now, first.workers
		next.pool.Restore(spec, nil, next.now)
		next.list() // the heartbeats of the former incarnations
		next.restart("a", 2000)
		next.run()
		readInventory(next)
		next.listAndReport()
		is.Equal(len(next.running()), 2)
		is.Equal(next.starts("j.0.0.0")+next.starts("j.0.0.1"), 1) // the other one continues
	})
	t.Run("its loss is attributed to the run that it had just started", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 1000)
		declare(w, newSpec("j", 1, single))
		w.restart("a", 2000)
		w.list()
		w.run()
		is.Equal(len(w.pool.jobs["j"].occurrences[0].steps[0].tasks[0].crashes), 1)
	})
	t.Run("a worker that reports its incarnation late is the same", func(t *testing.T) {
		is := is.New(t)
		w := newIncarnationHarness(t, 1, 0)
		declare(w, newSpec("j", 1))
		w.workers["a"].info.Incarnation = 1000
		w.reportFor(time.Second)
		w.list()
		w.run()
		is.Equal(w.starts("j.0.0.0"), 1)
		is.Equal(len(w.running()), 2)
		w.finish("j", 0, jayport.EndedDone)
		w.record()
		wantState(t, w, "j", StateDone)
	})
}

// silenceFor makes a worker silent for a time.
func (w *harness) silenceFor(id string, d time.Duration) {
	w.workers[id].silent = true
	for range silentAfter {
		w.pool.ReportFailed(w.pool.workers[id].workerRef(), w.now)
	}
	w.pass(d)
}
