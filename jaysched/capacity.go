package jaysched

import (
	"fmt"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
)

// maxFullTime limits for how long no run is started on a worker that had less room than its
// heartbeat shows: the heartbeat with its new capacity is read within about that time.
const maxFullTime = 1500 * time.Millisecond

// resize sets a new capacity of a worker. Runs beyond the new capacity continue, and no run is
// started until there is room.
func (p *Pool) resize(w *worker, capacity jaypool.Resources, now time.Duration) {
	p.recordEvent(Event{Kind: WorkerResized, Worker: w.ID, Detail: fmt.Sprintf("%v instead of %v", sizeText(capacity), sizeText(w.Capacity))}, now)
	w.free = w.free.Add(capacity.Sub(w.Capacity))
	w.Capacity = capacity
	w.fullUntil, w.fullFor = 0, 0
}

// updateMaxCapacity computes the largest amount of each resource that any worker has.
func (p *Pool) updateMaxCapacity() {
	var largest jaypool.Resources
	for _, w := range p.sorted {
		largest = largest.Max(w.Capacity)
	}
	if largest != (jaypool.Resources{}) {
		p.maxCapacity = largest
	}
}

// overCommitted reports whether the runs on a worker need more than its capacity.
func (w *worker) overCommitted() bool {
	return w.free.ProcessorsMilli < 0 || w.free.MemoryMegabytes < 0 || w.free.Accelerators < 0
}

// recordRefusal records why the worker refused a start. A worker that unexpectedly lacks room
// gets no start for a delay that doubles each time: its actual capacity becomes known only with
// its next heartbeat.
func (w *worker) recordRefusal(reason jayport.Reason, now time.Duration) {
	w.health.recordRefusal(reason, now)
	if reason == jayport.RefusedNoRoom && now >= w.fullUntil {
		w.fullFor = min(max(2*w.fullFor, refusedRetryDelay), maxFullTime)
		w.fullUntil = now + w.fullFor
	}
}

// fitsNoWorker reports whether a task needs more than any worker has. Such a task waits beside all others: it
// takes no room from them, and counts neither as waiting nor as arriving work.
func (p *Pool) fitsNoWorker(need jaypool.Resources) bool {
	return p.maxCapacity != (jaypool.Resources{}) && !p.maxCapacity.Fits(need)
}

// waitsForLargerWorker reports whether the next task of a job fits on no worker.
func (p *Pool) waitsForLargerWorker(j *job, now time.Duration) bool {
	for _, s := range j.earliest().steps {
		if s.waiting > 0 && s.ready(now) {
			return p.fitsNoWorker(needOf(s))
		}
	}
	return false
}

// noteTooLarge records, once per step, that no worker is large enough for a task of the step.
func (p *Pool) noteTooLarge(s *step, now time.Duration) {
	need := needOf(s)
	if !p.fitsNoWorker(need) {
		s.tooLarge = false
		return
	}
	if !s.tooLarge {
		s.tooLarge = true
		p.recordEvent(Event{Kind: TaskTooLarge, Job: s.job.spec.ID, Detail: fmt.Sprintf("step %d needs %v, the largest worker has %v", s.id.Step, sizeText(need), sizeText(p.maxCapacity))}, now)
	}
}

// sizeText formats resources for the log.
func sizeText(r jaypool.Resources) string {
	text := fmt.Sprintf("%dm,%dMB", r.ProcessorsMilli, r.MemoryMegabytes)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(",%dgpu", r.Accelerators)
	}
	return text
}
