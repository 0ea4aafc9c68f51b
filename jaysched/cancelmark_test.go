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
	is.Equal(len(w.pool.Expired(w.now, 0, 10)), 0)
	w.now++
	w.pool.Removed(w.pool.Expired(w.now, 0, 10), true)
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
