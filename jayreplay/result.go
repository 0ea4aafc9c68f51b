package jayreplay

import (
	"slices"
	"time"
)

// servedFactor is the multiple of its objective within which the result of a late job is
// still useful to its caller.
const servedFactor = 3

// JobResult is the outcome of a job.
type JobResult struct {
	Queue        string
	Organisation string
	Submitted    time.Duration
	Objective    time.Duration
	// Work is the work of the job in core-seconds.
	Work float64
	// Done is when the job was first shown as done, or zero.
	Done time.Duration
	// Rejections counts how often the job was rejected. Accepted is when it was accepted, or zero.
	Rejections int
	Accepted   time.Duration
	// Failed is when the job was first shown as failed, or zero.
	Failed time.Duration
	// Crashes is true if some of the job's tasks crash their workers.
	Crashes bool
	// Starts is the largest number of runs of one of the crashing tasks.
	Starts int
}

// InTime reports whether the job was done within its objective.
func (j JobResult) InTime() bool {
	return j.Done > 0 && j.Done-j.Submitted <= j.Objective
}

// Served reports whether the job was done while its result was still useful.
func (j JobResult) Served() bool {
	return j.Done > 0 && j.Done-j.Submitted <= servedFactor*j.Objective
}

// Result is the outcome of a simulation.
type Result struct {
	// Jobs are the jobs in the order of their submission, without long-running ones.
	Jobs []JobResult
	// InstanceSeconds sums up for how long each instance was on.
	InstanceSeconds float64
	// Used is the part of InstanceSeconds that tasks reserved, by processors.
	Used float64
	// Moves counts the instances that were moved to another pool.
	Moves int
	// Lapsed counts the runs that ended because their lease was not renewed.
	Lapsed int
	// Crashes counts the workers that were crashed by a task.
	Crashes int
}

// InTime returns the share of the jobs that were done within their objective.
func (r Result) InTime() float64 {
	return r.share(JobResult.InTime)
}

// Served returns the share of the jobs that were done while their result was still useful.
func (r Result) Served() float64 {
	return r.share(JobResult.Served)
}

func (r Result) share(of func(JobResult) bool) float64 {
	if len(r.Jobs) == 0 {
		return 0
	}
	count := 0
	for _, j := range r.Jobs {
		if of(j) {
			count++
		}
	}
	return float64(count) / float64(len(r.Jobs))
}

// Between returns the result for the jobs that were submitted at or after from and before
// to.
func (r Result) Between(from, to time.Duration) Result {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(j JobResult) bool { return j.Submitted < from || j.Submitted >= to })
	return r
}

// NotCrashing returns the result for the jobs that do not crash workers.
func (r Result) NotCrashing() Result {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(j JobResult) bool { return j.Crashes })
	return r
}

// Crashing returns the result for the jobs that crash workers.
func (r Result) Crashing() Result {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(j JobResult) bool { return !j.Crashes })
	return r
}

// OfOrganisations returns the result for the jobs of some organisations.
func (r Result) OfOrganisations(names ...string) Result {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(j JobResult) bool { return !slices.Contains(names, j.Organisation) })
	return r
}

// Of returns the result for the jobs of a queue.
func (r Result) Of(queue string) Result {
	r.Jobs = slices.DeleteFunc(slices.Clone(r.Jobs), func(j JobResult) bool { return j.Queue != queue })
	return r
}
