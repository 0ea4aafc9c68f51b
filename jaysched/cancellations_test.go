package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBatchOfACancellationDoesNotEndTheJob guards against a job that seems cancelled: a cancellation by
// another organisation was being recorded when the job arrived.
func TestBatchOfACancellationDoesNotEndTheJob(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.CancelUnknown("j", "zeta", w.now)
	batch := w.pool.TakeBatch()
	spec := newSpec("j", 1)
	spec.Organisation = "acme"
	is.True(w.pool.DeclareFound(spec, w.now))
	w.pool.BatchRecorded(batch, w.now)
	w.run()
	wantState(t, w, "j", Running)
	is.Equal(len(w.record().Progress["j"].CanceledBy), 0)
}

// TestJobDeclaredWhileItsCancellationExpires guards against a job that is forgotten, or runs although
// it was cancelled, because it arrives while the record of the cancellation is being removed.
func TestJobDeclaredWhileItsCancellationExpires(t *testing.T) {
	declareLate := func(canceledBy string) *harness {
		w := newHarness(t, 1)
		w.pool.CancelUnknown("j", canceledBy, w.now)
		w.record()
		w.now += time.Hour
		expired := w.pool.ExpiredCancellations(w.now, 0, 10)
		is.New(t).Equal(expired, []string{"j"})
		spec := newSpec("j", 1)
		spec.Organisation = "acme"
		w.pool.DeclareFound(spec, w.now)
		is.New(t).Equal(len(w.pool.CancellationsRemoved(expired, true)), 0)
		w.run()
		return w
	}
	t.Run("by the same organisation", func(t *testing.T) {
		w := declareLate("acme")
		is.New(t).Equal(OutcomeOf(w.record().Progress["j"]), Canceled) // recorded anew
		wantState(t, w, "j", StateCanceled)
	})
	t.Run("by another organisation", func(t *testing.T) {
		wantState(t, declareLate("zeta"), "j", Running)
	})
}

// TestCancellationIsShownOnceRecorded guards against a job that runs after its cancellation was answered:
// it was declared before the cancellation was in the store.
func TestCancellationIsShownOnceRecorded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.CancelUnknown("j", "", w.now)
	w.pool.Declare(newSpec("j", 1), w.now)
	is.True(w.pool.Cancel("j", w.now))
	is.True(!w.pool.Recorded("j"))
	w.record()
	is.True(w.pool.Recorded("j"))
	wantState(t, w, "j", StateCanceled)
}
