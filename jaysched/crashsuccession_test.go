package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// Guards against a service task that is without a run for as long as the owner of its pool changes: it was on
// many lost workers, and each owner delayed it anew.
func TestDelayAfterCrashesDoesNotBeginAnewWithEachOwner(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 3)
	services := []*jayspec.Job{service("a", 3), service("b", 3)}
	for _, spec := range services {
		declare(w, spec)
	}
	for range maxCrashes + maxCrashDelayDoublings {
		w.reportFor(maxCrashDelay + maxServiceWait)
		is.Equal(len(w.running()), 6)
		w.loseAll()
	}
	waited := time.Duration(0)
	for term := int64(2); len(w.running()) < 6 && waited < 48*time.Second; term++ {
		w = w.succeed(term, services...)
		w.reportFor(maxCrashDelay - time.Second)
		waited += maxCrashDelay - time.Second
	}
	t.Logf("tasks without a run for %v", waited)
	is.True(waited <= maxServiceInterruption)
}
