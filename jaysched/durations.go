package jaysched

import (
	"math"
	"time"
)

const (
	// priorWeight is the number of observations that the declared estimate counts for: it is
	// trusted until the durations observed in the queue contradict it.
	priorWeight = 5
	// priorSpread is the variance of the logarithm of durations that the prior assumes, about
	// that of tasks between a half and twice their mean.
	priorSpread = 0.25
	// minDuration keeps logarithms of durations finite.
	minDuration = 10 * time.Millisecond
	// decay is the factor by which earlier observations lose weight with each new one, so that
	// a queue whose tasks change is learned anew within some hundred tasks.
	decay = 0.995
	// maxDeviations limits a deviation from the prediction, as a multiple of the mean one, so that
	// a few tasks that take many times as long as predicted hardly change the spread.
	maxDeviations = 3
)

// durations predicts how long the tasks of each queue take. Declared estimates are inaccurate
// in some queues and accurate in others: a linear regression on the logarithms of estimate and
// duration determines how informative they are.
type durations struct {
	byQueue map[string]*fit
}

// fit is a weighted linear regression of log duration on log estimate.
type fit struct {
	weight, x, y, xx, xy float64
	// deviations is the sum of the absolute differences between predicted and observed logarithm,
	// and observed their number, both of which lose weight alike.
	deviations, observed float64
}

func newDurations() *durations {
	return &durations{byQueue: map[string]*fit{}}
}

// observe records how long a task of a step took.
func (d *durations) observe(s *step, took time.Duration) {
	if s.decl.LongRunning || s.decl.Estimate <= 0 {
		return
	}
	queue := s.job.spec.Queue
	f, known := d.byQueue[queue]
	if !known {
		f = &fit{}
		d.byQueue[queue] = f
	}
	x, y := logSeconds(s.decl.Estimate), logSeconds(took)
	deviation := math.Abs(y - logSeconds(d.predict(queue, s.decl.Estimate)))
	if f.observed >= minObservations {
		deviation = min(deviation, maxDeviations*f.deviations/f.observed)
	}
	f.deviations = f.deviations*decay + deviation
	f.observed = f.observed*decay + 1
	f.weight = f.weight*decay + 1
	f.x = f.x*decay + x
	f.y = f.y*decay + y
	f.xx = f.xx*decay + x*x
	f.xy = f.xy*decay + x*y
}

// predict returns the expected duration of a task with a declared estimate.
func (d *durations) predict(queue string, estimate time.Duration) time.Duration {
	f, known := d.byQueue[queue]
	if !known || f.weight == 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	varX := f.xx/f.weight - meanX*meanX
	covXY := f.xy/f.weight - meanX*meanY
	// The prior states that the duration equals the estimate: slope one, no offset.
	slope := (f.weight*covXY + priorWeight*priorSpread) / (f.weight*varX + priorWeight*priorSpread)
	offset := (meanY - meanX) * f.weight / (f.weight + priorWeight)
	predicted := meanX + offset + slope*(logSeconds(estimate)-meanX)
	return time.Duration(math.Exp(predicted) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minDuration).Seconds())
}

// spread returns the standard deviation of the logarithm of a queue's durations around their
// prediction, from the mean absolute deviation; known is false until enough of them were observed.
func (d *durations) spread(queue string) (spread float64, known bool) {
	f, observed := d.byQueue[queue]
	if !observed || f.observed < minObservations {
		return 1, false
	}
	return f.deviations / f.observed * math.Sqrt(math.Pi/2), true
}
