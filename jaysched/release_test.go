package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// holdWorker returns a pool in which a run on w0 has taken several times its predicted duration.
func holdWorker(t *testing.T, change ...func(*jayspec.Step)) *harness {
	w := newHarness(t, 1)
	declare(w, newSpec("j", 1, append(change, func(s *jayspec.Step) { s.Tasks = 1 })...))
	w.reports()
	w.addWorker("w1")
	w.list()
	w.run()
	w.pass(1800 * time.Millisecond)
	w.reports()
	return w
}

// releaseWorker asks the pool to release w0 to another pool.
func releaseWorker(w *harness) {
	w.pool.SetVacating([]Vacate{{Worker: "w0", Migrate: true, Restart: true}}, w.now)
	w.pool.SetContracting(true, w.now)
	w.run()
	w.reports()
}

func TestRunsThatHoldAReleasedWorkerAreRestarted(t *testing.T) {
	t.Run("an overdue run starts anew elsewhere, once", func(t *testing.T) {
		is := is.New(t)
		w := holdWorker(t)
		releaseWorker(w)
		is.Equal(w.running(), map[string]string{"j.0.0.0": "w1"})
		is.True(vacated(w, "w0"))
		w.pass(4 * time.Second)
		w.pool.SetVacating([]Vacate{{Worker: "w1", Restart: true}}, w.now)
		w.pool.SetContracting(true, w.now)
		w.run()
		is.Equal(w.starts("j.0.0.0"), 2)
	})
	stays := func(name string, change func(*jayspec.Step)) {
		t.Run(name, func(t *testing.T) {
			w := holdWorker(t, change)
			releaseWorker(w)
			is.New(t).Equal(w.running()["j.0.0.0"], "w0")
		})
	}
	stays("a run that is not overdue is waited for", func(s *jayspec.Step) { s.Estimate = 2 * time.Second })
	stays("a member of a gang is not restarted", func(s *jayspec.Step) { s.Gang = true })
}

func TestNoRestartIfAnotherRunHoldsTheWorker(t *testing.T) {
	// Guards against lost work without gain: of two overdue runs one fits no other worker, so the
	// worker does not leave, but the other one is started anew.
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.workers["w0"].Labels = []string{"disk"}
	declare(w, newSpec("j", 1, tasks(1, 400, 100)))
	declare(w, newSpec("k", 1, tasks(1, 400, 100), func(s *jayspec.Step) { s.RequiredLabel = "disk" }))
	w.reports()
	w.addWorker("w1")
	w.list()
	w.run()
	w.pass(1800 * time.Millisecond)
	w.reports()
	both := map[string]string{"j.0.0.0": "w0", "k.0.0.0": "w0"}
	is.Equal(w.running(), both)
	releaseWorker(w)
	is.Equal(len(w.pool.planRelease(w.pool.workers["w0"], w.now).restart), 2)
	is.Equal(w.running(), both)
}

func TestUnconfirmedOwnerRestartsNothing(t *testing.T) {
	// Guards against runs that an owner stops after a pause, although it may have been replaced
	// and could not start them elsewhere.
	is := is.New(t)
	w := newConfirmedHarness(t, 1)
	declare(w, newSpec("j", 1, func(s *jayspec.Step) { s.Tasks = 1 }))
	w.reports()
	w.addWorker("w1")
	w.list()
	w.run()
	w.pass(1800 * time.Millisecond)
	w.reports()
	w.pool.OwnerPaused(w.now)
	is.True(w.pool.OwnerUnconfirmed())
	releaseWorker(w)
	is.Equal(w.running()["j.0.0.0"], "w0")
}

func TestOrdersToReleaseExpire(t *testing.T) {
	// Guards against a pool that keeps its workers closed after the owner of the fleet is lost.
	is := is.New(t)
	w := holdWorker(t)
	releaseWorker(w)
	is.True(w.pool.contracting(w.now))
	w.pass(contractingTTL)
	is.True(!w.pool.contracting(w.now))
	w.pass(jayport.ClosedTime)
	is.True(w.pool.workers["w0"].usable())
}

func TestNewPoolOwnerUsesReleasedWorkersUntilAskedAnew(t *testing.T) {
	// Guards against workers that nobody uses: the owner of a pool is lost while it releases a
	// worker, and nobody tells the next one that the order is obsolete.
	is := is.New(t)
	first := holdWorker(t)
	releaseWorker(first)
	next := takeOver(t, first, first.pool.jobs["j"].spec)
	next.reports()
	is.True(next.pool.workers["w0"].usable())
	is.Equal(next.starts("j.0.0.0"), 0) // the run that was restarted is adopted
	is.Equal(len(next.running()), 1)
}

// BenchmarkRelease measures a demand with the workers' busy times, with the part off and on.
func BenchmarkRelease(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint(on), func(b *testing.B) {
			r := newBurst(700)
			r.fill(700 * 8)
			for b.Loop() {
				r.now += busyRefreshInterval
				r.pool.SetContracting(on, r.now)
				r.pool.updateBusyTimes(r.now)
				r.pool.Demand(r.now)
			}
		})
	}
}
