package jaynode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// newestOf returns the value of the newest record with a key in a topic, or nil.
func newestOf(w *poolFixture, topic, key string) []byte {
	for _, r := range w.entry.store.store.latest(jayport.Partition{Topic: topic}, "").Records {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

func TestProgressIsKeptUntilDeclarationIsRemoved(t *testing.T) {
	// Guards against running an ended job again days later: its progress record was
	// removed although the removal of its declaration had failed, so that the next owner
	// found a job that had never ended.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		is.True(w.duty.ask(func() { w.entry.node.settings.RetainEnded = time.Second }, time.Second))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		w.entry.node.intake.start(ctx)
		w.refreshClaimsFor(time.Second)
		is.True(w.duty.ask(func() { w.duty.pool.Cancel(testID, w.clock()) }, time.Second))
		w.refreshClaimsFor(time.Second)
		key := jobKey("seats", testID)
		is.True(newestOf(w, topicProgress, key) != nil)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicJobs })
		w.refreshClaimsFor(15 * time.Second)
		is.True(newestOf(w, topicJobs, key) != nil)
		is.True(newestOf(w, topicProgress, key) != nil)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = "" })
		w.refreshClaimsFor(15 * time.Second)
		is.True(newestOf(w, topicJobs, key) == nil)
		is.True(newestOf(w, topicProgress, key) == nil)
	})
}

// Guards against running a cancelled job: its owner, which has stored it, reads its declaration only after
// the records of the job were removed.
func TestJobIsKeptUntilItsDeclarationIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		n := w.entry.node
		n.pools["seats"] = w.duty
		is.True(w.duty.ask(func() { n.settings.RetainEnded = time.Second }, time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n.intake.start(ctx)
		w.refreshClaimsFor(time.Second)
		started, _ := w.workers.counts()
		w.entry.store.set(func(s *faultyStore) { s.refuseReads, s.refuseReadsBy = topicJobs, jayport.ErrRejected })
		time.Sleep(2 * time.Second) // ends the read that is waiting
		const id = "00000000000000c1"
		is.NoErr(n.intake.store("seats", id, "", storedJob(t), time.Second, 0))
		is.True(n.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: id}).Known)
		w.refreshClaimsFor(5 * time.Minute)
		w.entry.store.set(func(s *faultyStore) { s.refuseReads = "" })
		w.refreshClaimsFor(5 * time.Second)
		starts, _ := w.workers.counts()
		is.Equal(starts, started)
	})
}

// Guards against running an ended job again: an append of its declaration that was under way takes effect
// after its records were removed.
func TestEndedJobOutlivesAppendsOfItsDeclaration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		n := w.entry.node
		n.pools["seats"] = w.duty
		is.True(w.duty.ask(func() { n.settings.RetainEnded = MinRetainEnded }, time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n.intake.start(ctx)
		w.refreshClaimsFor(time.Second)
		is.True(n.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: testID}).Known)
		started, _ := w.workers.counts()
		w.refreshClaimsFor(maxAppendAge)
		_, err := w.entry.store.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicJobs}, Records: []jayport.Record{{Key: jobKey("seats", testID), Value: storedJob(t)}}, AsOf: jayport.AnyOffset})
		is.NoErr(err)
		w.refreshClaimsFor(5 * time.Second)
		starts, _ := w.workers.counts()
		is.Equal(starts, started)
	})
}

// Guards against an owner that counts on the future: whatever the store's latency, it is confirmed up
// to the time at which the question was sent, and no later, unless the next owner knows.
func TestConfirmationReachesNoFurtherThanTheQuestion(t *testing.T) {
	for _, lag := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newPoolFixture(t, 1)
				w.refreshClaimsFor(time.Second)
				w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
				w.slowDown(lag)
				joined := w.clock() + time.Millisecond
				w.refreshClaims()
				confirmed := true
				is.True(w.duty.ask(func() {
					w.duty.updateOwnership()
					w.duty.pool.OwnerPaused(joined)
					confirmed = !w.duty.pool.OwnerUnconfirmed()
				}, time.Second))
				is.True(!confirmed)
				w.entry.store.set(func(s *faultyStore) { s.answerDelay, s.refuseTopic = 0, "" })
			})
		})
	}
}
