package jayfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayburst"
)

// predicting returns a world with a prediction of a burst of five hosts in pool seats that
// begins after the given time.
func predicting(t *testing.T, pools map[string]int, confidence float64, after time.Duration) *world {
	w := newWorld(t, pools)
	p := scripted{prediction: jayburst.Prediction{Pool: "seats", Begin: w.now + after, Uncertainty: 300 * time.Millisecond, Confidence: confidence}}
	w.fleet.settings.PredictBursts, w.fleet.settings.BurstPredictors = true, []jayburst.Predictor{p}
	w.fleet.bursts = newBurstPredictor(w.fleet.settings)
	f := w.fleet.bursts.forecast
	f.SetMinHeight(hostMilli)
	for n := range 100 {
		milli := int64(0)
		if n >= 50 && n < 70 {
			milli = 5 * hostMilli
		}
		f.Observe("seats", milli, w.now-time.Duration(100-n)*150*time.Millisecond)
	}
	return w
}

// scripted is a predictor with a fixed prediction.
type scripted struct {
	jayburst.Predictor
	prediction jayburst.Prediction
}

func (s scripted) Began(string, time.Duration) {}
func (s scripted) Predict(time.Duration, func(string) bool) []jayburst.Prediction {
	return []jayburst.Prediction{s.prediction}
}

func TestHostsArriveBeforePredictedBurst(t *testing.T) {
	is := is.New(t)
	w := predicting(t, map[string]int{"seats": 1, "fees": 1, "standby": 20}, 0.8, 3*time.Second)
	w.idle = 0
	w.steps(time.Second)
	is.Equal(w.hostsUp("seats"), 1) // no more than a move and a report ahead
	w.steps(2 * time.Second)
	is.Equal(w.hostsUp("seats"), 5) // the reserve, and five hosts times the confidence
	is.Equal(w.moves[0].Why, "predicted")
}

func TestPredictedBurstTakesOnlyUnneededHosts(t *testing.T) {
	// Guards against a prediction that takes hosts from a pool that needs them now.
	is := is.New(t)
	w := predicting(t, map[string]int{"seats": 1, "fees": 10}, 1, 2*time.Second)
	w.idle, w.wanted["fees"] = 0, 7*hostMilli
	w.steps(4 * time.Second)
	is.Equal(w.hostsUp("fees"), 8)
	is.Equal(w.hostsUp("seats"), 3)
}

func TestIdleHostsAreKeptForPredictedBurst(t *testing.T) {
	is := is.New(t)
	kept := func(after time.Duration) int {
		w := predicting(t, map[string]int{"seats": 6, "standby": 10}, 1, after)
		w.steps(500 * time.Millisecond)
		return w.hostsUp("seats")
	}
	is.Equal(kept(3*time.Second), 6)
	is.Equal(kept(6*time.Second), 1) // in time for a move in each direction
}

func TestMissingBurstEndsRaisedNeed(t *testing.T) {
	// Guards against hosts that wait for a burst that does not come.
	is := is.New(t)
	w := predicting(t, map[string]int{"seats": 1, "standby": 20}, 1, 2*time.Second)
	w.steps(2 * time.Second)
	is.Equal(w.hostsUp("seats"), 6)
	w.steps(4 * time.Second)
	is.Equal(w.hostsUp("seats"), 1)
}

func TestSilentPoolGetsNoHostsAhead(t *testing.T) {
	// Guards against moves for a pool whose owner has reported nothing for a second.
	is := is.New(t)
	w := predicting(t, map[string]int{"seats": 1, "standby": 20}, 1, 2*time.Second)
	w.step()
	w.fleet.Decide(w.now)
	w.moves = nil
	is.Equal(len(w.fleet.Decide(w.now+1100*time.Millisecond)), 0)
}
