package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayshare"
)

// newShortage returns a pool of one worker that runs a job of organisation x, with many more
// waiting jobs of x and one of y behind them.
func newShortage(t *testing.T) *harness {
	t.Helper()
	w := newHarness(t, 1)
	w.pool.settings.FairShares = true
	for n := range 20 {
		w.submit(fmt.Sprintf("x%02d", n), "x")
	}
	w.submit("y", "y")
	w.pass(reviewInterval)
	return w
}

func (w *harness) submit(id, organisation string) {
	spec := newSpec(id, 1, tasks(4, 1000, 100))
	spec.Organisation = organisation
	declare(w, spec)
}

// beyond returns the jobs beyond their share.
func (w *harness) beyond(ids ...string) (beyond []string) {
	for _, id := range ids {
		if w.pool.jobs[id].beyondShare {
			beyond = append(beyond, id)
		}
	}
	return beyond
}

func TestFairShares(t *testing.T) {
	t.Run("jobs within the share start first", func(t *testing.T) {
		is := is.New(t)
		w := newShortage(t)
		is.Equal(w.beyond("x00", "x01", "x19", "y"), []string{"x01", "x19"})
		w.finish("x00", 0, jayport.EndedDone)
		is.Equal(w.starts("y.0.0.0"), 1)
	})
	t.Run("a late job within the share waits for jobs that can be on time", func(t *testing.T) {
		w := newShortage(t)
		beyond, within := w.pool.jobs["x19"], w.pool.jobs["y"]
		is := is.New(t)
		is.Equal(compareJobs(within, beyond), -1)
		within.deadlineStatus = late
		is.Equal(compareJobs(within, beyond), 1)
		beyond.deadlineStatus = late
		is.Equal(compareJobs(within, beyond), -1)
	})
	t.Run("a job that runs stays within", func(t *testing.T) {
		is := is.New(t)
		w := newShortage(t)
		for range 10 {
			w.pass(reviewInterval)
			is.Equal(w.beyond("x00", "y"), nil)
		}
	})
	t.Run("a job that arrives between reviews is beyond", func(t *testing.T) {
		w := newShortage(t)
		w.submit("x20", "x")
		is.New(t).Equal(w.beyond("x20"), []string{"x20"})
	})
	t.Run("a job that needs no processors is within", func(t *testing.T) {
		// Guards against a job that stays behind all others since no review considers it.
		w := newShortage(t)
		spec := newSpec("memory", 1, tasks(1, 0, 100))
		spec.Organisation = "x"
		declare(w, spec)
		is.New(t).Equal(w.beyond("memory"), nil)
	})
	t.Run("nothing is sorted with capacity for all, whatever is used elsewhere", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.pool.SetUsedElsewhere(2, []jayshare.Use{{Organisation: "x", UsedMilli: 90_000}}, w.now)
		w.pool.settings.FairShares = true
		w.submit("x", "x")
		w.submit("y", "y")
		is.True(!w.pool.reviewShares(false, w.now+time.Second))
		is.True(w.pool.fairness.participants == nil)
	})
}

func TestTinyWeightDoesNotStarve(t *testing.T) {
	// Guards against an organisation whose share rounds to zero: all its jobs would wait until no
	// other organisation has work within its share.
	is := is.New(t)
	w := newShortage(t)
	w.pool.SetWeights(map[string]float64{"y": 1e-9})
	w.submit("y1", "y")
	w.pass(reviewInterval)
	is.Equal(w.beyond("y", "y1"), []string{"y1"})
	w.finish("x00", 0, jayport.EndedDone)
	is.Equal(w.starts("y.0.0.0"), 1)
}

func TestSharesWithoutFleetOwner(t *testing.T) {
	// Guards against decisions by what a lost owner of the fleet said: y uses much elsewhere.
	is := is.New(t)
	w := newShortage(t)
	w.pool.SetUsedElsewhere(2, []jayshare.Use{{Organisation: "y", UsedMilli: 90_000}}, w.now)
	w.pass(reviewInterval)
	is.Equal(w.beyond("y"), []string{"y"})
	w.pass(jayshare.MaxAge + reviewInterval)
	is.Equal(w.beyond("y"), nil)
}

func TestMessageOfReplacedFleetOwnerIsIgnored(t *testing.T) {
	// Guards against a late or repeated message of a replaced owner of the fleet.
	w := newShortage(t)
	w.pool.SetUsedElsewhere(2, nil, w.now)
	w.pool.SetUsedElsewhere(1, []jayshare.Use{{Organisation: "y", UsedMilli: 90_000}}, w.now)
	w.pass(reviewInterval)
	is.New(t).Equal(w.beyond("y"), nil)
}

func TestNewOwnerOfPoolDividesByItself(t *testing.T) {
	// Guards against shares that need what only the former owner knew: the next one finds jobs in
	// the store, and has heard nothing of other pools.
	w := newHarness(t, 0, WithFence(2, 2))
	w.pool.settings.FairShares = true
	for n := range 4 {
		w.submit(fmt.Sprint("x", n), "x")
	}
	w.submit("y", "y")
	w.addWorker("w0")
	w.list()
	w.pass(reviewInterval)
	w.pass(reviewInterval)
	is.New(t).Equal(w.beyond("x0", "x1", "y"), []string{"x1"})
}

// BenchmarkReviewShares measures a review, and a report to the fleet's owner, with 20,000 waiting
// jobs of 330 organisations. In the worst case the review changes a third of the jobs.
func BenchmarkReviewShares(b *testing.B) {
	review := func(name string, on bool, each func(p *Pool, now time.Duration)) {
		b.Run(name, func(b *testing.B) {
			p := newBurst(80).pool
			p.settings.FairShares = on
			for n := range 20_000 {
				spec := newSpec(fmt.Sprint(n), 1, tasks(8, 1000, 100))
				spec.Organisation = fmt.Sprint(n % 330)
				p.Declare(spec, time.Minute+time.Duration(n))
			}
			p.lackedRoom = true
			for now := 2 * time.Minute; b.Loop(); now += reviewInterval {
				each(p, now)
			}
		})
	}
	review("off", false, func(p *Pool, now time.Duration) { p.reviewDeadlines(now) })
	review("on", true, func(p *Pool, now time.Duration) { p.reviewDeadlines(now) })
	review("a third changes", true, func(p *Pool, now time.Duration) {
		for n := 0; n < len(p.open); n += 3 {
			p.open[n].beyondShare = !p.open[n].beyondShare
		}
		p.reviewDeadlines(now)
	})
	review("report", true, func(p *Pool, now time.Duration) { p.OrganisationUses(now) })
}
