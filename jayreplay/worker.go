package jayreplay

import (
	"maps"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jayport"
)

const (
	// stopTime is how long a worker needs to stop a run.
	stopTime = 100 * time.Millisecond
	// restoreTime is how long a run needs to resume from a checkpoint.
	restoreTime = 300 * time.Millisecond
	// faultTime is how long a run lasts on a worker that fails every run.
	faultTime = 30 * time.Millisecond
)

// worker is one incarnation of the worker on an instance.
type worker struct {
	sim    *simulation
	info   jayport.Worker
	free   jaypool.Resources
	active map[jayport.RunRef]*activeRun
	// ended are the ended runs that the pool's owner has not acknowledged yet.
	ended []jayport.EndedRun
	// endedCount is the number of the last ended run.
	endedCount int64
	// leaseUntil is when all runs end unless the lease is renewed before.
	leaseUntil time.Duration
	// terminated is true once this incarnation has ended.
	terminated bool
	// pendingResponse responds to the pending renewal of the lease, which waits for a run
	// to end. It is nil if there is none.
	pendingResponse func()
}

// activeRun is a run that has started on a worker and has not ended.
type activeRun struct {
	order     jayport.StartOrder
	need      jaypool.Resources
	startedAt time.Duration
	duration  time.Duration
}

// start starts a run and returns the response to the pool's owner.
func (w *worker) start(order jayport.StartOrder) error {
	if w.terminated {
		return jayport.ErrNoAnswer
	}
	if _, there := w.active[order.Run]; there {
		return nil
	}
	task := w.sim.tasks[order.Run.Task]
	if !w.free.Fits(task.need) {
		return &jayport.RefusedError{Reason: jayport.RefusedNoRoom, Clock: w.sim.clock.now}
	}
	w.extendLease(order.LeaseUntil)
	if task.startedAt == 0 {
		task.startedAt = w.sim.clock.now
	}
	takes := task.duration - task.savedTime
	if task.savedTime > 0 {
		takes += restoreTime
	}
	r := &activeRun{order: order, need: task.need, startedAt: w.sim.clock.now, duration: takes}
	w.active[order.Run] = r
	w.free = w.free.Sub(task.need)
	if task.lostRunAt > 0 {
		task.longestWait = max(task.longestWait, w.sim.clock.now-task.lostRunAt)
		task.lostRunAt = 0
	}
	task.starts++
	if task.crashes {
		w.sim.clock.after(task.crashAfter, func() { w.crash(r) })
	}
	if w.sim.faulty(w) {
		w.sim.clock.after(faultTime, func() { w.end(r, jayport.EndedFailed) })
	}
	if !task.longRunning {
		w.sim.clock.after(w.timeFor(takes), func() { w.end(r, jayport.EndedDone) })
	}
	return nil
}

// end ends a run and responds to the pending request.
func (w *worker) end(r *activeRun, how jayport.Ending) {
	if w.terminated || w.active[r.order.Run] != r {
		return
	}
	delete(w.active, r.order.Run)
	w.sim.tasks[r.order.Run.Task].lostRunAt = w.sim.clock.now
	w.free = w.free.Add(r.need)
	w.endedCount++
	end := jayport.EndedRun{Number: w.endedCount, Run: r.order.Run, Ending: how}
	if how == jayport.EndedStopped {
		end.Checkpoint = w.sim.saveCheckpoint(r, w.workDone(r.startedAt))
	}
	w.ended = append(w.ended, end)
	w.sendResponse()
}

// sendResponse responds to the pending request, if there is one.
func (w *worker) sendResponse() {
	if w.pendingResponse != nil {
		respond := w.pendingResponse
		w.pendingResponse = nil
		respond()
	}
}

// extendLease extends the lease. All runs end when it expires, unless it was extended
// again before.
func (w *worker) extendLease(until time.Duration) {
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	w.sim.clock.after(until-w.sim.clock.now, func() {
		if w.terminated || w.leaseUntil > until {
			return
		}
		for _, run := range w.activeRuns() {
			w.sim.expiredRuns++
			w.end(w.active[run], jayport.EndedLapsed)
		}
	})
}

func (w *worker) stop(run jayport.RunRef) error {
	if w.terminated {
		return jayport.ErrNoAnswer
	}
	if r, there := w.active[run]; there {
		w.sim.clock.after(stopTime, func() { w.end(r, jayport.EndedStopped) })
	}
	return nil
}

// renew handles a request that renews the lease and asks for a report. It responds at once
// if the request does not wait or if there are ended runs to report, and otherwise when a
// run ends or the wait time of the request is over.
func (w *worker) renew(order jayport.LeaseOrder, respond func(jayport.Report, error)) {
	if w.terminated {
		respond(jayport.Report{}, jayport.ErrNoAnswer)
		return
	}
	w.extendLease(order.LeaseUntil)
	w.ended = slices.DeleteFunc(w.ended, func(e jayport.EndedRun) bool { return e.Number <= order.Acknowledged })
	sendReport := func() {
		if w.terminated {
			respond(jayport.Report{}, jayport.ErrNoAnswer)
			return
		}
		respond(w.report(), nil)
	}
	if order.Wait == 0 || len(w.ended) > 0 {
		sendReport()
		return
	}
	responded := false
	once := func() {
		if !responded {
			responded = true
			w.pendingResponse = nil
			sendReport()
		}
	}
	w.pendingResponse = once
	w.sim.clock.after(order.Wait, once)
}

func (w *worker) report() jayport.Report {
	r := jayport.Report{Clock: w.sim.clock.now, Ended: slices.Clone(w.ended)}
	for _, run := range w.activeRuns() {
		r.Active = append(r.Active, jayport.ActiveRun{Run: run, Speed: fullSpeed})
	}
	return r
}

// activeRuns returns the active runs in a fixed order.
func (w *worker) activeRuns() []jayport.RunRef {
	return slices.SortedFunc(maps.Keys(w.active), compareRuns)
}

// fullSpeed is the speed of a run that is not throttled, in percent.
const fullSpeed = 100

// crash crashes the worker if the given run is still active.
func (w *worker) crash(r *activeRun) {
	if w.terminated || w.active[r.order.Run] != r {
		return
	}
	w.sim.workerCrashed(w)
}

// terminate ends the worker together with all its runs. A pending request fails with
// jayport.ErrNoAnswer.
func (w *worker) terminate() {
	w.terminated = true
	for run := range w.active {
		w.sim.tasks[run.Task].lostRunAt = w.sim.clock.now
	}
	clear(w.active)
	w.sendResponse()
}
