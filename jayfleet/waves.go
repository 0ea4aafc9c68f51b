package jayfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jaythread/jayport"
)

// wave is a maintenance wave and its progress.
type wave struct {
	jayport.Wave
	declaredAt time.Duration
	maintained map[string]bool
	done       bool
	// recorded, recordedDone and announced describe the last RecordWave action of the
	// wave.
	recorded     int
	recordedDone bool
	announced    bool
}

// AddWave adds a wave with the hosts that a previous owner has recorded as maintained. It
// ignores a wave that is already known.
func (f *Fleet) AddWave(w jayport.Wave, at time.Duration, maintained []string, done bool) {
	if _, known := f.waves[w.Name]; known {
		return
	}
	one := &wave{Wave: w, declaredAt: at, maintained: map[string]bool{}, done: done}
	for _, name := range maintained {
		one.maintained[name] = true
	}
	f.waves[w.Name] = one
}

func (f *Fleet) markMaintained(name, host string) {
	if w, known := f.waves[name]; known {
		w.maintained[host] = true
	}
}

// runWaves starts maintenance on empty hosts and vacates others.
//
// It is designed for a burst of a pool in the middle of a wave. A wave keeps an even pace.
// While a pool lacks hosts, it takes only those that take long to empty, as long as it can
// still meet its deadline. It can usually wait, because most hosts are on standby once in
// each cycle of the bursts.
func (f *Fleet) runWaves(now time.Duration) {
	if len(f.waves) == 0 {
		return
	}
	f.countClosed()
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
	down, left, removed := 0, []*host{}, true
	for _, name := range w.Hosts {
		h, present := f.hosts[name]
		if !present {
			// A host that was removed permanently needs no maintenance.
			removed = removed && (f.complete || w.maintained[name])
			continue
		}
		if m, busy := h.command.(maintaining); busy && m.wave == w.Name || h.State == jayport.HostMaintained {
			down++
			continue
		}
		if !w.maintained[name] && f.held(h, now) {
			// A former owner's command may be its maintenance.
			down++
			continue
		}
		if !w.maintained[name] {
			left = append(left, h)
		}
	}
	if len(left) == 0 && down == 0 && removed {
		w.done = true
		return
	}
	late := f.late(w, len(left), now)
	f.order(left, now)
	longRunHosts := f.withLongRuns(left)
	room := w.MaxAtOnce - down
	room -= f.maintain(w, longRunHosts, min(room, w.atOnce(len(longRunHosts), f.roundTime(), now)), late, now)
	if f.short && !late {
		return
	}
	f.maintain(w, left, min(room, w.atOnce(len(left), f.roundTime(), now)-down), late, now)
}

// withLongRuns returns the hosts that take long to empty: they have long runs or are being
// emptied already. Few tasks of a step may be interrupted at once, so that its hosts are
// emptied one after the other, which must begin at the start of the wave.
func (f *Fleet) withLongRuns(hosts []*host) []*host {
	var longRunHosts []*host
	for _, h := range hosts {
		if l, known := f.load(h); h.vacating == forWave || known && l.LongRuns > 0 {
			longRunHosts = append(longRunHosts, h)
		}
	}
	return longRunHosts
}

// maintain starts maintenance on empty hosts and vacates others, up to the given number,
// and returns how many it has selected.
func (f *Fleet) maintain(w *wave, hosts []*host, room int, late bool, now time.Duration) (selected int) {
	for _, h := range hosts {
		if selected >= room {
			break
		}
		if h.command != nil || h.State != jayport.HostUp || f.held(h, now) {
			continue
		}
		if f.empty(h, now) {
			if !f.begin(h, maintaining{wave: w.Name}, "wave", now) {
				break
			}
			selected++
			continue
		}
		if f.mayVacate(h, late) && (late || h.vacating == forWave || f.closed[h.Pool].mayClose()) {
			if h.vacating != forWave {
				f.closed[h.Pool].closed++
			}
			h.vacating = forWave
			h.urgent = late
			selected++
		}
	}
	return selected
}

// paceShare is the fraction of a wave's time in which it is planned to complete; the rest
// is reserved for outages and bursts.
const paceShare = 0.6

// atOnce returns the number of hosts that should be in maintenance now for an even pace.
// Taking as many as the wave allows would remove a fifth of the fleet in the first
// seconds, even while a pool's burst needs it.
func (w *wave) atOnce(left int, round time.Duration, now time.Duration) int {
	until := w.declaredAt + time.Duration(paceShare*float64(w.Within))
	if until <= now {
		return w.MaxAtOnce
	}
	pace := float64(left) * float64(round) / float64(until-now)
	return min(w.MaxAtOnce, int(math.Ceil(pace)))
}

// order sorts hosts by the cost of their maintenance: empty ones first, then those that
// are being vacated, then by cost.
func (f *Fleet) order(hosts []*host, now time.Duration) {
	slices.SortStableFunc(hosts, func(a, b *host) int {
		return cmp.Or(
			compareBool(f.empty(b, now), f.empty(a, now)),
			compareBool(b.vacating == forWave, a.vacating == forWave),
			cmp.Compare(f.cost(a), f.cost(b)),
		)
	})
}

// cost returns the estimated loss from emptying a host, in thousandths of a core.
func (f *Fleet) cost(h *host) int64 {
	l, known := f.load(h)
	if !known {
		return 0
	}
	return l.UsedMilli + int64(l.LongRuns)*longRunCost
}

// longRunCost is the cost of interrupting a long-running task in thousandths of a core.
// A host with such a task is as expensive to empty as one with four more busy cores,
// because the task is unavailable while it starts on another host.
const longRunCost = 4000

// mayVacate reports whether a host may be emptied for a wave. A host with only short runs
// becomes idle by itself soon and is emptied only if the wave is late; a host with a long
// run does not become idle by itself.
func (f *Fleet) mayVacate(h *host, late bool) bool {
	l, known := f.load(h)
	return known && f.working[h.Pool] && (late || l.Runs == 0 || l.LongRuns > 0)
}

// maxClosedShare is the maximum fraction of a pool's hosts that are closed for waves at a
// time. One host may be closed in any pool.
const maxClosedShare = 1.0 / 2

// closedHosts is the number of a pool's hosts that are up, and of those that are closed for waves.
type closedHosts struct {
	up, closed int
}

// countClosed counts the hosts of each pool that are closed for waves.
func (f *Fleet) countClosed() {
	f.closed = map[string]*closedHosts{}
	for _, h := range f.sorted {
		c := f.closed[h.Pool]
		if c == nil {
			c = &closedHosts{}
			f.closed[h.Pool] = c
		}
		if h.State != jayport.HostUp {
			continue
		}
		c.up++
		if h.vacating == forWave {
			c.closed++
		}
	}
}

// mayClose reports whether one more host of the pool may be closed for a wave.
//
// It is designed for a pool with few hosts, each with long-running tasks, while all hosts
// are in use. The tasks on closed hosts cannot move anywhere, and each further closed host
// leaves less room for them.
func (c *closedHosts) mayClose() bool {
	return c.closed == 0 || float64(c.closed+1) <= maxClosedShare*float64(c.up)
}

const (
	// lateFactor is the multiple of the minimum remaining duration of a wave that must be
	// left before its deadline; with less time the wave is late.
	lateFactor = 1.5
	// lateSlack is the additional time that must be left: most outages of an owner or of
	// the inventory are shorter.
	lateSlack = 3 * time.Second
)

// late reports whether the time until a wave's deadline is shorter than lateFactor and
// lateSlack require, given the number of hosts that are left and the number that may be
// maintained at once.
func (f *Fleet) late(w *wave, left int, now time.Duration) bool {
	rounds := math.Ceil(float64(left) / float64(max(1, w.MaxAtOnce)))
	need := time.Duration(lateFactor * rounds * float64(f.roundTime()))
	return w.declaredAt+w.Within-now < need+lateSlack
}

// roundTime returns how long one host is unavailable for a wave.
func (f *Fleet) roundTime() time.Duration {
	return f.settings.MaintenanceTime + roundSlack
}

// roundSlack is the duration of a maintenance round beyond the maintenance itself, for
// emptying the hosts and detecting their return.
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
	f.actions = append(f.actions, RecordWave{Wave: w.Name, Maintained: names, Done: w.done, DeclaredAt: w.declaredAt})
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
