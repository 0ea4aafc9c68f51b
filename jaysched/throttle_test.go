package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
)

// sharedWorker returns a harness with a worker that has a serving task with a target of 200 ms
// and a best-effort run.
func sharedWorker(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, 1)
	service := func(id string, change func(*jayspec.Step)) {
		s := jayspec.Step{Tasks: 1, Need: jaypool.Resources{ProcessorsMilli: 1000, MemoryMegabytes: 100}, LongRunning: true}
		change(&s)
		declare(w, &jayspec.Job{ID: id, Queue: "q", Pool: "seats", Steps: []jayspec.Step{s}})
	}
	service("serves", func(s *jayspec.Step) { s.Target = 200 * time.Millisecond })
	service("fills", func(s *jayspec.Step) { s.Fills = true })
	return w
}

// reportTail makes the worker report a tail latency of the serving task for a time, and the
// ordered speed of the best-effort run. It returns that speed.
func (w *harness) reportTail(millis int64, length time.Duration) int {
	speed := fullSpeed
	for until := w.now + length; w.now < until; w.now += 100 * time.Millisecond {
		f := w.workers["w0"]
		report := jayport.Report{Clock: w.now}
		for ref, a := range f.active {
			if ref.Task.Job == "serves" {
				a.Load = millis
			}
			f.active[ref] = a
			report.Active = append(report.Active, a)
			if ref.Task.Job == "fills" {
				speed = a.Speed
			}
		}
		w.pool.Reported(refOf("w0"), report, w.now, w.now)
		for _, action := range w.pool.Decide(w.now) {
			if p, ok := action.(ThrottleRun); ok {
				a := f.active[p.Run]
				a.Speed = p.Percent
				f.active[p.Run] = a
				speed = p.Percent
			}
		}
	}
	return speed
}

func TestBestEffortRunsAreThrottled(t *testing.T) {
	t.Run("beside a task over its target", func(t *testing.T) {
		// Guards against users of a serving task who wait for seconds: a best-effort run that
		// is started beside it disturbs it and was not throttled.
		is := is.New(t)
		w := sharedWorker(t)
		is.Equal(w.reportTail(100, time.Second), 100)
		is.Equal(w.reportTail(300, 500*time.Millisecond), 40)
		is.Equal(w.reportTail(300, 2*time.Second), 0) // before 4 s have passed
	})
	t.Run("until there is room again", func(t *testing.T) {
		is := is.New(t)
		w := sharedWorker(t)
		w.reportTail(300, 2500*time.Millisecond)
		is.Equal(w.reportTail(180, time.Second), 0) // just below the target: no change
		is.Equal(w.reportTail(100, 5*time.Second), 100)
	})
	t.Run("not without limit if they are not the cause", func(t *testing.T) {
		is := is.New(t)
		w := sharedWorker(t)
		is.Equal(w.reportTail(300, 2500*time.Millisecond), 0)
		is.Equal(w.reportTail(300, 5*time.Second), 100)
		is.Equal(w.reportTail(300, 2*time.Second), 100)
	})
}
