package jaysched

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// learnedDurations returns durations after a number of tasks whose estimate and duration are
// functions of a number between 0 and 1.
func learnedDurations(count int, of func(u float64) (estimate, took time.Duration)) *durations {
	d := newDurations()
	for n := range count {
		estimate, took := of(math.Mod(float64(n)*0.618, 1))
		s := &step{job: &job{spec: &jayspec.Job{Queue: "q"}}, decl: &jayspec.Step{Estimate: estimate}}
		d.observe(s, took)
	}
	return d
}

func wantBetween(t *testing.T, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s is not between %s and %s", got, low, high)
	}
}

func TestDurations(t *testing.T) {
	t.Run("estimates are trusted at first", func(t *testing.T) {
		is.New(t).Equal(newDurations().predict("q", time.Second), time.Second)
	})
	t.Run("accurate estimates are kept", func(t *testing.T) {
		d := learnedDurations(100, func(u float64) (time.Duration, time.Duration) {
			s := time.Duration((0.2 + 2*u) * float64(time.Second))
			return s, s
		})
		wantBetween(t, d.predict("q", 500*time.Millisecond), 480*time.Millisecond, 520*time.Millisecond)
	})
	t.Run("estimates that are always half are doubled", func(t *testing.T) {
		d := learnedDurations(100, func(u float64) (time.Duration, time.Duration) {
			s := time.Duration((0.2 + 2*u) * float64(time.Second))
			return s / 2, s
		})
		wantBetween(t, d.predict("q", time.Second), 1800*time.Millisecond, 2200*time.Millisecond)
	})
	t.Run("uninformative estimates are replaced by the mean", func(t *testing.T) {
		// Guards against short jobs that wait behind a long one with a low estimate: the
		// estimates of a queue are inaccurate in both directions and were used unchanged.
		d := learnedDurations(200, func(u float64) (time.Duration, time.Duration) {
			return time.Duration((0.1 + 10*u) * float64(time.Second)), 2 * time.Second
		})
		wantBetween(t, d.predict("q", 100*time.Millisecond), 1300*time.Millisecond, 2500*time.Millisecond)
		wantBetween(t, d.predict("q", 9*time.Second), 1500*time.Millisecond, 2700*time.Millisecond)
	})
}
