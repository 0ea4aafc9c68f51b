// Package jayfootprint estimates the memory that the owner of a pool needs for the pool's open jobs,
// and limits it: an owner that accepts more than it can hold is killed, and each next owner as well.
package jayfootprint

import (
	"fmt"
	"math"
	"time"

	"jaythread/jayspec"
)

// The sizes below, in bytes, are estimates for a 64-bit machine, with what maps and slices take.
const (
	jobBytes        = 1200
	stepBytes       = 300
	occurrenceBytes = 120
	heldStepBytes   = 400
	taskBytes       = 240
	tasksPerByte    = 8
)

// Of estimates how many bytes the owner of a pool needs for a job while its tasks wait. The owner holds
// no further occurrence once heldWaiting of them wait. What the tasks need that run is bounded by the
// pool's workers.
func Of(spec *jayspec.Job, heldWaiting int) int64 {
	bytes := jobBytes + len(spec.Text) + len(spec.Steps)*stepBytes
	occurrence, initial := occurrenceBytes, 0
	for n := range spec.Steps {
		s := &spec.Steps[n]
		occurrence += heldStepBytes + s.Tasks/tasksPerByte
		if s.Gang || s.LongRunning {
			occurrence += s.Tasks * taskBytes
		}
		if len(s.After) == 0 {
			initial += s.Tasks
		}
	}
	held := min(spec.Schedule.Count(), 1+heldWaiting/max(1, initial))
	return int64(bytes) + int64(held)*int64(occurrence)
}

// jobMemoryPercent is the share of an entry's memory for the open jobs of all pools: the last entry may
// have to own all of them. The collector lets the heap grow to twice what is live.
const jobMemoryPercent = 40

// Limit returns the limit, in bytes, of the memory for the open jobs of one of some pools on an entry
// with some memory, in bytes. Without known memory, zero, it is the largest number.
func Limit(memory int64, pools int) int64 {
	if memory == 0 {
		return math.MaxInt64
	}
	return memory * jobMemoryPercent / 100 / int64(max(1, pools))
}

// RetryAfter is the delay after which the caller of a job is asked to retry for which there is no
// memory: thousands of jobs have to end first.
const RetryAfter = 5 * time.Second

// FullError is the rejection of a job for which the owner of its pool has no memory. Held is what the
// pool's open jobs take, in bytes, and Limit what they may take.
type FullError struct {
	Held, Limit int64
}

// Error names both numbers.
func (e *FullError) Error() string {
	return fmt.Sprintf("the open jobs of the pool take %d bytes of memory, of at most %d", e.Held, e.Limit)
}
