package jaystandin

import (
	"sync"
	"time"
)

// Ledger counts what the workers saw. It is the judge of the promises.
type Ledger struct {
	mu         sync.Mutex
	runsByKey  map[string]int
	runsOf     map[string]int
	pools      map[string]poolUse
	minimum    map[string]int
	breached   map[string]bool
	leftAt     map[string]time.Time
	counters   Counters
	instanceOf map[string]string
	started    map[string]bool
}

// Counters are the figures of the ledger.
type Counters struct {
	Runs           int `json:"runs"`
	DoubledRuns    int `json:"doubledRuns"`
	CutByStop      int `json:"cutByStop"`
	BudgetBreaches int `json:"budgetBreaches"`
	PoolOverlaps   int `json:"poolOverlaps"`
	SlotOverruns   int `json:"slotOverruns"`
	// LateWork counts requests that reached a worker more than two seconds
	// after it was told to leave.
	LateWork      int `json:"lateWork"`
	TaskOverlaps  int `json:"taskOverlaps"`
	TaskStarts    int `json:"taskStarts"`
	Reboots       int `json:"reboots"`
	InstanceMoves int `json:"instanceMoves"`
	// JobMoves counts starts of a task that had run before.
	JobMoves int `json:"jobMoves"`
}

type poolUse struct {
	current  string
	inFlight int
	left     map[string]bool
}

// leaveBound is within which a leaving worker must see no new work.
const leaveBound = 2 * time.Second

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runsByKey:  map[string]int{},
		runsOf:     map[string]int{},
		pools:      map[string]poolUse{},
		minimum:    map[string]int{},
		breached:   map[string]bool{},
		leftAt:     map[string]time.Time{},
		instanceOf: map[string]string{},
		started:    map[string]bool{},
	}
}

// Counters returns the figures so far.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// RunsOf returns how often the request of one sending ran.
func (l *Ledger) RunsOf(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runsOf[attempt]
}

// SetMinimum notes how many workers of a service must stay available.
func (l *Ledger) SetMinimum(service string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minimum[service] = n
}

func (l *Ledger) count(change func(c *Counters)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counters)
}

// ran notes that a worker ran a request.
func (l *Ledger) ran(attempt, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Runs++
	l.runsOf[attempt]++
	if key == "" {
		return
	}
	l.runsByKey[key]++
	if l.runsByKey[key] == 2 {
		l.counters.DoubledRuns++
	}
}

// enterPool notes a request of a pool at a worker. A worker that serves two
// pools at once, or one that it has left, is an overlap.
func (l *Ledger) enterPool(worker, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, known := l.pools[worker]
	if !known {
		u = poolUse{current: pool, left: map[string]bool{}}
	}
	if u.current != pool {
		if u.inFlight > 0 || u.left[pool] {
			l.counters.PoolOverlaps++
		}
		u.left[u.current] = true
		u.current = pool
		l.counters.InstanceMoves++
	}
	u.inFlight++
	l.pools[worker] = u
}

func (l *Ledger) leavePool(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.pools[worker]
	u.inFlight--
	l.pools[worker] = u
}

// judgeBudget compares a service's available workers with its minimum. A
// breach counts once until the budget holds again.
func (l *Ledger) judgeBudget(service string, available int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := available < l.minimum[service]
	if broken && !l.breached[service] {
		l.counters.BudgetBreaches++
	}
	l.breached[service] = broken
}

// startTask notes that a worker runs a task; a task on two workers overlaps.
func (l *Ledger) startTask(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.TaskStarts++
	if l.started[task] {
		l.counters.JobMoves++
	}
	l.started[task] = true
	if other, running := l.instanceOf[task]; running && other != worker {
		l.counters.TaskOverlaps++
	}
	l.instanceOf[task] = worker
}

func (l *Ledger) stopTask(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.instanceOf[task] == worker {
		delete(l.instanceOf, task)
	}
}
