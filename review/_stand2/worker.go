package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as in the bounds of the site mesob-enrol.
const (
	maxLease    = 10 * time.Second
	stopTime    = 100 * time.Millisecond // at most stopMs
	saveTime    = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	maxEnds     = 500
)

// taskSpec is the text of a job. Task n takes Base and n times Gap if n is below Short, and Long
// otherwise. All are in milliseconds.
type taskSpec struct {
	Short int   `json:"short"`
	Base  int64 `json:"base"`
	Gap   int64 `json:"gap"`
	Long  int64 `json:"long"`
	Saves bool  `json:"saves"`
}

// worker is a sound worker as PROTOCOL.md describes it, with orders by calls.
type worker struct {
	id, machine, pool, zone, rack string
	cpu, mem                      int64
	born                          int64
	addr                          string
	fleet                         *fleet
	start                         time.Time

	mu      sync.Mutex
	killed  bool
	fence   int64
	lease   time.Duration
	runs    map[string]*run
	old     map[string]int64
	ended   []endRow
	next    int64
	changed chan struct{}
	usedCPU int64
	usedMem int64
	// Until slowUntil, work takes slowFactor times as long.
	slowUntil  time.Time
	slowFactor float64
	seq        int64
	server     *http.Server
}

type run struct {
	task     string
	number   int64
	spec     string
	cpu, mem int64
	began    time.Time
	worked   time.Duration // the work that the checkpoint it was started with stands for
	resumed  bool
	saves    bool
	// startedWith is the checkpoint that the start carried.
	startedWith string
	timer       *time.Timer
	gang        *gang
	endsAt      time.Time
	stopping    bool
}

type endRow struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

func (w *worker) clock() time.Duration { return time.Since(w.start) }

// saved returns the checkpoint of a run: 16 hexadecimal digits, as in the example of the page. The first
// eight are the milliseconds of work that it stands for.
func (r *run) saved() string {
	if !r.saves {
		return ""
	}
	if r.gang != nil {
		return r.gang.saved()
	}
	work := r.worked + r.work()
	work -= work % saveTime
	if work <= 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task))
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), h.Sum32())
}

func (r *run) work() time.Duration {
	work := time.Since(r.began)
	if r.resumed {
		work -= restoreTime
	}
	return max(0, work)
}

func parseSaved(saved string) time.Duration {
	if len(saved) != 16 {
		return 0
	}
	n, err := strconv.ParseInt(saved[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

func (w *worker) serve() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr = listener.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

type order struct {
	Task   string `json:"task"`
	Run    int64  `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"untilMs"`
	Fence  int64  `json:"fence"`
	Saved  string `json:"saved"`
	Cursor int64  `json:"ackCursor"`
	Wait   int64  `json:"waitMs"`
}

func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed || in.Header.Get("X-Target-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		w.refuse(out, "fence")
		return
	}
	w.fence = o.Fence
	w.expire()
	switch in.URL.Path {
	case "/v1/run-start":
		w.startRun(out, o)
	case "/v1/run-stop":
		w.stopRun(out, o)
	case "/v1/hold":
		w.hold(out, o)
	case "/v1/pace":
		w.ok(out)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) write(out http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = w.clock().Milliseconds()
	body["born"] = w.born
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	w.write(out, http.StatusConflict, map[string]any{"reason": reason})
}

func (w *worker) ok(out http.ResponseWriter) { w.write(out, http.StatusOK, map[string]any{}) }

func (w *worker) extend(until int64) {
	lease := min(time.Duration(until)*time.Millisecond, w.clock()+maxLease)
	w.lease = max(w.lease, lease)
}

// expire ends what runs beyond the lease. The caller holds the lock.
func (w *worker) expire() {
	if w.lease == 0 || w.clock() < w.lease {
		return
	}
	for _, r := range w.runs {
		w.end(r, "lapsed")
	}
}

func (w *worker) startRun(out http.ResponseWriter, o order) {
	job, cpu, mem := w.fleet.need(o.Task)
	present := w.runs[o.Task]
	switch {
	case !job || o.Task == "":
		out.WriteHeader(http.StatusBadRequest)
	case present != nil && present.number == o.Run:
		w.extend(o.Until)
		w.ok(out)
	case present != nil || o.Run <= w.old[o.Task]:
		w.extend(o.Until)
		w.refuse(out, "old")
	case time.Duration(o.Until)*time.Millisecond <= w.clock():
		w.refuse(out, "late")
	case w.usedCPU+cpu > w.cpu || w.usedMem+mem > w.mem:
		w.extend(o.Until)
		w.refuse(out, "room")
	default:
		w.extend(o.Until)
		w.begin(o, cpu, mem)
		w.ok(out)
	}
}

func (w *worker) begin(o order, cpu, mem int64) {
	r := &run{task: o.Task, number: o.Run, spec: o.Spec, cpu: cpu, mem: mem, began: time.Now()}
	var s taskSpec
	_ = json.Unmarshal([]byte(o.Spec), &s)
	r.saves = s.Saves
	index, _ := strconv.ParseInt(o.Task[strings.LastIndexByte(o.Task, '.')+1:], 10, 64)
	takes := s.Long
	if index < int64(s.Short) {
		takes = s.Base + index*s.Gap
	}
	left := time.Duration(takes) * time.Millisecond
	if o.Saved != "" {
		r.resumed, r.worked = true, parseSaved(o.Saved)
		left += restoreTime - r.worked
	}
	w.runs[o.Task] = r
	w.usedCPU += cpu
	w.usedMem += mem
	r.startedWith = o.Saved
	w.fleet.begun(w, r)
	if w.fleet.joinGang(w, r, left) {
		return
	}
	left = w.slowed(left)
	r.endsAt = time.Now().Add(left)
	r.timer = time.AfterFunc(left, func() { w.endLater(r, "done") })
}

// slowed returns how long some work takes from now on. The caller holds the lock.
func (w *worker) slowed(left time.Duration) time.Duration {
	window := time.Until(w.slowUntil)
	if window <= 0 {
		return left
	}
	if all := time.Duration(float64(left) * w.slowFactor); all <= window {
		return all
	}
	return window + left - time.Duration(float64(window)/w.slowFactor)
}

// slow makes all work take longer for a while.
func (w *worker) slow(factor float64, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowFactor, w.slowUntil = factor, time.Now().Add(lasts)
	for _, r := range w.runs {
		if !r.stopping && r.timer.Stop() {
			left := w.slowed(time.Until(r.endsAt))
			r.endsAt = time.Now().Add(left)
			r.timer = time.AfterFunc(left, func() { w.endLater(r, "done") })
		}
	}
}

func (w *worker) endLater(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.killed || w.runs[r.task] != r {
		return
	}
	w.expire()
	if w.runs[r.task] == r {
		w.end(r, how)
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.usedCPU -= r.cpu
	w.usedMem -= r.mem
	w.old[r.task] = max(w.old[r.task], r.number)
	saved := r.saved()
	if how == "done" || how == "failed" {
		saved = ""
	}
	w.ended = append(w.ended, endRow{w.next, r.task, r.number, how, saved})
	w.next++
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.ended(w, r, how)
	if r.gang != nil {
		go r.gang.memberEnded(r, how)
	}
}

func (w *worker) stopRun(out http.ResponseWriter, o order) {
	w.old[o.Task] = max(w.old[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() { w.endLater(r, "stopped") })
	}
	w.ok(out)
}

func (w *worker) hold(out http.ResponseWriter, o order) {
	if o.Until > 0 {
		w.extend(o.Until)
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.Cursor {
		w.fleet.acknowledged(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && !w.killed && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Until(until), 100*time.Millisecond)):
		}
		w.mu.Lock()
		w.expire()
	}
	if w.killed {
		panic(http.ErrAbortHandler)
	}
	active, ended := make([]any, 0, len(w.runs)), []any{}
	for _, r := range w.runs {
		active = append(active, []any{r.task, r.number, r.saved(), 100, r.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	w.write(out, http.StatusOK, map[string]any{"active": active, "ended": ended})
}

// kill ends the worker at once, as a crash does.
func (w *worker) kill() {
	w.mu.Lock()
	w.killed = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.fleet.ended(w, r, "lost with its worker")
		if r.gang != nil {
			go r.gang.memberEnded(r, "lost")
		}
	}
	w.runs = map[string]*run{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) heartbeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.pool, "addr": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": w.seq,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack}, "clockMs": w.clock().Milliseconds(), "born": w.born,
	}
}
