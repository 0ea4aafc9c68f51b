package jaysoak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"jaythread/platform/jaystub"
)

// recoveryTime is the time between two outages, in which a lost owner has its successor, which starts
// the tasks that it does not know to have ended.
const recoveryTime = 2500 * time.Millisecond

// outage is a series of losses while the store is away: of entries, the owner of a pool first, and of
// all workers with ends of tasks that were not acknowledged. Its values are drawn before it begins.
type outage struct {
	pool  string
	store jaystub.Faults
	// lossesAt is when the first entry is lost, and between is the time between two losses.
	lossesAt, between time.Duration
	// lost is the number of entries that are lost. The bits of stopped are set for those that are
	// stopped gracefully; the others are killed.
	lost    int
	stopped uint
	// pause is how long an entry or a worker is down, and storeAt when the store is back after that.
	pause, storeAt time.Duration
}

func randomOutage(r *rand.Rand) outage {
	millis := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	return outage{
		pool: []string{"seats", "fees"}[r.IntN(2)], store: []jaystub.Faults{{Down: true}, {Silent: true}}[r.IntN(2)],
		lossesAt: millis(500, 1400), between: millis(0, 200), lost: min(2+r.IntN(6), soakEntries),
		stopped: []uint{0, 1<<soakEntries - 1, uint(r.Uint64())}[r.IntN(3)], pause: millis(50, 500), storeAt: millis(0, 500),
	}
}

// playOutages plays outages until some time, and lets the entries recover after the last one.
func (s *soak) playOutages(until time.Time, r *rand.Rand) {
	defer close(s.outagesEnded)
	for time.Sleep(recoveryTime); time.Now().Before(until); time.Sleep(recoveryTime) {
		s.loseInOutage(randomOutage(r))
	}
}

// calm reports whether no outage follows.
func (s *soak) calm() bool {
	select {
	case <-s.outagesEnded:
		return true
	default:
		return false
	}
}

// loseInOutage plays an outage. The store is back after the lost entries have started again.
func (s *soak) loseInOutage(o outage) {
	first := slices.Index(s.entries, s.owner(o.pool))
	s.logf("outage from %s on, owner of %s: %+v", s.entries[first].name, o.pool, o)
	s.platform.Store.SetFaults(o.store)
	time.Sleep(o.lossesAt)
	var losses sync.WaitGroup
	for n := range o.lost {
		how := syscall.SIGKILL
		if o.stopped>>n&1 == 1 {
			how = syscall.SIGTERM
		}
		losses.Go(func() { s.checkError(s.entries[(first+n)%soakEntries].restart(how, o.pause)) })
		time.Sleep(o.between)
	}
	s.outages++
	s.lostEnds += s.platform.CrashUnacknowledged(o.pause)
	losses.Wait()
	time.Sleep(o.storeAt)
	s.platform.Store.SetFaults(jaystub.Faults{})
}
