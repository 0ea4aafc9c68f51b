package jaysched

import (
	"math"
	"slices"
	"time"
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
	// maxResiduals is the number of recent ends from which a queue's spread is computed,
	// minResiduals the number below which its durations are not known, and
	// residualsPerUpdate the number of ends between two computations.
	maxResiduals       = 256
	minResiduals       = 40
	residualsPerUpdate = 16
)

// residuals are the errors of the recent predictions for a queue, in the logarithm.
type residuals struct {
	recent []float64
	next   int
	added  int
	spread spread
}

// spread describes the errors of predictions: job is the deviation of the error that the tasks
// of a job have in common, in the logarithm. Within a job it is taskSpread.
type spread struct {
	job float64
}

func (s spread) total() float64 {
	return math.Hypot(s.job, taskSpread)
}

func (s *speeds) residualsOf(queue string) *residuals {
	r, known := s.byQueue[queue]
	if !known {
		r = &residuals{}
		s.byQueue[queue] = r
	}
	return r
}

// add adds the error of a prediction.
func (r *residuals) add(e float64) {
	if len(r.recent) < maxResiduals {
		r.recent = append(r.recent, e)
	} else {
		r.recent[r.next] = e
		r.next = (r.next + 1) % maxResiduals
	}
	r.added++
	if len(r.recent) >= minResiduals && (r.added-minResiduals)%residualsPerUpdate == 0 {
		r.update()
	}
}

// update computes the spread. The median is not affected by tasks that last long by themselves.
// All of it beyond taskSpread is attributed to jobs, which makes the tasks of one job count for
// less evidence, not more.
func (r *residuals) update() {
	absolute := make([]float64, len(r.recent))
	for n, e := range r.recent {
		absolute[n] = math.Abs(e)
	}
	slices.Sort(absolute)
	total := spreadMargin * madToDeviation * absolute[len(absolute)/2]
	r.spread.job = math.Sqrt(max(minJobSpread*minJobSpread, total*total-taskSpread*taskSpread))
}

// learned reports whether the durations of the queue are known.
func (r *residuals) learned() bool {
	return r.added >= minResiduals
}

// evidenceOfSlowness returns the logarithm of the ratio of two likelihoods of the runs that were
// seen since a time: that the worker has been slow since then, by one of slowFactors, and that
// it is sound.
func evidenceOfSlowness(seen []sighting, byJob sightingsByJob, changedAt time.Duration) float64 {
	byFactor := likelihoods(seen, byJob, changedAt)
	most, sum := slices.Max(byFactor), 0.0
	for _, l := range byFactor {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(byFactor)))
}

// likelihoods returns for each of slowFactors the logarithm of the likelihood that the worker
// has been slow by it since a time, relative to that of a sound worker.
func likelihoods(seen []sighting, byJob sightingsByJob, changedAt time.Duration) []float64 {
	here := map[*job][]sighting{}
	var jobs []*job
	for _, o := range seen {
		if _, known := here[o.job]; !known {
			jobs = append(jobs, o.job)
		}
		here[o.job] = append(here[o.job], o)
	}
	ls := make([]float64, len(slowFactors))
	for _, j := range jobs {
		others := byJob.elsewhere(j, seen[0].worker)
		sound := jobLikelihood(here[j], others, changedAt, 1)
		for n, factor := range slowFactors {
			ls[n] += jobLikelihood(here[j], others, changedAt, factor) - sound
		}
	}
	return ls
}

const (
	// minError and maxError are the numbers of deviations between which the error that the
	// runs of a job have in common is integrated.
	minError = -3
	maxError = 4
	// maxErrorPoints limits the points of the integration.
	maxErrorPoints = 36
)

// jobLikelihood returns the logarithm of the likelihood of the runs of one job on a worker that
// has taken a factor longer since a time, and on others, which are sound. The error that they have in common is integrated over
// its distribution, in steps that are small against the spread of single tasks: a run that lies
// between two points would otherwise count against a hypothesis.
func jobLikelihood(runs, others []sighting, changedAt time.Duration, factor float64) float64 {
	var points [maxErrorPoints]float64
	width := runs[0].spread.job
	count := min(maxErrorPoints, max(maxError-minError+1, int(width*(maxError-minError)/taskSpread)+2))
	step := float64(maxError-minError) / float64(count-1)
	at := points[:count]
	for n := range at {
		z := minError + float64(n)*step
		at[n] = -z * z / 2
	}
	add := func(o sighting, factor float64) {
		done := o.workDone(changedAt, factor)
		x, table, scale := math.Log(done/o.predicted.Seconds()), logSurvivals, 0.0
		if o.ended {
			table, scale = logDensities, math.Log(done*factor)
		}
		for n := range at {
			at[n] += table.at(x-(minError+float64(n)*step)*width) - scale
		}
	}
	for _, o := range runs {
		add(o, factor)
	}
	for _, o := range others {
		add(o, 1)
	}
	most, sum := slices.Max(at), 0.0
	for _, l := range at {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum)
}

// workDone returns how long the run would have taken so far on a sound worker, in seconds, if
// the worker has been slow since a time. What it did since then counts for less by the factor.
func (o sighting) workDone(changedAt time.Duration, factor float64) float64 {
	before := max(0, min(o.at, changedAt)-o.began)
	return before.Seconds() + (o.at-o.began-before).Seconds()/factor
}

// logTable holds the logarithms of a function in equal steps.
type logTable [2*tableRange*tableSteps + 1]float64

const (
	// tableRange and tableSteps are the highest argument of a table, beyond which its last
	// value holds, and its steps for each unit.
	tableRange = 8
	tableSteps = 64
)

var (
	logDensities = newLogTable(func(x float64) float64 { return density(x, taskSpread) })
	logSurvivals = newLogTable(func(x float64) float64 { return survival(x, taskSpread) })
)

func newLogTable(of func(float64) float64) *logTable {
	t := &logTable{}
	for n := range t {
		t[n] = math.Log(of(float64(n)/tableSteps - tableRange))
	}
	return t
}

func (t *logTable) at(x float64) float64 {
	n := int((x+tableRange)*tableSteps + 1.0/2)
	return t[min(max(n, 0), len(t)-1)]
}

// density returns the density of the logarithm of a task's duration over its prediction.
func density(x, deviation float64) float64 {
	return (1-longShare-shortShare)*normalDensity(x, deviation) + longShare*normalDensity(x-longMean, longSpread) + shortShare*normalDensity(x-shortMean, shortSpread)
}

func normalDensity(x, deviation float64) float64 {
	z := x / deviation
	return math.Exp(-z*z/2) / (deviation * math.Sqrt(2*math.Pi))
}

// survival returns the probability that the logarithm of a task's duration over its prediction
// is larger.
func survival(x, deviation float64) float64 {
	return (1-longShare-shortShare)*normalSurvival(x/deviation) + longShare*normalSurvival((x-longMean)/longSpread) + shortShare*normalSurvival((x-shortMean)/shortSpread)
}

func normalSurvival(z float64) float64 {
	return math.Erfc(z/math.Sqrt2) / 2
}
