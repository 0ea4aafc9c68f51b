package jayspec

import (
	"errors"
	"fmt"
)

// Limits of a declaration. They prevent one job from exhausting the memory and the
// record size that all jobs share.
const (
	// MaxTextBytes limits the length of a job's text.
	MaxTextBytes = 4000
	// MaxSteps limits the number of steps of a job.
	MaxSteps = 64
	// MaxTasks limits the number of tasks in all steps of a job.
	MaxTasks = 10_000
	// MaxOccurrences limits the number of occurrences of a job.
	MaxOccurrences = 100_000
	// MaxRuns limits the number of tasks in all occurrences of a job.
	MaxRuns = 1_000_000
	// MaxNeed limits each resource that one task needs, in the unit of its field.
	// The sum over all tasks then fits into 64 bits.
	MaxNeed = 1 << 40
	// idDigits is the length of a job's ID in hexadecimal digits.
	idDigits = 16
)

// ErrInvalid is wrapped by every error of Check.
var ErrInvalid = errors.New("invalid job")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// ValidID reports whether a string has the form of a job's ID: 16 hexadecimal
// digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return false
		}
	}
	return true
}

// Check returns an error that wraps ErrInvalid and describes the first reason why
// the declaration cannot be accepted, or nil.
func (j *Job) Check() error {
	if !ValidID(j.ID) {
		return invalid("identity %q is not %d hexadecimal digits", j.ID, idDigits)
	}
	if len(j.Text) > MaxTextBytes {
		return invalid("text has %d bytes, more than %d", len(j.Text), MaxTextBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return invalid("%d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if err := j.Schedule.check(); err != nil {
		return err
	}
	for n := range j.Steps {
		if err := j.Steps[n].check(n); err != nil {
			return err
		}
	}
	if tasks := j.Tasks(); tasks > MaxTasks {
		return invalid("%d tasks, more than %d", tasks, MaxTasks)
	} else if runs := tasks * max(1, j.Schedule.Occurrences); runs > MaxRuns {
		return invalid("%d tasks in all occurrences, more than %d", runs, MaxRuns)
	}
	return nil
}

func (s Schedule) check() error {
	if s.Occurrences < 0 || s.Occurrences > MaxOccurrences {
		return invalid("%d occurrences; 0 to %d are allowed", s.Occurrences, MaxOccurrences)
	}
	if s.Interval < 0 {
		return invalid("a negative interval")
	}
	return nil
}

func (s *Step) check(number int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return invalid("step %d has %d tasks; 1 to %d are allowed", number, s.Tasks, MaxTasks)
	}
	// A step may depend only on earlier steps, which also excludes cycles.
	for _, before := range s.After {
		if before < 0 || before >= number {
			return invalid("step %d waits for step %d, which is not before it", number, before)
		}
	}
	negative := s.Need.ProcessorsMilli < 0 || s.Need.MemoryMegabytes < 0 || s.Need.Accelerators < 0 ||
		s.Estimate < 0 || s.MaxPerInstance < 0 || s.MayMiss < 0 || s.Target < 0
	if negative {
		return invalid("step %d has a negative number", number)
	}
	if max(s.Need.ProcessorsMilli, s.Need.MemoryMegabytes, s.Need.Accelerators) > MaxNeed {
		return invalid("step %d needs more than %d of something", number, MaxNeed)
	}
	return nil
}
