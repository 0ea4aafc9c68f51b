package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
