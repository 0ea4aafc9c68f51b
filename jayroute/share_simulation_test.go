package jayroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file compares ways to share a worker's slots among entries that do not
// see each other's load. It is a calculation over queues, not a cluster: ten
// workers of eight slots, eight entries, Poisson arrivals, exponential times.

// sharing is a way to share slots.
type sharing int

const (
	// staticShares gives each entry its own part of every worker's slots.
	staticShares sharing = iota
	// localTwo picks the better of two workers by the entry's own load only.
	localTwo
	// peerTwo adds the other entries' load as of the last heartbeat.
	peerTwo
	// leasedSlots asks one broker for each worker for a slot.
	leasedSlots
)

var sharingNames = [...]string{"staticShares", "localTwo", "peerTwo", "leasedSlots"}

const (
	tableEntries   = 8
	tableWorkers   = 10
	tableSlots     = 8
	tableService   = 20 * time.Millisecond
	tableQueueTime = 500 * time.Millisecond
	tableLength    = 20 * time.Second
	tableHeartbeat = 200 * time.Millisecond
	tableBroker    = 3 * time.Millisecond
	tableTries     = 3
)

// trial is one cell of the table.
type trial struct {
	sharing sharing
	load    float64
	// slow makes worker 0 ten times slower.
	slow bool
	// lost ends entry 0 after a quarter of the time. Its callers go to the
	// others; its shares come back after three seconds.
	lost bool
}

type tableJob struct {
	entry   int
	arrived time.Duration
	tries   int
}

type tableEvent struct {
	at     time.Duration
	kind   int
	job    tableJob
	worker int
}

const (
	arrive = iota
	finish
	beat
	lose
	heal
	retryJob
)

type events []tableEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(tableEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type table struct {
	trial
	random   *rand.Rand
	now      time.Duration
	events   events
	busy     [tableWorkers]int
	local    [tableEntries][tableWorkers]int
	beaten   [tableEntries][tableWorkers]int
	waiting  [tableEntries][]tableJob
	members  []string
	dead     bool
	latency  []time.Duration
	refused  int
	overruns int
	sent     int
}

func (t trial) run() *table {
	m := &table{trial: t, random: rand.New(rand.NewPCG(1, uint64(t.sharing)))}
	for n := range tableEntries {
		m.members = append(m.members, fmt.Sprint("e", n))
	}
	capacity := float64(tableWorkers*tableSlots) / tableService.Seconds()
	m.arrivals(capacity * t.load)
	for at := time.Duration(0); at < tableLength; at += tableHeartbeat {
		m.at(at, tableEvent{kind: beat})
	}
	if t.lost {
		m.at(tableLength/4, tableEvent{kind: lose})
		m.at(tableLength/4+3*time.Second, tableEvent{kind: heal})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(tableEvent)
		m.now = e.at
		m.handle(e)
	}
	return m
}

func (m *table) arrivals(perSecond float64) {
	at := 0.0
	for {
		at += m.random.ExpFloat64() / perSecond
		when := time.Duration(at * float64(time.Second))
		if when > tableLength {
			return
		}
		m.sent++
		m.at(when, tableEvent{kind: arrive, job: tableJob{entry: m.random.IntN(tableEntries), arrived: when}})
	}
}

func (m *table) at(when time.Duration, e tableEvent) {
	e.at = when
	heap.Push(&m.events, e)
}

func (m *table) handle(e tableEvent) {
	switch e.kind {
	case arrive, retryJob:
		if m.dead && e.job.entry == 0 {
			e.job.entry = 1 + m.random.IntN(tableEntries-1)
		}
		m.waiting[e.job.entry] = append(m.waiting[e.job.entry], e.job)
		m.dispatch(e.job.entry)
	case finish:
		m.busy[e.worker]--
		m.local[e.job.entry][e.worker]--
		m.latency = append(m.latency, m.now-e.job.arrived)
		m.dispatch(e.job.entry)
		if m.sharing == leasedSlots {
			for n := range tableEntries {
				m.dispatch(n)
			}
		}
	case beat:
		m.beaten = m.local
	case lose:
		m.dead = true
		m.refused += len(m.waiting[0])
		m.waiting[0] = nil
	case heal:
		m.members = m.members[1:]
	}
}

func (m *table) dispatch(entry int) {
	for len(m.waiting[entry]) > 0 {
		job := m.waiting[entry][0]
		if m.now-job.arrived > tableQueueTime {
			m.waiting[entry] = m.waiting[entry][1:]
			m.refused++
			continue
		}
		worker := m.choose(entry)
		if worker < 0 {
			return
		}
		m.waiting[entry] = m.waiting[entry][1:]
		m.start(job, worker)
	}
}

func (m *table) start(job tableJob, worker int) {
	if m.busy[worker] >= tableSlots {
		m.overruns++
		job.tries++
		if job.tries >= tableTries {
			m.refused++
			return
		}
		m.at(m.now+2*time.Millisecond, tableEvent{kind: retryJob, job: job})
		return
	}
	m.busy[worker]++
	m.local[job.entry][worker]++
	took := time.Duration(m.random.ExpFloat64() * float64(tableService))
	if m.slow && worker == 0 {
		took *= 10
	}
	if m.sharing == leasedSlots {
		took += tableBroker
	}
	m.at(m.now+took, tableEvent{kind: finish, job: job, worker: worker})
}

func (m *table) choose(entry int) int {
	if m.sharing == staticShares {
		return m.bestOf(entry, tableWorkers)
	}
	return m.bestOf(entry, 2)
}

func (m *table) bestOf(entry, samples int) int {
	best, bestLoad := -1, 0
	for _, worker := range m.random.Perm(tableWorkers)[:samples] {
		load, limit := m.loadAt(entry, worker)
		if load >= limit {
			continue
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = worker, load
		}
	}
	return best
}

// loadAt returns the load that the entry takes a worker to have, and what it
// takes to be full.
func (m *table) loadAt(entry, worker int) (load, limit int) {
	switch m.sharing {
	case staticShares:
		return m.local[entry][worker], Share(tableSlots, fmt.Sprint("w", worker), fmt.Sprint("e", entry), m.members)
	case localTwo:
		return m.local[entry][worker], tableSlots
	case peerTwo:
		load = m.local[entry][worker]
		for other := range tableEntries {
			if other != entry {
				load += m.beaten[other][worker]
			}
		}
		return load, tableSlots
	default:
		return m.busy[worker], tableSlots
	}
}

// BenchmarkSlotSharing prints the table: goodput as a share of capacity, p99,
// refusals and overruns as the workers count them.
func BenchmarkSlotSharing(b *testing.B) {
	capacity := float64(tableWorkers*tableSlots) / tableService.Seconds()
	cases := []trial{{load: 0.5}, {load: 0.9}, {load: 1.2}, {load: 2}, {load: 0.9, slow: true}, {load: 0.9, lost: true}}
	for _, c := range cases {
		for s := range sharingNames {
			c.sharing = sharing(s)
			b.Run(fmt.Sprintf("load %.1f slow %t lost %t/%s", c.load, c.slow, c.lost, sharingNames[s]), func(b *testing.B) {
				var m *table
				for b.Loop() {
					m = c.run()
				}
				slices.Sort(m.latency)
				b.ReportMetric(float64(len(m.latency))/tableLength.Seconds()/capacity, "goodput")
				b.ReportMetric(float64(m.latency[len(m.latency)*99/100].Milliseconds()), "p99ms")
				b.ReportMetric(100*float64(m.refused)/float64(m.sent), "refused%")
				b.ReportMetric(100*float64(m.overruns)/float64(m.sent), "overruns%")
			})
		}
	}
}
