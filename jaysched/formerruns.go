package jaysched

import (
	"fmt"
	"slices"
	"time"
)

// formerRuns is what is known about the workers that may have runs of a former owner.
//
// It prevents this failure: an owner is lost, and the next one starts a task that runs on a worker
// which has not reported yet. A former owner that does not know that it was replaced may even start
// a run; but it uses no worker that has joined since, because it uses a worker only once the store
// has confirmed after the worker joined that it still is the owner (see jayownership.Right). A worker that
// has reported to this owner refuses the orders of all former ones.
//
// Therefore restored tasks wait only for the workers that existed when the takeover was complete,
// each until it has reported or has ended. Hosts that join, are maintained or leave are no reason to
// wait: with a wave and changing demand there is always one.
type formerRuns struct {
	// heldUntil is when the last lease that a former owner granted must have ended.
	heldUntil time.Duration
	// fencedAt is when the former owner was fenced, or zero if that is not known.
	fencedAt time.Duration
	// takenOverAt is when the takeover was complete: a former owner uses no worker that has joined
	// since.
	takenOverAt time.Duration
	// candidates are the workers that existed before candidatesAt, which is zero until the
	// inventory has been read after the takeover. A worker may be on the list before the inventory
	// has it.
	candidates   map[string]bool
	candidatesAt time.Duration
	// reports are the workers that have reported to this owner, with all ends processed.
	reports map[string]bool
	// unlisted are the candidates that exist, are not on the list and have not reported.
	unlisted map[string]bool
	// over says that no such worker is left, and overAt when the owner concluded that without reports of all
	// of them, or zero.
	over   bool
	overAt time.Duration
	// readAt is when the newest list of the inventory was requested.
	readAt time.Duration
}

// WithFormerOwner holds tasks that a former owner may have started until its leases must have
// ended, or all workers that it may have used have reported.
func WithFormerOwner(heldUntil time.Duration) Option {
	return func(p *Pool) { p.formerRuns.heldUntil = heldUntil }
}

// HoldFormerRuns is WithFormerOwner for a pool that exists already; it may be called before the first
// decision. The former owner may grant leases until some time after it was fenced.
func (p *Pool) HoldFormerRuns(fenced, until time.Duration) {
	p.formerRuns.fencedAt, p.formerRuns.heldUntil = fenced, until
}

// TakenOver records that a former owner uses no worker that joins from the given time on. Without
// it that is so from the start. The workers have some time to report ends, also if the takeover took
// longer than the leases of the former owner.
func (p *Pool) TakenOver(at time.Duration) {
	f := &p.formerRuns
	f.takenOverAt = at
	if f.heldUntil > 0 {
		f.heldUntil = max(f.heldUntil, at+takeoverReportTimeout)
	}
}

// inventoryRead handles a list of the inventory, which was requested at the time asked. It returns
// false if a newer list is known.
func (f *formerRuns) inventoryRead(ids []string, asked time.Duration, known map[string]*worker) bool {
	if asked < f.readAt {
		return false
	}
	f.readAt = asked
	if f.candidatesAt == 0 {
		if f.candidates == nil {
			f.candidates = map[string]bool{}
		}
		for _, id := range ids {
			f.candidates[id] = true
		}
		if asked >= f.takenOverAt {
			for id := range known {
				f.candidates[id] = true
			}
			f.candidatesAt = asked
		}
	}
	f.unlisted = map[string]bool{}
	for _, id := range ids {
		if _, listed := known[id]; !listed && f.candidates[id] && !f.reports[id] {
			f.unlisted[id] = true
		}
	}
	return true
}

// listed records that a worker is on the list.
func (f *formerRuns) listed(id string) {
	delete(f.unlisted, id)
}

// reported records that a worker has reported to this owner, and that all its ends are processed.
func (f *formerRuns) reported(id string) {
	if f.candidatesAt > 0 && !f.candidates[id] {
		return
	}
	if f.reports == nil {
		f.reports = map[string]bool{}
	}
	f.reports[id] = true
}

// allListed reports whether each worker that may have runs of a former owner is on the list.
func (f *formerRuns) allListed() bool {
	return f.candidatesAt > 0 && len(f.unlisted) == 0
}

// mayHaveFormerRuns reports whether a worker on the list may have runs of a former owner, or ends of
// such runs, that are not known.
func (p *Pool) mayHaveFormerRuns(w *worker) bool {
	f := &p.formerRuns
	return !f.reports[w.ID] && (f.candidatesAt == 0 || f.candidates[w.ID])
}

// formerRunsPossible reports whether some worker may still have runs that a former owner
// started.
func (p *Pool) formerRunsPossible(now time.Duration) bool {
	if now >= p.formerRuns.heldUntil {
		return false
	}
	return !p.formerRuns.allListed() || slices.ContainsFunc(p.sorted, p.mayHaveFormerRuns)
}

// reviewFormerRuns notes when the owner concludes that runs of a former owner are over: that a worker has ended
// or its lease has, without a report to this owner. The next owner may have learned of their ends before.
func (p *Pool) reviewFormerRuns(formerRuns bool, now time.Duration) {
	f := &p.formerRuns
	if f.over == !formerRuns {
		return
	}
	f.over = !formerRuns
	if !f.over || f.heldUntil == 0 {
		return
	}
	unreported := f.candidatesAt == 0
	for id := range f.candidates {
		unreported = unreported || !f.reports[id]
	}
	if unreported {
		f.overAt = now
		p.right.Need(now)
	}
}

// formerRunsReason names the workers that may have runs of a former owner.
func (p *Pool) formerRunsReason() string {
	f := &p.formerRuns
	if f.candidatesAt == 0 {
		return "the inventory is not read"
	}
	var unreported []string
	for _, w := range p.sorted {
		if p.mayHaveFormerRuns(w) {
			unreported = append(unreported, w.ID)
		}
	}
	unlisted := make([]string, 0, len(f.unlisted))
	for id := range f.unlisted {
		unlisted = append(unlisted, id)
	}
	slices.Sort(unlisted)
	return fmt.Sprintf("no report of %v, not listed %v", unreported, unlisted)
}
