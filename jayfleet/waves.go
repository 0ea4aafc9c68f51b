package jayfleet

import (
	"cmp"
	"slices"
	"time"

	"jaythread/jayport"
)

// wave is a maintenance wave and how far it is.
type wave struct {
	jayport.Wave
	declaredAt time.Duration
	maintained map[string]bool
	done       bool
	// recorded is what was last handed on for the record.
	recorded     int
	recordedDone bool
	announced    bool
}

// Declared takes in a wave with the hosts that a former owner has recorded as
// maintained. A wave that is known stays.
func (f *Fleet) Declared(w jayport.Wave, at time.Duration, maintained []string, done bool) {
	if _, known := f.waves[w.Name]; known {
		return
	}
	one := &wave{Wave: w, declaredAt: at, maintained: map[string]bool{}, done: done}
	for _, name := range maintained {
		one.maintained[name] = true
	}
	f.waves[w.Name] = one
}

func (f *Fleet) noteMaintained(name, host string) {
	if w, known := f.waves[name]; known {
		w.maintained[host] = true
	}
}

// runWaves begins maintenance where a host is empty and empties others, as
// many as may be down at once.
func (f *Fleet) runWaves(now time.Duration) {
	for _, w := range f.sortedWaves() {
		f.runWave(w, now)
		f.recordWave(w)
	}
}

func (f *Fleet) sortedWaves() []*wave {
	waves := make([]*wave, 0, len(f.waves))
	for _, w := range f.waves {
		waves = append(waves, w)
	}
	slices.SortFunc(waves, func(a, b *wave) int {
		return cmp.Or(cmp.Compare(a.declaredAt, b.declaredAt), cmp.Compare(a.Name, b.Name))
	})
	return waves
}

func (f *Fleet) runWave(w *wave, now time.Duration) {
	if w.done {
		return
	}
	down, left := 0, []*host{}
	for _, name := range w.Hosts {
		h, present := f.hosts[name]
		if !present {
			// A host that is gone for good needs no maintenance.
			continue
		}
		if m, busy := h.act.(maintaining); busy && m.wave == w.Name || h.State == jayport.HostMaintained {
			down++
			continue
		}
		if !w.maintained[name] {
			left = append(left, h)
		}
	}
	if len(left) == 0 && down == 0 {
		w.done = true
		return
	}
	f.order(left, now)
	room := w.MaxAtOnce - down
	for _, h := range left {
		if room <= 0 {
			break
		}
		if h.act != nil || h.State != jayport.HostUp || f.held(h, now) {
			continue
		}
		if f.empty(h, now) {
			f.begin(h, maintaining{wave: w.Name}, "wave", now)
			room--
			continue
		}
		if f.mayVacate(h) {
			h.vacating = forWave
			h.urgent = f.late(w, len(left), now)
			room--
		}
	}
}

// order puts the hosts first whose maintenance costs least: those that are
// off, then empty ones, then those with the fewest runs.
func (f *Fleet) order(hosts []*host, now time.Duration) {
	slices.SortStableFunc(hosts, func(a, b *host) int {
		return cmp.Or(
			compareBool(f.empty(b, now), f.empty(a, now)),
			compareBool(b.vacating == forWave, a.vacating == forWave),
			cmp.Compare(f.cost(a), f.cost(b)),
		)
	})
}

// cost is what emptying a host takes away.
func (f *Fleet) cost(h *host) int64 {
	l, known := f.load(h)
	if !known {
		return 0
	}
	return l.UsedMilli + int64(l.LongRuns)*longRunCost
}

// longRunCost makes a host with a long-running task as dear as one with four
// busy cores more: the task is away while it starts elsewhere.
const longRunCost = 4000

// mayVacate reports whether a pool can do without one more host.
func (f *Fleet) mayVacate(h *host) bool {
	_, known := f.load(h)
	return known && f.working[h.Pool]
}

// late reports whether a wave must hurry: at the pace that its bound allows,
// the rest takes most of the time that is left.
func (f *Fleet) late(w *wave, left int, now time.Duration) bool {
	rounds := (left + w.MaxAtOnce - 1) / max(1, w.MaxAtOnce)
	need := time.Duration(rounds) * (f.settings.MaintenanceTime + roundSlack)
	return w.declaredAt+w.Within-now < 2*need
}

// roundSlack is what one round of maintenance takes beside the maintenance:
// emptying the hosts and seeing them come back.
const roundSlack = 1500 * time.Millisecond

func (f *Fleet) recordWave(w *wave) {
	changed := len(w.maintained) != w.recorded || w.done != w.recordedDone || !w.announced
	if !changed {
		return
	}
	w.recorded, w.recordedDone, w.announced = len(w.maintained), w.done, true
	names := make([]string, 0, len(w.maintained))
	for name := range w.maintained {
		names = append(names, name)
	}
	slices.Sort(names)
	f.actions = append(f.actions, RecordWave{Wave: w.Name, Maintained: names, Done: w.done})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
