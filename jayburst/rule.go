package jayburst

import (
	"math"
	"slices"
	"time"
)

const (
	// retained is the weight that earlier predictions keep with each further one, so that a
	// changed order is learned within a few cycles.
	retained = 0.8
	// missWeight is the weight of a prediction that did not come true relative to one that did.
	// One failure stops acting on a rule that came true up to three times, the second failure
	// in a row on any rule.
	missWeight = 2
	// minIntervals is the number of intervals from which regularity can be judged.
	minIntervals = 3
	// minErrors is the number of errors from which they give the uncertainty.
	minErrors = 2
	// rememberedErrors is the number of recent errors that give the uncertainty.
	rememberedErrors = 12
	// errorQuantile and errorFactor give the uncertainty as a multiple of a quantile of the
	// recent errors.
	errorQuantile = 0.75
	errorFactor   = 1.5
	// minUncertainty is the error that sampling alone can cause at both ends of an interval.
	minUncertainty = 300 * time.Millisecond
	// detectionDelay is how long after its begin a burst is confirmed by samples. Until then,
	// a prediction has not failed.
	detectionDelay = 400 * time.Millisecond
)

// record counts the predictions that came true and those that did not, the recent ones with
// more weight.
type record struct {
	hits   float64
	misses float64
}

// add adds the outcome of a prediction.
func (r *record) add(came bool) {
	r.hits *= retained
	r.misses *= retained
	if came {
		r.hits++
	} else {
		r.misses++
	}
}

// confidence returns the expected share of predictions that come true. Without predictions,
// success counts as likely as failure.
func (r *record) confidence() float64 {
	return (r.hits + 1) / (r.hits + missWeight*r.misses + 2)
}

// rule says that a burst begins a certain time after another one.
type rule struct {
	// intervals are the recent times between the two begins, in seconds.
	intervals []float64
	// record is valid once the rule was judged.
	record record
	judged bool
}

// interval returns the usual time between the two begins.
func (r *rule) interval() time.Duration {
	return seconds(median(r.intervals))
}

// experience is what a predictor has learned about its predictions in general.
type experience struct {
	// untried is the record of the first predictions of rules. If these came true in other
	// cases, a rule that was seen once can be relied on: one cycle is enough to learn from.
	untried record
	// intervals are recent intervals of all rules, and errors those of the predictions that
	// named the right pool; both in seconds.
	intervals []float64
	errors    []float64
}

// confidence returns the confidence in a rule.
func (e *experience) confidence(r *rule) float64 {
	if r.judged {
		return r.record.confidence()
	}
	return e.untried.confidence()
}

// judge records whether the prediction of a rule came true.
func (e *experience) judge(r *rule, came bool) {
	if !r.judged {
		r.record, r.judged = e.untried, true
		e.untried.add(came)
	}
	r.record.add(came)
}

// learn adds an interval to a rule.
func (e *experience) learn(r *rule, interval time.Duration) {
	if len(r.intervals) > 0 {
		e.errors = append(e.errors, math.Abs((interval - r.interval()).Seconds()))
		e.errors = e.errors[max(0, len(e.errors)-rememberedErrors):]
	}
	r.intervals = remember(r.intervals, interval.Seconds())
	e.intervals = append(e.intervals, interval.Seconds())
	e.intervals = e.intervals[max(0, len(e.intervals)-rememberedErrors):]
}

// uncertainty returns by how much a begin may differ from its prediction. known is false with
// too few intervals. Before predictions could be compared with begins, the uncertainty follows
// from how much the intervals of all rules differ.
func (e *experience) uncertainty() (within time.Duration, known bool) {
	errors := e.errors
	if len(errors) < minErrors {
		if len(e.intervals) < minIntervals {
			return 0, false
		}
		middle := median(e.intervals)
		errors = nil
		for _, i := range e.intervals {
			errors = append(errors, math.Abs(i-middle))
		}
	}
	sorted := slices.Sorted(slices.Values(errors))
	quantile := sorted[int(errorQuantile*float64(len(sorted)-1))]
	return max(minUncertainty, seconds(errorFactor*quantile)), true
}
