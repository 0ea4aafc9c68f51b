package jaysched

import (
	"time"
)

const (
	// throttleInterval is the time between two changes on one worker: a change takes some time
	// to have an effect, and the load that a worker reports of a serving task is a mean over
	// some time.
	throttleInterval = 650 * time.Millisecond
	// slowDownDivisor is the divisor by which the speed of best-effort runs is reduced in one
	// change; below minSpeed they are suspended. From full speed that takes three changes.
	slowDownDivisor = 2.5
	minSpeed        = 10
	// speedUpStep is how many percentage points of speed they regain in one change.
	speedUpStep = 25
	// speedUpBelow is the share of its target, in percent, below which a serving task leaves
	// room for a best-effort run beside it.
	speedUpBelow = 70
	// ineffectiveAfter is how long best-effort runs remain suspended beside a serving task that
	// stays over its target before they count as not the cause, and unthrottledTime is how long
	// they are not throttled after that.
	ineffectiveAfter = 3 * time.Second
	unthrottledTime  = 10 * time.Second
)

// throttle is the speed limit of the best-effort runs on one worker.
type throttle struct {
	// slowed is the reduction of their speed, in percent.
	slowed int
	// at is when the speed may be changed again, stoppedAt is since when the runs have been
	// suspended.
	at        time.Duration
	stoppedAt time.Duration
}

// throttleBestEffort slows best-effort runs down where a serving task beside them is over its
// target, and speeds them up again when the serving task is well below its target. How much
// best-effort runs disturb their neighbours is not known beforehand; without throttling, the
// users of the serving task would be affected for as long as the best-effort run lasts.
func (p *Pool) throttleBestEffort(now time.Duration) {
	for _, w := range p.sorted {
		if w.bestEffort > 0 && w.contact == connected && now >= w.throttle.at {
			p.throttleWorker(w, now)
		}
	}
}

func (p *Pool) throttleWorker(w *worker, now time.Duration) {
	worst, bestEffort := w.servingLoad()
	if len(bestEffort) == 0 {
		return
	}
	switch {
	case worst > fullSpeed:
		w.throttle.slowDown(now)
	case worst < speedUpBelow:
		w.throttle.speedUp(now)
	}
	percent := fullSpeed - w.throttle.slowed
	for _, r := range bestEffort {
		if r.speed == percent {
			continue
		}
		w.throttle.at = max(w.throttle.at, now+throttleInterval)
		p.recordEvent(Event{Kind: RunThrottled, Worker: w.ID, Run: r.ref(), Since: now - w.lastAnswerAt}, now)
		p.actions = append(p.actions, ThrottleRun{To: w.workerRef(), Run: r.ref(), Percent: percent})
	}
}

// servingLoad returns the highest load of a serving task on the worker in percent of its
// target, and the best-effort runs beside it.
func (w *worker) servingLoad() (worst int64, bestEffort []*run) {
	for _, r := range w.inOrder {
		decl := r.task.step.decl
		switch {
		case r.phase != running:
		case decl.Fills:
			bestEffort = append(bestEffort, r)
		case decl.Target > 0:
			worst = max(worst, r.load*fullSpeed/decl.Target.Milliseconds())
		}
	}
	return worst, bestEffort
}

func (p *throttle) slowDown(now time.Duration) {
	p.at = now + throttleInterval
	if p.slowed == fullSpeed {
		if now-p.stoppedAt > ineffectiveAfter {
			p.slowed, p.at = 0, now+unthrottledTime
		}
		return
	}
	left := int(float64(fullSpeed-p.slowed) / slowDownDivisor)
	if left < minSpeed {
		left, p.stoppedAt = 0, now
	}
	p.slowed = fullSpeed - left
}

func (p *throttle) speedUp(now time.Duration) {
	if p.slowed > 0 {
		p.slowed = max(0, p.slowed-speedUpStep)
		p.at = now + throttleInterval
	}
}
