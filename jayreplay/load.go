package jayreplay

import (
	"time"

	"jaythread/jayburst"
	"jaythread/jaypool"
	"jaythread/jayspec"
)

// Load describes the hosts, the jobs and the failures of a simulation.
type Load struct {
	// Hosts is the number of instances in each pool at the start.
	Hosts map[string]int
	// StandbyHosts is the number of instances that are on standby, switched off, at the start.
	StandbyHosts int
	// Size is the capacity of each instance.
	Size jaypool.Resources
	// MoveTime is how long the move of an instance to another pool takes.
	MoveTime time.Duration
	// DivideHosts divides the hosts among pools that all lack some.
	DivideHosts bool
	// RebootTime is how long an instance is unavailable after a crash of its worker.
	RebootTime time.Duration
	// Outages are losses of workers that are not caused by a task.
	Outages []Outage
	// Faults are times at which workers fail every run that they start.
	Faults []Outage
	// Slowdowns are times at which workers are slow.
	Slowdowns []Slowdown
	// WorkerSpeeds and CopyShare are settings of the pools; see jaysched.Settings.
	WorkerSpeeds bool
	CopyShare    float64
	// Link is the bandwidth of the network link of each pool's owner in bytes per second,
	// for each direction. Zero means unlimited.
	Link float64
	// RejectHopeless lets the pools reject hopeless jobs. Their callers repeat the request after
	// Retry-After in whole seconds, up to maxReturns times.
	RejectHopeless bool
	// FairShares serves organisations by their Weights while a pool lacks room.
	FairShares bool
	Weights    map[string]float64
	// PredictBursts moves hosts ahead of bursts that recur.
	PredictBursts bool
	// BurstPredictors are the predictors of bursts; nil means all.
	BurstPredictors []jayburst.Predictor
	// Arrivals are the submitted jobs, ordered by time.
	Arrivals []Arrival
	// MeasureFrom is the time from which instance-seconds are counted.
	MeasureFrom time.Duration
	// Until is the end of the simulation.
	Until time.Duration
}

// Outage is a loss, or a fault, of the workers on some of the hosts for a limited time.
type Outage struct {
	// At is when it begins.
	At time.Duration
	// For is how long it lasts.
	For time.Duration
	// First and Each select the hosts: every Each-th host in the order of their names,
	// where First, taken modulo Each, is the index of the first one.
	First int
	Each  int
}

// Slowdown is a time at which the workers on some of the hosts take longer for everything.
type Slowdown struct {
	Outage
	// Pool is the pool whose workers are slow. A host is not slow in another pool.
	Pool string
	// Factor is by how much longer the workers take.
	Factor float64
}

// Arrival is the submission of a job.
type Arrival struct {
	At  time.Duration
	Job *jayspec.Job
	// Durations is the actual run time of each task, by step and index. Long-running tasks have
	// no entry: they run until the end of the simulation.
	Durations [][]time.Duration
	// Crashes lists the tasks that crash every worker that starts them.
	Crashes []Crash
	// FailsAt is when the run of each task ends as failed, by step and index. A task without an
	// entry does not fail by itself.
	FailsAt map[[2]int]time.Duration
}

// Crash identifies a task that crashes its worker.
type Crash struct {
	Step  int
	Index int
	// After is the time from the start of the task to the crash.
	After time.Duration
}

// objective returns the time within which the job should be done, based on the actual run
// times of its tasks. It is zero for a long-running job.
func (a *Arrival) objective() time.Duration {
	if a.Job.LongRunning() {
		return 0
	}
	chain := a.Job.LongestChain(func(step int) time.Duration {
		longest := time.Duration(0)
		for _, d := range a.Durations[step] {
			longest = max(longest, d)
		}
		return longest
	})
	return time.Duration(a.Job.Policy.Stretch*float64(chain)) + a.Job.Policy.Objective
}

// work returns the work of the job in core-seconds, based on the actual run times of its
// tasks.
func (a *Arrival) work() float64 {
	total := 0.0
	for n, durations := range a.Durations {
		for _, d := range durations {
			total += d.Seconds() * float64(a.Job.Steps[n].Need.ProcessorsMilli) / milliPerCore
		}
	}
	return total
}

const milliPerCore = 1000
