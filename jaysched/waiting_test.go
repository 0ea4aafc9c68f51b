package jaysched

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// lastWait returns the latest reported wait of a long-running task.
func (w *harness) lastWait() Event {
	var latest Event
	for _, e := range w.pool.TakeEvents() {
		if e.Kind == TaskWaits {
			latest = e
		}
	}
	return latest
}

func TestWaitsAreReported(t *testing.T) {
	reports := func(name, want string, setUp func(w *harness)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2)
			setUp(w)
			w.pool.Declare(newSpec("j", 1, single, longRunning), w.now)
			w.run()
			is.Equal(w.lastWait(), Event{}) // a short wait is normal
			w.reportFor(waitReportAfter + waitReportInterval)
			e := w.lastWait()
			is.Equal(e.Run.Task.String(), "j.0.0.0")
			is.True(strings.Contains(e.Detail, want))
			is.True(e.Waited >= waitReportAfter)
		})
	}
	reports("without room", "lacksRoom 2", func(w *harness) {
		for _, f := range w.workers {
			f.info.Capacity.MemoryMegabytes = 1
		}
		w.list()
	})
	reports("while workers are closed", "notUsable 2", func(w *harness) {
		for _, f := range w.workers {
			f.info.Draining = true
		}
		w.list()
	})
	reports("while workers refuse starts", "refusing 2", func(w *harness) {
		for _, known := range w.pool.workers {
			known.health.refusesUntil = w.now + time.Minute
		}
	})
	t.Run("beside runs of a former owner", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 1, single, longRunning)
		declare(first, spec)
		first.workers["w0"].silent = true
		next := takeOver(t, first, spec)
		clear(next.workers["w1"].active)
		readInventory(next)
		next.reportFor(waitReportAfter + waitReportInterval)
		is.Equal(next.lastWait().Detail, "a former owner may have started it: no report of [w0], not listed []")
	})
	t.Run("not of a task that runs", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, newSpec("j", 1, single, func(s *jayspec.Step) { s.LongRunning = true }))
		w.reportFor(waitReportAfter + waitReportInterval)
		is.Equal(w.lastWait(), Event{})
	})
}

// Guards against a hold of restored tasks that no log line shows: which workers cause it, and how
// long it lasts.
func TestHoldOfRestoredTasksIsReported(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 2)
	spec := newSpec("j", 1, single, longRunning)
	declare(first, spec)
	next := takeOver(t, first, spec)
	next.workers["w0"].silent, next.workers["w1"].silent = true, true
	readInventory(next)
	next.reportFor(2 * waitReportInterval)
	events := map[EventKind]Event{}
	for _, e := range next.pool.TakeEvents() {
		events[e.Kind] = e
	}
	is.True(strings.HasPrefix(events[TasksHeld].Detail, "1, 1 of services: no report of [w0 w1]"))
	is.True(events[TasksHeld].Waited >= waitReportInterval)
	is.Equal(events[TasksReleased], Event{})
	next.workers["w0"].silent, next.workers["w1"].silent = false, false
	next.reportFor(waitReportInterval)
	for _, e := range next.pool.TakeEvents() {
		events[e.Kind] = e
	}
	is.True(events[TasksReleased].Waited >= 2*waitReportInterval)
}

// Guards against service tasks without a run that no metric shows: how many, for how long, and why.
func TestServiceWaitsAreCounted(t *testing.T) {
	counts := func(name string, want WaitReason, setUp func(w *harness), options ...Option) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2, options...)
			spec := newSpec("j", 1, longRunning)
			spec.Organisation = "acme"
			w.pool.Declare(newSpec("short", 1, tasks(20, 1000, 100)), w.now)
			w.pool.Declare(spec, w.now)
			setUp(w)
			w.pass(waitReportInterval)
			w.pass(waitReportInterval)
			is.Equal(w.pool.ServiceWaits(), ServiceWaits{At: w.now, Tasks: map[WaitReason]int{want: 2}, Longest: w.pool.ServiceWaits().Longest})
			is.True(w.pool.ServiceWaits().Longest >= 2*waitReportInterval)
		})
	}
	counts("without workers", WaitNoWorker, func(w *harness) { clear(w.workers); w.list() })
	counts("while workers are closed", WaitNoWorker, func(w *harness) {
		for _, known := range w.pool.sorted {
			known.Draining = true
		}
	})
	counts("while the quota is reached", WaitQuota, func(w *harness) { w.pool.SetQuotas(acmeQuotas(1000)) })
	counts("while starts are limited", WaitWorkerFree, func(w *harness) { w.pool.SetStarts(0) })
	counts("without a confirmed owner", WaitOwnerUnconfirmed, func(w *harness) { w.pool.OwnerPaused(w.now) }, WithReplaceableOwner(time.Minute, time.Hour))
	t.Run("beside runs of a former owner", func(t *testing.T) {
		is := is.New(t)
		first := newHarness(t, 2)
		spec := newSpec("j", 1, longRunning)
		declare(first, spec)
		first.workers["w0"].silent = true
		next := takeOver(t, first, spec)
		clear(next.workers["w1"].active)
		readInventory(next)
		next.reportFor(2 * waitReportInterval)
		is.Equal(next.pool.ServiceWaits().Tasks, map[WaitReason]int{WaitFormerRun: 2})
	})
	t.Run("while the store does not record their runs", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		w.storeUnavailable = true
		declare(w, newSpec("j", 1, longRunning))
		w.reportFor(waitReportAfter + waitReportInterval)
		is.Equal(w.pool.ServiceWaits().Tasks, map[WaitReason]int{WaitUnrecorded: 2})
		waits := map[string]bool{}
		for _, e := range w.pool.TakeEvents() {
			if e.Kind == TaskWaits {
				is.Equal(e.Detail, "its run is not recorded")
				is.Equal(e.Run.Number, int64(1))
				waits[e.Run.Task.String()] = true
			}
		}
		is.Equal(len(waits), 2)
	})
	t.Run("not once they run", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 0)
		declare(w, newSpec("j", 1, longRunning))
		w.pass(waitReportInterval)
		is.Equal(w.pool.ServiceWaits().Tasks[WaitNoWorker], 2)
		w.addWorker("w0")
		w.list()
		w.run()
		w.pass(waitReportInterval)
		is.Equal(w.pool.ServiceWaits(), ServiceWaits{At: w.now, Tasks: map[WaitReason]int{}})
	})
	t.Run("with a reason that is listed", func(t *testing.T) {
		for _, cause := range waitCauses {
			is.New(t).True(slices.Contains(WaitReasons(), cause.reason))
		}
	})
}

// BenchmarkServiceWaits measures the count of 600 service tasks that wait on 500 workers without
// room, and of none beside 1,000 waiting short tasks.
func BenchmarkServiceWaits(b *testing.B) {
	count := func(name string, services, short int) {
		b.Run(name, func(b *testing.B) {
			now := time.Minute
			p := NewPool("seats", Settings{Lease: 4 * time.Second})
			var list []jayport.Worker
			for n := range 500 {
				list = append(list, jayport.Worker{ID: fmt.Sprint("w", n), Pool: "seats"})
			}
			p.Listed(list, now)
			for n := range services {
				p.Declare(newSpec(fmt.Sprint("s", n), 1, longRunning), now)
			}
			for n := range short {
				p.Declare(newSpec(fmt.Sprint("j", n), 1, single), now)
			}
			for b.Loop() {
				p.serviceWaits.At = 0
				p.reportWaits(false, now)
			}
		})
	}
	count("300 services", 300, 0)
	count("1000 short tasks", 0, 1000)
}
