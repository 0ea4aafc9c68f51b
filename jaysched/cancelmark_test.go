package jaysched

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestCancellationsOfUnknownJobsAreBounded guards against an owner that exceeds its memory since
// callers cancel jobs that never were.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	for n := range maxCancelMarks {
		_, kept := w.pool.CancelUnknown(fmt.Sprint(n), "", w.now)
		is.True(kept)
	}
	_, kept := w.pool.CancelUnknown("one more", "", w.now)
	is.True(!kept)
	w.record()
	w.now += minCancelMarkTime - 1
	_, expired := w.pool.Expired(w.now, 0, 10)
	is.Equal(len(expired), 0)
	w.now++
	jobs, expired := w.pool.Expired(w.now, 0, 10)
	is.Equal(len(jobs), 0)
	w.pool.Removed(expired, true)
	_, kept = w.pool.CancelUnknown("one more", "", w.now)
	is.True(kept)
}

// TestCancellationsByTwoOrganisationsAreBothRecorded guards against a cancelling that is answered
// although only that of another organisation is recorded.
func TestCancellationsByTwoOrganisationsAreBothRecorded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	w.pool.CancelUnknown("j", "zeta", w.now)
	batch := w.pool.TakeBatch()
	recorded, _ := w.pool.CancelUnknown("j", "acme", w.now)
	is.True(!recorded)
	w.pool.BatchRecorded(batch, w.now)
	recorded, _ = w.pool.CancelUnknown("j", "acme", w.now)
	is.True(!recorded)
	w.record()
	recorded, _ = w.pool.CancelUnknown("j", "acme", w.now)
	is.True(recorded)
}

// TestBatchOfACancellationDoesNotEndTheJob guards against a job that seems cancelled: a cancelling by
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
		w.now += minCancelMarkTime
		_, expired := w.pool.Expired(w.now, 0, 10)
		spec := newSpec("j", 1)
		spec.Organisation = "acme"
		w.pool.DeclareFound(spec, w.now)
		is.New(t).Equal(len(w.pool.Removed(expired, true)), 0)
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
	t.Run("it is cancelled again", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1)
		w.pool.CancelUnknown("j", "acme", w.now)
		w.record()
		w.now += minCancelMarkTime
		_, expired := w.pool.Expired(w.now, 0, 10)
		recorded, _ := w.pool.CancelUnknown("j", "acme", w.now)
		is.True(!recorded)
		is.Equal(len(w.pool.Removed(expired, true)), 0)
		is.Equal(OutcomeOf(w.record().Progress["j"]), Canceled)
	})
}
