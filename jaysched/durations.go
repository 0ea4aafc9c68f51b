package jaysched

import (
	"math"
	"time"
)

const (
	// priorWeight is how many observations the declared estimate is worth: it
	// is trusted until a queue's own runs say otherwise.
	priorWeight = 5
	// priorSpread is the variance of the logarithm of durations that the prior
	// assumes, about that of tasks between a half and twice their mean.
	priorSpread = 0.25
	// shortestTask keeps logarithms of estimates finite.
	shortestTask = 10 * time.Millisecond
	// forget is by how much older observations count less with each new one,
	// so that a queue whose tasks change is learned anew within some hundred.
	forget = 0.995
)

// durations learns how long the tasks of each queue take. Declared estimates
// are far off in some queues and good in others: a line through the logarithms
// of estimate and duration finds out how much they say.
type durations struct {
	byQueue map[string]*fit
}

// fit is a weighted linear regression of log duration on log estimate.
type fit struct {
	weight, x, y, xx, xy float64
}

func newDurations() *durations {
	return &durations{byQueue: map[string]*fit{}}
}

// learn takes in how long a task of a step took.
func (d *durations) learn(s *step, took time.Duration) {
	if s.decl.LongRunning || s.decl.Estimate <= 0 {
		return
	}
	queue := s.job.spec.Queue
	f, known := d.byQueue[queue]
	if !known {
		f = &fit{}
		d.byQueue[queue] = f
	}
	x, y := logOf(s.decl.Estimate), logOf(took)
	f.weight = f.weight*forget + 1
	f.x = f.x*forget + x
	f.y = f.y*forget + y
	f.xx = f.xx*forget + x*x
	f.xy = f.xy*forget + x*y
}

// of returns how long a task of a step should take.
func (d *durations) of(queue string, estimate time.Duration) time.Duration {
	f, known := d.byQueue[queue]
	if !known || estimate <= 0 {
		return estimate
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	varX := f.xx/f.weight - meanX*meanX
	covXY := f.xy/f.weight - meanX*meanY
	// The prior says that the duration is the estimate: slope one, no offset.
	slope := (f.weight*covXY + priorWeight*priorSpread) / (f.weight*varX + priorWeight*priorSpread)
	offset := (meanY - meanX) * f.weight / (f.weight + priorWeight)
	predicted := meanX + offset + slope*(logOf(estimate)-meanX)
	return time.Duration(math.Exp(predicted) * float64(time.Second))
}

func logOf(d time.Duration) float64 {
	return math.Log(max(d, shortestTask).Seconds())
}
