package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// renewedDuringTakeover is succeedTimed for an owner that has granted a worker a lease during its takeover, and got
// no report from it since.
func (w *harness) renewedDuringTakeover(term int64, worker string) *harness {
	next := w.succeedTimed(term)
	_, bound := LeaseClock{At: next.now}.LeaseUntil(next.now, next.pool.settings.Lease)
	next.pool.TakeoverLeases([]TakeoverLease{{To: jayport.WorkerRef{ID: worker}, Bound: bound}}, next.now)
	return next
}

// Guards against two runs of a service task: an owner renews the lease of a silent worker during its takeover and is
// lost before it has recorded anything, and the next one relies on the wait that was recorded before.
func TestRecordedWaitHoldsForTheNextTermOnly(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	own := w.running()["a.0.0.0"]
	w.workers[own].silent = true
	second := w.succeedTimed(2)
	second.reportFor(8 * time.Second)
	is.True(second.pool.jobs["a"].progress().Steps[0].Tasks[0].Placement.WaitedMillis >= 7000)
	fourth := second.succeedTimed(4)
	fourth.reportFor(testFormerWait - time.Second)
	is.Equal(fourth.starts("a.0.0.0"), 0)
	fourth.reportFor(2 * time.Second)
	is.Equal(fourth.starts("a.0.0.0"), 1)
}

// Guards against two runs of a service task: an owner that has renewed the lease of a silent worker during its
// takeover records a wait as if it had not.
func TestNoWaitIsRecordedForARenewedWorker(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	own := w.running()["a.0.0.0"]
	w.workers[own].silent = true
	second := w.succeedTimed(2)
	second.reportFor(4 * time.Second)
	third := second.renewedDuringTakeover(3, own)
	third.reportFor(4 * time.Second)
	is.Equal(third.pool.jobs["a"].progress().Steps[0].Tasks[0].Placement.WaitedMillis, uint32(0))
	is.Equal(third.starts("a.0.0.0"), 0)
}

// Guards against two runs of a service task: an owner whose takeover takes longer than the leases of the former owners
// renews a worker, which falls silent, and starts its task elsewhere before that lease has ended.
func TestTasksWaitForALeaseOfALongTakeover(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	own := w.running()["a.0.0.0"]
	w.workers[own].silent = true
	next := newHarness(t, 0, WithFence(2, 2), WithPlacementsSince(1))
	next.now, next.workers = w.now, w.workers
	next.pool.HoldFormerRuns(next.now, next.now+testFormerWait)
	next.now += 2 * testFormerWait
	next.pool.Restore(service("a", 1), w.pool.jobs["a"].progress(), next.now)
	next.pool.TakenOver(next.now)
	next.list()
	_, bound := LeaseClock{Clock: next.now, At: next.now}.LeaseUntil(next.now, next.pool.settings.Lease)
	next.pool.TakeoverLeases([]TakeoverLease{{To: jayport.WorkerRef{ID: own}, Bound: bound}}, next.now)
	readInventory(next)
	next.run()
	t.Logf("lease %v, wait after a takeover %v", next.pool.settings.Lease, takeoverReportTimeout)
	next.reportFor(bound - next.now - 200*time.Millisecond)
	is.Equal(next.starts("a.0.0.0"), 0)
	next.reportFor(time.Second)
	is.Equal(next.starts("a.0.0.0"), 1)
}

// Guards against runs that end soon after a takeover: the first lease that follows it is computed as if the worker's clock
// had been read when the report was used, rather than when it arrived.
func TestLeaseAfterATakeoverCountsTheAgeOfTheReport(t *testing.T) {
	is := is.New(t)
	const age = 2500 * time.Millisecond
	w := newHarness(t, 3)
	declare(w, service("a", 1))
	own := w.running()["a.0.0.0"]
	next := newHarness(t, 0, WithFence(2, 2), WithPlacementsSince(1))
	next.now, next.workers = w.now, w.workers
	next.pool.HoldFormerRuns(next.now, next.now+testFormerWait)
	clock := next.now // that the worker's report shows
	next.now += age
	next.pool.Restore(service("a", 1), w.pool.jobs["a"].progress(), next.now)
	next.pool.TakenOver(next.now)
	next.list()
	report := jayport.Report{Clock: clock}
	next.pool.TakeoverLeases([]TakeoverLease{{To: jayport.WorkerRef{ID: own}, Report: &report, Asked: clock, Answered: clock}}, next.now)
	for _, a := range next.pool.Decide(next.now) {
		if r, ok := a.(RenewLease); ok && r.To.ID == own {
			t.Logf("lease left %v of %v, wait %v", r.Order.LeaseUntil-next.now, next.pool.settings.Lease, r.Order.Wait)
			is.True(r.Order.LeaseUntil-next.now >= next.pool.settings.Lease-100*time.Millisecond)
			return
		}
	}
	t.Fatal("no lease")
}
