package jaysched

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayquota"
	"jaythread/jayspec"
)

// acmeQuotas returns a quota of the organisation acme in thousandths of a core.
func acmeQuotas(milli int64) Quotas {
	return Quotas{Revision: 1, Of: map[string]jaypool.Resources{"acme": {ProcessorsMilli: milli}}, Current: true}
}

// lend applies a limit of acme's quota.
func lend(w *harness, message, milli, quota int64) {
	w.pool.ApplyQuotaMessage(jayquota.Message{
		Number: jayquota.Number{Fence: 1, Message: message},
		Limits: []jayquota.Limit{{Organisation: "acme", Limit: jaypool.Resources{ProcessorsMilli: milli}, Quota: jaypool.Resources{ProcessorsMilli: quota}, Revision: 1}},
	})
	w.run()
}

// ofAcme returns a job of acme with one step of tasks of a thousand.
func ofAcme(id string, tasks int, change ...func(*jayspec.Step)) *jayspec.Job {
	job := newSpec(id, 1, append(change, func(s *jayspec.Step) { s.Tasks = tasks })...)
	job.Organisation = "acme"
	return job
}

func acmeUse(w *harness) jayquota.Use {
	report := w.pool.QuotaReport(false, w.now)
	at := slices.IndexFunc(report.Uses, func(u jayquota.Use) bool { return u.Organisation == "acme" })
	if at < 0 {
		return jayquota.Use{}
	}
	return report.Uses[at]
}

// TestLimitsOfAnotherOwnerAreNotUsed guards against limits that are lent to another owner of
// the pool, whose message came late.
func TestLimitsOfAnotherOwnerAreNotUsed(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 4)
	w.pool.SetQuotas(acmeQuotas(8000))
	declare(w, ofAcme("j", 6))
	m := jayquota.Message{
		Number: jayquota.Number{Fence: 1, Message: 1}, OwnerFence: w.pool.Fence() + 1,
		Limits: []jayquota.Limit{{Organisation: "acme", Limit: jaypool.Resources{ProcessorsMilli: 4000}, Quota: jaypool.Resources{ProcessorsMilli: 8000}, Revision: 1}},
	}
	w.pool.ApplyQuotaMessage(m)
	w.run()
	is.Equal(len(w.running()), 0)
	m.OwnerFence = w.pool.Fence()
	w.pool.ApplyQuotaMessage(m)
	w.run()
	is.Equal(len(w.running()), 4)
}

func TestTasksWaitForTheirQuota(t *testing.T) {
	w := newHarness(t, 4)
	w.pool.SetQuotas(acmeQuotas(8000))
	t.Run("nothing starts before a limit is lent", func(t *testing.T) {
		is := is.New(t)
		declare(w, ofAcme("j", 6))
		is.Equal(len(w.running()), 0)
		is.Equal(acmeUse(w).Wanted.ProcessorsMilli, int64(6000))
	})
	t.Run("tasks start up to the limit, those without organisation always", func(t *testing.T) {
		is := is.New(t)
		lend(w, 1, 4000, 8000)
		is.Equal(len(w.running()), 4)
		declare(w, newSpec("public", 1))
		is.Equal(len(w.running()), 6)
		use := acmeUse(w)
		is.Equal(use.Used.ProcessorsMilli, int64(4000))
		is.Equal(use.Wanted.ProcessorsMilli, int64(2000))
	})
	t.Run("the end of a task makes room for another one", func(t *testing.T) {
		is := is.New(t)
		w.pool.Cancel("j", w.now)
		w.run()
		w.reports()
		is.Equal(acmeUse(w).Used, jaypool.Resources{})
	})
	t.Run("outdated declarations start nothing", func(t *testing.T) {
		is := is.New(t)
		outdated := acmeQuotas(8000)
		outdated.Current = false
		w.pool.SetQuotas(outdated)
		before := len(w.running())
		declare(w, ofAcme("k", 2))
		is.Equal(len(w.running()), before)
	})
}

func TestQuotaReportAfterATakeover(t *testing.T) {
	// Guards against a quota that is exceeded after a takeover: the next owner told as used
	// only what it had seen running, while workers that had not answered it yet ran more.
	is := is.New(t)
	w := newHarness(t, 2, WithFormerOwner(time.Hour))
	w.pool.SetQuotas(acmeQuotas(8000))
	w.pool.Restore(ofAcme("j", 6), nil, w.now)
	is.Equal(acmeUse(w).Used.ProcessorsMilli, int64(6000)) // no inventory yet: any worker may have any task
	w.pool.InventoryRead([]string{"w0", "w1"}, w.now, w.now)
	w.run()
	is.Equal(acmeUse(w).Used, jaypool.Resources{}) // both workers have answered
}

func TestQuotaReportBeforeQuotasAreKnown(t *testing.T) {
	// Guards against a quota that is exceeded after a takeover: the fleet's owner asked a new
	// owner before that had looked at the quotas, and was told that nothing is in use. The same
	// would happen when a quota is declared for an organisation whose tasks run already.
	is := is.New(t)
	w := newHarness(t, 4)
	declare(w, ofAcme("j", 3))
	is.Equal(acmeUse(w).Used.ProcessorsMilli, int64(3000))
}

// TestGangLargerThanItsQuotaWaits guards against an accepted job that fails for good because its gang exceeds
// a quota, which the next declaration may raise.
func TestGangLargerThanItsQuotaWaits(t *testing.T) {
	gang := func(s *jayspec.Step) { s.Gang = true }
	cases := map[string]struct {
		tasks int
		want  State
	}{
		"it fits":                    {3, Running},
		"it exceeds it by one task":  {4, Running},
		"it exceeds it by two tasks": {5, Queued},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 4)
			w.pool.SetQuotas(acmeQuotas(3000))
			lend(w, 1, int64(c.tasks)*1000, 3000)
			declare(w, ofAcme("j", c.tasks, gang))
			w.record()
			wantState(t, w, "j", c.want)
		})
	}
	waiting := func(name string, test func(is *is.I, w *harness)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 4)
			w.pool.SetQuotas(acmeQuotas(3000))
			lend(w, 1, 3000, 3000)
			declare(w, ofAcme("j", 5, gang))
			w.pass(time.Second)
			is.Equal(len(w.running()), 0)
			test(is, w)
		})
	}
	waiting("it starts once the quota is raised", func(is *is.I, w *harness) {
		w.pool.SetQuotas(Quotas{Revision: 2, Of: acmeQuotas(5000).Of, Current: true})
		w.pool.Decide(w.now)
		is.Equal(acmeUse(w).Largest.ProcessorsMilli, int64(5000)) // it is wanted again
		lend(w, 2, 5000, 5000)
		is.Equal(len(w.running()), 5)
	})
	waiting("other tasks start beside it", func(is *is.I, w *harness) {
		declare(w, ofAcme("k", 3))
		is.Equal(len(w.running()), 3)
	})
	waiting("it asks for nothing", func(is *is.I, w *harness) {
		use := acmeUse(w)
		is.Equal(use.Wanted, jaypool.Resources{})
		is.Equal(use.Largest, jaypool.Resources{})
		is.Equal(w.pool.usage(w.now).milli, int64(0))
		is.Equal(w.pool.Demand(w.now).WorkersAtLeast, 0)
	})
	waiting("the reason is recorded once", func(is *is.I, w *harness) {
		count := 0
		for _, e := range w.pool.TakeEvents() {
			if e.Kind == GangExceedsQuota {
				count++
				is.Equal(e.Detail, "step 0 is a gang of 5 tasks of 1000m,100MB, the quota of its organisation is 3000m,0MB")
			}
		}
		is.Equal(count, 1)
	})
}

// Guards against starts beyond an organisation's first quota by an owner whose declarations are
// older: the fleet's owner has told it the quota and counts on its limit.
func TestQuotaOfLaterDeclarationsIsKept(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 4)
	lend(w, 1, 2000, 8000)
	declare(w, ofAcme("j", 6))
	is.Equal(len(w.running()), 2)
	is.Equal(acmeUse(w).Wanted.ProcessorsMilli, int64(4000))
	for _, j := range w.pool.open {
		is.True(w.pool.waitsForQuota(j, w.now)) // so it is not rejected for a lack of room
	}
}

// Guards against a quota that is exceeded while workers report to a new owner: what they may run is
// computed at intervals, and a worker that grows may run more.
func TestPossibleUseFollowsAGrowingWorker(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1, WithFormerOwner(time.Hour))
	w.pool.SetQuotas(acmeQuotas(8000))
	w.addWorker("w1")
	w.workers["w1"].silent = true
	w.workers["w1"].info.Capacity.ProcessorsMilli = 2000
	w.list()
	w.pool.InventoryRead([]string{"w0", "w1"}, w.now, w.now)
	w.pool.Restore(ofAcme("j", 6), nil, w.now)
	w.run()
	is.Equal(acmeUse(w).Used.ProcessorsMilli, int64(2000))
	w.workers["w1"].info.Capacity.ProcessorsMilli = 4000
	w.list()
	is.Equal(acmeUse(w).Used.ProcessorsMilli, int64(4000))
}
