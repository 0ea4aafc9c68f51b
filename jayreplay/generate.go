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

// QueueLoad describes the random distribution of the jobs of a queue.
type QueueLoad struct {
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
	// MeanDuration is the mean run time of a task.
	MeanDuration time.Duration
	// EstimateSpread is the error of the declared estimates, as the standard deviation of
	// the logarithm of estimate over actual run time.
	EstimateSpread float64
	// Checkpoint is true if the tasks write checkpoints.
	Checkpoint bool
	// Speculative is the share of the steps whose tasks may have copies.
	Speculative float64
	// LongTasks is the share of the tasks that take longer by LongFactor than the others of
	// their step.
	LongTasks  float64
	LongFactor float64
	Policy     jayspec.Policy
}

// SequentialBursts describes a load of several queues whose bursts follow one another.
type SequentialBursts struct {
	QueueLoads []QueueLoad
	// Width is the duration for which the rate of a burst is above half of its maximum.
	Width time.Duration
	// Square gives a burst its maximum rate during Width and none outside, instead of a rate
	// that rises and falls gradually.
	Square bool
	// BaseShare is the constant part of the arrival rate, to which a burst is added, as a
	// share of the mean rate.
	BaseShare float64
	// Phase gives the position of a queue's burst in the sequence of bursts. A queue
	// that is missing has its burst at its position in QueueLoads.
	Phase map[string]int
	// Begin is when jobs begin to arrive.
	Begin time.Duration
	// For is how long jobs arrive.
	For time.Duration
	// Cycles is how often the sequence of bursts is repeated within For; zero means once.
	Cycles int
	// Jitter is the standard deviation of the time of each burst around its place in the
	// sequence.
	Jitter time.Duration
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
func (s SequentialBursts) Arrivals(size jaypool.Resources) []Arrival {
	var arrivals []Arrival
	for position, queueLoad := range s.QueueLoads {
		if phase, set := s.Phase[queueLoad.Queue]; set {
			position = phase
		}
		arrivals = append(arrivals, s.queueArrivals(queueLoad, position, size)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	return arrivals
}

// queueArrivals returns the jobs of one queue, whose burst has the given position in the
// sequence of bursts. Arrivals are a Poisson process with a varying rate.
func (s SequentialBursts) queueArrivals(queueLoad QueueLoad, position int, size jaypool.Resources) []Arrival {
	random := rand.New(rand.NewPCG(s.Seed, uint64(position)))
	each := s.cycle() / time.Duration(len(s.QueueLoads))
	centers := s.centers(time.Duration(position)*each+each/2, random)
	most := queueLoad.Rate * (s.BaseShare + s.burstFactor())
	var arrivals []Arrival
	for at := time.Duration(0); ; {
		at += seconds(random.ExpFloat64() / most)
		if at >= s.For {
			break
		}
		center := centers[min(int(at/s.cycle()), len(centers)-1)]
		widths := (at - center).Seconds() / s.Width.Seconds()
		rate := queueLoad.Rate * (s.BaseShare + s.burstFactor()*s.shape(widths))
		if random.Float64()*most < rate {
			id := fmt.Sprintf("%s%04d", queueLoad.Queue, len(arrivals))
			arrivals = append(arrivals, queueLoad.job(id, s.Begin+at, size, random))
		}
	}
	return arrivals
}

// cycle returns the duration of one sequence of bursts.
func (s SequentialBursts) cycle() time.Duration {
	return s.For / time.Duration(max(1, s.Cycles))
}

// centers returns the times of a queue's bursts, of which the first one is given.
func (s SequentialBursts) centers(first time.Duration, random *rand.Rand) []time.Duration {
	centers := []time.Duration{first}
	for n := 1; n < s.Cycles; n++ {
		off := 0.0
		if s.Jitter > 0 {
			off = random.NormFloat64()
		}
		centers = append(centers, first+time.Duration(n)*s.cycle()+time.Duration(off*float64(s.Jitter)))
	}
	return centers
}

// shape returns the rate of a burst as a share of its maximum, at a distance from its center
// in multiples of its width.
func (s SequentialBursts) shape(widths float64) float64 {
	if !s.Square {
		return math.Exp(-4 * math.Ln2 * widths * widths)
	}
	if math.Abs(widths) > 0.5 {
		return 0
	}
	return 1
}

// burstFactor returns the maximum rate of a burst, as a multiple of the mean rate and
// without the constant part.
func (s SequentialBursts) burstFactor() float64 {
	if s.Square {
		return (1 - s.BaseShare) * s.cycle().Seconds() / s.Width.Seconds()
	}
	return (1 - s.BaseShare) * s.cycle().Seconds() / s.Width.Seconds() * math.Sqrt(4*math.Ln2/math.Pi)
}

// job returns a random job of the queue.
func (l QueueLoad) job(id string, at time.Duration, size jaypool.Resources, random *rand.Rand) Arrival {
	a := Arrival{At: at, Job: &jayspec.Job{ID: id, Queue: l.Queue, Pool: l.Pool, Text: "text", Policy: l.Policy}}
	steps := min(maxSteps, max(1, int(math.Round(logNormal(random, l.Steps, sizeSpread)))))
	need := jaypool.Resources{
		ProcessorsMilli: min(int64(logNormal(random, float64(l.Need.ProcessorsMilli), needSpread)), int64(maxTaskShare*float64(size.ProcessorsMilli))),
		MemoryMegabytes: min(int64(logNormal(random, float64(l.Need.MemoryMegabytes), needSpread)), int64(maxTaskShare*float64(size.MemoryMegabytes))),
	}
	estimateFactor := logNormal(random, 1, l.EstimateSpread)
	for step := range steps {
		decl := jayspec.Step{Tasks: min(maxTasksPerStep, max(1, int(math.Round(logNormal(random, l.Width, sizeSpread))))), Need: need, Checkpoint: l.Checkpoint}
		if step > 0 {
			decl.After = []int{step - 1}
		}
		mean := logNormal(random, l.MeanDuration.Seconds(), durationSpread)
		decl.Estimate = seconds(mean * estimateFactor)
		var durations []time.Duration
		for range decl.Tasks {
			took := logNormal(random, mean, taskSpread)
			if l.LongTasks > 0 && random.Float64() < l.LongTasks {
				took *= l.LongFactor
			}
			durations = append(durations, seconds(took))
		}
		decl.Speculative = l.Speculative > 0 && random.Float64() < l.Speculative
		a.Job.Steps = append(a.Job.Steps, decl)
		a.Durations = append(a.Durations, durations)
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
