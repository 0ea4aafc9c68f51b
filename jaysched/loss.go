package jaysched

import (
	"slices"
	"time"
)

const (
	// rackLossWindow is the time within which all workers of a rack are lost if the rack is
	// lost.
	rackLossWindow = time.Second
	// lossWindow is the time over which losses count for the rate at which workers fail by
	// themselves, shortLossWindow the same for many losses in quick succession.
	lossWindow      = 30 * time.Second
	shortLossWindow = 5 * time.Second
)

// oneRack reports whether all workers of the pool are in one rack.
func (p *Pool) oneRack() bool {
	for _, w := range p.sorted {
		if w.Rack != p.sorted[0].Rack {
			return false
		}
	}
	return true
}

// workerLoss is the loss of a worker.
type workerLoss struct {
	worker string
	rack   string
	addr   string
	at     time.Duration
}

// recordLoss records the loss of a worker.
func (p *Pool) recordLoss(w *worker, now time.Duration) {
	p.losses = slices.DeleteFunc(p.losses, func(l workerLoss) bool { return now-l.at > lossWindow })
	p.losses = append(p.losses, workerLoss{worker: w.ID, rack: w.Rack, addr: w.Addr, at: now})
}

// lossProbability returns the probability that a worker fails by itself within a time, from the
// rate of recent losses in the pool, without those that the task is suspected of.
func (p *Pool) lossProbability(w *worker, t *task, within, now time.Duration) float64 {
	rate := 0.0
	for _, period := range [...]time.Duration{shortLossWindow, lossWindow} {
		lost := 1
		for _, l := range p.losses {
			if now-l.at <= period && l.worker != w.ID && !t.crashedWorker(l.worker) {
				lost++
			}
		}
		workerTime := float64(len(p.sorted)+1) * period.Seconds()
		rate = max(rate, float64(lost)/workerTime)
	}
	return min(certainProbability, rate*within.Seconds())
}

// chanceOfLoss returns the probability that a worker was lost by itself, rather than by a run. It is
// certain for a run that was ordered when the worker did not answer any more: nothing shows that the
// run began. Otherwise the worker may have failed since its last answer, also before that order.
func (p *Pool) chanceOfLoss(w *worker, r *run, now time.Duration) float64 {
	lostAt := w.lostAt(now)
	if r.orderedAt >= lostAt {
		return certainProbability
	}
	return p.lossProbability(w, r.task, lostAt-min(r.orderedAt, w.lastAnswerAt), now)
}

// lostAt returns the latest time at which a lost worker may still have run.
func (w *worker) lostAt(now time.Duration) time.Duration {
	missing := w.missingReports > 0 || w.contact == lapsed
	if missing && w.missingSince >= w.lastAnswerAt {
		return w.missingSince
	}
	return now
}

// rackLost reports whether a worker was lost together with all other workers of its rack in the
// pool, of which there was at least one. Workers that were lost before it joined do not count.
func (p *Pool) rackLost(w *worker, now time.Duration) bool {
	if w.Rack == "" {
		return false
	}
	lost := slices.ContainsFunc(p.losses, func(l workerLoss) bool {
		return l.rack == w.Rack && l.addr != w.Addr && l.at >= w.joinedAt && now-l.at <= rackLossWindow
	})
	for _, other := range p.sorted {
		if other == w || other.Rack != w.Rack {
			continue
		}
		if other.contact == connected && !other.confirmedLost {
			return false
		}
		lost = lost || other.confirmedLost || other.contact == silent
	}
	return lost
}
