package jayfleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaythread/jayport"
)

const (
	// spareHosts is how many hosts more than it needs a pool keeps, so that
	// the first tasks of a rush start at once.
	spareHosts = 1
	// idleBeforeStandby is for how long a surplus host must have been idle
	// before it is turned off: a move each way costs as much as this time.
	idleBeforeStandby = 1200 * time.Millisecond
)

// standing is a pool and what it has and needs.
type standing struct {
	pool string
	// hosts are those that serve it or soon will.
	have int
	need int
	// idle are its hosts that run nothing, the longest idle first.
	idle []*host
}

// balance moves hosts to the pools that lack some, and turns off those that
// nobody needs.
func (f *Fleet) balance(now time.Duration) {
	standings := f.standings(now)
	var free []*host
	for _, h := range f.sorted {
		if f.standby[h.Pool] && h.act == nil && h.State == jayport.HostUp && !f.dueNow(h) && !f.held(h, now) {
			free = append(free, h)
		}
	}
	for _, s := range standings {
		for s.have < s.need {
			h := f.donor(&free, standings, s, now)
			if h == nil {
				break
			}
			f.moveHost(h, s.pool, "wanted", now)
			s.have++
		}
	}
	f.turnOff(standings, now)
}

// moveHost moves a host that is off at once; another one is vacated first, so
// that its pool starts nothing there meanwhile.
func (f *Fleet) moveHost(h *host, to, why string, now time.Duration) {
	if f.standby[h.Pool] {
		f.begin(h, moving{to: to}, why, now)
		return
	}
	h.vacating, h.moveTo, h.vacatingSince = forMove, to, now
}

// finishMoves moves the hosts that their pools have emptied. One that turned
// out to be busy stays.
func (f *Fleet) finishMoves(now time.Duration) {
	for _, h := range f.sorted {
		if h.vacating != forMove || h.act != nil {
			continue
		}
		told := f.demands[h.Pool].At > h.vacatingSince
		switch {
		case f.empty(h, now) && told:
			f.begin(h, moving{to: h.moveTo}, "vacated", now)
		case told:
			h.vacating = notVacating
		}
	}
}

// dueNow reports whether a wave waits to maintain the host.
func (f *Fleet) dueNow(h *host) bool {
	return h.vacating == forWave
}

// donor returns a host that is off, or an idle one of a pool with more than it
// needs.
func (f *Fleet) donor(free *[]*host, standings []*standing, to *standing, now time.Duration) *host {
	if len(*free) > 0 {
		h := (*free)[0]
		*free = (*free)[1:]
		return h
	}
	for _, from := range standings {
		if from == to || from.have <= from.need {
			continue
		}
		for n, h := range from.idle {
			if h.act == nil && h.vacating == notVacating && !f.held(h, now) {
				from.idle = slices.Delete(from.idle, n, n+1)
				from.have--
				return h
			}
		}
	}
	return nil
}

// turnOff moves hosts to standby that their pool does not need.
func (f *Fleet) turnOff(standings []*standing, now time.Duration) {
	target := f.standbyPool()
	if target == "" {
		return
	}
	for _, s := range standings {
		for _, h := range s.idle {
			l, _ := f.load(h)
			if s.have <= s.need || l.Idle < idleBeforeStandby {
				break
			}
			if h.act != nil || h.vacating != notVacating || f.held(h, now) {
				continue
			}
			f.moveHost(h, target, "idle", now)
			s.have--
		}
	}
}

func (f *Fleet) standbyPool() string {
	first := ""
	for name := range f.standby {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// standings returns the pools whose demand is known, the one that lacks most
// first.
func (f *Fleet) standings(now time.Duration) []*standing {
	var standings []*standing
	for pool := range f.working {
		d, known := f.demands[pool]
		if !known || now-d.At > freshDemand {
			continue
		}
		standings = append(standings, f.standing(pool, d))
	}
	slices.SortFunc(standings, func(a, b *standing) int {
		return cmp.Or(cmp.Compare(b.need-b.have, a.need-a.have), strings.Compare(a.pool, b.pool))
	})
	return standings
}

func (f *Fleet) standing(pool string, d Demand) *standing {
	s := &standing{pool: pool}
	capacity, counted := int64(0), int64(0)
	for _, h := range f.sorted {
		if h.Pool == pool {
			capacity += h.Capacity.ProcessorsMilli
			counted++
		}
		if f.serves(h, pool) {
			s.have++
		}
		l, known := d.Loads[h.Worker]
		if h.Pool == pool && h.State == jayport.HostUp && known && l.Runs == 0 {
			s.idle = append(s.idle, h)
		}
	}
	slices.SortStableFunc(s.idle, func(a, b *host) int {
		return cmp.Compare(d.Loads[b.Worker].Idle, d.Loads[a.Worker].Idle)
	})
	each := f.meanCapacity()
	if counted > 0 {
		each = capacity / counted
	}
	if each > 0 {
		s.need = int((d.WantedMilli+each-1)/each) + spareHosts
	}
	return s
}

// serves reports whether a host serves a pool or soon will. One that is
// emptied for maintenance does not, or a pool whose hosts are all emptied at
// once would get no other in their place.
func (f *Fleet) serves(h *host, pool string) bool {
	switch a := h.act.(type) {
	case moving:
		return a.to == pool
	case maintaining:
		return false
	}
	switch h.vacating {
	case forMove:
		return h.moveTo == pool
	case forWave:
		return false
	default:
		return h.Pool == pool && (h.State == jayport.HostUp || h.State == jayport.HostMoving)
	}
}

func (f *Fleet) meanCapacity() int64 {
	total := int64(0)
	for _, h := range f.sorted {
		total += h.Capacity.ProcessorsMilli
	}
	if len(f.sorted) == 0 {
		return 0
	}
	return total / int64(len(f.sorted))
}
