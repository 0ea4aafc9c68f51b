package jayfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShares(t *testing.T) {
	shares := func(name string, have, needs, expected []int) {
		t.Run(name, func(t *testing.T) {
			var balances []*poolBalance
			for n := range needs {
				balances = append(balances, &poolBalance{have: have[n], useful: needs[n]})
			}
			is.New(t).Equal((&Fleet{}).shares(balances), expected)
		})
	}
	shares("enough for all", []int{10, 10}, []int{4, 9}, []int{4, 9})
	shares("equal shares if all need more", []int{30, 2, 1}, []int{50, 70, 90}, []int{11, 11, 11})
	shares("no more than needed", []int{30, 2, 1}, []int{50, 3, 90}, []int{15, 3, 15})
	shares("no pools", nil, nil, []int{})
}

// scarce returns a world without hosts on standby, in which seats and fees together need
// more hosts than there are and all hosts are busy.
func scarce(t *testing.T, seats, fees int) *world {
	t.Helper()
	w := newWorld(t, map[string]int{"seats": seats, "fees": fees})
	for _, h := range w.hosts {
		w.runs[h.Worker] = 5
	}
	w.wanted["seats"], w.wanted["fees"] = 40*hostMilli, 40*hostMilli
	w.drainTime = 2 * time.Second
	return w
}

func TestPoolsShareScarceHosts(t *testing.T) {
	// Guards against pools that get almost no hosts for half a minute: the pool whose
	// burst came first holds nearly all hosts and can use them all the time, and a pool
	// gave up only hosts that it could not use.
	const wait = shareDelayMoves * 1500 * time.Millisecond
	t.Run("after a delay", func(t *testing.T) {
		is := is.New(t)
		w := scarce(t, 20, 2)
		w.steps(wait)
		is.Equal(len(w.moves), 0) // most bursts end sooner
		w.steps(6 * time.Second)
		is.True(w.hostsUp("fees") >= 9)
		is.True(w.hostsUp("seats") >= 10)
	})
	t.Run("not for expired jobs", func(t *testing.T) {
		w := scarce(t, 20, 2)
		w.expired["fees"] = 40 * hostMilli
		w.steps(2 * wait)
		is.New(t).Equal(len(w.moves), 0)
	})
	t.Run("not for a pool with half of its share", func(t *testing.T) {
		w := scarce(t, 16, 6)
		w.steps(2 * wait)
		is.New(t).Equal(len(w.moves), 0)
	})
	t.Run("not hosts that take long to empty", func(t *testing.T) {
		w := scarce(t, 20, 2)
		w.drainTime = 4 * time.Second
		w.steps(2 * wait)
		is.New(t).Equal(len(w.moves), 0)
	})
	t.Run("a host that is not empty in time stays in its pool", func(t *testing.T) {
		is := is.New(t)
		w := scarce(t, 20, 2)
		w.steps(wait + time.Second)
		is.True(len(w.fleet.Vacating("seats")) > 0)
		w.drainTime = time.Hour
		w.steps(shareDrainMoves*1500*time.Millisecond + time.Second)
		is.Equal(len(w.fleet.Vacating("seats")), 0)
		is.Equal(len(w.moves), 0)
	})
}
