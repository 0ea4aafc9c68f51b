package jaysched

import "jaythread/jayspec"

// The sizes below are estimates of what each takes in the memory of a 64-bit machine, with what its
// maps and slices take.
const (
	jobBytes        = 1200
	stepBytes       = 300
	occurrenceBytes = 120
	heldStepBytes   = 400
	taskBytes       = 240
	tasksPerByte    = 8
)

// Footprint estimates how many bytes of memory a pool needs for a job while its tasks wait. What the
// tasks need that run is bounded by the workers.
func Footprint(spec *jayspec.Job) int64 {
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
	held := min(spec.Schedule.Count(), 1+maxHeldWaiting/max(1, initial))
	return int64(bytes) + int64(held)*int64(occurrence)
}

// Fits reports whether a job can be added within a limit of the memory for the pool's jobs, and how
// many bytes they take. A known job always can.
func (p *Pool) Fits(spec *jayspec.Job, limit int64) (fits bool, held int64) {
	_, known := p.jobs[spec.ID]
	return known || p.footprint+Footprint(spec) <= limit, p.footprint
}

// Footprint estimates how many bytes of memory the pool needs for its open jobs.
func (p *Pool) Footprint() int64 {
	return p.footprint
}
