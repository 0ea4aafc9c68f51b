package jayreplay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jayspec"
)

// Shape describes the random distribution of the jobs of a queue.
type Shape struct {
	Queue string
	Pool  string
	// Rate is the mean number of jobs that arrive per second.
	Rate float64
	// Steps is the mean number of steps of a job.
	Steps float64
	// Width is the mean number of tasks of a step.
	Width float64
	// Need is the mean of the resources that a task requests.
	Need jaypool.Resources
	// Takes is the mean run time of a task.
	Takes time.Duration
	// EstimateOff is the error of the declared estimates, as the standard deviation of
	// the logarithm of estimate over actual run time.
	EstimateOff float64
	// Checkpoint is true if the tasks write checkpoints.
	Checkpoint bool
	Policy     jayspec.Policy
}

// Turns describes a load of several queues whose bursts follow one another.
type Turns struct {
	Shapes []Shape
	// Width is the duration for which the rate of a burst is above half of its maximum.
	Width time.Duration
	// Between is the constant part of the arrival rate, to which a burst is added, as a
	// share of the mean rate.
	Between float64
	// Phase gives the position of a queue's burst in the sequence of bursts. A queue
	// that is missing has its burst at its position in Shapes.
	Phase map[string]int
	// Begin is when jobs begin to arrive.
	Begin time.Duration
	// For is how long jobs arrive.
	For time.Duration
	// Seed is the seed of the random numbers.
	Seed uint64
}

const (
	// needSpread is the standard deviation of the logarithm of the resources that tasks
	// request.
	needSpread = 0.45
	// durationSpread is the standard deviation of the logarithm of the mean run time of the
	// tasks of a step.
	durationSpread = 0.5
	// sizeSpread is the standard deviation of the logarithm of the numbers of steps and
	// tasks.
	sizeSpread = 0.5
	// taskSpread is the standard deviation of the logarithm of the run times of tasks
	// of the same step.
	taskSpread = 0.2
	// maxSteps is the largest number of steps of a job.
	maxSteps = 4
	// maxTasksPerStep is the largest number of tasks of a step.
	maxTasksPerStep = 32
	// maxTaskShare is the largest share of an instance's capacity that a task requests.
	maxTaskShare = 0.45
)

// Arrivals returns the jobs of all queues for instances of the given capacity, ordered by
// time.
func (t Turns) Arrivals(size jaypool.Resources) []Arrival {
	var arrivals []Arrival
	for turn, shape := range t.Shapes {
		if phase, set := t.Phase[shape.Queue]; set {
			turn = phase
		}
		arrivals = append(arrivals, t.queueArrivals(shape, turn, size)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return arrivals
}

// queueArrivals returns the jobs of one queue, whose burst has the given position in the
// sequence of bursts. Arrivals are a Poisson process with a varying rate.
func (t Turns) queueArrivals(shape Shape, turn int, size jaypool.Resources) []Arrival {
	random := rand.New(rand.NewPCG(t.Seed, uint64(turn)))
	each := t.For / time.Duration(len(t.Shapes))
	center := time.Duration(turn)*each + each/2
	most := shape.Rate * (t.Between + t.burstFactor())
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		at += seconds(random.ExpFloat64() / most)
		if at >= t.For {
			break
		}
		widths := (at - center).Seconds() / t.Width.Seconds()
		rate := shape.Rate * (t.Between + t.burstFactor()*math.Exp(-4*math.Ln2*widths*widths))
		if random.Float64()*most < rate {
			id := fmt.Sprintf("%s%04d", shape.Queue, len(arrivals))
			arrivals = append(arrivals, shape.job(id, t.Begin+at, size, random))
		}
	}
	return arrivals
}

// burstFactor returns the maximum rate of a burst, as a multiple of the mean rate and
// without the constant part.
func (t Turns) burstFactor() float64 {
	return (1 - t.Between) * t.For.Seconds() / t.Width.Seconds() * math.Sqrt(4*math.Ln2/math.Pi)
}

// job returns a random job of the shape.
func (s Shape) job(id string, at time.Duration, size jaypool.Resources, random *rand.Rand) Arrival {
	a := Arrival{At: at, Job: &jayspec.Job{ID: id, Queue: s.Queue, Pool: s.Pool, Text: "text", Policy: s.Policy}}
	steps := min(maxSteps, max(1, int(math.Round(logNormal(random, s.Steps, sizeSpread)))))
	need := jaypool.Resources{
		ProcessorsMilli: min(int64(logNormal(random, float64(s.Need.ProcessorsMilli), needSpread)), int64(maxTaskShare*float64(size.ProcessorsMilli))),
		MemoryMegabytes: min(int64(logNormal(random, float64(s.Need.MemoryMegabytes), needSpread)), int64(maxTaskShare*float64(size.MemoryMegabytes))),
	}
	off := logNormal(random, 1, s.EstimateOff)
	for step := range steps {
		decl := jayspec.Step{Tasks: min(maxTasksPerStep, max(1, int(math.Round(logNormal(random, s.Width, sizeSpread))))), Need: need, Checkpoint: s.Checkpoint}
		if step > 0 {
			decl.After = []int{step - 1}
		}
		mean := logNormal(random, s.Takes.Seconds(), durationSpread)
		decl.Estimate = seconds(mean * off)
		var takes []time.Duration
		for range decl.Tasks {
			takes = append(takes, seconds(logNormal(random, mean, taskSpread)))
		}
		a.Job.Steps = append(a.Job.Steps, decl)
		a.Takes = append(a.Takes, takes)
	}
	return a
}

// logNormal returns a log-normally distributed random number with the given mean. The
// spread is the standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
