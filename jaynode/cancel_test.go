package jaynode

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayowner"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

const lateID = "00000000000000a7"

// lateJob is an encoded declaration of a job of an organisation.
func lateJob(t *testing.T, organisation string) []byte {
	t.Helper()
	value, err := encodeJob(&jayspec.Job{
		ID: lateID, Queue: "list", Organisation: organisation, Accepted: time.Now(),
		Steps: []jayspec.Step{{Tasks: 1, Need: jaypool.Resources{ProcessorsMilli: 100, MemoryMegabytes: 100}, Estimate: time.Second}},
	})
	is.New(t).NoErr(err)
	return value
}

// cancel cancels the late job on behalf of an organisation until that is answered.
func (w *poolFixture) cancel(organisation string) *jaywire.JobAnswer {
	answer := &jaywire.JobAnswer{}
	for range 20 {
		w.refreshClaims()
		answer = w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: lateID, Organisation: &organisation})
		if answer.Owned {
			break
		}
	}
	return answer
}

// startsOf counts the starts of a job.
func (f *fakeWorkers) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, o := range f.starts {
		if o.Run.Task.Job == job {
			count++
		}
	}
	return count
}

// TestCanceledJobWhoseRecordArrivesLater guards against a job that runs although its cancellation was
// answered: it was unknown, since the store did not answer, and then its record took effect.
func TestCanceledJobWhoseRecordArrivesLater(t *testing.T) {
	play := func(name string, arrive func(t *testing.T, w *poolFixture) (arrived func())) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPoolFixture(t, 1)
				w.entry.node.pools["seats"] = w.duty
				w.refreshClaimsFor(time.Second)
				arrived := arrive(t, w)
				is.True(w.cancel("").Owned)
				arrived()
				w.refreshClaimsFor(5 * time.Second)
				is.Equal(w.workers.startsOf(lateID), 0)
				answer := w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: lateID})
				is.True(answer.Known)
				is.Equal(stateOf(answer.State), jaysched.StateCanceled)
			})
		})
	}
	play("the owner's append was under way", func(t *testing.T, w *poolFixture) func() {
		is := is.New(t)
		w.entry.node.intake.start(w.duty.ctx)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		err := w.entry.node.intake.store("seats", lateID, "", lateJob(t, ""), 200*time.Millisecond, 0)
		is.True(errors.Is(err, jayport.ErrNoAnswer))
		is.True(!w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: lateID}).Owned) // nothing can be recorded
		w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
		return func() {}
	})
	play("the append of another entry was under way", func(t *testing.T, w *poolFixture) func() {
		return func() { w.appendLate(t, "") }
	})
	play("the cancellation came to the former owner", func(t *testing.T, w *poolFixture) func() {
		return func() {
			w.replaceOwner()
			w.appendLate(t, "")
		}
	})
	play("the record arrives between two owners", func(t *testing.T, w *poolFixture) func() {
		return func() {
			w.appendLate(t, "")
			w.replaceOwner()
		}
	})
}

// appendLate makes the record of the late job take effect.
func (w *poolFixture) appendLate(t *testing.T, organisation string) {
	t.Helper()
	_, err := w.entry.store.Append(jayport.Append{
		Partition: jayport.Partition{Topic: topicJobs}, AsOf: jayport.AnyOffset,
		Records: []jayport.Record{{Key: jobKey("seats", lateID), Value: lateJob(t, organisation)}},
	}, time.Second)
	is.New(t).NoErr(err)
}

// replaceOwner replaces the pool's owner by the next one.
func (w *poolFixture) replaceOwner() {
	w.duty.cancel()
	w.claim = w.entry.claim(jayowner.PoolDuty("seats"), w.claim.Fence+1, w.claim.Term+1)
	w.duty = newPoolDuty(w.entry.node, "seats", w.claim)
	w.refreshClaims()
	w.entry.node.mu.Lock()
	w.entry.node.pools["seats"] = w.duty
	w.entry.node.mu.Unlock()
	w.entry.node.duties.Go(w.duty.run)
}

// TestCancellationByAnotherOrganisationHasNoEffect guards against an accepted job that never runs
// because a caller who must not know of it has cancelled its ID.
func TestCancellationByAnotherOrganisationHasNoEffect(t *testing.T) {
	for name, replace := range map[string]bool{"the owner stays": false, "the owner is replaced": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPoolFixture(t, 1)
				w.entry.node.pools["seats"] = w.duty
				w.refreshClaimsFor(time.Second)
				answer := w.cancel("zeta")
				is.True(answer.Owned && !answer.Known)
				w.appendLate(t, "acme")
				if replace {
					w.replaceOwner()
				}
				w.refreshClaimsFor(formerLeaseWait + 2*time.Second)
				is.Equal(w.workers.startsOf(lateID), 1)
				if !replace {
					w.replaceOwner() // the record of the cancellation was replaced
					w.refreshClaimsFor(2 * time.Second)
				}
				acme := "acme"
				is.True(w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: lateID, Organisation: &acme}).Known)
			})
		})
	}
}

// TestSubmittingACanceledJob guards against a job that is accepted and never runs: its caller has
// cancelled it before a repeated request for it arrives.
func TestSubmittingACanceledJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.entry.node.pools["seats"] = w.duty
		w.refreshClaimsFor(time.Second)
		w.entry.node.intake.start(w.duty.ctx)
		is.True(w.cancel("acme").Owned)
		is.True(!w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: lateID}).Known) // nobody has submitted it
		err := w.entry.node.intake.store("seats", lateID, "acme", lateJob(t, "acme"), time.Second, 0)
		is.True(errors.Is(err, errCanceled))
		is.NoErr(w.entry.node.intake.store("seats", lateID, "zeta", lateJob(t, "zeta"), time.Second, 0)) // another's
	})
}
