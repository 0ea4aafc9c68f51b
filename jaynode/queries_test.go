package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayring"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

func TestStaleOwnerDoesNotReportUnknownJobs(t *testing.T) {
	// Guards against answering that an accepted job does not exist: the pool's owner was
	// cut off from the store, another entry stored the job meanwhile, and the owner
	// answered from data that it had read seconds before.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.entry.node.pools["seats"] = w.duty
		w.refreshClaimsFor(time.Second)
		answer := w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: "00000000000000ff"})
		is.True(answer.Owned && !answer.Known)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		time.Sleep(3 * time.Second)
		answer = w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: "00000000000000ff"})
		is.True(!answer.Owned)
		answer = w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID})
		is.True(answer.Owned && answer.Known) // a known job needs no fresh data
		w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
	})
}

// Guards against answering that an accepted job does not exist: the owner reaches the store again after
// it has looked for the job and before it checks how old its data is.
func TestOwnerRegainsTheStoreDuringAQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		n := w.entry.node
		n.pools["seats"] = w.duty
		w.refreshClaimsFor(time.Second)
		regain := func() {
			w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
			time.Sleep(5 * time.Second)
			w.refreshClaims()
		}
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		time.Sleep(3 * time.Second)
		answer := n.answerOwned("seats", func(*jaysched.Pool, time.Duration) (jaysched.State, bool) {
			regain()
			return jaysched.Queued, false
		})
		is.True(!answer.Owned)
	})
}

func TestOrganisationsDuringAnUpgrade(t *testing.T) {
	// Guards against accepted jobs that seem not to exist while entries of an earlier version
	// run: they store jobs and ask for them without an organisation.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.entry.node.pools["seats"] = w.duty
		w.refreshClaimsFor(time.Second)
		acme, zeta := "acme", "zeta"
		known := func(job string, organisation *string) bool {
			answer := w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: job, Organisation: organisation})
			is.True(answer.Owned)
			return answer.Known
		}
		is.True(known(testID, &acme)) // stored without an organisation
		const acmeJob = "00000000000000a1"
		value, err := encodeJob(&jayspec.Job{
			ID: acmeJob, Queue: "list", Organisation: acme,
			Steps: []jayspec.Step{{Tasks: 1, Need: jaypool.Resources{ProcessorsMilli: 100, MemoryMegabytes: 100}, Estimate: time.Second}},
		})
		is.NoErr(err)
		w.entry.node.declareStored("seats", acmeJob, value)
		w.refreshClaimsFor(time.Second)
		is.True(known(acmeJob, &acme))
		is.True(!known(acmeJob, &zeta))
		is.True(known(acmeJob, nil)) // asked by an entry of an earlier version
	})
}

// TestAbandonedQueryDoesNotRun guards against a query that writes its result while the answer without
// it is already on its way: the pool's goroutine came to it after its timeout.
func TestAbandonedQueryDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &poolDuty{duty: duty{ctx: t.Context(), inbox: jayring.New[event](1)}}
		ran := false
		is.True(!d.ask(func() { ran = true }, askTimeout))
		late, queued := d.inbox.Take()
		is.True(queued)
		late(0)
		is.True(!ran)
	})
}
