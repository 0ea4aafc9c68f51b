package jaysched

import (
	"maps"
	"time"

	"jaythread/jayport"
)

// Vacate is an order to start no run on a worker. If it is urgent, the worker's runs are
// stopped too, long-running ones only where their step can miss them.
type Vacate struct {
	Worker string
	Urgent bool
	// Migrate allows stopping runs that can continue elsewhere from their checkpoint without
	// making their job late.
	Migrate bool
	// Restart allows stopping runs that start anew elsewhere; see restartRuns.
	Restart bool
}

// vacating holds the orders of the fleet's owner to vacate workers.
type vacating struct {
	// fence is the fence of the fleet's owner that sends the orders.
	fence int64
	// orders are the orders by worker ID, and until is when they expire.
	orders map[string]Vacate
	until  time.Duration
	// former are the workers that former owners of the fleet ordered to vacate, with the times at which
	// their orders expire. A command that one of them sent may still arrive.
	former map[string]time.Duration
	// pass counts the passes over the runs of closed workers.
	pass int
	// keptIn is the pass in which places were kept for the waiting tasks of services.
	keptIn int
	// withServices are the closed workers with runs of services, as of the latest pass.
	withServices []*worker
	// leaving says that the owner is leaving.
	leaving bool
}

// ordered reports whether the present owner of the fleet ordered to vacate a worker.
func (v *vacating) ordered(worker string) bool {
	_, ordered := v.orders[worker]
	return ordered
}

// SetFleetFence sets the fence of the fleet's owner that sends the following orders. The workers
// that a former owner ordered to vacate stay closed until its orders expire.
func (p *Pool) SetFleetFence(fence int64, now time.Duration) {
	v := &p.vacating
	if fence == v.fence {
		return
	}
	v.fence = fence
	if now >= v.until {
		return
	}
	maps.DeleteFunc(v.former, func(_ string, until time.Duration) bool { return now >= until })
	if v.former == nil {
		v.former = make(map[string]time.Duration, len(v.orders))
	}
	for worker := range v.orders {
		v.former[worker] = v.until
	}
}

// SetVacating closes the named workers, and those that a former owner of the fleet named a moment
// ago, and opens all others.
func (p *Pool) SetVacating(orders []Vacate, now time.Duration) {
	for _, w := range p.sorted {
		w.open()
	}
	v := &p.vacating
	v.orders = make(map[string]Vacate, len(orders))
	v.until = now + jayport.ClosedTime
	for _, o := range orders {
		v.orders[o.Worker] = o
		if w, known := p.workers[o.Worker]; known {
			w.vacate(o)
		}
	}
	for worker, until := range v.former {
		if w, known := p.workers[worker]; known && !w.closed && now < until {
			w.vacate(Vacate{Worker: worker})
		}
	}
}

// Leave records that the owner is leaving. It stops no service tasks for a wave any more: the next owner may take
// long to take over, and does not know the places that are kept for them.
func (p *Pool) Leave() {
	p.vacating.leaving = true
}

// vacate opens workers whose order has expired and stops those runs on closed or draining
// workers that should continue elsewhere.
func (p *Pool) vacate(now time.Duration) {
	if now >= p.vacating.until {
		for _, w := range p.sorted {
			w.open()
		}
	}
	p.vacating.pass++
	p.vacating.withServices = p.vacating.withServices[:0]
	for _, w := range p.sorted {
		if w.contact != connected || !w.closed && !w.Draining {
			continue
		}
		for _, r := range w.inOrder {
			if r.phase != running || p.vacating.leaving && !w.Draining && r.task.step.decl.LongRunning {
				continue
			}
			room, stop := p.shouldStop(r, now)
			if !stop || !p.keepNextPlace(r, now) {
				continue
			}
			if place := p.placeOf(r.task); place != nil {
				room = place
			}
			detail := "vacating"
			if room != nil {
				detail += ", room on " + room.ID
			}
			p.recordEvent(Event{Kind: RunStopped, Worker: w.ID, Run: r.ref(), Detail: detail}, now)
			p.evict(r, now)
		}
		p.restartRuns(w, now)
		if w.closed && w.longRuns > 0 {
			p.vacating.withServices = append(p.vacating.withServices, w)
		}
	}
}

// vacate closes a worker for new runs.
func (w *worker) vacate(o Vacate) {
	w.closed, w.urgent, w.migrate, w.restart = true, o.Urgent, o.Migrate, o.Restart
}

// open allows new runs on a worker again.
func (w *worker) open() {
	w.closed, w.urgent, w.migrate, w.restart = false, false, false, false
}
