// Package jaypart divides the recorded progress of a job into records that the store accepts.
//
// It handles this load: thousands of tasks of a job have saved checkpoints, and the job has had several
// owners. The store refused its progress, and each owner of the pool gave it up in turn.
package jaypart

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

const (
	// MaxBytes is the size that the tasks of one record may have. The store accepts twice as much.
	MaxBytes = 1 << 17
	// taskOverhead bounds the bytes that a task takes beside its own: its tag and its length.
	taskOverhead = 8
	// separator separates a job's ID from the number of a part in a key.
	separator = "#"
)

// ID returns the name under which a part of a job's progress is recorded. Part 0 is the first record, which
// has the job's ID.
func ID(job string, part int) string {
	if part == 0 {
		return job
	}
	return job + separator + strconv.Itoa(part)
}

// ParseID returns the job and the number of the part that a name stands for.
func ParseID(id string) (job string, part int) {
	job, number, found := strings.Cut(id, separator)
	part, err := strconv.Atoi(number)
	if !found || err != nil || part <= 0 {
		return id, 0
	}
	return job, part
}

// Split divides progress into records of which each holds tasks of at most maxBytes, in bytes. The first one has
// everything but the tasks for which it has no room. The progress is not changed.
func Split(progress *jaywire.JobProgress, maxBytes int) []*jaywire.JobProgress {
	if proto.Size(progress) <= maxBytes {
		return []*jaywire.JobProgress{progress}
	}
	first := &jaywire.JobProgress{}
	proto.Merge(first, &jaywire.JobProgress{
		Outcome: progress.Outcome, EndedUnixMillis: progress.EndedUnixMillis, Started: progress.Started, Organisation: progress.Organisation,
		NextOccurrence: progress.NextOccurrence, OpenOccurrences: progress.OpenOccurrences, EndedAhead: progress.EndedAhead, CanceledBy: progress.CanceledBy, PlacementsTerm: progress.PlacementsTerm,
	})
	parts, size := []*jaywire.JobProgress{first}, 0
	for _, s := range progress.Steps {
		step := &jaywire.StepProgress{Occurrence: s.Occurrence, Step: s.Step, Done: s.Done}
		first.Steps = append(first.Steps, step)
		if len(parts) > 1 {
			step = &jaywire.StepProgress{Occurrence: s.Occurrence, Step: s.Step}
			last := parts[len(parts)-1]
			last.Steps = append(last.Steps, step)
		}
		for _, t := range s.Tasks {
			if size += proto.Size(t) + taskOverhead; size > maxBytes {
				size = proto.Size(t) + taskOverhead
				step = &jaywire.StepProgress{Occurrence: s.Occurrence, Step: s.Step}
				parts = append(parts, &jaywire.JobProgress{Steps: []*jaywire.StepProgress{step}})
			}
			step.Tasks = append(step.Tasks, t)
		}
	}
	first.Parts = uint32(len(parts) - 1)
	return parts
}

// Join adds the parts of a job's progress to its first record. It reports whether all parts are there. Parts of
// earlier, larger progress are ignored.
func Join(first *jaywire.JobProgress, parts map[int]*jaywire.JobProgress) (complete bool) {
	steps := map[[2]uint32]*jaywire.StepProgress{}
	for _, s := range first.Steps {
		steps[[2]uint32{s.Occurrence, s.Step}] = s
	}
	for n := 1; n <= int(first.Parts); n++ {
		part, known := parts[n]
		if !known || part == nil {
			return false
		}
		for _, s := range part.Steps {
			step, known := steps[[2]uint32{s.Occurrence, s.Step}]
			if !known {
				return false
			}
			step.Tasks = append(step.Tasks, s.Tasks...)
		}
	}
	return true
}
