package jaycancel

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestCancellationsAreBounded guards against an owner that exceeds its memory since callers cancel jobs
// that never were.
func TestCancellationsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	for n := range maxKept {
		_, _, kept := r.Cancel(fmt.Sprint(n), "", 0)
		is.True(kept)
	}
	_, _, kept := r.Cancel("one more", "", 0)
	is.True(!kept)
	r.Recorded(r.TakeChanges())
	is.Equal(len(r.Expired(minKeptTime-1, 0, 10)), 0)
	r.Removed(r.Expired(minKeptTime, 0, 10), true)
	_, _, kept = r.Cancel("one more", "", minKeptTime)
	is.True(kept)
}

// TestCancellationsByTwoOrganisationsAreBothRecorded guards against a cancellation that is answered
// although only that of another organisation is recorded.
func TestCancellationsByTwoOrganisationsAreBothRecorded(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	r.Cancel("j", "zeta", 0)
	first := r.TakeChanges()
	recordedNow := func(want bool) {
		recorded, _, _ := r.Cancel("j", "acme", 0)
		is.Equal(recorded, want)
	}
	recordedNow(false)
	r.Recorded(first)
	recordedNow(false)
	second := r.TakeChanges()
	r.Rejected(second)
	is.True(r.Changed())
	recordedNow(false)
	r.Recorded(r.TakeChanges())
	recordedNow(true)
}

// TestRepeatedCancellationDoesNotExpire guards against a cancellation that is answered while its only
// record is being removed.
func TestRepeatedCancellationDoesNotExpire(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	r.Cancel("j", "acme", 0)
	r.Recorded(r.TakeChanges())
	expired := r.Expired(minKeptTime, 0, 10)
	recorded, _, _ := r.Cancel("j", "acme", minKeptTime)
	is.True(!recorded)
	is.Equal(len(r.Removed(expired, true)), 0)
	is.Equal(r.TakeChanges().By["j"], []string{"acme"})
}
