package jayspeed

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// known returns the spread of a queue whose jobs' estimates are off by half.
func known() Spread {
	return Spread{job: 0.5}
}

// runsOf returns runs of a job that began at a time and lasted until another.
func runsOf(job string, count int, began, at time.Duration, ended bool) []Run {
	runs := make([]Run, count)
	for n := range runs {
		runs[n] = Run{Job: job, Worker: "w", Began: began, At: at, Predicted: time.Second, Ended: ended, Spread: known()}
	}
	return runs
}

// Guards against a slow worker that is taken for one with wrongly estimated jobs, although the
// earlier tasks of these jobs took as long as predicted on it, and against a sound worker that
// is taken for slow since a step with a wrong estimate follows one with a right estimate.
func TestEarlierEndsOfAJobShowThatItsEstimateIsRight(t *testing.T) {
	const now = 10 * time.Second
	running := append(runsOf("a", 2, now-2500*time.Millisecond, now, false), runsOf("b", 2, now-2500*time.Millisecond, now, false)...)
	ends := append(runsOf("a", 3, now-4*time.Second, now-3*time.Second, true), runsOf("b", 3, now-4*time.Second, now-3*time.Second, true)...)
	t.Run("without ends it is not slow", func(t *testing.T) {
		_, slow := Examine(running, nil, now)
		is.New(t).True(!slow)
	})
	t.Run("with ends in time it is slow", func(t *testing.T) {
		is := is.New(t)
		found, slow := Examine(append(ends, running...), nil, now)
		is.True(slow)
		is.True(found.ChangedAt >= now-4*time.Second)
	})
	t.Run("but ends of another step do not show it", func(t *testing.T) {
		of := slices.Clone(running)
		for n := range of {
			of[n].Step = 1
		}
		_, slow := Examine(append(slices.Clone(ends), of...), nil, now)
		is.New(t).True(!slow)
	})
	t.Run("with late ends the estimates are wrong", func(t *testing.T) {
		late := append(runsOf("a", 3, now-7*time.Second, now-3*time.Second, true), runsOf("b", 3, now-7*time.Second, now-3*time.Second, true)...)
		_, slow := Examine(append(late, running...), nil, now)
		is.New(t).True(!slow)
	})
}

// Guards against a worker that is never recognised since one run without a duration makes the
// evidence undefined.
func TestRunsWithoutDurationShowNothing(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	seen := runsOf("a", 1, now, now, true)
	for _, job := range []string{"b", "c", "d", "e", "f", "g"} {
		seen = append(seen, runsOf(job, 2, now-4*time.Second, now, false)...)
	}
	_, slow := Examine(seen, nil, now)
	is.True(slow)
	factor, known := Factor(seen, nil, now-4*time.Second)
	is.True(known)
	is.True(factor > 2)
}
