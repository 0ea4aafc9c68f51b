package jayfleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
)

const hostMilli = 10_000

// world simulates an inventory and the pools' owners.
type world struct {
	t      *testing.T
	fleet  *Fleet
	now    time.Duration
	hosts  map[string]*jayport.Host
	names  []string
	wanted map[string]int64
	spare  map[string]int64
	// atLeast is the minimum number of hosts of a pool regardless of their size.
	atLeast map[string]int
	// idle is the reported idle time of hosts without runs.
	idle time.Duration
	// runs is the number of runs on each worker, longRuns the number of long-running ones.
	runs     map[string]int
	longRuns map[string]int
	// offered is the capacity of workers whose capacity differs from the inventory.
	offered map[string]*int64
	// expired is the part of a pool's demand that is for jobs whose results can no longer
	// be used.
	expired map[string]int64
	// onTime is the part of a pool's demand for jobs that can be done by their target; nil is
	// not reported.
	onTime map[string]*int64
	// drainTime is how long the runs of a busy host are expected to take, and do take once
	// the host is closed; a negative value means forever. closedAt is when hosts were
	// closed.
	drainTime time.Duration
	closedAt  map[string]time.Duration
	// returns holds when and in which pool an unavailable host is up again.
	returns map[string]hostReturn
	// evictEvery is the interval at which a closed host loses its long runs; zero means
	// never. evictedAt is the time of the last eviction.
	evictEvery time.Duration
	evictedAt  time.Duration
	// answer returns the inventory's answer to a command.
	answer func(Action) error
	moves  []MoveHost
	// maxDown is the largest number of hosts that were maintained at once.
	maxDown int
}

type hostReturn struct {
	at   time.Duration
	pool string
}

func newWorld(t *testing.T, pools map[string]int) *world {
	w := &world{
		t: t, now: time.Minute, hosts: map[string]*jayport.Host{}, wanted: map[string]int64{}, spare: map[string]int64{}, atLeast: map[string]int{}, idle: 10 * time.Second, runs: map[string]int{},
		longRuns: map[string]int{}, offered: map[string]*int64{}, expired: map[string]int64{}, drainTime: -1, closedAt: map[string]time.Duration{}, returns: map[string]hostReturn{}, answer: func(Action) error { return nil },
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

// step advances the time by 100 ms: hosts return, the fleet gets the inventory and the
// demands, and its actions are carried out.
func (w *world) step() {
	w.now += 100 * time.Millisecond
	maintained := 0
	for name, b := range w.returns {
		if h := w.hosts[name]; h != nil && w.now >= b.at {
			h.State, h.Pool = jayport.HostUp, b.pool
			h.Worker = fmt.Sprint("w-", name, w.now)
			if b.pool == "standby" {
				h.Worker = ""
			}
			delete(w.returns, name)
		}
	}
	for _, h := range w.hosts {
		if h.State == jayport.HostMaintained {
			maintained++
		}
	}
	w.maxDown = max(w.maxDown, maintained)
	w.list()
	w.evict()
	w.reportDemands()
	for _, a := range w.fleet.Decide(w.now) {
		w.perform(a)
	}
}

// list gives the fleet the inventory.
func (w *world) list() {
	var list []jayport.Host
	for _, name := range w.names {
		if w.hosts[name] != nil {
			list = append(list, *w.hosts[name])
		}
	}
	w.fleet.ApplyInventory(list, w.now)
}

// evict removes the long runs from one closed host, at most once per evictEvery, since few
// tasks of a step may be interrupted at once.
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

// reportDemands reports the demand of each pool. A worker that is being emptied is vacated
// as soon as it runs nothing.
func (w *world) reportDemands() {
	for _, pool := range []string{"fees", "seats"} {
		d := Demand{NeedMilli: w.wanted[pool], SpareMilli: w.spare[pool], ExpiredMilli: w.expired[pool], OnTimeMilli: w.onTime[pool], ArrivingMilli: w.wanted[pool], HostsAtLeast: w.atLeast[pool], Loads: map[string]Load{}, At: w.now}
		vacating := w.fleet.Vacating(pool)
		for _, h := range w.hosts {
			if h.Pool != pool || h.State != jayport.HostUp {
				continue
			}
			_, closed := vacating[h.Worker]
			w.drain(h.Worker, closed)
			l := Load{CapacityMilli: w.offered[h.Worker], Runs: w.runs[h.Worker], LongRuns: w.longRuns[h.Worker], UsedMilli: int64(w.runs[h.Worker]) * 1000, EmptyIn: w.drainTime}
			if l.Runs == 0 {
				l.Vacated, l.Idle = closed, w.idle
			}
			d.Loads[h.Worker] = l
		}
		w.fleet.SetDemand(pool, d)
	}
}

// drain ends the runs of a worker after it has been closed for drainTime.
func (w *world) drain(worker string, closed bool) {
	since, known := w.closedAt[worker]
	switch {
	case !closed:
		delete(w.closedAt, worker)
	case !known:
		w.closedAt[worker] = w.now
	case w.drainTime >= 0 && w.now-since >= w.drainTime:
		w.runs[worker] = 0
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
		w.fleet.HandleAnswer(a.Host, err, w.now)
	case MaintainHost:
		err := w.answer(a)
		if err == nil {
			w.leave(a.Host, jayport.HostMaintained, w.hosts[a.Host].Pool, 2*time.Second)
		}
		w.fleet.HandleAnswer(a.Host, err, w.now)
	case RecordWave:
	}
}

func (w *world) leave(name string, state jayport.HostState, pool string, away time.Duration) {
	h := w.hosts[name]
	if w.runs[h.Worker] > 0 {
		w.t.Errorf("%s received a command while it has runs", name)
	}
	h.State = state
	w.returns[name] = hostReturn{at: w.now + away, pool: pool}
}

func (w *world) steps(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		w.step()
	}
}

func (w *world) hostsUp(pool string) int {
	count := 0
	for _, h := range w.hosts {
		if h.Pool == pool && h.State == jayport.HostUp {
			count++
		}
	}
	return count
}
