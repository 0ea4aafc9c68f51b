package jaynode

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jaypool"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// encodeJob encodes a job as the declaration that is kept in the store.
func encodeJob(j *jayspec.Job) ([]byte, error) {
	record := &jaywire.JobDeclaration{
		Queue:              j.Queue,
		Address:            j.Address,
		Organisation:       j.Organisation,
		Spec:               j.Text,
		Occurrences:        uint32(j.Schedule.Occurrences),
		AcceptedUnixMillis: j.Accepted.UnixMilli(),
		Policy: &jaywire.QueuePolicy{
			Priority:        uint32(j.Policy.Priority),
			Attempts:        uint32(j.Policy.Attempts),
			Stretch:         j.Policy.Stretch,
			ObjectiveMillis: j.Policy.Objective.Milliseconds(),
			Advised:         j.Policy.Advised,
		},
	}
	if j.Schedule.Timed() {
		record.FirstDueUnixMillis = j.Schedule.First.UnixMilli()
		record.IntervalMillis = j.Schedule.Interval.Milliseconds()
	}
	for n := range j.Steps {
		record.Steps = append(record.Steps, encodeStep(&j.Steps[n]))
	}
	return proto.Marshal(record)
}

func encodeStep(s *jayspec.Step) *jaywire.StepDeclaration {
	record := &jaywire.StepDeclaration{
		Tasks:           uint32(s.Tasks),
		ProcessorsMilli: s.Need.ProcessorsMilli,
		MemoryMegabytes: s.Need.MemoryMegabytes,
		Accelerators:    s.Need.Accelerators,
		EstimateMillis:  s.Estimate.Milliseconds(),
		Checkpoint:      s.Checkpoint,
		Gang:            s.Gang,
		RackLocal:       s.RackLocal,
		Speculative:     s.Speculative,
		LongRunning:     s.LongRunning,
		Fills:           s.Fills,
		RequiredLabel:   s.RequiredLabel,
		DataRack:        s.DataRack,
		Image:           s.Image,
		MaxPerInstance:  uint32(s.MaxPerInstance),
		MayMiss:         uint32(s.MayMiss),
		TargetMillis:    s.Target.Milliseconds(),
	}
	for _, before := range s.After {
		record.After = append(record.After, uint32(before))
	}
	return record
}

// decodeJob decodes a job's declaration from the store and validates it.
func decodeJob(pool, id string, value []byte) (*jayspec.Job, error) {
	record := &jaywire.JobDeclaration{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, fmt.Errorf("decode declaration of job %s: %w", id, err)
	}
	job := &jayspec.Job{
		ID:           id,
		Queue:        record.Queue,
		Address:      record.Address,
		Pool:         pool,
		Organisation: record.Organisation,

		Text:     record.Spec,
		Accepted: time.UnixMilli(record.AcceptedUnixMillis),
		Schedule: jayspec.Schedule{
			Occurrences: int(record.Occurrences),
			First:       time.UnixMilli(record.FirstDueUnixMillis),
			Interval:    millis(record.IntervalMillis),
		},
	}
	if p := record.Policy; p != nil {
		job.Policy = jayspec.Policy{
			Priority:  int(p.Priority),
			Attempts:  int(p.Attempts),
			Stretch:   p.Stretch,
			Objective: millis(p.ObjectiveMillis),
			Advised:   p.Advised,
		}
	}
	for _, s := range record.Steps {
		job.Steps = append(job.Steps, decodeStep(s))
	}
	if err := job.Check(); err != nil {
		// Declarations are validated before they are stored, so another program wrote
		// this one.
		return nil, fmt.Errorf("decode declaration of job %s: %w", id, err)
	}
	return job, nil
}

func decodeStep(record *jaywire.StepDeclaration) jayspec.Step {
	step := jayspec.Step{
		Tasks: int(record.Tasks),
		Need: jaypool.Resources{
			ProcessorsMilli: record.ProcessorsMilli,
			MemoryMegabytes: record.MemoryMegabytes,
			Accelerators:    record.Accelerators,
		},
		Estimate:       millis(record.EstimateMillis),
		Checkpoint:     record.Checkpoint,
		Gang:           record.Gang,
		RackLocal:      record.RackLocal,
		Speculative:    record.Speculative,
		LongRunning:    record.LongRunning,
		Fills:          record.Fills,
		RequiredLabel:  record.RequiredLabel,
		DataRack:       record.DataRack,
		Image:          record.Image,
		MaxPerInstance: int(record.MaxPerInstance),
		MayMiss:        int(record.MayMiss),
		Target:         millis(record.TargetMillis),
	}
	for _, before := range record.After {
		step.After = append(step.After, int(before))
	}
	return step
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
