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
	// readAt is when the newest list of the inventory was requested.
	readAt time.Duration
	// overAt is when this owner last concluded that a worker without a report has no run of a former owner any
	// more. A next owner may know more.
	overAt time.Duration
	// deadlineReviewed says that heldUntil has passed and is regarded in overAt.
	deadlineReviewed bool
}

// WithFormerOwner holds tasks that a former owner may have started until its leases must have
// ended, or all workers that it may have used have reported.
func WithFormerOwner(heldUntil time.Duration) Option {
	return func(p *Pool) { p.formerRuns.heldUntil = heldUntil }
}

// HoldFormerRuns is WithFormerOwner for a pool that exists already; it may be called before the first
// decision. The former owner may grant leases until some time after it was fenced.
func (p *Pool) HoldFormerRuns(fenced, until time.Duration) {
	f := &p.formerRuns
	f.fencedAt, f.heldUntil, f.deadlineReviewed = fenced, until, false
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
func (f *formerRuns) inventoryRead(ids []string, asked, now time.Duration, known map[string]*worker) bool {
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
	former := f.unlisted
	f.unlisted = map[string]bool{}
	for _, id := range ids {
		if _, listed := known[id]; !listed && f.candidates[id] && !f.reports[id] {
			f.unlisted[id] = true
		}
	}
	for id := range former {
		if !f.unlisted[id] {
			f.overAt = now
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
	return now < p.formerRuns.heldUntil && p.formerRunsUnreported()
}

// formerRunsUnreported reports whether some worker that may have had runs of a former owner has neither
// reported nor ended.
func (p *Pool) formerRunsUnreported() bool {
	return !p.formerRuns.allListed() || slices.ContainsFunc(p.sorted, p.mayHaveFormerRuns)
}

// formerWorkerLost records that a worker is given up that may have runs of a former owner.
func (p *Pool) formerWorkerLost(w *worker, now time.Duration) {
	if now < p.formerRuns.heldUntil && p.mayHaveFormerRuns(w) {
		p.formerRuns.overAt = now
	}
}

// reviewFormerRuns requests that the owner be confirmed for the conclusion that runs of former owners are over.
func (p *Pool) reviewFormerRuns(now time.Duration) {
	f := &p.formerRuns
	if now >= f.heldUntil && !f.deadlineReviewed {
		f.deadlineReviewed = true
		if p.formerRunsUnreported() {
			f.overAt = max(f.overAt, f.heldUntil)
		}
	}
	p.right.Need(f.overAt)
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
