package jaysupply

import (
	"cmp"
	"slices"
	"time"
)

// MaxTime is the time returned for work that the capacity cannot complete sooner.
const MaxTime = 1000 * time.Hour

// Supply is the capacity of a pool from now on, in thousandths of a core, as steps in time. The
// zero value has no capacity.
type Supply struct {
	milli int64
	steps []step
}

// step is capacity that is added after a time.
type step struct {
	in    time.Duration
	milli int64
}

// New returns a supply of constant capacity.
func New(milli int64) Supply {
	return Supply{milli: milli}
}

// Milli returns the present capacity.
func (s *Supply) Milli() int64 {
	return s.milli
}

// Add adds capacity that arrives after a time.
func (s *Supply) Add(in time.Duration, milli int64) {
	if milli <= 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(s.steps, in, func(other step, in time.Duration) int { return cmp.Compare(other.in, in) })
	s.steps = slices.Insert(s.steps, at, step{in: in, milli: milli})
}

// TimeFor returns the time within which work is done, in thousandths of a core times seconds.
func (s *Supply) TimeFor(work float64) time.Duration {
	return s.TimeBehind(work, Overload{})
}

// TimeBehind returns the time within which work is done that is served after the work that
// arrives while an overload lasts. Arriving work beyond the capacity is not carried over: its jobs
// become late themselves and are served after earlier ones.
func (s *Supply) TimeBehind(work float64, o Overload) time.Duration {
	at, milli, n := time.Duration(0), s.milli, 0
	for at < MaxTime {
		until, left := o.section(at, float64(milli))
		if n < len(s.steps) {
			until = min(until, s.steps[n].in)
		}
		done := left * (until - at).Seconds()
		if left > 0 && done >= work {
			return at + time.Duration(work/left*float64(time.Second))
		}
		work -= done
		at = until
		for ; n < len(s.steps) && s.steps[n].in <= at; n++ {
			milli += s.steps[n].milli
		}
	}
	return MaxTime
}
