package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

func TestHostsFollowDemand(t *testing.T) {
	t.Run("from standby and back when idle", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "fees": 1, "standby": 6})
		w.wanted["seats"] = 5 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("seats"), 6)
		w.wanted["seats"] = 0
		w.steps(5 * time.Second)
		is.Equal(w.hostsUp("seats"), 1)
	})
	t.Run("from a pool that needs less", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "fees": 6})
		w.fleet.SetPools([]string{"fees", "seats"}, nil)
		w.wanted["seats"] = 6 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("seats"), 7)
		is.Equal(w.hostsUp("fees"), 1)
	})
	t.Run("surplus hosts go to standby soon after a burst", func(t *testing.T) {
		// Guards against idle hosts after a burst: a third of the hosts was idle because
		// each host that became empty was kept as long as one that may be needed again.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 20, "standby": 20})
		w.wanted["seats"], w.spare["seats"] = 5*hostMilli, 4*hostMilli
		w.idle = 300 * time.Millisecond
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("seats"), 20) // within the takeover delay
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("seats"), 10)
		w.idle = 1300 * time.Millisecond
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("seats"), 6)
	})
	t.Run("surplus hosts are kept while few hosts are on standby", func(t *testing.T) {
		// Guards against a burst that gets its hosts three seconds late: after a restart
		// of all entries, a pool's unneeded hosts were moved to standby just before
		// another pool's burst began, and a host can be moved again only after it has
		// arrived on standby.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 20, "fees": 2, "standby": 5})
		w.wanted["seats"], w.wanted["fees"] = 2*hostMilli, hostMilli
		w.idle = 300 * time.Millisecond
		w.steps(500 * time.Millisecond)
		w.wanted["fees"] = 20 * hostMilli
		w.steps(2 * time.Second)
		is.True(w.hostsUp("fees") >= 20)
	})
	t.Run("busy hosts stay", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "fees": 3})
		for _, h := range w.hosts {
			w.runs[h.Worker] = 1
		}
		w.wanted["seats"] = 9 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.hostsUp("fees"), 3)
	})
	t.Run("hosts with recent commands of the previous owner are held", func(t *testing.T) {
		// Guards against two owners acting on one instance in turns: the next owner had
		// not read the lost owner's command and moved the instance again immediately.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "standby": 3})
		w.fleet.settings.HeldUntil = map[string]time.Duration{"m1": w.now + time.Second, "m2": w.now + time.Second}
		w.wanted["seats"] = 3 * hostMilli
		w.steps(900 * time.Millisecond)
		is.Equal(len(w.moves), 1)
		is.Equal(w.moves[0].Host, "m3")
		w.steps(time.Second)
		is.Equal(len(w.moves), 3)
	})
	t.Run("a stale command is decided again", func(t *testing.T) {
		// Guards against a move that ends newly started tasks: the owner is paused between
		// the decision and the command, and meanwhile the pool reopens the host and starts
		// tasks there.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "standby": 2})
		stale := true
		w.answer = func(Action) error {
			if stale {
				return ErrStale
			}
			return nil
		}
		w.wanted["seats"] = hostMilli
		w.steps(300 * time.Millisecond)
		is.Equal(w.hostsUp("seats"), 1)
		is.Equal(w.hostsUp("standby"), 2)
		stale = false
		w.steps(2 * time.Second)
		is.Equal(w.hostsUp("seats"), 2)
	})
	t.Run("a command without an answer is repeated for the same host", func(t *testing.T) {
		// Guards against a pool that gets twice the hosts that it needs: the answer to a
		// move is lost, the move is taken for failed, and another host is moved.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "fees": 1, "standby": 4})
		lost := true
		w.answer = func(Action) error {
			if lost {
				return fmt.Errorf("%w: test", jayport.ErrNoAnswer)
			}
			return nil
		}
		w.wanted["seats"] = hostMilli
		w.steps(time.Second)
		lost = false
		w.steps(2 * time.Second)
		moved := map[string]bool{}
		for _, m := range w.moves {
			moved[m.Host] = true
		}
		is.Equal(len(moved), 1)
	})
}

// TestIdleHostsStayLongerWhenMovesAreSlow guards against late jobs where moves are slow:
// with moves of 4 s, hosts arrived at the end of a burst of some seconds, went back to
// standby shortly after, and were missing in the next burst, which delayed a third of its
// jobs.
func TestIdleHostsStayLongerWhenMovesAreSlow(t *testing.T) {
	cases := []struct {
		move time.Duration
		want time.Duration
	}{
		{500 * time.Millisecond, 400 * time.Millisecond},
		{1500 * time.Millisecond, 1200 * time.Millisecond},
		{3 * time.Second, 7200 * time.Millisecond},
		{4500 * time.Millisecond, 18 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.move.String(), func(t *testing.T) {
			is := is.New(t)
			f := New(Settings{MoveTime: c.move})
			inUse, beyond := &poolBalance{have: 3, need: 1, keep: 3}, &poolBalance{have: 5, need: 1, keep: 3}
			is.Equal(f.minIdleTime(inUse, true), c.want)
			is.Equal(f.minIdleTime(beyond, false), c.want)
			atOnce := f.minIdleTime(beyond, true) == surplusIdleTime
			is.Equal(atOnce, c.move <= fastMoveTime)
		})
	}
}

// TestDemandUsesReportedCapacity guards against a pool that has too few hosts because its
// workers offer less than the inventory says.
func TestDemandUsesReportedCapacity(t *testing.T) {
	// room returns the capacity, in whole hosts, of a pool that needs three hosts, after
	// its four hosts have reported the given capacity.
	room := func(t *testing.T, offered int64) float64 {
		t.Helper()
		w := newWorld(t, map[string]int{"seats": 4, "standby": 16})
		for _, name := range w.names[:4] {
			w.offered[w.hosts[name].Worker] = &offered
		}
		w.wanted["seats"] = 3 * hostMilli
		for range 80 {
			w.step()
		}
		total := int64(0)
		for _, h := range w.hosts {
			if h.Pool != "seats" {
				continue
			}
			if told, less := w.offered[h.Worker]; less {
				total += *told
			} else {
				total += hostMilli
			}
		}
		return float64(total) / hostMilli
	}
	is := is.New(t)
	is.Equal(room(t, hostMilli), 4.0) // three and one in reserve
	is.True(room(t, hostMilli/2) >= 3)
	is.True(room(t, 1) >= 3)
	is.True(room(t, 0) >= 3)
	is.True(room(t, 2*hostMilli) <= 8) // no additional host
}
