package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// Guards against a service task that is without a run for as long as the owner of its pool changes: a worker
// without any run does not answer, and waiting tasks that may run there count against the quota anew under
// each owner.
func TestIdleSilentWorkerUsesNoQuotaOfServices(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 4)
	service, short := ofAcme("a", 2, longRunning, func(s *jayspec.Step) { s.MaxPerInstance = 1 }), ofAcme("short", 6)
	w.pool.SetQuotas(acmeQuotas(5000))
	lend(w, 1, 2000, 5000)
	declare(w, service)
	declare(w, short)
	running := w.running()
	is.Equal(len(running), 2)
	for _, id := range sortedKeys(w.workers) {
		if len(w.workers[id].active) == 0 {
			w.workers[id].silent = true
			break
		}
	}
	w.crashWorker(running["a.0.0.0"])
	waited := time.Duration(0)
	for term := int64(2); w.running()["a.0.0.0"] == "" && waited < 48*time.Second; term++ {
		former := w
		w = newHarness(t, 0, WithFence(term, term), WithFormerOwner(former.now+15*time.Second), WithPlacementsSince(1))
		w.now, w.workers = former.now, former.workers
		w.pool.SetQuotas(acmeQuotas(5000))
		for _, spec := range []*jayspec.Job{service, short} {
			w.pool.Restore(spec, former.pool.jobs[spec.ID].progress(), w.now)
		}
		w.list()
		readInventory(w)
		w.run()
		lend(w, 1, 5000, 5000)
		for began := w.now; w.running()["a.0.0.0"] == "" && w.now-began < 4*time.Second; waited += time.Second {
			w.reportFor(time.Second)
		}
	}
	t.Logf("task without a run for %v", waited)
	is.True(waited <= maxServiceInterruption)
}
