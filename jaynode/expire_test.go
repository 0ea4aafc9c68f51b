package jaynode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
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

func TestMinTakeoverTime(t *testing.T) {
	// A new owner makes two more store calls between its claim and its first order. They
	// count as a minimum takeover time only while the store is slow.
	cases := []struct {
		name string
		lag  time.Duration
		want time.Duration
	}{
		{"a fast store adds no minimum takeover time", 20 * time.Millisecond, 0},
		{"a slow store adds the time of two store calls", 300 * time.Millisecond, 600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newPoolFixture(t, 1)
				w.entry.store.set(func(s *faultyStore) { s.answerDelay = c.lag })
				for range 40 {
					_, _ = w.entry.node.store.Append(jayport.Append{Partition: jayport.Partition{Topic: "t"}, AsOf: jayport.AnyOffset}, time.Second)
				}
				is.New(t).Equal(w.duty.minTakeoverTime().Round(10*time.Millisecond), c.want)
				w.entry.store.set(func(s *faultyStore) { s.answerDelay = 0 })
			})
		})
	}
}
