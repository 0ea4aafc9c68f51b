package jayreplay

import (
	"errors"
	"fmt"
	"time"

	"jaythread/jayfleet"
	"jaythread/jayport"
	"jaythread/jaysched"
)

// host is an instance in the inventory.
type host struct {
	name  string
	pool  string
	state jayport.HostState
	// worker is nil while the host is down or moving, and in the standby pool.
	worker *worker
	// starts counts the incarnations of the host's worker.
	starts int
}

const (
	// rackSize is the number of hosts in a rack.
	rackSize = 8
	// fleetInterval is the interval at which the fleet's owner decides.
	fleetInterval = 50 * time.Millisecond
	// demandInterval is the interval at which the fleet's owner asks each pool for its
	// demand.
	demandInterval = 150 * time.Millisecond
	// inventoryInterval is the interval at which the fleet's owner reads the inventory.
	inventoryInterval = 400 * time.Millisecond
	// inventoryLatency is how long a call to the inventory takes.
	inventoryLatency = 10 * time.Millisecond
)

func (s *simulation) addHost(pool string) {
	h := &host{name: fmt.Sprintf("m%03d", len(s.hosts)), pool: pool, state: jayport.HostUp}
	s.hosts = append(s.hosts, h)
	if pool != standby {
		s.boot(h)
	}
}

// boot starts the next incarnation of a host's worker.
func (s *simulation) boot(h *host) {
	h.starts++
	id := fmt.Sprintf("%s-%d", h.name, h.starts)
	h.worker = &worker{
		sim:    s,
		free:   s.load.Size,
		active: map[jayport.RunRef]*activeRun{},
		info: jayport.Worker{
			ID: id, Addr: id, Pool: h.pool, Rack: fmt.Sprint("r", (h.number()-1)/rackSize), Labels: []string{"a"}, Capacity: s.load.Size,
		},
	}
	s.owner(h.pool).workers[id] = h.worker
}

// number returns the position of the host in the order of names, starting at one.
func (h *host) number() int {
	number := 0
	if _, err := fmt.Sscanf(h.name, "m%d", &number); err != nil {
		return 1
	}
	return number + 1
}

// startFleetOwner starts the periodic work of the fleet's owner.
func (s *simulation) startFleetOwner() {
	s.clock.every(inventoryInterval, func() {
		asked := s.clock.now
		list := s.listHosts()
		s.clock.after(inventoryLatency, func() { s.fleet.ApplyInventory(list, asked) })
	})
	for _, o := range s.owners {
		s.clock.every(demandInterval, func() { s.requestDemand(o) })
	}
	s.clock.every(fleetInterval, func() {
		for _, a := range s.fleet.Decide(s.clock.now) {
			s.perform(a)
		}
		s.fleet.TakeHostChanges()
	})
}

func (s *simulation) listHosts() []jayport.Host {
	list := make([]jayport.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		listed := jayport.Host{Name: h.name, Pool: h.pool, State: h.state, Labels: []string{"a"}, Capacity: s.load.Size}
		if h.worker != nil {
			listed.Worker = h.worker.info.ID
		}
		list = append(list, listed)
	}
	return list
}

// requestDemand sends a pool the orders to vacate workers and passes its demand to the
// fleet.
func (s *simulation) requestDemand(o *poolOwner) {
	asked := s.clock.now
	var orders []jaysched.Vacate
	for worker, how := range s.fleet.Vacating(o.name) {
		orders = append(orders, jaysched.Vacate{Worker: worker, Urgent: how.Urgent, Migrate: how.Migrate, Restart: how.Restart})
	}
	var arriving []jaysched.Arriving
	for _, a := range s.fleet.Arriving(o.name, asked) {
		arriving = append(arriving, jaysched.Arriving(a))
	}
	existing, read, known := s.fleet.Existing(o.name)
	contracting := s.fleet.Contracting(o.name)
	elsewhere := s.uses.Elsewhere(o.name, asked)
	s.clock.after(linkLatency, func() {
		if known {
			o.pool.InventoryRead(existing, read, s.clock.now)
		}
		o.pool.SetVacating(orders, s.clock.now)
		o.pool.SetArriving(arriving, s.clock.now)
		o.pool.SetContracting(contracting, s.clock.now)
		o.pool.SetUsedElsewhere(1, elsewhere, s.clock.now)
		uses := o.pool.OrganisationUses(s.clock.now)
		demand := fleetDemand(o.pool.Demand(s.clock.now), asked)
		o.scheduleDecision()
		s.clock.after(linkLatency, func() {
			s.uses.Receive(o.name, uses, asked)
			s.fleet.SetDemand(o.name, demand)
		})
	})
}

func fleetDemand(d jaysched.Demand, at time.Duration) jayfleet.Demand {
	demand := jayfleet.Demand{
		OnTimeMilli:   &d.OnTimeMilli,
		NeedMilli:     d.NeedMilli,
		SpareMilli:    d.SpareMilli,
		ExpiredMilli:  d.ExpiredMilli,
		ArrivingMilli: d.ArrivingMilli,
		HostsAtLeast:  d.WorkersAtLeast,
		Loads:         make(map[string]jayfleet.Load, len(d.Loads)),
		At:            at,
	}
	for _, l := range d.Loads {
		load := jayfleet.Load{CapacityMilli: &l.CapacityMilli, UsedMilli: l.UsedMilli, Runs: l.Runs, LongRuns: l.LongRuns, Vacated: l.Vacated, Idle: l.Idle, EmptyIn: l.EmptyIn, RestartCost: l.RestartCost, Restartable: l.Restartable, SpeedPercent: l.SpeedPercent}
		if l.EmptyIn == jaysched.MaxDuration {
			load.EmptyIn = -1
		}
		demand.Loads[l.Worker] = load
	}
	return demand
}

// perform carries out an action of the fleet.
func (s *simulation) perform(action jayfleet.Action) {
	switch a := action.(type) {
	case jayfleet.MoveHost:
		s.clock.after(inventoryLatency, func() {
			err := s.moveHost(a)
			s.clock.after(linkLatency, func() { s.fleet.HandleAnswer(a.Host, err, s.clock.now) })
		})
	case jayfleet.MaintainHost, jayfleet.RecordWave:
	}
}

// workerCrashed takes the host of a crashed worker down and restarts the worker after the
// reboot time.
func (s *simulation) workerCrashed(w *worker) {
	s.crashes++
	for _, h := range s.hosts {
		if h.worker == w {
			s.takeDown(h, s.load.RebootTime)
		}
	}
}

// startOutage takes down the hosts that an outage selects.
func (s *simulation) startOutage(o Outage) {
	for n, h := range s.hosts {
		if n%o.Each == o.First%o.Each && h.worker != nil {
			s.takeDown(h, o.For)
		}
	}
}

// faulty reports whether a worker fails the runs that it starts now.
func (s *simulation) faulty(w *worker) bool {
	if len(s.load.Faults) == 0 {
		return false
	}
	for n, h := range s.hosts {
		if h.worker != w {
			continue
		}
		for _, f := range s.load.Faults {
			if n%f.Each == f.First%f.Each && s.clock.now >= f.At && s.clock.now < f.At+f.For {
				return true
			}
		}
	}
	return false
}

// takeDown terminates the worker of a host and starts its next incarnation after the given
// time.
func (s *simulation) takeDown(h *host, downTime time.Duration) {
	h.worker.terminate()
	h.worker, h.state = nil, jayport.HostDown
	s.clock.after(downTime, func() {
		h.state = jayport.HostUp
		s.boot(h)
	})
}

// errHostBusy is the inventory's error for the move of a host that is not up.
var errHostBusy = &jayport.HostError{Reason: jayport.HostBusy}

// moveHost moves a host to another pool. Its worker ends at once.
func (s *simulation) moveHost(a jayfleet.MoveHost) error {
	for _, h := range s.hosts {
		if h.name != a.Host {
			continue
		}
		if h.state != jayport.HostUp {
			return errHostBusy
		}
		if h.worker != nil {
			h.worker.terminate()
			h.worker = nil
		}
		s.moves++
		h.pool, h.state = a.Pool, jayport.HostMoving
		s.clock.after(s.load.MoveTime, func() {
			h.state = jayport.HostUp
			if h.pool != standby {
				s.boot(h)
			}
		})
		return nil
	}
	return errNoHost
}

var errNoHost = errors.New("no such host")
