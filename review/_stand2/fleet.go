package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeatTime = 1500 * time.Millisecond

// fleet is the platform's machines with their workers, and its inventory.
type fleet struct {
	store  *storeServer
	record *record
	addr   string
	// quiet holds the jobs whose runs are not written to the record one by one.
	quiet map[string]bool

	mu     sync.Mutex
	hosts  []*host
	births int
	jobs   map[string][]stepNeed
	runs   []*seenRun
	active map[*run]*seenRun
	gangs  map[string]*gang
}

// stepNeed is what a task of a step needs, and the number of the tasks if they are a gang.
type stepNeed struct {
	cpu, mem int64
	gang     int
}

// host is a machine.
type host struct {
	name, pool, zone, rack, state string
	cpu, mem                      int64
	worker                        *worker
	fence                         int64
}

// seenRun is a run as its worker saw it.
type seenRun struct {
	task, worker, how string
	startedWith       string
	number            int64
	began, ended      time.Duration
	acked             time.Duration
}

func newFleet(s *storeServer, r *record) (*fleet, error) {
	f := &fleet{store: s, record: r, quiet: map[string]bool{}, jobs: map[string][]stepNeed{}, active: map[*run]*seenRun{}, gangs: map[string]*gang{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(f.inventory)) }()
	go f.heartbeats()
	go f.leases()
	return f, nil
}

// declare makes a job's needs known to the workers.
func (f *fleet) declare(id string, needs []stepNeed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = needs
}

func (f *fleet) need(task string) (known bool, cpu, mem int64) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return false, 0, 0
	}
	step, _ := strconv.Atoi(parts[2])
	f.mu.Lock()
	defer f.mu.Unlock()
	needs := f.jobs[parts[0]]
	if step >= len(needs) {
		return false, 0, 0
	}
	return true, needs[step].cpu, needs[step].mem
}

func (f *fleet) add(name, pool, zone, rack string, cpu, mem int64) error {
	h := &host{name: name, pool: pool, zone: zone, rack: rack, state: "up", cpu: cpu, mem: mem}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	return f.boot(h)
}

// boot starts a worker on a machine.
func (f *fleet) boot(h *host) error {
	f.mu.Lock()
	f.births++
	w := &worker{
		id: fmt.Sprintf("i-%s-%d", h.name, f.births), machine: h.name, pool: h.pool, zone: h.zone, rack: h.rack, cpu: h.cpu, mem: h.mem,
		born: time.Now().UnixMilli(), fleet: f, start: time.Now(), runs: map[string]*run{}, old: map[string]int64{}, next: 1, changed: make(chan struct{}),
	}
	f.mu.Unlock()
	if h.pool == "standby" {
		h.state = "up"
		return nil
	}
	if err := w.serve(); err != nil {
		return err
	}
	f.mu.Lock()
	h.worker, h.state = w, "up"
	f.mu.Unlock()
	f.store.Put("keyed.servers", w.id, w.heartbeat())
	return nil
}

// crash kills the worker of a machine, and starts another one after a while. The entry of the lost one
// expires after three heartbeats.
func (f *fleet) crash(h *host, down time.Duration) {
	f.mu.Lock()
	w := h.worker
	h.worker, h.state = nil, "down"
	f.mu.Unlock()
	f.record.add("platform: worker %s crashes", w.id)
	w.kill()
	time.AfterFunc(3*heartbeatTime, func() { f.store.Remove("keyed.servers", w.id) })
	time.AfterFunc(down, func() { _ = f.boot(h) })
}

func (f *fleet) workers() []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*worker
	for _, h := range f.hosts {
		if h.worker != nil {
			list = append(list, h.worker)
		}
	}
	return list
}

func (f *fleet) heartbeats() {
	for {
		time.Sleep(heartbeatTime)
		for _, w := range f.workers() {
			f.store.Put("keyed.servers", w.id, w.heartbeat())
		}
	}
}

// leases ends what runs beyond the leases of the workers.
func (f *fleet) leases() {
	for {
		time.Sleep(20 * time.Millisecond)
		for _, w := range f.workers() {
			w.mu.Lock()
			w.expire()
			w.mu.Unlock()
		}
	}
}

func (f *fleet) inventory(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/v1/machines" {
		f.list(out)
		return
	}
	var body struct {
		Machine, Pool string
		Wave          int64
	}
	if err := json.NewDecoder(in.Body).Decode(&body); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(in.Header.Get("X-Fence-Token"), 10, 64)
	f.mu.Lock()
	at := slices.IndexFunc(f.hosts, func(h *host) bool { return h.name == body.Machine })
	if at < 0 {
		f.mu.Unlock()
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	h := f.hosts[at]
	reason := ""
	switch {
	case fence < h.fence:
		reason = "fence"
	case h.pool == body.Pool && body.Pool != "":
		f.mu.Unlock()
		return
	case h.state != "up":
		reason = "busy"
	}
	if reason != "" {
		f.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(out).Encode(map[string]any{"reason": reason})
		return
	}
	h.fence = fence
	w := h.worker
	h.worker, h.state = nil, "moving"
	f.mu.Unlock()
	f.record.add("inventory: machine %s goes from %s to %s, by %s", h.name, h.pool, body.Pool, in.Header.Get("X-Lease-Holder"))
	if w != nil {
		w.kill()
		f.store.Remove("keyed.servers", w.id)
	}
	time.AfterFunc(1500*time.Millisecond, func() {
		f.mu.Lock()
		if body.Pool != "" {
			h.pool = body.Pool
		}
		f.mu.Unlock()
		_ = f.boot(h)
	})
}

func (f *fleet) list(out http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []any{}
	for _, h := range f.hosts {
		id := ""
		if h.worker != nil {
			id = h.worker.id
		}
		rows = append(rows, map[string]any{"machine": h.name, "pool": h.pool, "state": h.state, "zone": h.zone, "labels": []string{"a", h.rack}, "capacity": map[string]any{"cpu": h.cpu, "memMb": h.mem, "gpu": 0}, "id": id})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (f *fleet) begun(w *worker, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &seenRun{task: r.task, worker: w.id, number: r.number, startedWith: r.startedWith, began: f.record.at()}
	f.runs = append(f.runs, s)
	f.active[r] = s
	if !f.quiet[jobOf(r.task)] {
		f.record.add("worker %s: starts %s run %d%s", w.id, r.task, r.number, with(r.startedWith))
	}
}

func (f *fleet) ended(w *worker, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.active[r]; s != nil {
		s.ended, s.how = f.record.at(), how
		delete(f.active, r)
	}
	if !f.quiet[jobOf(r.task)] {
		f.record.add("worker %s: %s run %d ends: %s", w.id, r.task, r.number, how)
	}
}

func (f *fleet) acknowledged(w *worker, e endRow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.runs {
		if s.task == e.task && s.number == e.run && s.worker == w.id {
			s.acked = f.record.at()
		}
	}
	if !f.quiet[jobOf(e.task)] {
		f.record.add("worker %s: the end of %s run %d is taken note of", w.id, e.task, e.run)
	}
}

// runsOf returns the runs of a job's tasks.
func (f *fleet) runsOf(id string) []seenRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []seenRun
	for _, s := range f.runs {
		if jobOf(s.task) == id {
			list = append(list, *s)
		}
	}
	return list
}

// with describes the checkpoint of a start.
func with(saved string) string {
	if saved == "" {
		return ""
	}
	return " with saved " + saved
}
