package jaynode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// appendJob appends a job's declaration to the store, as another entry does.
func (w *poolFixture) appendJob(t *testing.T, id string) {
	t.Helper()
	job := jayport.Append{Partition: jayport.Partition{Topic: topicJobs}, Records: []jayport.Record{{Key: jobKey("seats", id), Value: storedJob(t)}}, AsOf: jayport.AnyOffset}
	if _, err := w.entry.store.store.append(job); err != nil {
		t.Fatal(err)
	}
}

// startIntake starts the entry's intake and makes its duty known to the node.
func (w *poolFixture) startIntake(t *testing.T) {
	t.Helper()
	w.ownPool()
	w.entry.node.intake.start(t.Context())
}

// ownPool makes the duty known to the node.
func (w *poolFixture) ownPool() {
	w.entry.node.mu.Lock()
	defer w.entry.node.mu.Unlock()
	w.entry.node.pools["seats"] = w.duty
}

// cancelJobs cancels jobs that the owner knows.
func (w *poolFixture) cancelJobs(t *testing.T, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if !w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: id}).Known {
			t.Fatalf("job %s is not known", id)
		}
	}
}

// nextOwner makes the entry the owner of the pool once more, under the next fence.
func (w *poolFixture) nextOwner(t *testing.T) {
	t.Helper()
	w.duty.cancel()
	time.Sleep(2 * jobsWait) // the former duty ends
	w.claim.Fence++
	w.claim.Term++
	w.duty = newPoolDuty(w.entry.node, "seats", w.claim)
	w.ownPool()
	w.start(t)
	w.refreshClaimsFor(time.Second)
}

// storedKeys returns the number of a topic's keys that have a value in the store.
func (w *poolFixture) storedKeys(topic string) int {
	return len(w.entry.store.store.latest(jayport.Partition{Topic: topic}, "").Records)
}

// assertEnded checks that callers are shown a job as cancelled.
func assertEnded(t *testing.T, w *poolFixture, id string) {
	t.Helper()
	is := is.New(t)
	answer := w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: id, Organisation: new(string)})
	is.True(answer.Owned)
	is.True(answer.Known)
	is.Equal(stateOf(answer.State), jaysched.StateCanceled)
	stored, _ := w.entry.node.isStored("seats", id)
	is.True(stored) // a repeated request is answered without an append
}

// Guards against a takeover that takes longer than the workers' leases: it read the declarations of all jobs
// that had ended in the past minutes.
func TestTakeoverReadsNoDeclarationsOfEndedJobs(t *testing.T) {
	for _, jobs := range []int{3, declarationsBatch + 7} {
		t.Run(fmt.Sprint(jobs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newIdlePoolFixture(t, 1)
				ids := []string{testID}
				for n := range jobs {
					ids = append(ids, fmt.Sprintf("%016x", n))
					w.appendJob(t, ids[n+1])
				}
				w.entry.node.settings.RetainEnded = MinRetainEnded
				w.startIntake(t)
				w.start(t)
				w.refreshClaimsFor(time.Second)
				w.cancelJobs(t, ids[1:]...)
				w.refreshClaimsFor(declarationsInterval + time.Second)
				is.Equal(w.storedKeys(topicJobs), 1)
				w.nextOwner(t)
				ended := 0
				is.True(w.duty.ask(func() { ended = w.duty.jobs.ended }, time.Second))
				is.Equal(ended, jobs)
				for _, id := range ids[1:] {
					assertEnded(t, w, id)
				}
				w.refreshClaimsFor(MinRetainEnded + 2*expireMargin + expireInterval)
				is.Equal(w.storedKeys(topicProgress), 1)
			})
		})
	}
}

// Guards against running an ended job again: a request for it is repeated after its declaration was removed.
func TestEndedJobIsNotDeclaredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 1)
		w.entry.node.settings.RetainEnded = MinRetainEnded
		w.startIntake(t)
		w.start(t)
		w.refreshClaimsFor(time.Second)
		w.cancelJobs(t, testID)
		started, _ := w.workers.counts()
		w.refreshClaimsFor(declarationsInterval + time.Second)
		is.Equal(w.storedKeys(topicJobs), 0)
		w.appendJob(t, testID)
		w.refreshClaimsFor(time.Second)
		assertEnded(t, w, testID)
		w.nextOwner(t)
		assertEnded(t, w, testID)
		w.refreshClaimsFor(MinRetainEnded + 2*expireMargin + expireInterval)
		is.Equal(w.storedKeys(topicJobs), 0)
		is.Equal(w.storedKeys(topicProgress), 0)
		starts, _ := w.workers.counts()
		is.Equal(starts, started)
	})
}

// Guards against losing a job's declaration while the end of the job is not in the store, and against
// declarations that stay there after a failed removal.
func TestDeclarationIsRemovedOnceTheEndIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.startIntake(t)
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
		is.True(w.duty.ask(func() { w.duty.pool.Cancel(testID, w.clock()) }, time.Second))
		w.refreshClaimsFor(2 * declarationsInterval)
		is.Equal(w.storedKeys(topicJobs), 1)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicJobs })
		w.refreshClaimsFor(2 * declarationsInterval)
		is.Equal(w.storedKeys(topicProgress), 1)
		is.Equal(w.storedKeys(topicJobs), 1)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = "" })
		w.refreshClaimsFor(2 * declarationsInterval)
		is.Equal(w.storedKeys(topicJobs), 0)
	})
}

// Guards against an ended job that callers are told does not exist, or that all organisations see: its record
// restores less than its declaration.
func TestDeclarationIsKeptWithoutEquivalentRecord(t *testing.T) {
	for name, record := range map[string]*jaywire.JobProgress{
		"cancelled before it was declared":        {Outcome: jaywire.JobOutcome(jaysched.Canceled), CanceledBy: []string{""}},
		"recorded with another organisation":      {Outcome: jaywire.JobOutcome(jaysched.Canceled), Organisation: "other"},
		"recorded by an owner that has not ended": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newIdlePoolFixture(t, 2)
				value, err := proto.Marshal(record)
				is.NoErr(err)
				progress := jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, Records: []jayport.Record{{Key: jobKey("seats", testID), Value: value}}, AsOf: jayport.AnyOffset}
				_, err = w.entry.store.store.append(progress)
				is.NoErr(err)
				w.startIntake(t)
				w.start(t)
				w.refreshClaimsFor(2 * declarationsInterval)
				is.Equal(w.storedKeys(topicJobs), 1)
			})
		})
	}
}
