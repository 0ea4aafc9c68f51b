package jayspeed

import (
	"math"
	"slices"
)

const (
	// taskSpread is the standard deviation of the logarithm of durations among tasks of one
	// job, beside those that last long by themselves.
	taskSpread = 0.25
	// minJobSpread is the lowest standard deviation assumed for the error that the tasks of
	// one job have in common.
	minJobSpread = 0.15
	// spreadMargin is the factor by which the measured spread is raised, since the ends in it
	// belong to fewer jobs than tasks.
	spreadMargin = 1.15
	// madToDeviation is the ratio of the standard deviation of a normal distribution to its
	// median absolute deviation.
	madToDeviation = 1.4826
	// longShare is the assumed share of tasks that last long by themselves, by a factor with
	// the logarithm longMean and the deviation longSpread; shortShare, shortMean and
	// shortSpread describe tasks that are over early.
	longShare   = 0.05
	longMean    = 1.6
	longSpread  = 0.8
	shortShare  = 0.02
	shortMean   = -1.0
	shortSpread = 1.0
	// MaxErrors is the number of recent ends from which a queue's spread is computed,
	// MinErrors the number below which its durations are not known, and
	// errorsPerUpdate the number of ends between two computations.
	MaxErrors       = 256
	MinErrors       = 40
	errorsPerUpdate = 16
)

// Errors are the errors of the recent predictions for a queue, in the logarithm.
type Errors struct {
	recent []float64
	next   int
	added  int
	spread Spread
}

// Spread describes the errors of predictions: job is the deviation of the error that the tasks
// of a job have in common, in the logarithm. Within a job it is taskSpread.
type Spread struct {
	job float64
}

func (s Spread) total() float64 {
	return math.Hypot(s.job, taskSpread)
}

// Add adds the error of a prediction: the logarithm of the ratio of observed to predicted
// duration.
func (e *Errors) Add(logError float64) {
	if len(e.recent) < MaxErrors {
		e.recent = append(e.recent, logError)
	} else {
		e.recent[e.next] = logError
		e.next = (e.next + 1) % MaxErrors
	}
	e.added++
	if len(e.recent) >= MinErrors && (e.added-MinErrors)%errorsPerUpdate == 0 {
		e.update()
	}
}

// update computes the spread. The median is not affected by tasks that last long by themselves.
// All of it beyond taskSpread is attributed to jobs, which makes the tasks of one job count for
// less evidence, not more.
func (e *Errors) update() {
	absolute := make([]float64, len(e.recent))
	for n, logError := range e.recent {
		absolute[n] = math.Abs(logError)
	}
	slices.Sort(absolute)
	total := spreadMargin * madToDeviation * absolute[len(absolute)/2]
	e.spread.job = math.Sqrt(max(minJobSpread*minJobSpread, total*total-taskSpread*taskSpread))
}

// Learned reports whether the durations of the queue are known.
func (e *Errors) Learned() bool {
	return e.added >= MinErrors
}

// Spread returns the spread of the predictions, which is known once Learned.
func (e *Errors) Spread() Spread {
	return e.spread
}
