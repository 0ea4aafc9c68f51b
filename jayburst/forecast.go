package jayburst

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Settings configures a forecast.
type Settings struct {
	// Horizon is how long before its begin a burst is of interest.
	Horizon time.Duration
	// MaxUncertainty is the largest uncertainty of a prediction that is of use.
	MaxUncertainty time.Duration
	// Predictors are combined; for each pool the one with the highest confidence counts.
	Predictors []Predictor
}

const (
	// minConfidence is the confidence below which a prediction is not used: the hosts that
	// are called for it would more probably be called in vain.
	minConfidence = 0.5
	// minHeightShare is the share of the highest usual burst of all pools below which there is
	// no burst: in a quiet pool, a few large jobs at once look like a small one.
	minHeightShare = 0.25
	// settleTime is how long a predicted burst stays in the forecast once it has begun. Until
	// then the measured rate of arriving work has reached the rate of the burst.
	settleTime = time.Second
)

// Outcome is what became of a prediction.
type Outcome uint8

// The outcomes of predictions.
const (
	// Predicted is a prediction that has come within the horizon.
	Predicted Outcome = iota
	// Came is a predicted burst that has begun.
	Came
	// Missing is a predicted burst that has not begun within its uncertainty.
	Missing
	// Unobserved is a predicted burst of a pool that reported nothing at its time.
	Unobserved
	// Unpredicted is a burst that was not predicted.
	Unpredicted
)

// String returns the outcome as in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"predicted", "came", "missing", "unobserved", "unpredicted"}[o]
}

// Event is a change of the forecast.
type Event struct {
	Outcome Outcome
	// Prediction is the prediction; for an unpredicted burst, only its pool is set.
	Prediction Prediction
	// Began is when the burst began, if it came or was not predicted.
	Began time.Duration
}

// Forecast predicts the bursts of several pools from samples of their arriving work.
type Forecast struct {
	settings  Settings
	minHeight int64
	detectors map[string]*detector
	// expected holds the predicted bursts within the horizon, by pool.
	expected map[string]*expectation
	events   []Event
}

// expectation is a predicted burst within the horizon. began is when it began, or zero.
type expectation struct {
	Prediction
	began time.Duration
}

// New returns a forecast without samples.
func New(settings Settings) *Forecast {
	return &Forecast{settings: settings, detectors: map[string]*detector{}, expected: map[string]*expectation{}}
}

// SetMinHeight sets the rate of arriving work below which there is no burst, in thousandths
// of a core. Samples are ignored until it is set.
func (f *Forecast) SetMinHeight(milli int64) {
	f.minHeight = milli
}

// Observe adds a sample of the rate of a pool's arriving work, in thousandths of a core.
func (f *Forecast) Observe(pool string, milli int64, at time.Duration) {
	d, known := f.detectors[pool]
	if !known {
		d = &detector{}
		f.detectors[pool] = d
	}
	if f.minHeight <= 0 || d.samples > 0 && at <= d.last.at {
		return
	}
	switch d.observe(sample{at: at, milli: float64(milli)}, f.lowestBurst()) {
	case began:
		f.recordBegin(pool, d.beganAt)
	case foundInBurst:
		for _, p := range f.settings.Predictors {
			p.Lost(pool)
		}
	case noChange:
	}
}

// Retain removes the pools that are not to be kept. Their predictions end without an outcome.
func (f *Forecast) Retain(keep func(pool string) bool) {
	for pool := range f.detectors {
		if keep(pool) {
			continue
		}
		delete(f.detectors, pool)
		delete(f.expected, pool)
		for _, p := range f.settings.Predictors {
			p.Forget(pool)
		}
	}
}

// lowestBurst returns the rate of arriving work below which there is no burst.
func (f *Forecast) lowestBurst() float64 {
	highest := 0.0
	for _, d := range f.detectors {
		highest = max(highest, d.usualHeight)
	}
	return max(float64(f.minHeight), minHeightShare*highest)
}

// recordBegin records the begin of a burst as an event and reports it to the predictors.
func (f *Forecast) recordBegin(pool string, at time.Duration) {
	event := Event{Outcome: Unpredicted, Prediction: Prediction{Pool: pool}, Began: at}
	if e, ok := f.expected[pool]; ok && e.began == 0 {
		event.Outcome, event.Prediction = Came, e.Prediction
		e.began = f.detectors[pool].last.at
	}
	f.events = append(f.events, event)
	for _, p := range f.settings.Predictors {
		p.Began(pool, at)
	}
}

// Predict returns the predicted bursts whose begin is within the horizon, or that have just
// begun, ordered by pool. A burst that does not begin within its uncertainty is not returned
// any more.
func (f *Forecast) Predict(now time.Duration) []Prediction {
	best := f.best(now)
	for pool, p := range best {
		e, known := f.expected[pool]
		if known && e.began == 0 && now > e.overdue() {
			f.recordFailure(e, now)
			known = false
		}
		switch {
		case !known:
			f.expected[pool] = &expectation{Prediction: p}
			f.events = append(f.events, Event{Outcome: Predicted, Prediction: p})
		case e.began == 0:
			e.Prediction = p
		}
	}
	var predictions []Prediction
	for _, pool := range slices.Sorted(maps.Keys(f.expected)) {
		e := f.expected[pool]
		if f.end(e, best, now) {
			delete(f.expected, pool)
			continue
		}
		predictions = append(predictions, e.Prediction)
	}
	return predictions
}

// end reports whether a predicted burst is no longer expected. If it has not begun, end records
// the failure of its prediction.
func (f *Forecast) end(e *expectation, best map[string]Prediction, now time.Duration) bool {
	if e.began > 0 {
		return now > e.began+settleTime
	}
	if _, still := best[e.Pool]; still && now <= e.overdue() {
		return false
	}
	f.recordFailure(e, now)
	return true
}

// recordFailure records that a predicted burst has not begun.
func (f *Forecast) recordFailure(e *expectation, now time.Duration) {
	outcome := Missing
	if !f.detectors[e.Pool].observed(now) {
		outcome = Unobserved
	}
	f.events = append(f.events, Event{Outcome: outcome, Prediction: e.Prediction})
}

// best returns the prediction with the highest confidence for each pool with a usable one
// within the horizon.
func (f *Forecast) best(now time.Duration) map[string]Prediction {
	observed := func(pool string) bool { return f.detectors[pool].observed(now) }
	best := map[string]Prediction{}
	for _, predictor := range f.settings.Predictors {
		for _, p := range predictor.Predict(now, observed) {
			d := f.detectors[p.Pool]
			p.HeightMilli = int64(d.usualHeight)
			usable := p.Confidence >= minConfidence && p.Uncertainty <= f.settings.MaxUncertainty && p.HeightMilli > 0 && !d.inBurst
			near := p.Begin-f.settings.Horizon <= now && now <= p.overdue()
			if usable && near && p.Confidence > best[p.Pool].Confidence {
				best[p.Pool] = p
			}
		}
	}
	return best
}

// TakeEvents returns and clears the events since the last call, ordered by pool.
func (f *Forecast) TakeEvents() []Event {
	events := f.events
	f.events = nil
	slices.SortStableFunc(events, func(a, b Event) int { return strings.Compare(a.Prediction.Pool, b.Prediction.Pool) })
	return events
}
