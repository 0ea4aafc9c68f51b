package jayreplay

import (
	"slices"
	"time"
)

// slowdowns returns the times at which a worker is slow, ordered by time.
func (w *worker) slowdowns() []Slowdown {
	if len(w.sim.load.Slowdowns) == 0 {
		return nil
	}
	at := slices.IndexFunc(w.sim.hosts, func(h *host) bool { return h.worker == w })
	var selected []Slowdown
	for _, s := range w.sim.load.Slowdowns {
		if at >= 0 && at%s.Each == s.First%s.Each && w.info.Pool == s.Pool {
			selected = append(selected, s)
		}
	}
	return selected
}

// timeFor returns how long the worker takes from now for some work.
func (w *worker) timeFor(work time.Duration) time.Duration {
	at := w.sim.clock.now
	for _, s := range w.slowdowns() {
		if at < s.At {
			if work <= s.At-at {
				break
			}
			work -= s.At - at
			at = s.At
		}
		if end := s.At + s.For; at < end {
			slow := min(end-at, time.Duration(float64(work)*s.Factor))
			work -= time.Duration(float64(slow) / s.Factor)
			at += slow
		}
	}
	return at + work - w.sim.clock.now
}

// workDone returns how much work the worker has done in a run since its start.
func (w *worker) workDone(since time.Duration) time.Duration {
	now := w.sim.clock.now
	done := now - since
	for _, s := range w.slowdowns() {
		slow := max(0, min(now, s.At+s.For)-max(since, s.At))
		done -= slow - time.Duration(float64(slow)/s.Factor)
	}
	return done
}
