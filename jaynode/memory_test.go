package jaynode

import (
	"errors"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayfootprint"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// TestJobsWithoutMemoryAreRejected guards against an owner that accepts jobs until it exceeds its
// memory and ends, and every next owner after it.
func TestJobsWithoutMemoryAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		n := w.entry.node
		n.pools["seats"] = w.duty
		w.refreshClaimsFor(time.Second)
		n.intake.start(w.duty.ctx)
		job, err := decodeJob("seats", lateID, lateJob(t, ""))
		is.NoErr(err)
		held := w.duty.jobBytes.Load()
		is.True(held > 0) // that of the fixture's job
		limit := held + jayfootprint.Of(job, 1)
		n.settings.MemoryBytes = memoryFor(limit - 1)

		store := &jaywire.StoreJob{Pool: "seats", Job: lateID, Declaration: lateJob(t, ""), TimeoutMillis: 1000}
		answer := n.intake.storeFor(store)
		is.Equal(answer.HeldBytes, held)
		is.Equal(answer.Outcome, jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE)

		err = n.intake.store("seats", lateID, "", lateJob(t, ""), time.Second, 0)
		var verdict *jayverdict.Error
		is.True(errors.As(n.intake.submitError(err), &verdict))
		is.Equal(verdict.Status, statusUnavailable)
		is.Equal(verdict.RetryAfter, jayfootprint.RetryAfter)
		is.True(strings.Contains(verdict.Error(), "bytes of memory, of at most"))
		is.NoErr(n.intake.store("seats", testID, "", storedJob(t), time.Second, 0)) // accepted before

		n.settings.MemoryBytes = memoryFor(limit)
		is.NoErr(n.intake.store("seats", lateID, "", lateJob(t, ""), time.Second, 0))
	})
}

// memoryFor returns the memory of an entry that limits the open jobs of its only pool to some bytes.
func memoryFor(limit int64) int64 {
	return 1 + int64(sort.Search(1<<30, func(n int) bool { return jayfootprint.Limit(int64(n)+1, 1) >= limit }))
}
