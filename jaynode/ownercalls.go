package jaynode

import (
	"time"

	"jaythread/jayclock"
	"jaythread/jaysched"
)

// Calls that the goroutine of a pool's duty makes, as the log and the metrics name them.
const (
	callDecide = "decide"
	callDemand = "demand"
	callRecord = "record"
	callEvent  = "event"
)

// slowCall is the duration from which a call of a pool's duty is logged: leases are renewed and queries
// answered only between calls.
const slowCall = 200 * time.Millisecond

// busyShare is the divisor of a delay that gives the processor time from which the process was busy in it. A
// process that is paused uses none.
const busyShare = 8

// wasBusy reports whether the process was computing in a delay, rather than paused.
func wasBusy(delay, processorTime time.Duration) bool {
	return processorTime >= delay/busyShare
}

// ownerCalls measures the calls of a pool's duty. It is used only by the duty's goroutine.
type ownerCalls struct {
	// name is that of the present call.
	name string
	// processorAt is the processor time of the process when the duty was last active.
	processorAt time.Duration
}

// call makes a call of the duty's goroutine. The function may set calls.name.
func (d *poolDuty) call(name string, do func()) {
	began := d.node.clock()
	d.calls.name = name
	do()
	took := d.node.clock() - began
	d.node.metrics.PoolCallEnded(d.calls.name, took)
	if took >= slowCall {
		d.logger.Info("call took long", "call", d.calls.name, "took", took.String(), "processorTime", (jayclock.Processor() - d.calls.processorAt).String())
	}
}

// demandBudget limits the share of the duty's time that is spent on estimating the pool's demand.
//
// It handles this load: an estimate takes long, and the fleet's owner asks for the next one at once. Leases
// lapsed, since nothing else was done.
type demandBudget struct {
	last jaysched.Demand
	// nextAt is when the demand may be estimated next.
	nextAt time.Duration
}

// demandShare is the divisor that gives the share of the time that estimates of the demand may take.
const demandShare = 8

// due reports whether the demand is estimated anew, rather than derived from the last estimate.
func (b *demandBudget) due(now time.Duration) bool {
	return now >= b.nextAt
}

// estimated records an estimate that took some time and ended at the given one.
func (b *demandBudget) estimated(demand jaysched.Demand, took, now time.Duration) {
	b.last, b.nextAt = demand, now+(demandShare-1)*took
}

// demand returns the pool's demand, estimated anew if the budget allows it.
func (d *poolDuty) demand(now time.Duration) jaysched.Demand {
	d.calls.name = callDemand
	if !d.demandBudget.due(now) {
		return d.pool.UpdateDemand(d.demandBudget.last, now)
	}
	demand := d.pool.Demand(now)
	ended := d.node.clock()
	d.demandBudget.estimated(demand, ended-now, ended)
	return demand
}
