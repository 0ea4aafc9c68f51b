package jaynode

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaysched"
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
		limit := held + jaysched.Footprint(job)
		n.settings.MemoryBytes = (limit - 1) * 100 / jobMemoryPercent

		store := &jaywire.StoreJob{Pool: "seats", Job: lateID, Declaration: lateJob(t, ""), TimeoutMillis: 1000}
		answer := n.intake.storeFor(store)
		is.Equal(answer.HeldBytes, held)
		is.Equal(answer.Outcome, jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE)

		err = n.intake.store("seats", lateID, "", lateJob(t, ""), time.Second, 0)
		var verdict *jayverdict.Error
		is.True(errors.As(n.intake.submitError(err), &verdict))
		is.Equal(verdict.Status, statusUnavailable)
		is.Equal(verdict.RetryAfter, fullRetryAfter)
		is.True(strings.Contains(verdict.Error(), "bytes of memory, of at most"))
		is.NoErr(n.intake.store("seats", testID, "", storedJob(t), time.Second, 0)) // accepted before

		n.settings.MemoryBytes = (limit + 1) * 100 / jobMemoryPercent
		is.NoErr(n.intake.store("seats", lateID, "", lateJob(t, ""), time.Second, 0))
	})
}
