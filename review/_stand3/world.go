package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of a small deployment, as SYSTEM.md gives them.
const (
	holdMax     = 10 * time.Second
	stopTime    = 200 * time.Millisecond
	gangTime    = 3 * time.Second
	saveEvery   = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2 * time.Second
	cancelTime  = 3 * time.Second
	visibleTime = 3 * time.Second
	earlyTime   = 250 * time.Millisecond
	touchTime   = 3 * time.Second
	finishTime  = 14 * time.Second
)

// world is all that the stand-ins share, and the record of what was seen.
type world struct {
	mu       sync.Mutex
	began    time.Time
	record   *os.File
	store    *store
	random   *rand.Rand
	machines map[string]*machine
	workers  []*worker
	lives    int
	jobs     map[string]*job
	queues   []queue
	services []service
	version  int
	broken   []string
	cloud    string
	advisor  string
	// disruptedAt is the latest time of a disruption.
	disruptedAt time.Time
	entries     []*entry
	wave        int
	waveMax     int
	// pause is the longest time, in milliseconds, between two jobs of a soak.
	pause int
	// sentTo holds the services that some configuration has sent a queue to, by its prefix.
	sentTo map[string]map[string]bool
	// lapsesCount says that a lease that lapses touchTime after the last disruption counts as a stop.
	lapsesCount bool
	// trafficEnd is zero until the last job has been submitted.
	trafficEnd time.Time
}

type service struct {
	Name     string `json:"name"`
	Enforces bool   `json:"enforcesCapacity"`
	Standby  bool   `json:"standby,omitempty"`
}

type queue struct {
	Name     string          `json:"name"`
	Host     string          `json:"host"`
	Prefix   string          `json:"pathPrefix"`
	Service  string          `json:"service"`
	Timeout  int             `json:"timeoutMs"`
	SLO      int             `json:"sloMs"`
	Priority int             `json:"priority"`
	Attempts int             `json:"attempts"`
	Stretch  float64         `json:"stretch"`
	Advice   *map[string]int `json:"advice,omitempty"`
}

type machine struct {
	name, pool, state, zone string
	labels                  []string
	cap                     resources
	w                       *worker
	fence                   int64
	wave                    int
}

func newWorld(record *os.File, seed uint64) *world {
	w := &world{began: time.Now(), record: record, store: newStore(), random: rand.New(rand.NewPCG(seed, seed)), machines: map[string]*machine{}, jobs: map[string]*job{}, sentTo: map[string]map[string]bool{}}
	return w
}

// logf writes a line to the record, with the seconds since the beginning.
func (w *world) logf(what, format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f %-10s %s\n", time.Since(w.began).Seconds(), what, fmt.Sprintf(format, args...))
}

// wideStep is the number of tasks from which on the runs of a step are not recorded one by one.
const wideStep = 1000

// logRun writes a line about a run.
func (w *world) logRun(t *task, what, format string, args ...any) {
	if t.step.spec.Count < wideStep {
		w.logf(what, format, args...)
	}
}

// violated records a broken rule. The caller holds the lock.
func (w *world) violated(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.logf("BROKEN", "%s", text)
}

func (w *world) disrupt(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disruptedAt = time.Now()
	w.logf("trouble", format, args...)
}

func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("listen", err)
	}
	return l
}

func serve(h http.Handler) string {
	l := listen()
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func respond(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// configure writes the present configuration, and returns once the store has acknowledged it.
func (w *world) configure() {
	w.mu.Lock()
	w.version += 3
	for _, q := range w.queues {
		if w.sentTo[q.Prefix] == nil {
			w.sentTo[q.Prefix] = map[string]bool{}
		}
		w.sentTo[q.Prefix][q.Service] = true
	}
	config := map[string]any{"version": w.version, "routes": w.queues, "services": w.services, "limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 10000, "idleTimeoutMs": 15000}}
	text, _ := json.Marshal(config)
	w.logf("config", "version %d", w.version)
	w.mu.Unlock()
	w.store.put("keyed.op", "config", text)
}

func (w *world) guards(service string) bool {
	for _, s := range w.services {
		if s.Name == service {
			return s.Enforces
		}
	}
	return true
}

func (w *world) standby(pool string) bool {
	for _, s := range w.services {
		if s.Name == pool {
			return s.Standby
		}
	}
	return false
}

func (w *world) addMachine(name, pool, zone, rack string, cap resources, labels ...string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{name: name, pool: pool, state: "up", zone: zone, labels: append([]string{"a", rack}, labels...), cap: cap}
	w.machines[name] = m
	w.bootMachine(m)
	return m
}

// bootMachine starts a new life of a machine's worker. The caller holds the lock.
func (w *world) bootMachine(m *machine) {
	m.state = "up"
	if w.standby(m.pool) {
		return
	}
	w.lives++
	one := &worker{world: w, id: fmt.Sprintf("i-%s-%d", m.name, w.lives), machine: m, service: m.pool, cap: m.cap, labels: m.labels, start: time.Now(), up: true, state: "ready",
		runs: map[string]*run{}, refused: map[string]int64{}, next: 1, changed: make(chan struct{})}
	one.listener = listen()
	one.addr = one.listener.Addr().String()
	one.server = &http.Server{Handler: one}
	go func() { _ = one.server.Serve(one.listener) }()
	m.w = one
	w.workers = append(w.workers, one)
	w.logf("worker", "%s of %s joins %s", one.id, m.name, m.pool)
	w.beat(one)
}

// beat writes a worker's entry to the store. The caller holds the lock.
func (w *world) beat(one *worker) {
	entry := map[string]any{"service": one.service, "addr": one.addr, "zone": one.machine.zone, "version": "1", "slots": 8, "state": one.state, "coldLeftMs": 0, "seq": time.Now().UnixMilli(), "capacity": one.cap, "labels": one.labels, "clockMs": one.clock(time.Now()).Milliseconds()}
	if one.state == "draining" {
		entry["drainRemainingMs"] = 2000
	}
	text, _ := json.Marshal(entry)
	w.store.put("keyed.servers", one.id, text)
}

// endWorker ends a life of a machine: all that runs on it terminates. The caller holds the lock.
func (w *world) endWorker(m *machine, silent bool) {
	one := m.w
	if one == nil {
		return
	}
	now := time.Now()
	one.up = false
	m.w = nil
	close(one.changed)
	one.changed = make(chan struct{})
	for _, r := range one.runs {
		delete(r.t.runs, r)
		r.t.awaySince = now
		if r.gang != nil && !r.gang.over {
			r.gang.over = true
			for _, member := range r.gang.members {
				if member != r && member.w.up {
					member.w.end(member, "broken", now)
				}
			}
		}
	}
	for n := range one.ended {
		if row := one.ended[n].doneRow; row != nil {
			row.void = true
		}
	}
	one.runs, one.sum = map[string]*run{}, resources{}
	w.logf("worker", "%s of %s ends", one.id, m.name)
	go func() { _ = one.server.Close() }()
	remove := func() { w.store.put("keyed.servers", one.id, nil) }
	if silent {
		time.AfterFunc(3*heartbeat, remove)
	} else {
		remove()
	}
}

// crash ends a machine's worker and boots another after a time.
func (w *world) crash(name string, downFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[name]
	if m.w == nil {
		return
	}
	w.disruptedAt = time.Now()
	w.logf("trouble", "worker of %s crashes", name)
	w.endWorker(m, true)
	m.state = "down"
	time.AfterFunc(downFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.state == "down" {
			w.bootMachine(m)
		}
	})
}

// drain makes a worker report that it drains, and ends it some seconds later.
func (w *world) drain(name string, after, downFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[name]
	if m.w == nil || m.w.state != "ready" {
		return
	}
	w.logf("plan", "worker of %s drains", name)
	one := m.w
	one.state, one.drainingAt = "draining", time.Now()
	w.beat(one)
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.w != one {
			return
		}
		w.endWorker(m, false)
		m.state = "down"
		time.AfterFunc(downFor, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if m.state == "down" {
				w.bootMachine(m)
			}
		})
	})
}

// declareWave declares that machines are due for upkeep.
func (w *world) declareWave(names []string, within float64, most int) {
	w.mu.Lock()
	w.wave++
	w.waveMax = most
	number := w.wave
	w.logf("plan", "wave %d: %v, %d at once", number, names, most)
	w.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"wave": number, "machines": names, "completeByS": within, "maxCount": most})
	w.store.put("keyed.op", fmt.Sprintf("wave/%d", number), text)
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			if !strings.Contains(w.store.newestValue("keyed.status", fmt.Sprintf("wave/%d", number)), "done") {
				continue
			}
			w.mu.Lock()
			w.logf("status", "wave %d is said to be done", number)
			for _, name := range names {
				if w.machines[name].wave != number {
					w.violated("MIXED", "wave %d is said to be done, and %s has not begun its upkeep", number, name)
				}
			}
			w.mu.Unlock()
			return
		}
	}()
}

func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/v1/machines" {
		names := []string{}
		for name := range w.machines {
			names = append(names, name)
		}
		sort.Strings(names)
		rows := []any{}
		for _, name := range names {
			m := w.machines[name]
			row := map[string]any{"machine": name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.cap, "id": ""}
			if m.w != nil {
				row["id"] = m.w.id
			}
			rows = append(rows, row)
		}
		respond(rw, http.StatusOK, map[string]any{"machines": rows})
		return
	}
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	fence, _ := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	m := w.machines[body.Machine]
	refuse := func(reason string) { respond(rw, http.StatusConflict, map[string]any{"reason": reason}) }
	switch {
	case m == nil:
		respond(rw, http.StatusBadRequest, map[string]any{})
		return
	case fence < m.fence:
		refuse("fence")
		return
	}
	m.fence = fence
	switch {
	case body.Pool != "" && m.pool == body.Pool, body.Wave != 0 && m.wave == body.Wave:
		respond(rw, http.StatusOK, map[string]any{})
	case m.state != "up":
		refuse("busy")
	case body.Pool != "":
		w.logf("move", "%s to %s", m.name, body.Pool)
		w.takeDown(m, "moving", body.Pool, moveTime)
		respond(rw, http.StatusOK, map[string]any{})
	default:
		down := 0
		for _, other := range w.machines {
			if other.state == "upkeep" {
				down++
			}
		}
		w.logf("upkeep", "%s", m.name)
		if down >= w.waveMax {
			w.violated("LIMIT", "upkeep of %s begins while %d are down", m.name, down)
		}
		m.wave = body.Wave
		w.takeDown(m, "upkeep", m.pool, upkeepTime)
		respond(rw, http.StatusOK, map[string]any{})
	}
}

func (w *world) takeDown(m *machine, state, pool string, d time.Duration) {
	if m.w != nil {
		for _, r := range m.w.runs {
			w.logRun(r.t, "ended by", "%s of %s: %s run %d", state, m.name, r.t.name, r.number)
			w.checkAvail(r, state, time.Now())
		}
	}
	w.endWorker(m, false)
	m.state, m.pool = state, pool
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.bootMachine(m)
	})
}

// serveAdvisor allows two workers in three to run a step.
func (w *world) serveAdvisor(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	time.Sleep(50*time.Millisecond + time.Duration(len(body.Workers))*2*time.Millisecond)
	good := [][2]string{}
	for _, id := range body.Workers {
		if (len(id)+int(id[len(id)-1]))%3 != 0 {
			good = append(good, [2]string{id, "t-" + body.Step + "-" + id})
		}
	}
	respond(rw, http.StatusOK, map[string]any{"good": good, "validMs": 5000})
}

// run ticks the workers and writes their heartbeats.
func (w *world) run() {
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			w.mu.Lock()
			now := time.Now()
			for _, one := range w.workers {
				if one.up {
					w.tickWorker(one, now)
				}
			}
			w.mu.Unlock()
		}
	}()
	go func() {
		for {
			time.Sleep(heartbeat)
			w.mu.Lock()
			for _, one := range w.workers {
				if one.up {
					w.beat(one)
				}
			}
			w.mu.Unlock()
		}
	}()
}

// due reports whether a run may have to end now.
func (r *run) due(now time.Time) bool {
	switch {
	case !r.stopAt.IsZero() && now.After(r.stopAt), r.gang != nil && r.gang.began.IsZero():
		return true
	case r.t.step.spec.LongRunning:
		return false
	}
	done := r.progress(now)
	return done >= r.takes || r.fails && done >= r.takes/2
}

// tickWorker ends what is over on a worker. The caller holds the lock.
func (w *world) tickWorker(one *worker, now time.Time) {
	if now.Sub(one.ticked) < 5*time.Millisecond {
		return
	}
	one.ticked = now
	lapsed := one.clock(now) >= one.lease
	var due []*run
	for _, r := range one.runs {
		if lapsed || r.due(now) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return strings.Compare(a.t.name, b.t.name) })
	if lapsed {
		for n := range one.ended {
			if row := one.ended[n].doneRow; row != nil {
				row.void = true
			}
		}
	}
	for _, r := range due {
		if one.runs[r.t.name] != r {
			continue
		}
		switch {
		case lapsed:
			one.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			one.end(r, "stopped", now)
		case r.gang != nil && r.gang.began.IsZero():
			if now.Sub(r.gang.first) > gangTime {
				if now.Sub(w.disruptedAt) > 10*time.Second && r.t.step.job.cancelAt.IsZero() {
					w.violated("GANG", "%s run %d ends alone, with %d of %d members present", r.t.name, r.number, len(r.gang.members), r.t.step.spec.Count)
				}
				one.end(r, "alone", now)
			}
		case r.t.step.spec.LongRunning:
		case r.fails && r.progress(now) >= r.takes/2:
			one.end(r, "failed", now)
		case r.progress(now) >= r.takes:
			one.end(r, "done", now)
		}
	}
}
