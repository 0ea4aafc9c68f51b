package jayfleet

import (
	"time"

	"jaythread/jayburst"
)

// minBurstShare is the share of the mean capacity of a pool below which arriving work is no
// burst: the pool's own hosts serve it.
const minBurstShare = 0.2

// burstPredictor predicts the bursts of the pools.
//
// It handles bursts that recur: without a prediction, the hosts for a burst are requested
// when it has begun and arrive one move later, so that the jobs of its first seconds are late.
// Hosts that are requested for a burst that does not come are on in vain until its uncertainty
// is over.
type burstPredictor struct {
	forecast    *jayburst.Forecast
	predictions map[string]jayburst.Prediction
}

// newBurstPredictor returns a predictor without observations, or nil if bursts are not to be
// predicted.
func newBurstPredictor(s Settings) *burstPredictor {
	if !s.PredictBursts {
		return nil
	}
	predictors := s.BurstPredictors
	if predictors == nil {
		predictors = []jayburst.Predictor{jayburst.Successions(), jayburst.Periods()}
	}
	lead := burstLead(s)
	return &burstPredictor{
		forecast: jayburst.New(jayburst.Settings{
			// A host that is released to standby cannot be back in time if the burst begins
			// within a move in each direction.
			Horizon: s.MoveTime + lead,
			// With a larger uncertainty, hosts would be on in vain for longer than they are
			// requested ahead.
			MaxUncertainty: lead,
			Predictors:     predictors,
		}),
	}
}

// burstLead returns how long before the begin of a burst its hosts must be requested.
func burstLead(s Settings) time.Duration {
	return s.MoveTime + joinDelay
}

// observeBursts adds the arriving work of a pool to the samples.
func (f *Fleet) observeBursts(pool string, d Demand) {
	if f.bursts != nil {
		f.bursts.forecast.Observe(pool, d.ArrivingMilli, d.At)
	}
}

// predictBursts updates the predictions.
func (f *Fleet) predictBursts(now time.Duration) {
	if f.bursts == nil {
		return
	}
	capacity := f.meanCapacity() * int64(len(f.sorted))
	f.bursts.forecast.SetMinHeight(int64(minBurstShare * float64(capacity) / float64(max(1, len(f.working)))))
	f.bursts.forecast.Retain(func(pool string) bool { return f.working[pool] })
	f.bursts.predictions = map[string]jayburst.Prediction{}
	for _, p := range f.bursts.forecast.Predict(now) {
		f.bursts.predictions[p.Pool] = p
	}
}

// addPredictedNeed sets the numbers of hosts that a pool needs for a predicted burst, in
// proportion to the confidence in the prediction.
func (f *Fleet) addPredictedNeed(b *poolBalance, each int64, now time.Duration) {
	if f.bursts == nil {
		return
	}
	p, predicted := f.bursts.predictions[b.pool]
	if !predicted {
		return
	}
	b.kept = hostsFor(int64(p.Confidence*float64(p.HeightMilli)), each)
	if now >= p.Begin-burstLead(f.settings) {
		b.ahead = b.kept
	}
}

// fillAhead assigns hosts to the pools whose bursts are predicted, after the pools that lack
// hosts now. Hosts on standby come first, then hosts that other pools do not need.
func (f *Fleet) fillAhead(balances []*poolBalance, free *[]*host, now time.Duration) {
	for _, b := range balances {
		f.fillTo(b, b.ahead, "predicted", free, balances, now)
	}
}

// TakeBurstEvents returns and clears what became of predictions since the last call.
func (f *Fleet) TakeBurstEvents() []jayburst.Event {
	if f.bursts == nil {
		return nil
	}
	return f.bursts.forecast.TakeEvents()
}
