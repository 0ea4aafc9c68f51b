package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// renewals returns the latest request to each worker.
func renewals(actions []Action) map[string]RenewLease {
	asked := map[string]RenewLease{}
	for _, a := range actions {
		if r, ok := a.(RenewLease); ok {
			asked[r.To.ID] = r
		}
	}
	return asked
}

func TestLostReportIsRequestedAgainImmediately(t *testing.T) {
	// Guards against jobs that end late, in steps of 1.7 s, while workers leave some requests
	// unanswered: the answer to a request for a report is lost, ends in the meantime are not
	// known, and then the worker counts as silent. Each request could wait for a second and
	// timed out 0.7 s later.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	w.reports()
	actions := w.pool.Decide(w.now)
	is.True(renewals(append(actions, w.sent...))["w0"].Order.Wait <= busyReportWait) // it has runs that end
	w.now += busyReportWait
	w.pool.ReportFailed(refOf("w0"), w.now)
	again := renewals(w.pool.Decide(w.now))["w0"]
	is.Equal(again.To.ID, "w0")
	is.Equal(again.Order.Wait, time.Duration(0))
	is.Equal(again.Order.LeaseUntil, time.Duration(0)) // its lease is not extended by that
	w.addWorker("w1")
	is.True(w.pool.workers["w0"].usable())
	w.pool.ReportFailed(refOf("w0"), w.now)
	is.True(!w.pool.workers["w0"].usable())
	w.reports()
	is.True(w.pool.workers["w0"].usable())
	is.Equal(w.pool.workers["w0"].missingReports, 0)
}

func TestIdleWorkerMayDelayItsReport(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.reports()
	is.Equal(renewals(w.sent)["w0"].Order.Wait, idleReportWait) // each request has a cost
}

func TestRunsLostWithTheirWorkerAreRecorded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1))
	w.pool.TakeEvents()
	w.pass(300 * time.Millisecond)
	w.pool.Ended(refOf("w0"), "another incarnation answers", w.now)
	var lost []Event
	for _, e := range w.pool.TakeEvents() {
		if e.Kind == RunLost {
			lost = append(lost, e)
		}
	}
	is.Equal(len(lost), 2)
	is.Equal(lost[0].Worker, "w0")
	is.Equal(lost[0].Run.Task.String(), "j.0.0.0")
	is.Equal(lost[0].Detail, "another incarnation answers")
	is.True(lost[0].Waited >= 300*time.Millisecond) // time since the run was ordered
	is.True(lost[0].Since <= lost[0].Waited)        // time since the worker's last answer
}

func TestLongListOfUnrecordedEndsIsRequestedLessOften(t *testing.T) {
	// Guards against owners that replace each other every two seconds, while no task of the pool
	// runs: its workers list all ends since the loss of an owner, and the next one receives these
	// lists ten times a second until it answers no pings.
	is := is.New(t)
	w := newHarness(t, 1)
	ends := func(count int) time.Duration {
		f := w.workers["w0"]
		for range count {
			f.end(jayport.RunRef{Task: jayport.TaskID{Job: "unknown"}, Number: 1}, jayport.EndedLapsed)
		}
		w.pool.Reported(refOf("w0"), f.report(w.now), w.now, w.now)
		return w.pool.workers["w0"].askAt - w.now
	}
	is.Equal(ends(1), unrecordedDelay)
	is.Equal(ends(79), 400*time.Millisecond)
	is.Equal(ends(400), maxUnrecordedDelay)
	w.record()
	is.Equal(w.pool.workers["w0"].askAt, w.now) // the ends are acknowledged at once
}

func TestRequestsForAFirstReportAreCounted(t *testing.T) {
	// Guards against requests for the first reports that all have the same short timeout.
	is := is.New(t)
	w := newHarness(t, 0)
	w.addWorker("w0")
	w.list()
	for unanswered := range 3 {
		is.Equal(renewals(w.pool.Decide(w.now))["w0"].Unanswered, unanswered)
		w.pool.ReportFailed(refOf("w0"), w.now)
		w.now += silentRetryDelay
	}
	w.reports()
	w.now += idleReportWait
	w.pool.ReportFailed(refOf("w0"), w.now)
	is.Equal(renewals(w.pool.Decide(w.now))["w0"].Unanswered, 0) // a lost answer of a known worker
}
