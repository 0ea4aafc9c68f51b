package jayfleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
)

const hostMilli = 10_000

// world is an inventory and the pools' owners, as the fleet sees them.
type world struct {
	t      *testing.T
	fleet  *Fleet
	now    time.Duration
	hosts  map[string]*jayport.Host
	names  []string
	wanted map[string]int64
	spare  map[string]int64
	// atLeast is how many hosts a pool needs whatever their size.
	atLeast map[string]int
	// idle is for how long hosts without runs are said to be idle.
	idle time.Duration
	// runs counts the runs on each worker, longRuns those that last.
	runs     map[string]int
	longRuns map[string]int
	// back is when a host is up again, and in which pool.
	back map[string]comeback
	// evictEvery is how often a closed host loses its runs that last; zero is
	// never. evictedAt is when one did last.
	evictEvery time.Duration
	evictedAt  time.Duration
	// answer is what the inventory answers to an act.
	answer func(Action) error
	moves  []MoveHost
	// down is the largest number of hosts that were maintained at once.
	down int
}

type comeback struct {
	at   time.Duration
	pool string
}

func newWorld(t *testing.T, pools map[string]int) *world {
	w := &world{
		t: t, now: time.Minute, hosts: map[string]*jayport.Host{}, wanted: map[string]int64{}, spare: map[string]int64{}, atLeast: map[string]int{}, idle: 10 * time.Second, runs: map[string]int{},
		longRuns: map[string]int{}, back: map[string]comeback{}, answer: func(Action) error { return nil },
	}
	w.fleet = New(Settings{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second})
	w.fleet.SetPools([]string{"fees", "seats"}, []string{"standby"})
	for _, pool := range []string{"fees", "seats", "standby"} {
		for range pools[pool] {
			name := fmt.Sprint("m", len(w.names))
			w.names = append(w.names, name)
			w.hosts[name] = &jayport.Host{Name: name, Pool: pool, State: jayport.HostUp, Worker: "w-" + name, Capacity: jaypool.Resources{ProcessorsMilli: hostMilli}}
			if pool == "standby" {
				w.hosts[name].Worker = ""
			}
		}
	}
	return w
}

// step lets 100 ms pass: hosts come back, the list and the demands are taken
// in, and what the fleet decides is carried out.
func (w *world) step() {
	w.now += 100 * time.Millisecond
	maintained := 0
	for name, b := range w.back {
		if h := w.hosts[name]; h != nil && w.now >= b.at {
			h.State, h.Pool = jayport.HostUp, b.pool
			h.Worker = fmt.Sprint("w-", name, w.now)
			if b.pool == "standby" {
				h.Worker = ""
			}
			delete(w.back, name)
		}
	}
	for _, h := range w.hosts {
		if h.State == jayport.HostMaintained {
			maintained++
		}
	}
	w.down = max(w.down, maintained)
	var list []jayport.Host
	for _, name := range w.names {
		if w.hosts[name] != nil {
			list = append(list, *w.hosts[name])
		}
	}
	w.fleet.Listed(list, w.now)
	w.evict()
	w.tellDemands()
	for _, a := range w.fleet.Decide(w.now) {
		w.perform(a)
	}
}

// evict moves the runs that last off one closed host, at most every so often: a
// step can miss few of its tasks at once.
func (w *world) evict() {
	if w.evictEvery == 0 || w.now-w.evictedAt < w.evictEvery {
		return
	}
	closed := w.fleet.Vacating("seats")
	for _, name := range w.names {
		id := w.hosts[name].Worker
		if _, vacating := closed[id]; vacating && w.longRuns[id] > 0 {
			w.runs[id], w.longRuns[id] = 0, 0
			w.evictedAt = w.now
			return
		}
	}
}

// tellDemands answers for the pools' owners: an emptied worker is vacated as
// soon as nothing runs there.
func (w *world) tellDemands() {
	for _, pool := range []string{"fees", "seats"} {
		d := Demand{NeedMilli: w.wanted[pool], SpareMilli: w.spare[pool], HostsAtLeast: w.atLeast[pool], Loads: map[string]Load{}, At: w.now}
		vacating := w.fleet.Vacating(pool)
		for _, h := range w.hosts {
			if h.Pool != pool || h.State != jayport.HostUp {
				continue
			}
			_, closed := vacating[h.Worker]
			l := Load{Runs: w.runs[h.Worker], LongRuns: w.longRuns[h.Worker], UsedMilli: int64(w.runs[h.Worker]) * 1000, EmptyIn: -1}
			if l.Runs == 0 {
				l.Vacated, l.Idle = closed, w.idle
			}
			d.Loads[h.Worker] = l
		}
		w.fleet.Demanded(pool, d)
	}
}

func (w *world) perform(a Action) {
	switch a := a.(type) {
	case MoveHost:
		w.moves = append(w.moves, a)
		err := w.answer(a)
		if err == nil || errors.Is(err, jayport.ErrNoAnswer) {
			w.leave(a.Host, jayport.HostMoving, a.Pool, 1500*time.Millisecond)
		}
		w.fleet.Answered(a.Host, err, w.now)
	case MaintainHost:
		err := w.answer(a)
		if err == nil {
			w.leave(a.Host, jayport.HostMaintained, w.hosts[a.Host].Pool, 2*time.Second)
		}
		w.fleet.Answered(a.Host, err, w.now)
	case RecordWave:
	}
}

func (w *world) leave(name string, state jayport.HostState, pool string, away time.Duration) {
	h := w.hosts[name]
	if w.runs[h.Worker] > 0 {
		w.t.Errorf("%s was acted on while it runs something", name)
	}
	h.State = state
	w.back[name] = comeback{at: w.now + away, pool: pool}
}

func (w *world) steps(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.step()
	}
}

func (w *world) in(pool string) int {
	count := 0
	for _, h := range w.hosts {
		if h.Pool == pool && h.State == jayport.HostUp {
			count++
		}
	}
	return count
}

func TestHostsFollowDemand(t *testing.T) {
	t.Run("from standby, and back when idle", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "fees": 1, "standby": 6})
		w.wanted["seats"] = 5 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.in("seats"), 6)
		w.wanted["seats"] = 0
		w.steps(5 * time.Second)
		is.Equal(w.in("seats"), 1)
	})
	t.Run("from a pool that needs less", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "fees": 6})
		w.fleet.SetPools([]string{"fees", "seats"}, nil)
		w.wanted["seats"] = 6 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.in("seats"), 7)
		is.Equal(w.in("fees"), 1)
	})
	t.Run("after a rush at once, but for what chance may need", func(t *testing.T) {
		// Symptom: a third of the hosts that are paid for after a rush are idle.
		// Sequence: the rush ends, hosts become empty one by one.
		// Cause: each was kept for as long as one that may be needed again.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 20, "standby": 20})
		w.wanted["seats"], w.spare["seats"] = 5*hostMilli, 4*hostMilli
		w.idle = 300 * time.Millisecond
		w.steps(3 * time.Second)
		is.Equal(w.in("seats"), 20) // a new owner waits
		w.steps(3 * time.Second)
		is.Equal(w.in("seats"), 10)
		w.idle = 1300 * time.Millisecond
		w.steps(3 * time.Second)
		is.Equal(w.in("seats"), 6)
	})
	t.Run("not at once while few are off", func(t *testing.T) {
		// Symptom: a rush gets its hosts three seconds after it has begun.
		// Sequence: all entries come back; a pool has hosts left that it does not
		// need, and they are turned off; a moment later another pool's rush begins.
		// Cause: a host on its way to standby can be moved again only when it has
		// arrived there.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 20, "fees": 2, "standby": 5})
		w.wanted["seats"], w.wanted["fees"] = 2*hostMilli, hostMilli
		w.idle = 300 * time.Millisecond
		w.steps(500 * time.Millisecond)
		w.wanted["fees"] = 20 * hostMilli
		w.steps(2 * time.Second)
		is.True(w.in("fees") >= 20)
	})
	t.Run("busy hosts stay", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "fees": 3})
		for _, h := range w.hosts {
			w.runs[h.Worker] = 1
		}
		w.wanted["seats"] = 9 * hostMilli
		w.steps(3 * time.Second)
		is.Equal(w.in("fees"), 3)
	})
	t.Run("what the former owner has just acted on is left alone", func(t *testing.T) {
		// Symptom: two holders act on one instance in turns.
		// Sequence: an owner moves an instance and is lost; the next one moves
		// it again at once.
		// Cause: it did not know of the act before.
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
	t.Run("an act that was decided too long ago is decided anew", func(t *testing.T) {
		// Symptom: a move ends tasks that were started a moment ago.
		// Sequence: a move of an empty host is decided; the owner is paused; the
		// host's pool opens the host again and starts tasks there; the owner wakes
		// and sends the move.
		// Cause: nobody looked how old the decision was.
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
		is.Equal(w.in("seats"), 1)
		is.Equal(w.in("standby"), 2)
		stale = false
		w.steps(2 * time.Second)
		is.Equal(w.in("seats"), 2)
	})
	t.Run("an act without an answer is asked for again, not another one", func(t *testing.T) {
		// Symptom: a pool gets twice the hosts that it wants.
		// Sequence: the answer to a move is lost; another host is moved.
		// Cause: the first move was taken for one that failed.
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

func TestWaves(t *testing.T) {
	wave := func(hosts []string, within time.Duration, atOnce int) jayport.Wave {
		return jayport.Wave{Name: "1", Hosts: hosts, Within: within, MaxAtOnce: atOnce}
	}
	t.Run("all hosts are maintained, not too many at once", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 4, "fees": 4, "standby": 4})
		w.wanted["seats"], w.wanted["fees"] = 2*hostMilli, 2*hostMilli
		w.fleet.Declared(wave(w.names, 30*time.Second, 3), w.now, nil, false)
		w.steps(25 * time.Second)
		is.True(w.fleet.waves["1"].done)
		is.Equal(len(w.fleet.waves["1"].maintained), 12)
		is.True(w.down <= 3)
	})
	t.Run("what a former owner recorded is not done again", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2})
		w.wanted["seats"] = 2 * hostMilli
		w.fleet.Declared(wave(w.names, 30*time.Second, 2), w.now, []string{"m0"}, false)
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
	t.Run("a host that left for good holds nothing up", func(t *testing.T) {
		w := newWorld(t, map[string]int{"seats": 2})
		w.wanted["seats"] = 2 * hostMilli
		w.fleet.Declared(wave(append(w.names, "gone"), 30*time.Second, 2), w.now, nil, false)
		w.steps(8 * time.Second)
		is.New(t).True(w.fleet.waves["1"].done)
	})
	t.Run("hosts that are emptied are replaced", func(t *testing.T) {
		// Symptom: a long-running task finds no place for half a minute.
		// Sequence: all hosts of a pool are emptied for a wave at once.
		// Cause: a host that is being emptied counted as serving.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 2, "standby": 3})
		w.wanted["seats"] = hostMilli
		for _, name := range w.names[:2] {
			w.runs[w.hosts[name].Worker] = 1
			w.longRuns[w.hosts[name].Worker] = 1
		}
		w.fleet.Declared(wave(w.names[:2], 30*time.Second, 9), w.now, nil, false)
		w.steps(3 * time.Second)
		is.True(w.in("seats") > 2)
	})
	t.Run("hosts that are emptied are replaced for tasks that may not share one", func(t *testing.T) {
		// Symptom: a task that lasts and has failed waits for ten seconds, in a pool that
		// is nearly idle.
		// Sequence: a step runs one task on each host; a wave closes half of them, which
		// cannot be emptied, since no host is open on which the step runs no task yet.
		// Cause: hosts were counted by the cores that are needed, a third of them.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 12, "standby": 12})
		for _, name := range w.names[:12] {
			w.runs[w.hosts[name].Worker], w.longRuns[w.hosts[name].Worker] = 1, 1
		}
		w.wanted["seats"], w.atLeast["seats"] = 3*hostMilli, 12
		w.fleet.Declared(wave(w.names[:6], 30*time.Second, 9), w.now, nil, false)
		w.steps(4 * time.Second)
		closed := len(w.fleet.Vacating("seats"))
		is.True(closed > 0)
		is.True(w.in("seats")-closed >= 12)
	})
	t.Run("a wave leaves hosts to a rush", func(t *testing.T) {
		// Symptom: jobs wait in a rush while a fifth of the fleet is maintained.
		// Sequence: a wave is declared; a pool's rush begins a moment later.
		// Cause: the wave took at once as many hosts as it was allowed to, hosts
		// that were off before the rush could get them, and busy ones in it.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 4, "standby": 16})
		for _, name := range w.names[:4] {
			w.runs[w.hosts[name].Worker] = 1
		}
		w.wanted["seats"] = 3 * hostMilli
		w.fleet.Declared(wave(w.names, 25*time.Second, 16), w.now, nil, false)
		w.steps(200 * time.Millisecond)
		w.wanted["seats"] = 14 * hostMilli
		w.steps(1800 * time.Millisecond)
		is.True(w.in("seats") >= 13)
		is.Equal(len(w.fleet.Vacating("seats")), 0)
		w.wanted["seats"] = 3 * hostMilli
		w.steps(22 * time.Second)
		is.Equal(len(w.fleet.waves["1"].maintained), 16)
	})
	t.Run("hosts with runs that last are emptied from the start", func(t *testing.T) {
		// Symptom: the last hosts of a wave are maintained after its time.
		// Sequence: hosts that are off are maintained first and take all of the
		// wave's pace; then all hosts with runs that last are emptied together.
		// Cause: a step can miss few of its tasks at once, so that its hosts are
		// emptied one after the other, however many are to be emptied.
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 9, "standby": 120})
		for _, name := range w.names[:9] {
			w.runs[w.hosts[name].Worker], w.longRuns[w.hosts[name].Worker] = 1, 1
		}
		w.wanted["seats"] = 9 * hostMilli
		w.evictEvery = 2400 * time.Millisecond
		w.fleet.Declared(wave(w.names, 25*time.Second, 30), w.now, nil, false)
		w.steps(25 * time.Second)
		is.Equal(len(w.fleet.waves["1"].maintained), 129)
	})
	t.Run("an emptied host is urgent once the wave is late", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, map[string]int{"seats": 1, "standby": 1})
		w.runs["w-m0"] = 1
		w.wanted["seats"] = hostMilli
		w.fleet.Declared(wave([]string{"m0"}, 20*time.Second, 1), w.now, nil, false)
		w.steps(5 * time.Second)
		is.Equal(w.fleet.Vacating("seats")["w-m0"].Urgent, false)
		w.steps(10 * time.Second)
		is.Equal(w.fleet.Vacating("seats")["w-m0"].Urgent, true)
	})
}

// Symptom: with moves of 4 s a third of the jobs of each rush are late.
// Sequence: a rush of some seconds begins, hosts are called, and come as it ends; a few
// seconds later they go off, and the next rush finds none again.
// Cause: how long idle hosts stay on was right only for moves that are short against a
// rush.
func TestIdleHostsStayLongerWhereMovesAreSlow(t *testing.T) {
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
			inUse, beyond := &standing{have: 3, need: 1, keep: 3}, &standing{have: 5, need: 1, keep: 3}
			is.Equal(f.idleBefore(inUse, true), c.want)
			is.Equal(f.idleBefore(beyond, false), c.want)
			atOnce := f.idleBefore(beyond, true) == surplusBeforeStandby
			is.Equal(atOnce, c.move <= followed)
		})
	}
}
