package jayburst

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	sampling = 150 * time.Millisecond
	spacing  = 5 * time.Second
	length   = 4 * time.Second
	height   = 1000
)

// begin is the begin of a burst of a pool.
type begin struct {
	pool int
	at   time.Duration
}

// inTurn returns the begins of bursts of the given pools, one after the other, for some cycles.
func inTurn(cycles int, pools ...int) []begin {
	var begins []begin
	for n := range cycles * len(pools) {
		begins = append(begins, begin{pools[n%len(pools)], time.Second + time.Duration(n)*spacing})
	}
	return begins
}

// count plays bursts and returns how often each outcome occurred. Samples that lost selects
// are not reported, and nothing arrives from outage on for a second.
func count(pools int, begins []begin, lost func(pool int, at time.Duration) bool, outage time.Duration, predictors ...Predictor) map[Outcome]int {
	f := newForecast(3200*time.Millisecond, 1700*time.Millisecond, predictors...)
	random := rand.New(rand.NewPCG(1, 1))
	outcomes := map[Outcome]int{}
	for at := sampling; at < begins[len(begins)-1].at+spacing; at += sampling {
		for pool := range pools {
			milli := height * 0.05
			if slices.ContainsFunc(begins, func(b begin) bool { return b.pool == pool && at >= b.at && at < b.at+length }) {
				milli = height
			}
			if outage > 0 && at >= outage && at < outage+time.Second {
				milli = 0
			}
			if lost == nil || !lost(pool, at) {
				f.Observe(fmt.Sprint("pool", pool), int64(milli*(0.8+0.4*random.Float64())), at)
			}
		}
		f.Predict(at)
		for _, e := range f.TakeEvents() {
			outcomes[e.Outcome]++
		}
	}
	return outcomes
}

// newForecast returns a forecast with the given predictors, or with both.
func newForecast(horizon, uncertainty time.Duration, predictors ...Predictor) *Forecast {
	if predictors == nil {
		predictors = []Predictor{Successions(), Periods()}
	}
	f := New(Settings{Horizon: horizon, MaxUncertainty: uncertainty, Predictors: predictors})
	f.SetMinHeight(height / 10)
	return f
}

// observeTurns adds a sample of each pool. Pools have bursts in turn until the given time.
func observeTurns(f *Forecast, pools int, at, until time.Duration) {
	for pool := range pools {
		milli := int64(height / 20)
		if at < until && int(at/spacing)%pools == pool {
			milli = height
		}
		f.Observe(fmt.Sprint("pool", pool), milli, at)
	}
}

func TestRecurringBurstsArePredicted(t *testing.T) {
	predicted := func(name string, pools, cycles, unpredicted int, predictors ...Predictor) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			order := []int{0, -1} // a pause after each burst
			for pool := 1; pool < pools; pool++ {
				order = append(order[:pool], pool)
			}
			outcomes := count(pools, inTurn(cycles, order...), nil, 0, predictors...)
			is.Equal(outcomes[Missing], 0)
			is.Equal(outcomes[Unpredicted], unpredicted)
			is.Equal(outcomes[Came], pools*cycles-unpredicted)
		})
	}
	// By succession, the second burst of the second pool is the first one that is predicted:
	// the first pool must have followed the last one once.
	predicted("four pools by succession", 4, 4, 5, Successions())
	// By period, three periods must have been seen to judge how regular they are.
	predicted("four pools by period", 4, 4, 8, Periods())
	predicted("four pools", 4, 4, 5)
	predicted("one pool", 1, 8, 4)
	predicted("two pools", 2, 6, 4)
	predicted("34 pools", 34, 2, 35)
}

func TestLoadsWithoutRecurrenceAreNotPredicted(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var irregular, shuffled []begin
	at := time.Second
	for range 40 {
		irregular = append(irregular, begin{random.IntN(4), at})
		at += length + time.Duration(random.ExpFloat64()*float64(4*spacing))
	}
	for n := range 40 {
		shuffled = append(shuffled, begin{random.IntN(4), time.Second + time.Duration(n)*spacing})
	}
	predicted := func(name string, begins []begin, atMost int) {
		t.Run(name, func(t *testing.T) {
			outcomes := count(4, begins, nil, 0)
			is.New(t).True(outcomes[Missing] <= atMost)
		})
	}
	predicted("no burst", []begin{{9, time.Minute}}, 0)
	predicted("one cycle", inTurn(1, 0, 1, 2, 3), 0)
	predicted("irregular times", irregular, 1)
	// With regular times and a random order, the first prediction is tried, and one that came
	// true several times by chance.
	predicted("random order", shuffled, 2)
}

func TestFailedPredictionEndsAtOnce(t *testing.T) {
	// Guards against hosts that wait for a burst that does not come.
	is := is.New(t)
	begins := slices.DeleteFunc(inTurn(5, 0, 1, 2, 3), func(b begin) bool { return b.at == time.Second+13*spacing })
	outcomes := count(4, begins, nil, 0, Successions())
	is.Equal(outcomes[Missing], 1)
	// The burst after the missing one is not predicted, nor is the next one of its pool.
	is.Equal(outcomes[Unpredicted], 5+2)
}

func TestChangedOrderIsLearned(t *testing.T) {
	is := is.New(t)
	begins := inTurn(3, 0, 1, 2, 3)
	for n, b := range inTurn(4, 0, 2, 1, 3) {
		begins = append(begins, begin{b.pool, time.Second + time.Duration(12+n)*spacing})
	}
	outcomes := count(4, begins, nil, 0)
	is.True(outcomes[Missing] <= 6)
	is.True(outcomes[Came] >= 7+8) // all of the last two cycles
}

func TestGapsInSamples(t *testing.T) {
	gap := func(name string, from, to, outage time.Duration, pools []int, came int) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			outcomes := count(4, inTurn(5, 0, 1, 2, 3), func(pool int, at time.Duration) bool {
				return at >= from && at < to && slices.Contains(pools, pool)
			}, outage)
			is.Equal(outcomes[Missing], 0)
			is.True(outcomes[Came] >= came)
		})
	}
	// Guards against a wrong begin learned while a pool had no owner. Pool 1 begins at 46 s.
	gap("a pool without an owner as its burst begins", 45*time.Second, 48*time.Second, 0, []int{1}, 12)
	gap("a pool without an owner while it is quiet", 56*time.Second, 60*time.Second, 0, []int{1}, 15)
	gap("no pool reports", 44*time.Second, 48*time.Second, 0, []int{0, 1, 2, 3}, 12)
	// Guards against an interrupted burst that counts as two.
	gap("nothing arrives for a second within a burst", 0, 0, 48*time.Second, nil, 15)
}

func TestReplacedOwnerInBurstBeginsNothing(t *testing.T) {
	// Guards against a begin learned from the rate of a new owner of a pool, which rises from
	// zero while the owner sees its first jobs.
	is := is.New(t)
	d := detector{}
	for n := range 60 {
		d.observe(sample{at: time.Duration(n) * sampling, milli: 50}, height/10)
	}
	for n := range 10 {
		at := 60*sampling + 2*maxGap + time.Duration(n)*sampling
		is.True(d.observe(sample{at: at, milli: float64(n) * height / 10}, height/10) != began)
	}
	is.True(d.inBurst)
}

func TestEachPredictionHasAnOutcome(t *testing.T) {
	// Guards against a failed prediction that is replaced by the next one of a short period
	// without being counted as missing.
	is := is.New(t)
	f := newForecast(4*spacing, spacing)
	outcomes := map[Outcome]int{}
	for at := sampling; at < 40*spacing; at += sampling {
		observeTurns(f, 2, at, 20*spacing)
		f.Predict(at)
		for _, e := range f.TakeEvents() {
			outcomes[e.Outcome]++
		}
	}
	is.True(outcomes[Missing] >= 4) // each period needs two failures to end
	is.Equal(outcomes[Predicted], outcomes[Came]+outcomes[Missing])
}

func TestRemovedPoolIsForgotten(t *testing.T) {
	// Guards against predictions without end for a pool that the catalog no longer has.
	is := is.New(t)
	f := newForecast(time.Minute, time.Minute)
	for at := sampling; at < 43*time.Second; at += sampling {
		observeTurns(f, 2, at, time.Hour)
	}
	predicted := func() bool {
		return slices.ContainsFunc(f.Predict(43*time.Second), func(p Prediction) bool { return p.Pool == "pool1" })
	}
	is.True(predicted())
	f.Retain(func(pool string) bool { return pool != "pool1" })
	is.True(!predicted())
}

func BenchmarkForecast34Pools(b *testing.B) {
	f := newForecast(3*time.Second, time.Second)
	for at := sampling; b.Loop(); at += sampling {
		observeTurns(f, 34, at, math.MaxInt64)
		f.Predict(at)
		f.TakeEvents()
	}
}
