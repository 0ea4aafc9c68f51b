package jayspeed

import (
	"math"
	"slices"
	"time"
)

// evidenceOfSlowness returns the logarithm of the ratio of two likelihoods of the runs that were
// seen since a time: that the worker has been slow since then, by one of slowFactors, and that
// it is sound.
func evidenceOfSlowness(jobs []jobEvidence, changedAt time.Duration) float64 {
	byFactor := likelihoods(jobs, changedAt)
	most, sum := slices.Max(byFactor), 0.0
	for _, l := range byFactor {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(byFactor)))
}

// jobEvidence are the runs of one job on a worker: together, and by step if it has several.
type jobEvidence struct {
	together runGroup
	steps    []runGroup
}

// evidenceByJob returns the runs that are seen on a worker by their jobs, in the order in which
// these first occur.
func evidenceByJob(seen []Run, byJob RunsByJob) []jobEvidence {
	here := map[string][]Run{}
	var names []string
	for _, o := range seen {
		if _, known := here[o.Job]; !known {
			names = append(names, o.Job)
		}
		here[o.Job] = append(here[o.Job], o)
	}
	jobs := make([]jobEvidence, 0, len(names))
	for _, name := range names {
		others := byJob.elsewhere(name, seen[0].Worker)
		j := jobEvidence{together: newRunGroup(here[name], others)}
		if steps := byStep(here[name]); len(steps) > 1 {
			for _, runs := range steps {
				sameStep := slices.DeleteFunc(slices.Clone(others), func(o Run) bool { return !o.sameStep(runs[0]) })
				j.steps = append(j.steps, newRunGroup(runs, sameStep))
			}
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// likelihoods returns for each of slowFactors the logarithm of the likelihood that the worker
// has been slow by it since a time, relative to that of a sound worker. The runs of these jobs
// that ended earlier count as well: they show the error of the job's estimate, which otherwise
// explains the durations as well as a slow worker does. Whether the steps of a job share the error
// or each has its own is unknown, so the assumption counts that says less for a slow worker.
func likelihoods(jobs []jobEvidence, changedAt time.Duration) []float64 {
	ls := make([]float64, len(slowFactors))
	for _, j := range jobs {
		if len(runsSince(j.together.runs, changedAt)) == 0 {
			continue
		}
		together := j.together.relativeLikelihoods(changedAt)
		if len(j.steps) > 0 {
			alone := make([]float64, len(slowFactors))
			for _, s := range j.steps {
				for n, l := range s.relativeLikelihoods(changedAt) {
					alone[n] += l
				}
			}
			for n := range together {
				together[n] = min(together[n], alone[n])
			}
		}
		for n, l := range together {
			ls[n] += l
		}
	}
	return ls
}

// byStep divides the runs of a job by their steps, in the order in which these first occur.
func byStep(runs []Run) [][]Run {
	var steps [][]Run
	for _, o := range runs {
		at := slices.IndexFunc(steps, func(step []Run) bool { return o.sameStep(step[0]) })
		if at < 0 {
			steps = append(steps, []Run{o})
		} else {
			steps[at] = append(steps[at], o)
		}
	}
	return steps
}

func (o Run) sameStep(other Run) bool {
	return o.Step == other.Step && o.Occurrence == other.Occurrence
}

const (
	// minError and maxError are the numbers of deviations between which the error that the
	// runs of a job have in common is integrated.
	minError = -3
	maxError = 4
	// maxErrorPoints limits the points of the integration.
	maxErrorPoints = 36
)

// runGroup are runs on a worker that have one error in common.
type runGroup struct {
	runs []Run
	// width is the deviation of the error, and step the distance of two points of its
	// integration, in deviations.
	width, step float64
	// points are the logarithms of the error's distribution and of the likelihoods of the runs on
	// other workers, which depend neither on the factor nor on the time of the change.
	points []float64
}

// newRunGroup returns the group of runs on a worker and of those on others, which are sound. The
// points of the integration are close together against the spread of single tasks: a run that
// lies between two points would otherwise count against a hypothesis.
func newRunGroup(runs, others []Run) runGroup {
	width := runs[0].Spread.job
	count := min(maxErrorPoints, max(maxError-minError+1, int(width*(maxError-minError)/taskSpread)+2))
	g := runGroup{runs: runs, width: width, step: float64(maxError-minError) / float64(count-1), points: make([]float64, count)}
	for n := range g.points {
		z := minError + float64(n)*g.step
		g.points[n] = -z * z / 2
	}
	for _, o := range others {
		g.add(g.points, o, 0, 1)
	}
	return g
}

// add adds the logarithm of the likelihood of a run to each point, if its worker has taken a
// factor longer since a time.
func (g *runGroup) add(points []float64, o Run, changedAt time.Duration, factor float64) {
	done := o.workDone(changedAt, factor)
	x, table, scale := math.Log(done/o.Predicted.Seconds()), logSurvivals, 0.0
	if o.Ended {
		table, scale = logDensities, math.Log(done)
		if o.At > changedAt {
			scale += math.Log(factor)
		}
	}
	for n := range points {
		points[n] += table.at(x-(minError+float64(n)*g.step)*g.width) - scale
	}
}

// likelihood returns the logarithm of the likelihood of the runs if the worker has taken a factor
// longer since a time. The common error is integrated over its distribution.
func (g *runGroup) likelihood(changedAt time.Duration, factor float64) float64 {
	var buffer [maxErrorPoints]float64
	at := buffer[:copy(buffer[:], g.points)]
	for _, o := range g.runs {
		g.add(at, o, changedAt, factor)
	}
	most, sum := slices.Max(at), 0.0
	for _, l := range at {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum)
}

// relativeLikelihoods returns the likelihoods for slowFactors, relative to that of a sound worker.
func (g *runGroup) relativeLikelihoods(changedAt time.Duration) []float64 {
	ls := make([]float64, len(slowFactors))
	sound := g.likelihood(changedAt, 1)
	for n, factor := range slowFactors {
		ls[n] = g.likelihood(changedAt, factor) - sound
	}
	return ls
}

// workDone returns how long the run would have taken so far on a sound worker, in seconds, if
// the worker has been slow since a time. What it did since then counts for less by the factor.
func (o Run) workDone(changedAt time.Duration, factor float64) float64 {
	before := max(0, min(o.At, changedAt)-o.Began)
	return before.Seconds() + (o.At-o.Began-before).Seconds()/factor
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
