package jayfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

func TestWaves(t *testing.T) {
	wave := func(hosts []string, within time.Duration, atOnce int) jayport.Wave {
		return jayport.Wave{Name: "1", Hosts: hosts, Within: within, MaxAtOnce: atOnce}
	}
	t.Run("all hosts are maintained within the concurrency limit", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 4, "fees": 4, "standby": 4})
		w.wanted["seats"], w.wanted["fees"] = 2*hostMilli, 2*hostMilli
		w.fleet.AddWave(wave(w.names, 30*time.Second, 3), w.now, nil, false)
		w.steps(25 * time.Second)
		is.True(w.fleet.waves["1"].done)
		is.Equal(len(w.fleet.waves["1"].maintained), 12)
		is.True(w.maxDown <= 3)
	})
	t.Run("commands of a former owner count towards the limit", func(t *testing.T) {
		// Guards against more hosts in maintenance than a wave allows: a new owner of the fleet
		// holds the hosts with recent commands of the former one, which may be maintenance.
		w := newWorld(t, map[string]int{"seats": 1, "standby": 4})
		held := w.now + 1700*time.Millisecond
		w.fleet.settings.HeldUntil = map[string]time.Duration{"m1": held, "m2": held}
		w.fleet.AddWave(jayport.Wave{Name: "1", Hosts: []string{"m1", "m2", "m3", "m4"}, Within: 4 * time.Second, MaxAtOnce: 2}, w.now, nil, false)
		w.steps(300 * time.Millisecond)
		for _, name := range []string{"m1", "m2"} {
			w.leave(name, jayport.HostMaintained, "standby", 2*time.Second)
		}
		w.steps(10 * time.Second)
		is := is.New(t)
		is.True(w.maxDown <= 2)
		is.Equal(len(w.fleet.waves["1"].maintained), 4)
	})
	t.Run("hosts recorded as maintained are skipped", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2})
		w.wanted["seats"] = 2 * hostMilli
		w.fleet.AddWave(wave(w.names, 30*time.Second, 2), w.now, []string{"m0"}, false)
		maintained := map[string]bool{}
		w.answer = func(a Action) error {
			if m, ok := a.(MaintainHost); ok {
				maintained[m.Host] = true
			}
			return nil
		}
		w.steps(8 * time.Second)
		is.Equal(maintained, map[string]bool{"m1": true})
		is.True(w.fleet.waves["1"].done)
	})
	t.Run("a host that may be in an unreadable row is not taken for removed", func(t *testing.T) {
		// Guards against a wave that is shown as done while one of its hosts was not maintained: the
		// row of the host could not be read.
		w := newWorld(t, map[string]int{"seats": 2})
		w.fleet.AddWave(wave(w.names, 30*time.Second, 2), w.now, []string{"m0"}, false)
		w.hosts["m1"] = &jayport.Host{Unreadable: true}
		w.steps(time.Second)
		is.New(t).True(!w.fleet.waves["1"].done)
	})
	t.Run("a removed host does not delay the wave", func(t *testing.T) {
		w := newWorld(t, map[string]int{"seats": 2})
		w.wanted["seats"] = 2 * hostMilli
		w.fleet.AddWave(wave(append(w.names, "gone"), 30*time.Second, 2), w.now, nil, false)
		w.steps(8 * time.Second)
		is.New(t).True(w.fleet.waves["1"].done)
	})
	t.Run("hosts being emptied are replaced", func(t *testing.T) {
		// Guards against a long-running task without a host for half a minute: all hosts
		// of a pool were emptied for a wave at once, because a host that is being emptied
		// counted as serving.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "standby": 3})
		w.wanted["seats"] = hostMilli
		for _, name := range w.names[:2] {
			w.runs[w.hosts[name].Worker] = 1
			w.longRuns[w.hosts[name].Worker] = 1
		}
		w.fleet.AddWave(wave(w.names[:2], 30*time.Second, 9), w.now, nil, false)
		w.steps(3 * time.Second)
		is.True(w.hostsUp("seats") > 2)
	})
	t.Run("hosts being emptied are replaced for a minimum number of hosts", func(t *testing.T) {
		// Guards against a failed long-running task that waits ten seconds in a nearly
		// idle pool: a step runs one task per host, a wave closes half of the hosts, and
		// no open host is without a task of the step. The required hosts were computed
		// from the required cores only, which a third of the hosts provide.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 12, "standby": 12})
		for _, name := range w.names[:12] {
			w.runs[w.hosts[name].Worker], w.longRuns[w.hosts[name].Worker] = 1, 1
		}
		w.wanted["seats"], w.atLeast["seats"] = 3*hostMilli, 12
		w.fleet.AddWave(wave(w.names[:6], 30*time.Second, 9), w.now, nil, false)
		w.steps(4 * time.Second)
		closed := len(w.fleet.Vacating("seats"))
		is.True(closed > 0)
		is.True(w.hostsUp("seats")-closed >= 12)
	})
	t.Run("a wave does not take hosts needed by a burst", func(t *testing.T) {
		// Guards against a wave that delays jobs in a burst: it took the maximum number of
		// hosts immediately, a fifth of the fleet, first the hosts on standby that the
		// burst needed and then busy ones.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 4, "standby": 16})
		for _, name := range w.names[:4] {
			w.runs[w.hosts[name].Worker] = 1
		}
		w.wanted["seats"] = 3 * hostMilli
		w.fleet.AddWave(wave(w.names, 25*time.Second, 16), w.now, nil, false)
		w.steps(200 * time.Millisecond)
		w.wanted["seats"] = 14 * hostMilli
		w.steps(1800 * time.Millisecond)
		is.True(w.hostsUp("seats") >= 13)
		is.Equal(len(w.fleet.Vacating("seats")), 0)
		w.wanted["seats"] = 3 * hostMilli
		w.steps(22 * time.Second)
		is.Equal(len(w.fleet.waves["1"].maintained), 16)
	})
	t.Run("half of a pool's hosts stay open if no host can be emptied", func(t *testing.T) {
		// Guards against a pool with two of its seven hosts open for half a minute: all
		// hosts of all pools are in use, a wave closed five hosts of the pool, and their
		// long-running tasks have no other host to move to.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 7})
		for _, name := range w.names {
			w.runs[w.hosts[name].Worker], w.longRuns[w.hosts[name].Worker] = 1, 1
		}
		w.wanted["seats"] = 20 * hostMilli
		w.fleet.AddWave(wave(w.names, 60*time.Second, 7), w.now, nil, false)
		w.steps(35 * time.Second)
		is.Equal(len(w.fleet.Vacating("seats")), 3)
		w.steps(20 * time.Second)
		is.Equal(len(w.fleet.Vacating("seats")), 7) // the wave is late
	})
	t.Run("hosts with long runs are vacated from the start", func(t *testing.T) {
		// Guards against a wave that misses its deadline: hosts on standby were maintained
		// first and used up the wave's pace, then all hosts with long runs were emptied
		// together. Few tasks of a step may be interrupted at once, so that its hosts are
		// emptied one after the other.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 9, "standby": 120})
		for _, name := range w.names[:9] {
			w.runs[w.hosts[name].Worker], w.longRuns[w.hosts[name].Worker] = 1, 1
		}
		w.wanted["seats"] = 9 * hostMilli
		w.evictEvery = 2400 * time.Millisecond
		w.fleet.AddWave(wave(w.names, 25*time.Second, 30), w.now, nil, false)
		w.steps(25 * time.Second)
		is.Equal(len(w.fleet.waves["1"].maintained), 129)
	})
	t.Run("an emptied host is urgent once the wave is late", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "standby": 1})
		w.runs["w-m0"] = 1
		w.wanted["seats"] = hostMilli
		w.fleet.AddWave(wave([]string{"m0"}, 20*time.Second, 1), w.now, nil, false)
		w.steps(5 * time.Second)
		is.Equal(w.fleet.Vacating("seats")["w-m0"].Urgent, false)
		w.steps(10 * time.Second)
		is.Equal(w.fleet.Vacating("seats")["w-m0"].Urgent, true)
	})
}
