package jaysched

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

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
