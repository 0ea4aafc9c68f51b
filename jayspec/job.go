// Package jayspec defines the declaration of a job: its steps, the tasks of each
// step and its schedule. It has no side effects.
package jayspec

import (
	"fmt"
	"strings"
	"time"

	"jaythread/jaypool"
)

// Job is a job as submitted. It is immutable afterwards.
type Job struct {
	ID    string
	Queue string
	// Address is that of the queue. It is empty for a job that an earlier version has stored and whose
	// queue is gone.
	Address string
	// Pool is the pool in which the job's tasks run. It is determined when the job
	// is submitted and does not change if the queue is assigned to another pool
	// later.
	Pool string
	// Organisation is the name of the organisation whose caller submitted the job; it is
	// empty for a queue that needs no key.
	Organisation string
	// Text is passed unchanged to each run.
	Text     string
	Steps    []Step
	Schedule Schedule
	Policy   Policy
	// Accepted is the wall-clock time at which the job was submitted.
	Accepted time.Time
}

// Policy holds the service objectives of a queue and the limits that apply to its
// jobs.
type Policy struct {
	// Priority is the rank of the queue; zero is the highest.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch and Objective determine the target duration of a job: the duration of
	// its longest chain of steps multiplied by Stretch, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Advised states that the advisor alone determines which workers may run a
	// step.
	Advised bool
}

// Schedule determines when the steps of a job run.
type Schedule struct {
	// Occurrences is how often the steps run at scheduled times. Zero means that
	// they run once, as soon as possible.
	Occurrences int
	First       time.Time
	Interval    time.Duration
}

// Timed reports whether the steps run at scheduled times.
func (s Schedule) Timed() bool {
	return s.Occurrences > 0
}

// Count returns how often the steps run.
func (s Schedule) Count() int {
	return max(1, s.Occurrences)
}

// Due returns the scheduled time of an occurrence, counted from zero.
func (s Schedule) Due(occurrence int) time.Time {
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// Step is a set of identical tasks.
type Step struct {
	Tasks int
	// Need is the resources that one task requires.
	Need jaypool.Resources
	// Estimate is the expected duration of one task. It may be far off.
	Estimate time.Duration
	// After lists the indexes of the earlier steps whose tasks must all be done
	// before this step starts.
	After []int
	// Checkpoint states that the tasks save their progress.
	Checkpoint bool
	// Gang states that the tasks make progress only while all of them run, and end
	// together.
	Gang bool
	// RackLocal states that the tasks are slow if they run on more than one rack.
	RackLocal bool
	// Speculative states that several copies of a task may run; the first one to
	// end counts.
	Speculative bool
	// LongRunning states that the tasks run until the job is cancelled.
	LongRunning bool
	// Fills states that the tasks use processors that other tasks leave idle. Their
	// processors are not counted against the worker's capacity.
	Fills bool
	// RequiredLabel is a label that the worker must have; empty means none.
	RequiredLabel string
	// DataRack is the rack that holds the data. The tasks are slow on other racks.
	DataRack string
	// Image is the name of the program. Tasks of the same image behave alike.
	Image string
	// MaxPerInstance limits the number of tasks of one occurrence on one worker;
	// zero means no limit.
	MaxPerInstance int
	// MayMiss is how many tasks of a long-running step may be interrupted at the
	// same time by the system's own commands.
	MayMiss int
	// Target limits the tail latency of a serving task's responses; zero means no
	// target.
	Target time.Duration
}

// LongRunning reports whether the job has a step that runs until the job is
// cancelled.
func (j *Job) LongRunning() bool {
	for n := range j.Steps {
		if j.Steps[n].LongRunning {
			return true
		}
	}
	return false
}

// Tasks returns the number of tasks in one occurrence of the job.
func (j *Job) Tasks() int {
	total := 0
	for n := range j.Steps {
		total += j.Steps[n].Tasks
	}
	return total
}

// Work returns the declared work of one occurrence in core-seconds.
func (j *Job) Work() float64 {
	total := 0.0
	for n := range j.Steps {
		s := &j.Steps[n]
		total += float64(s.Tasks) * float64(s.Need.ProcessorsMilli) / 1000 * s.Estimate.Seconds()
	}
	return total
}

// LongestChain returns the duration of one occurrence if each task starts as soon
// as the steps that it depends on have ended. The argument of returns the duration
// of a step by its index.
func (j *Job) LongestChain(of func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for n := range j.Steps {
		begin := time.Duration(0)
		for _, before := range j.Steps[n].After {
			begin = max(begin, ends[before])
		}
		ends[n] = begin + of(n)
		longest = max(longest, ends[n])
	}
	return longest
}

// Summary describes the steps in one line for logs, such as
// "6x3500m,13000MB,800ms>0": number of tasks, processors in thousandths of a core,
// memory, estimate, the steps that it depends on, and flags.
func (j *Job) Summary() string {
	steps := make([]string, len(j.Steps))
	for n := range j.Steps {
		steps[n] = j.Steps[n].summary()
	}
	return strings.Join(steps, " ")
}

func (s *Step) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%dx%dm,%dMB", s.Tasks, s.Need.ProcessorsMilli, s.Need.MemoryMegabytes)
	if s.Need.Accelerators > 0 {
		fmt.Fprintf(&b, ",%dacc", s.Need.Accelerators)
	}
	fmt.Fprintf(&b, ",%s", s.Estimate)
	for _, before := range s.After {
		fmt.Fprintf(&b, ">%d", before)
	}
	flags := []struct {
		set  bool
		name string
	}{
		{s.Checkpoint, "checkpoint"}, {s.Gang, "gang"}, {s.RackLocal, "rackLocal"},
		{s.Speculative, "speculative"}, {s.LongRunning, "longRunning"}, {s.Fills, "fills"},
		{s.RequiredLabel != "", "label=" + s.RequiredLabel}, {s.DataRack != "", "rack=" + s.DataRack},
		{s.Image != "", "image=" + s.Image}, {s.MaxPerInstance > 0, fmt.Sprint("max=", s.MaxPerInstance)},
		{s.MayMiss > 0, fmt.Sprint("mayMiss=", s.MayMiss)}, {s.Target > 0, "target=" + s.Target.String()},
	}
	for _, f := range flags {
		if f.set {
			b.WriteString("," + f.name)
		}
	}
	return b.String()
}
