package jaystandin

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"jaythread/jayplatform"
)

// The demo's checks rely on the ledger, so each counter has to detect its violation.

func TestLedgerCountsViolations(t *testing.T) {
	t.Run("key runs twice", func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		l.recordRun("a", "key")
		l.recordRun("b", "other")
		is.Equal(l.Counters().DoubledRuns, 0)
		l.recordRun("c", "key")
		is.Equal(l.Counters().DoubledRuns, 1)
	})
	t.Run("service below its minimum counts once per breach", func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		l.SetMinimum("seats", 7)
		for _, available := range []int{7, 6, 5, 7, 6} {
			l.checkBudget("seats", available)
		}
		is.Equal(l.Counters().BudgetBreaches, 2)
	})
	t.Run("worker is used by two pools at once or by a former pool", func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		l.recordRequestStart("w", "seats")
		l.recordRequestEnd("w")
		l.recordRequestStart("w", "fees") // a move without overlap
		is.Equal(l.Counters().PoolOverlaps, 0)
		l.recordRequestStart("w", "seats") // while a request of fees is in flight
		is.Equal(l.Counters().PoolOverlaps, 1)
	})
	t.Run("task runs on two workers", func(t *testing.T) {
		is := is.New(t)
		l := NewLedger()
		l.recordTaskStart("index/0", "a")
		l.recordTaskStop("index/0", "a")
		l.recordTaskStart("index/0", "b")
		is.Equal(l.Counters().TaskOverlaps, 0)
		l.recordTaskStart("index/0", "c")
		is.Equal(l.Counters().TaskOverlaps, 1)
		is.Equal(l.Counters().JobMoves, 2)
	})
}

func TestWorkerFaults(t *testing.T) {
	f := NewFleet(0, time.Hour)
	defer f.Close()
	w, err := f.AddWorker(jayplatform.Instance{ID: "seats-1"}, "seats", 1, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	get := func() (int, string, error) {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+w.report().Addr+"/x", time.Second)
		return status, string(body), err
	}
	t.Run("no fault", func(t *testing.T) {
		is := is.New(t)
		status, body, err := get()
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, Answer("", nil, 0))
	})
	t.Run("requests are refused", func(t *testing.T) {
		is := is.New(t)
		w.SetFaults(WorkerFaults{Refuse: true})
		status, _, err := get()
		is.NoErr(err)
		is.Equal(status, 503)
	})
	t.Run("responses are interrupted", func(t *testing.T) {
		w.SetFaults(WorkerFaults{CutAnswers: true})
		_, _, err := get()
		is.New(t).True(err != nil)
	})
	t.Run("starts fail", func(t *testing.T) {
		is := is.New(t)
		w.SetFaults(WorkerFaults{FailStarts: true})
		is.NoErr(f.Do("seats-1", 1, jayplatform.StartTask{Job: "index"}))
		is.Equal(w.report().Tasks[0].State, jayplatform.TaskFailed)
	})
	t.Run("start arrives after its stop", func(t *testing.T) {
		is := is.New(t)
		w.SetFaults(WorkerFaults{})
		is.NoErr(f.Do("seats-1", 2, jayplatform.StopTask{Job: "late"}))
		is.NoErr(f.Do("seats-1", 2, jayplatform.StartTask{Job: "late"}))
		is.Equal(w.report().Tasks[1], jayplatform.TaskReport{Job: "late", Fence: 2, State: jayplatform.TaskStopped})
		is.NoErr(f.Do("seats-1", 3, jayplatform.StartTask{Job: "late"}))
		is.Equal(w.report().Tasks[1].State, jayplatform.TaskRunning)
	})
	t.Run("planned stop counts interrupted requests", func(t *testing.T) {
		is := is.New(t)
		w.SetFaults(WorkerFaults{})
		w.inFlight.Add(2)
		is.NoErr(f.Do("seats-1", 1, jayplatform.Reboot{}))
		is.Equal(f.Ledger.Counters().CutByStop, 2)
	})
}
