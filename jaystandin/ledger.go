package jaystandin

import (
	"sync"
	"time"
)

// Ledger records what the workers observe and counts violations of the system's guarantees.
type Ledger struct {
	mu sync.Mutex
	// runsByKey counts the runs of requests by their idempotency keys.
	runsByKey map[string]int
	// runsByAttempt counts the runs of requests by the IDs of their attempts.
	runsByAttempt map[string]int
	// pools is the use of each worker by pools, by worker.
	pools map[string]poolUse
	// minAvailable is the number of workers that must stay available, by service.
	minAvailable map[string]int
	// budgetBroken is true if fewer workers than the minimum are available, by service.
	budgetBroken map[string]bool
	leftAt       map[string]time.Time
	counters     Counters
	// workerByTask is the worker that runs a task, by task.
	workerByTask map[string]string
	// startedTasks holds the tasks that were started at least once.
	startedTasks map[string]bool
}

// Counters are the counters of the ledger.
type Counters struct {
	// Runs counts the runs of requests.
	Runs int `json:"runs"`
	// DoubledRuns counts idempotency keys of which a request ran more than once.
	DoubledRuns int `json:"doubledRuns"`
	// CutByStop counts requests that were interrupted by the planned stop of their worker.
	CutByStop int `json:"cutByStop"`
	// BudgetBreaches counts how often the available workers of a service fell below its
	// minimum.
	BudgetBreaches int `json:"budgetBreaches"`
	// PoolOverlaps counts how often a worker served two pools at once, or served one again
	// that it had left.
	PoolOverlaps int `json:"poolOverlaps"`
	// SlotOverruns counts requests beyond the slots of their worker.
	SlotOverruns int `json:"slotOverruns"`
	// LateWork counts requests that reached a worker more than two seconds after the order
	// to drain it.
	LateWork int `json:"lateWork"`
	// TaskOverlaps counts starts of a task that ran on another worker at that time.
	TaskOverlaps int `json:"taskOverlaps"`
	TaskStarts   int `json:"taskStarts"`
	Reboots      int `json:"reboots"`
	// InstanceMoves counts how often a worker was used by another pool than before.
	InstanceMoves int `json:"instanceMoves"`
	// JobMoves counts starts of a task that had been started before.
	JobMoves int `json:"jobMoves"`
}

// poolUse is the use of a worker by pools.
type poolUse struct {
	// current is the pool of the last request.
	current string
	// inFlight counts the requests in flight.
	inFlight int
	// formerPools holds the pools that the worker has served before the current one.
	formerPools map[string]bool
}

// drainGrace is the time after an order to drain during which new requests may still reach
// the worker.
const drainGrace = 2 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runsByKey:     map[string]int{},
		runsByAttempt: map[string]int{},
		pools:         map[string]poolUse{},
		minAvailable:  map[string]int{},
		budgetBroken:  map[string]bool{},
		leftAt:        map[string]time.Time{},
		workerByTask:  map[string]string{},
		startedTasks:  map[string]bool{},
	}
}

// Counters returns the current values of the counters.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// RunsOf returns how often the request of the given attempt ran.
func (l *Ledger) RunsOf(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsByAttempt[attempt]
}

// SetMinimum sets the number of workers of a service that must stay available.
func (l *Ledger) SetMinimum(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minAvailable[service] = n
}

func (l *Ledger) update(change func(c *Counters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counters)
}

// recordRun records that a worker ran a request. The key is empty if the request has none.
func (l *Ledger) recordRun(attempt, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Runs++
	l.runsByAttempt[attempt]++
	if key == "" {
		return
	}
	l.runsByKey[key]++
	if l.runsByKey[key] == 2 {
		l.counters.DoubledRuns++
	}
}

// recordRequestStart records that a request of a pool reached a worker. It counts an overlap
// if the worker serves two pools at once, or serves a pool again that it has left.
func (l *Ledger) recordRequestStart(worker, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, known := l.pools[worker]
	if !known {
		u = poolUse{current: pool, formerPools: map[string]bool{}}
	}
	if u.current != pool {
		if u.inFlight > 0 || u.formerPools[pool] {
			l.counters.PoolOverlaps++
		}
		u.formerPools[u.current] = true
		u.current = pool
		l.counters.InstanceMoves++
	}
	u.inFlight++
	l.pools[worker] = u
}

func (l *Ledger) recordRequestEnd(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.pools[worker]
	u.inFlight--
	l.pools[worker] = u
}

// checkBudget compares a service's available workers with its minimum. A breach counts once
// until enough workers are available again.
func (l *Ledger) checkBudget(service string, available int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := available < l.minAvailable[service]
	if broken && !l.budgetBroken[service] {
		l.counters.BudgetBreaches++
	}
	l.budgetBroken[service] = broken
}

// recordTaskStart records that a worker runs a task. It counts an overlap if the task runs
// on another worker too.
func (l *Ledger) recordTaskStart(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.TaskStarts++
	if l.startedTasks[task] {
		l.counters.JobMoves++
	}
	l.startedTasks[task] = true
	if other, running := l.workerByTask[task]; running && other != worker {
		l.counters.TaskOverlaps++
	}
	l.workerByTask[task] = worker
}

func (l *Ledger) recordTaskStop(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.workerByTask[task] == worker {
		delete(l.workerByTask, task)
	}
}
