package jaysched

import (
	"time"

	"jaythread/jaypool"
	"jaythread/jayspec"
)

// rackFor returns the rack on which a rack-local step should run: the one on which its tasks
// already run, or else the one with room for most of them. Spread over several racks, all of
// them are slow.
func (p *Pool) rackFor(s *step, now time.Duration) string {
	room := map[string]int{}
	best := ""
	t := s.waitingTask(nil)
	for _, w := range p.sorted {
		if s.placed[w] > 0 {
			return w.Rack
		}
		if t == nil || !p.allows(w, t, now) {
			continue
		}
		room[w.Rack] += min(s.waiting, countFits(w.free, needOf(s)))
		if best == "" || room[w.Rack] > room[best] {
			best = w.Rack
		}
	}
	return best
}

// countFits returns how many times a need fits into some room.
func countFits(room, need jaypool.Resources) int {
	times := 0
	for room.Fits(need) && times < jayspec.MaxTasks {
		room = room.Sub(need)
		times++
	}
	return times
}

// offRack reports whether a worker is not on the rack of a rack-local step.
func offRack(s *step, w *worker) bool {
	return s.decl.RackLocal && s.rack != w.Rack
}
