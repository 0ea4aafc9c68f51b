package jaysched

import (
	"fmt"
	"slices"
	"time"

	"jaythread/jayport"
)

const (
	// endedHeartbeatTTL is how long an ended incarnation is not taken for a new worker: the
	// list of workers contains its last heartbeat until that expires.
	endedHeartbeatTTL = 6 * time.Second
	// maxFormerIncarnations limits the number of incarnations remembered for one worker.
	maxFormerIncarnations = 16
)

// endedIncarnations are the ended incarnations of a worker.
type endedIncarnations struct {
	listedUntil time.Duration
	// former holds the incarnations that have ended, the latest last.
	former []jayport.Incarnation
}

// with adds an incarnation that has just ended.
func (g endedIncarnations) with(incarnation jayport.Incarnation, now time.Duration) endedIncarnations {
	g.listedUntil = now + endedHeartbeatTTL
	if incarnation != 0 {
		g.former = append(g.former, incarnation)
		g.former = g.former[max(0, len(g.former)-maxFormerIncarnations):]
	}
	return g
}

// includes reports whether a heartbeat is that of an ended incarnation. A heartbeat without an
// incarnation counts as one for as long as it may take to expire.
func (g endedIncarnations) includes(incarnation jayport.Incarnation, now time.Duration) bool {
	if incarnation == 0 {
		return now < g.listedUntil
	}
	return slices.Contains(g.former, incarnation)
}

// forgetEnded removes workers that ended some time ago and are no longer listed.
func (p *Pool) forgetEnded(list []jayport.Worker, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.ID] = true
	}
	for id, g := range p.endedWorkers {
		if now >= g.listedUntil && !listed[id] {
			delete(p.endedWorkers, id)
		}
	}
}

// workerOf returns the worker that a call was made to, unless that incarnation has ended: a
// late answer of an earlier incarnation says nothing about the present one.
func (p *Pool) workerOf(to jayport.WorkerRef) (w *worker, present bool) {
	w, known := p.workers[to.ID]
	if !known {
		return nil, false
	}
	// The call may have been made before the worker was identified.
	present = to.Incarnation == w.Incarnation || to.Incarnation == 0 && w.identified
	return w, present
}

// incarnationText formats an incarnation for the log.
func incarnationText(incarnation jayport.Incarnation) string {
	if incarnation == 0 {
		return ""
	}
	return fmt.Sprint("incarnation ", int64(incarnation))
}
