// Package jayspeed weighs by the durations of runs whether a worker is slow: the worker is sound,
// or everything on it has taken several times as long since a recent time. It knows tasks that
// last long by themselves and jobs whose estimate is wrong, and counts a run that is still going
// with the probability that it lasts that long.
package jayspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// MinRuns is the number of runs below which a worker's speed is unknown: a worker with a few
	// runs often has one that is long by itself.
	MinRuns = 4
	// overdueRatio is the ratio of elapsed to predicted time above which a run counts as
	// overdue, and minOverdue is the number of overdue runs below which a worker is not
	// examined. Both only save the examination of workers that cannot be slow.
	overdueRatio = 1.5
	minOverdue   = 2
	// slowEvidence is the logarithm of the likelihood ratio from which a worker counts as
	// slow. A false alarm costs the worker's room until its first probe has ended, a later
	// recognition the delay of all tasks on a slow worker.
	slowEvidence = 9.0
	// maxEndEvidence limits what one end contributes to the evidence of recovery, so that one
	// task that lasts long by itself does not outweigh the next probes.
	maxEndEvidence = 4.0
)

// slowFactors are the factors that are weighed against the hypothesis that a worker is sound.
// A smaller factor is within the errors of estimates.
var slowFactors = []float64{2, 3, 4.5, 6.75, 10}

// changeAges are the ages that are examined of the change from sound to slow, as multiples of
// the predicted duration of the worker's tasks.
var changeAges = []float64{1.5, 2, 2.5, 3, 4, 6, 8}

// Run is one observed run: it ended at a time, or was still running then.
type Run struct {
	// Job and Worker identify the job and the worker of the run.
	Job, Worker string
	// Occurrence and Step identify the step within the job, whose estimate is its own.
	Occurrence, Step int
	Began, At        time.Duration
	Predicted        time.Duration
	Ended            bool
	// Spread is the spread of the predictions for the queue of the job.
	Spread Spread
}

// Elapsed returns how long the run has taken so far, as a multiple of its prediction.
func (o Run) Elapsed() float64 {
	return (o.At - o.Began).Seconds() / o.Predicted.Seconds()
}

// RunsByJob are the observed runs on all workers that are not known as slow, by their job.
type RunsByJob map[string][]Run

// Add adds observed runs.
func (b RunsByJob) Add(seen []Run) {
	for _, o := range seen {
		b[o.Job] = append(b[o.Job], o)
	}
}

// elsewhere returns the runs of a job on other workers: they show whether its estimate is wrong.
func (b RunsByJob) elsewhere(job, worker string) []Run {
	return slices.DeleteFunc(slices.Clone(b[job]), func(o Run) bool { return o.Worker == worker })
}

// Slowness describes a worker that looks slow: since when, and by how many runs.
type Slowness struct {
	ChangedAt time.Duration
	Runs      int
}

// Examine reports whether a worker looks slow at a time by what is seen of its runs.
func Examine(seen []Run, byJob RunsByJob, at time.Duration) (found Slowness, slow bool) {
	seen = withDuration(seen)
	overdue := 0
	var takes []time.Duration
	for _, o := range seen {
		takes = append(takes, o.Predicted)
		if o.Elapsed() > overdueRatio {
			overdue++
		}
	}
	if overdue < minOverdue {
		return Slowness{}, false
	}
	slices.Sort(takes)
	typical := takes[len(takes)/2]
	most, jobs := slowEvidence, evidenceByJob(seen, byJob)
	for _, age := range changeAges {
		changed := at - time.Duration(age*float64(typical))
		since := runsSince(seen, changed)
		if len(since) < MinRuns || !mostOverdue(since) {
			continue
		}
		if e := evidenceOfSlowness(jobs, changed); e >= most {
			most = e
			found, slow = Slowness{ChangedAt: changed, Runs: len(since)}, true
		}
	}
	return found, slow
}

// withDuration returns the runs that have lasted for some time: the others have no logarithm.
func withDuration(seen []Run) []Run {
	return slices.DeleteFunc(slices.Clone(seen), func(o Run) bool { return o.At <= o.Began })
}

// runsSince returns the runs that were running after a time.
func runsSince(seen []Run, changedAt time.Duration) []Run {
	return slices.DeleteFunc(slices.Clone(seen), func(o Run) bool { return o.At <= changedAt })
}

// mostOverdue reports whether no more runs have ended as predicted than are overdue. On a slow
// worker nearly none has.
func mostOverdue(seen []Run) bool {
	overdue, ended := 0, 0
	for _, o := range seen {
		switch {
		case o.Elapsed() > overdueRatio:
			overdue++
		case o.Ended:
			ended++
		}
	}
	return overdue >= minOverdue && ended <= overdue
}

// Factor estimates by how much longer runs take on a slow worker: the mean of the factors in the
// logarithm, weighted by their likelihood. It is unknown without runs since the worker became slow.
func Factor(seen []Run, byJob RunsByJob, changedAt time.Duration) (factor float64, known bool) {
	seen = withDuration(seen)
	if len(runsSince(seen, changedAt)) == 0 {
		return 0, false
	}
	byFactor := likelihoods(evidenceByJob(seen, byJob), changedAt)
	most := slices.Max(byFactor)
	sum, weights := 0.0, 0.0
	for n, l := range byFactor {
		weight := math.Exp(l - most)
		sum += weight * math.Log(slowFactors[n])
		weights += weight
	}
	return math.Exp(sum / weights), true
}

// EvidenceOfRecovery returns the logarithm of the ratio of two likelihoods of an end: that the
// worker is fast again, and that it is still slow by a factor.
func EvidenceOfRecovery(o Run, factor float64) float64 {
	x, total := math.Log(o.Elapsed()), o.Spread.total()
	return min(math.Log(density(x, total)/density(x-math.Log(factor), total)), maxEndEvidence)
}
