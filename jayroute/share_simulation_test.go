package jayroute

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// This file compares strategies for sharing a worker's slots among entries that do
// not see each other's load. It is a simulation with queues, not a cluster: ten
// workers of eight slots, eight entries, Poisson arrivals and exponential service
// times.

// sharing is a strategy for sharing slots.
type sharing int

const (
	// staticShares gives each entry a fixed part of every worker's slots.
	staticShares sharing = iota
	// localTwo picks the less loaded of two random workers by the entry's own load
	// only.
	localTwo
	// peerTwo adds the load that the other entries reported in the last heartbeat.
	peerTwo
	// leasedSlots requests a slot from a broker per worker.
	leasedSlots
)

var sharingNames = [...]string{"staticShares", "localTwo", "peerTwo", "leasedSlots"}

const (
	simEntries   = 8
	simWorkers   = 10
	simSlots     = 8
	simService   = 20 * time.Millisecond
	simQueueTime = 500 * time.Millisecond
	simLength    = 20 * time.Second
	simHeartbeat = 200 * time.Millisecond
	simBroker    = 3 * time.Millisecond
	simTries     = 3
)

// trial is one cell of the result table.
type trial struct {
	sharing sharing
	load    float64
	// slow makes worker 0 ten times slower.
	slow bool
	// lost ends entry 0 after a quarter of the time. Its callers move to the other
	// entries, and its shares are redistributed after three seconds.
	lost bool
}

type simJob struct {
	entry   int
	arrived time.Duration
	tries   int
}

type simEvent struct {
	at     time.Duration
	kind   int
	job    simJob
	worker int
}

const (
	arrive = iota
	finish
	heartbeat
	loseEntry
	redistribute
	retryJob
)

type events []simEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simulation struct {
	trial
	random   *rand.Rand
	now      time.Duration
	events   events
	busy     [simWorkers]int
	local    [simEntries][simWorkers]int
	reported [simEntries][simWorkers]int
	waiting  [simEntries][]simJob
	members  []string
	dead     bool
	latency  []time.Duration
	refused  int
	overruns int
	sent     int
}

func (t trial) run() *simulation {
	m := &simulation{trial: t, random: rand.New(rand.NewPCG(1, uint64(t.sharing)))}
	for n := range simEntries {
		m.members = append(m.members, fmt.Sprint("e", n))
	}
	capacity := float64(simWorkers*simSlots) / simService.Seconds()
	m.arrivals(capacity * t.load)
	for at := time.Duration(0); at < simLength; at += simHeartbeat {
		m.at(at, simEvent{kind: heartbeat})
	}
	if t.lost {
		m.at(simLength/4, simEvent{kind: loseEntry})
		m.at(simLength/4+3*time.Second, simEvent{kind: redistribute})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		m.handle(e)
	}
	return m
}

func (m *simulation) arrivals(perSecond float64) {
	at := 0.0
	for {
		at += m.random.ExpFloat64() / perSecond
		when := time.Duration(at * float64(time.Second))
		if when > simLength {
			return
		}
		m.sent++
		m.at(when, simEvent{kind: arrive, job: simJob{entry: m.random.IntN(simEntries), arrived: when}})
	}
}

func (m *simulation) at(when time.Duration, e simEvent) {
	e.at = when
	heap.Push(&m.events, e)
}

func (m *simulation) handle(e simEvent) {
	switch e.kind {
	case arrive, retryJob:
		if m.dead && e.job.entry == 0 {
			e.job.entry = 1 + m.random.IntN(simEntries-1)
		}
		m.waiting[e.job.entry] = append(m.waiting[e.job.entry], e.job)
		m.dispatch(e.job.entry)
	case finish:
		m.busy[e.worker]--
		m.local[e.job.entry][e.worker]--
		m.latency = append(m.latency, m.now-e.job.arrived)
		m.dispatch(e.job.entry)
		if m.sharing == leasedSlots {
			for n := range simEntries {
				m.dispatch(n)
			}
		}
	case heartbeat:
		m.reported = m.local
	case loseEntry:
		m.dead = true
		m.refused += len(m.waiting[0])
		m.waiting[0] = nil
	case redistribute:
		m.members = m.members[1:]
	}
}

func (m *simulation) dispatch(entry int) {
	for len(m.waiting[entry]) > 0 {
		job := m.waiting[entry][0]
		if m.now-job.arrived > simQueueTime {
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

func (m *simulation) start(job simJob, worker int) {
	if m.busy[worker] >= simSlots {
		m.overruns++
		job.tries++
		if job.tries >= simTries {
			m.refused++
			return
		}
		m.at(m.now+2*time.Millisecond, simEvent{kind: retryJob, job: job})
		return
	}
	m.busy[worker]++
	m.local[job.entry][worker]++
	took := time.Duration(m.random.ExpFloat64() * float64(simService))
	if m.slow && worker == 0 {
		took *= 10
	}
	if m.sharing == leasedSlots {
		took += simBroker
	}
	m.at(m.now+took, simEvent{kind: finish, job: job, worker: worker})
}

func (m *simulation) choose(entry int) int {
	if m.sharing == staticShares {
		return m.bestOf(entry, simWorkers)
	}
	return m.bestOf(entry, 2)
}

func (m *simulation) bestOf(entry, samples int) int {
	best, bestLoad := -1, 0
	for _, worker := range m.random.Perm(simWorkers)[:samples] {
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

// loadAt returns a worker's load as the entry estimates it, and the load at which
// the entry considers the worker full.
func (m *simulation) loadAt(entry, worker int) (load, limit int) {
	switch m.sharing {
	case staticShares:
		return m.local[entry][worker], Share(simSlots, fmt.Sprint("w", worker), fmt.Sprint("e", entry), m.members)
	case localTwo:
		return m.local[entry][worker], simSlots
	case peerTwo:
		load = m.local[entry][worker]
		for other := range simEntries {
			if other != entry {
				load += m.reported[other][worker]
			}
		}
		return load, simSlots
	default:
		return m.busy[worker], simSlots
	}
}

// BenchmarkSlotSharing reports, for each strategy and load, the goodput as a share
// of capacity, the p99 latency, the refusals and the overruns counted at the
// workers.
func BenchmarkSlotSharing(b *testing.B) {
	capacity := float64(simWorkers*simSlots) / simService.Seconds()
	cases := []trial{{load: 0.5}, {load: 0.9}, {load: 1.2}, {load: 2}, {load: 0.9, slow: true}, {load: 0.9, lost: true}}
	for _, c := range cases {
		for s := range sharingNames {
			c.sharing = sharing(s)
			b.Run(fmt.Sprintf("load %.1f slow %t lost %t/%s", c.load, c.slow, c.lost, sharingNames[s]), func(b *testing.B) {
				var m *simulation
				for b.Loop() {
					m = c.run()
				}
				slices.Sort(m.latency)
				b.ReportMetric(float64(len(m.latency))/simLength.Seconds()/capacity, "goodput")
				b.ReportMetric(float64(m.latency[len(m.latency)*99/100].Milliseconds()), "p99ms")
				b.ReportMetric(100*float64(m.refused)/float64(m.sent), "refused%")
				b.ReportMetric(100*float64(m.overruns)/float64(m.sent), "overruns%")
			})
		}
	}
}
