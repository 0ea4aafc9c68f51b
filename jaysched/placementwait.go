package jaysched

import (
	"maps"
	"slices"
	"time"
)

// placementWaitInterval is the time between two records of how long tasks have waited for the workers of
// their former placements.
const placementWaitInterval = time.Second

// placementHeldUntil returns when the last lease that a former owner granted to the worker of a placement must
// have ended.
//
// It handles this load: a worker does not answer any more, and the owners of its pool change before the leases
// of former owners must have ended. An owner that has not heard from the worker has granted it no lease, so
// that the next one waits for the leases of the owners before only: the record of the placement says how long
// ago these were fenced at least. It is a duration, since the clocks of the entries differ. It applies only
// while no owner has granted the worker a lease since: see withholdLease. An owner may grant one before it knows
// the record, during its takeover, so that only the record of the owner before this one applies.
func (p *Pool) placementHeldUntil(f *placement) time.Duration {
	return p.formerRuns.heldUntil - f.carried
}

// updatePlacementWaits requests at intervals that the waits for the workers of former placements be recorded.
func (p *Pool) updatePlacementWaits(now time.Duration) {
	fenced := p.formerRuns.fencedAt
	if fenced == 0 || len(p.formerPlacements) == 0 || now < p.placementWaitsAt+placementWaitInterval {
		return
	}
	p.placementWaitsAt = now
	for _, id := range slices.Sorted(maps.Keys(p.formerPlacements)) {
		if w, known := p.workers[id]; known && w.contact != unconfirmed {
			continue
		}
		for _, t := range p.formerPlacements[id] {
			f := t.formerPlacement
			if f == nil || f.worker != id || f.renewed || t.step.job.outcome != Open || f.waited >= p.formerRuns.heldUntil-fenced {
				continue
			}
			f.waited = f.carried + now - fenced
			p.markChanged(t.step.job)
		}
	}
}

// withholdLease grants no lease to a worker that has reported for the first time before the recorded waits for
// it are reset: the next owner would not wait for the lease.
func (p *Pool) withholdLease(w *worker) {
	for _, t := range p.formerPlacements[w.ID] {
		f, j := t.formerPlacement, t.step.job
		if f == nil || f.worker != w.ID || f.waited == 0 || j.recorded != Open {
			continue
		}
		f.carried, f.waited = 0, 0
		if w.withheldFor == nil {
			w.withheldFor = map[*job]bool{}
		}
		w.withheldFor[j] = true
		// Until it has a lease of this owner it may have one of a former owner.
		w.leaseBound = max(w.leaseBound, p.formerRuns.heldUntil)
		p.markChanged(j)
		p.recordNow = true
	}
}

// waitReset is a job whose record resets the wait for a worker.
type waitReset struct {
	worker *worker
	job    *job
}

// takeResets adds the resets of waits that are recorded with a batch.
func (b *Batch) takeResets(workers []*worker) {
	for _, w := range workers {
		for j := range w.withheldFor {
			if _, taken := b.Progress[j.spec.ID]; taken {
				b.resets = append(b.resets, waitReset{w, j})
			}
		}
	}
}

// recorded handles a reset that is recorded.
func (r waitReset) recorded(now time.Duration) {
	delete(r.worker.withheldFor, r.job)
	if len(r.worker.withheldFor) == 0 {
		r.worker.askAt = min(r.worker.askAt, now)
	}
}

// trialsArePlaced reports whether each recorded trial of a task that has begun is that of a recorded placement:
// the task waits for the worker of the placement then.
func (t *task) trialsArePlaced() bool {
	return t.step.recordsPlacements() && t.step.job.placementsTerm > 0
}
