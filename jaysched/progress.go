package jaysched

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jaythread/jaycancel"
	"jaythread/jaytrial"
	"jaythread/jaywire"
)

// Batch is the progress that the owner is to record together. Ends are acknowledged to the
// workers only once it is recorded: an end that was acknowledged and not recorded would be lost
// with its owner, and its task would run twice.
type Batch struct {
	// Progress is the progress of jobs by their IDs.
	Progress map[string]*jaywire.JobProgress
	outcomes map[string]Outcome
	ends     map[*worker]int64
	trials   map[*task]jaytrial.Trial
	// placements are the runs that begin once the batch is recorded.
	placements []*run
	// resets are the waits that the batch resets.
	resets []waitReset
	// cancellations are those of unknown jobs. Their records are in Progress.
	cancellations jaycancel.Changes
}

// markChanged marks a job's progress as to be recorded.
func (p *Pool) markChanged(j *job) {
	if !j.dirty {
		j.dirty = true
		p.changed = append(p.changed, j)
	}
}

// recordDelay is how long the end of a task may wait to be recorded together with others. The
// end of a job is not delayed, since its caller waits for it. Nor is information about tasks
// that may crash workers: it would be lost with the owner.
const recordDelay = 40 * time.Millisecond

// Recordable reports whether progress is to be recorded now.
func (p *Pool) Recordable(now time.Duration) bool {
	if p.recordNow || p.cancellations.Changed() || slices.ContainsFunc(p.changed, func(j *job) bool { return j.outcome != Open }) {
		return true
	}
	return now >= p.batchRecordedAt+recordDelay
}

const (
	// maxBatchBytes is the size of a batch from which no further job is added to it, maxAppendBytes the size
	// that it must not exceed unless a single job does. The store accepts twice maxBatchBytes.
	maxBatchBytes  = 1 << 20
	maxAppendBytes = maxBatchBytes * 3 / 2
	// recordOverhead bounds what a record takes beside the progress: its key and the time of the end.
	recordOverhead = 256
)

// TakeBatch returns and clears the progress to be recorded, or nil if there is none. If that is more
// than one append may hold, the rest remains to be recorded, and the ends with it.
func (p *Pool) TakeBatch() *Batch {
	b := &Batch{Progress: map[string]*jaywire.JobProgress{}, outcomes: map[string]Outcome{}, ends: map[*worker]int64{}, trials: map[*task]jaytrial.Trial{}}
	taken, size := 0, 0
	for _, j := range p.changed {
		if size >= maxBatchBytes {
			break
		}
		if j.unreadable && j.outcome == Open {
			taken++
			j.dirty = false
			continue
		}
		progress := j.progress()
		more := recordOverhead + proto.Size(progress)
		if size > 0 && size+more > maxAppendBytes {
			break
		}
		taken++
		j.dirty = false
		size += more
		b.Progress[j.spec.ID] = progress
		b.outcomes[j.spec.ID] = j.outcome
		j.eachTask(func(t *task) {
			known := t.knownTrials()
			if latest, unrecorded := known.Unrecorded(); unrecorded {
				b.trials[t] = latest
			}
			if r := t.unrecordedRun(); r != nil {
				b.placements = append(b.placements, r)
			}
		})
	}
	b.takeResets(p.sorted)
	p.changed = slices.Delete(p.changed, 0, taken)
	p.recordNow = len(p.changed) > 0
	b.cancellations = p.cancellations.TakeChanges()
	for id, by := range b.cancellations.By {
		b.Progress[id] = &jaywire.JobProgress{Outcome: jaywire.JobOutcome(Canceled), CanceledBy: by}
	}
	for _, w := range p.sorted {
		if w.processed > w.acknowledged && len(p.changed) == 0 {
			b.ends[w] = w.processed
		}
	}
	if len(b.Progress) == 0 && len(b.ends) == 0 {
		return nil
	}
	return b
}

// BatchRecorded handles a batch that is recorded in the store: its ends are acknowledged with the
// next request to their workers.
func (p *Pool) BatchRecorded(b *Batch, now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(b.outcomes)) {
		outcome := b.outcomes[id]
		j, known := p.jobs[id]
		if known && outcome != Open && j.recorded == Open {
			j.recorded, j.occurrences = outcome, nil
			p.RemoveDeclaration(id)
			p.recordEvent(Event{Kind: JobRecorded, Job: id, Detail: outcome.String(), Waited: now - j.endedAt}, now)
		}
	}
	p.cancellations.Recorded(b.cancellations)
	for t, stored := range b.trials {
		t.holdTrials().Recorded(stored)
	}
	p.recordedRuns = append(p.recordedRuns, b.placements...)
	for _, r := range b.resets {
		r.recorded(now)
	}
	p.batchRecordedAt = now
	for _, w := range p.sorted {
		if processed, ok := b.ends[w]; ok && processed > w.acknowledged {
			w.acknowledged = processed
			w.askAt = min(w.askAt, now)
		}
	}
}

// BatchRejected handles a batch that is not recorded: its progress is to be recorded again.
func (p *Pool) BatchRejected(b *Batch) {
	p.cancellations.Rejected(b.cancellations)
	for _, id := range slices.Sorted(maps.Keys(b.Progress)) {
		if j, known := p.jobs[id]; known {
			p.markChanged(j)
		}
	}
}

// progress returns the stored form of a job's progress.
func (j *job) progress() *jaywire.JobProgress {
	record := &jaywire.JobProgress{Outcome: jaywire.JobOutcome(j.outcome), Started: j.started}
	if j.outcome != Open {
		record.Organisation = j.spec.Organisation
		return record
	}
	record.PlacementsTerm = uint32(j.placementsTerm)
	if j.spec.Schedule.Timed() {
		record.NextOccurrence = uint32(j.series.Next())
		for _, number := range j.series.EndedAhead() {
			record.EndedAhead = append(record.EndedAhead, uint32(number))
		}
	}
	unsuspectedTrials := 0
	for _, o := range j.occurrences {
		if o.number < j.series.Next() && j.spec.Schedule.Timed() {
			record.OpenOccurrences = append(record.OpenOccurrences, uint32(o.number))
		}
		for _, s := range o.steps {
			if step := s.progress(&unsuspectedTrials); step != nil {
				record.Steps = append(record.Steps, step)
			}
		}
	}
	return record
}

// progress returns the stored form of a step's progress, or nil if there is none. It counts the trials
// of tasks that have no other progress.
func (s *step) progress(unsuspectedTrials *int) *jaywire.StepProgress {
	record := &jaywire.StepProgress{Occurrence: uint32(s.id.Occurrence), Step: uint32(s.id.Step), Done: slices.Clone(s.done)}
	for _, t := range s.tasks {
		trialRun := t.recordedTrial().run
		if !t.done && trialRun > 0 && len(t.crashes) == 0 {
			if *unsuspectedTrials++; *unsuspectedTrials > maxUnsuspectedTrials {
				trialRun = 0
			}
		}
		placed := t.placement()
		if !t.done && (len(t.failedRuns) > 0 || t.checkpoint() != "" || len(t.crashes) > 0 || trialRun > 0 || placed != nil) {
			record.Tasks = append(record.Tasks, &jaywire.TaskProgress{
				Index: uint32(t.index), FailedRuns: t.failedRuns, Checkpoint: t.checkpoint(), LastRun: t.lastRun, Crashes: t.crashRecords(trialRun > 0), TrialRun: trialRun, Placement: placed,
			})
		}
	}
	if len(record.Done) == 0 && len(record.Tasks) == 0 {
		return nil
	}
	return record
}

const bitsInByte = 8

func setBit(bits []byte, n int) []byte {
	for len(bits) <= n/bitsInByte {
		bits = append(bits, 0)
	}
	bits[n/bitsInByte] |= 1 << (n % bitsInByte)
	return bits
}

func hasBit(bits []byte, n int) bool {
	return n/bitsInByte < len(bits) && bits[n/bitsInByte]&(1<<(n%bitsInByte)) != 0
}
