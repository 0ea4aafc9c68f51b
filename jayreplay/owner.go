package jayreplay

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"jaythread/jayport"
	"jaythread/jaysched"
)

// poolOwner owns a pool: it passes events to the pool's scheduler and carries out its
// actions.
type poolOwner struct {
	sim      *simulation
	name     string
	pool     *jaysched.Pool
	workers  map[string]*worker
	latency  *jaysched.Latency
	outbound link
	inbound  link
	// decisionPending is true while a decision is scheduled for the current time.
	decisionPending bool
	// flushing is true while an append to the store is in progress.
	flushing bool
}

const (
	// listInterval is the interval at which the list of workers is read.
	listInterval = 300 * time.Millisecond
	// urgentListInterval is the interval at which the list of workers is read while
	// tasks wait for free capacity.
	urgentListInterval = 100 * time.Millisecond
	// decisionInterval is the interval at which a pool decides even if there was no event.
	decisionInterval = 50 * time.Millisecond
	// leaseDuration is how long the runs on a worker go on without a renewal of its lease.
	leaseDuration = 4 * time.Second
)

func newPoolOwner(s *simulation, name string) *poolOwner {
	o := &poolOwner{
		sim:      s,
		name:     name,
		workers:  map[string]*worker{},
		latency:  jaysched.NewLatency(),
		outbound: link{clock: &s.clock, rate: s.load.Link},
		inbound:  link{clock: &s.clock, rate: s.load.Link},
		pool: jaysched.NewPool(name, jaysched.Settings{
			Lease:     leaseDuration,
			Stop:      200 * time.Millisecond,
			MoveTime:  s.load.MoveTime,
			FarFactor: 1.5,

			RejectHopeless: s.load.RejectHopeless,
			FairShares:     s.load.FairShares,
			WorkerSpeeds:   s.load.WorkerSpeeds,
			CopyShare:      s.load.CopyShare,
		}),
	}
	o.pool.SetWeights(s.load.Weights)
	return o
}

func (o *poolOwner) start() {
	o.listWorkers()
	o.sim.clock.every(decisionInterval, o.scheduleDecision)
}

// listWorkers passes the list of workers to the pool and schedules the next listing.
func (o *poolOwner) listWorkers() {
	var list []jayport.Worker
	for _, w := range o.workers {
		if !w.terminated {
			list = append(list, w.info)
		}
	}
	slices.SortFunc(list, func(a, b jayport.Worker) int { return strings.Compare(a.ID, b.ID) })
	o.pool.Listed(list, o.sim.clock.now)
	o.scheduleDecision()
	pause := listInterval
	if o.pool.LacksRoom() {
		pause = urgentListInterval
	}
	o.sim.clock.after(pause, o.listWorkers)
}

// scheduleDecision schedules a decision of the pool at the current time, after the events that
// are already due. Only one decision is pending at a time.
func (o *poolOwner) scheduleDecision() {
	if o.decisionPending {
		return
	}
	o.decisionPending = true
	o.sim.clock.after(0, func() {
		o.decisionPending = false
		o.pool.SetStarts(o.latency.Starts())
		for _, a := range o.pool.Decide(o.sim.clock.now) {
			o.perform(a)
		}
		o.flush()
		o.recordOutcomes()
	})
}

func (o *poolOwner) perform(action jaysched.Action) {
	switch a := action.(type) {
	case jaysched.StartRun:
		o.startRun(a)
	case jaysched.StopRun:
		o.stopRun(a)
	case jaysched.RenewLease:
		o.renewLease(a)
	case jaysched.ForgetWorker:
		delete(o.workers, a.To.ID)
	case jaysched.ThrottleRun, jaysched.AskAdvice, jaysched.ConfirmOwner:
	}
}

// worker returns the worker with the given ID. For an unknown ID it returns a terminated
// worker, which responds to no request.
func (o *poolOwner) worker(id string) *worker {
	if w, known := o.workers[id]; known {
		return w
	}
	return &worker{sim: o.sim, terminated: true}
}

func (o *poolOwner) startRun(a jaysched.StartRun) {
	c := &o.sim.clock
	sent := c.now
	o.latency.Sent()
	respond := o.handleOnce(o.latency.OrderTimeout(), func(err error) {
		o.latency.Answered(c.now-sent, errors.Is(err, jayport.ErrNoAnswer))
		o.pool.StartAnswered(a.To, a.Order.Run, c.now, err, c.now)
	})
	w := o.worker(a.To.ID)
	o.outbound.send(orderBytes, func() {
		err := w.start(a.Order)
		o.inbound.send(responseBytes, func() { respond(err) })
	})
}

func (o *poolOwner) stopRun(a jaysched.StopRun) {
	c := &o.sim.clock
	respond := o.handleOnce(o.latency.OrderTimeout(), func(err error) {
		o.pool.StopAnswered(a.To, a.Run, c.now, err, c.now)
	})
	w := o.worker(a.To.ID)
	o.outbound.send(orderBytes, func() {
		err := w.stop(a.Run)
		o.inbound.send(responseBytes, func() { respond(err) })
	})
}

func (o *poolOwner) renewLease(a jaysched.RenewLease) {
	c := &o.sim.clock
	asked := c.now
	var report jayport.Report
	respond := o.handleOnce(o.latency.ReportTimeout()+a.Order.Wait, func(err error) {
		if err != nil {
			o.pool.ReportFailed(a.To, c.now)
			return
		}
		o.pool.Reported(a.To, report, asked, c.now)
	})
	w := o.worker(a.To.ID)
	o.outbound.send(reportRequestBytes, func() {
		w.renew(a.Order, func(r jayport.Report, err error) {
			o.inbound.send(reportBytes+reportRunBytes*(len(r.Active)+len(r.Ended)), func() {
				report = r
				respond(err)
			})
		})
	})
}

// handleOnce returns a function that passes a response to handle. If none arrives before
// the timeout, handle gets jayport.ErrNoAnswer, and a later response is ignored.
func (o *poolOwner) handleOnce(timeout time.Duration, handle func(error)) func(error) {
	handled := false
	respond := func(err error) {
		if handled {
			return
		}
		handled = true
		handle(err)
		o.scheduleDecision()
	}
	o.sim.clock.after(timeout, func() { respond(jayport.ErrNoAnswer) })
	return respond
}

// flush appends the pool's changes to the store, with at most one append in progress.
func (o *poolOwner) flush() {
	now := o.sim.clock.now
	if o.flushing || !o.pool.Recordable(now) {
		return
	}
	batch := o.pool.TakeBatch()
	if batch == nil {
		return
	}
	o.flushing = true
	o.sim.clock.after(storeLatency, func() {
		o.flushing = false
		o.pool.BatchRecorded(batch, o.sim.clock.now)
		o.scheduleDecision()
	})
}

// recordOutcomes records when jobs were first shown as done or failed.
func (o *poolOwner) recordOutcomes() {
	for _, e := range o.pool.TakeEvents() {
		o.sim.events[e.Kind]++
		if e.Kind != jaysched.JobRecorded {
			continue
		}
		j := o.sim.jobs[e.Job]
		switch e.Detail {
		case jaysched.Done.String():
			j.Done = cmp.Or(j.Done, e.At)
		case jaysched.Failed.String():
			j.Failed = cmp.Or(j.Failed, e.At)
		}
	}
}
