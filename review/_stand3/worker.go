package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// resources are what a task needs and what a worker has.
type resources struct {
	CPU int64 `json:"cpu,omitempty"`
	Mem int64 `json:"memMb,omitempty"`
	GPU int64 `json:"gpu,omitempty"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.Mem + o.Mem, r.GPU + o.GPU}
}

func (r resources) minus(o resources) resources {
	return resources{r.CPU - o.CPU, r.Mem - o.Mem, r.GPU - o.GPU}
}

func (r resources) fits(o resources) bool {
	return o.CPU <= r.CPU && o.Mem <= r.Mem && o.GPU <= r.GPU
}

// worker is one life of a machine that runs tasks. All fields are guarded by the world's lock.
type worker struct {
	world   *world
	id      string
	machine *machine
	service string
	addr    string
	cap     resources
	labels  []string
	start   time.Time
	up      bool
	// state is ready or draining, as the worker reports it; drainingAt is when the store accepted it.
	state      string
	drainingAt time.Time
	fence      int64
	lease      time.Duration
	runs       map[string]*run
	refused    map[string]int64
	ended      []ending
	sum        resources // of the runs
	ticked     time.Time
	next       int64
	changed    chan struct{}
	listener   net.Listener
	server     *http.Server
	// muteUntil is until when the worker answers nothing and carries nothing out.
	muteUntil time.Time
	// loseOrders is how many further start orders get no answer and are not carried out.
	loseStarts int
	// slow multiplies the time of what starts here.
	slow float64
	// failAll makes all that starts here fail.
	failAll bool
	// lateShare is the share of the orders that get no answer and are carried out seconds later.
	lateShare float64
	lateUntil time.Time
	late      bool
}

// run is a run of a task on a worker.
type run struct {
	w        *worker
	t        *task
	number   int64
	fence    int64
	begun    time.Time
	resumed  time.Duration // progress at its start
	ready    time.Time     // when its work begins
	takes    time.Duration
	fails    bool
	stopAt   time.Time
	gang     *gangRun
	lastSave time.Duration
}

// gangRun is the members of one run of a gang that are present.
type gangRun struct {
	members map[int]*run
	first   time.Time
	began   time.Time
	over    bool
}

type ending struct {
	n       int64
	t       *task
	run     int64
	how     string
	saved   string
	listed  time.Time
	doneRow *taskEnd
}

func (w *worker) clock(now time.Time) time.Duration { return now.Sub(w.start) }

func (w *worker) used() resources { return w.sum }

type order struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"untilMs"`
	Fence   int64  `json:"fence"`
	Saved   string `json:"saved"`
	Ticket  string `json:"ticket"`
	Ack     int64  `json:"ackCursor"`
	WaitMs  int64  `json:"waitMs"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	world := w.world
	world.mu.Lock()
	if !w.up {
		world.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if time.Now().Before(w.muteUntil) {
		world.mu.Unlock()
		silence(r)
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != w.id {
		world.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		world.mu.Unlock()
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	w.world.tickWorker(w, now)
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if now.Before(w.lateUntil) && (r.URL.Path == "/v1/run-start" || r.URL.Path == "/v1/run-stop") && world.random.Float64() < w.lateShare {
		after := 2*time.Second + time.Duration(world.random.IntN(10000))*time.Millisecond
		path := r.URL.Path
		world.logf("late", "worker %s %s %s run %d, carried out after %v", w.id, path, o.Task, o.Run, after)
		time.AfterFunc(after, func() { w.carryOutLate(path, o) })
		world.mu.Unlock()
		silence(r)
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		w.startOrder(rw, r, o, now)
	case "/v1/run-stop":
		w.stopOrder(rw, o, now)
	case "/v1/hold":
		w.hold(rw, r, o, now)
	case "/v1/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	default:
		w.answer(rw, http.StatusNotFound, map[string]any{})
	}
}

// answer answers an order; the world's lock is released.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = w.clock(time.Now()).Milliseconds()
	w.world.mu.Unlock()
	respond(rw, status, body)
}

// carryOutLate carries out an order that got no answer.
func (w *worker) carryOutLate(path string, o order) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	now := time.Now()
	if !w.up {
		return
	}
	w.world.tickWorker(w, now)
	if o.Fence < w.fence {
		return
	}
	w.fence = o.Fence
	if path == "/v1/run-stop" {
		w.stopRun(o, now)
		return
	}
	t := w.world.taskNamed(o.Task)
	_, runs := w.runs[o.Task]
	if t == nil || runs || o.Run <= w.refused[o.Task] || time.Duration(o.UntilMs)*time.Millisecond <= w.clock(now) {
		return
	}
	if w.world.guards(w.service) && !w.cap.fits(w.used().plus(t.need())) {
		return
	}
	w.extend(o.UntilMs, now)
	w.late = true
	w.begin(t, o, now)
	w.late = false
}

func (w *worker) extend(untilMs int64, now time.Time) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock(now)+holdMax)
	w.lease = max(w.lease, until)
}

func (w *worker) startOrder(rw http.ResponseWriter, r *http.Request, o order, now time.Time) {
	refuse := func(reason string) {
		w.world.logf("refused", "worker %s task %s run %d reason %s", w.id, o.Task, o.Run, reason)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
	}
	if w.loseStarts > 0 {
		w.loseStarts--
		w.world.logf("lost order", "worker %s task %s run %d", w.id, o.Task, o.Run)
		w.world.mu.Unlock()
		silence(r)
	}
	present, runs := w.runs[o.Task]
	t := w.world.taskNamed(o.Task)
	switch {
	case runs && present.number == o.Run:
		w.extend(o.UntilMs, now)
		w.answer(rw, http.StatusOK, map[string]any{})
	case runs || o.Run <= w.refused[o.Task]:
		w.extend(o.UntilMs, now)
		refuse("old")
	case time.Duration(o.UntilMs)*time.Millisecond <= w.clock(now):
		refuse("late")
	case t == nil || t.step.job.spec.Spec != o.Spec:
		w.world.violated("UNASKED", "worker %s is told to start %s run %d, which no client sent", w.id, o.Task, o.Run)
		refuse("old")
	case w.world.guards(w.service) && !w.cap.fits(w.used().plus(t.need())):
		w.extend(o.UntilMs, now)
		refuse("room")
	default:
		w.extend(o.UntilMs, now)
		w.begin(t, o, now)
		w.answer(rw, http.StatusOK, map[string]any{})
	}
}

func (w *worker) begin(t *task, o order, now time.Time) {
	d := t.step.spec
	r := &run{w: w, t: t, number: o.Run, fence: o.Fence, begun: now, ready: now, takes: t.step.takes}
	if w.slow > 1 {
		r.takes = time.Duration(float64(r.takes) * w.slow)
	}
	r.fails = w.failAll || t.failsRun()
	w.world.checkStart(w, t, o, now)
	if o.Saved != "" {
		name, at, _ := strings.Cut(o.Saved, "@")
		ms, _ := strconv.Atoi(at)
		if name != t.saveName() {
			w.world.violated("UNASKED", "%s run %d on %s starts with the saved %q of another task", o.Task, o.Run, w.id, o.Saved)
		}
		r.resumed = time.Duration(ms) * time.Millisecond
		r.lastSave = r.resumed
		r.ready = now.Add(restoreTime)
	}
	w.runs[o.Task] = r
	w.sum = w.sum.plus(t.need())
	t.runs[r] = true
	t.starts++
	w.world.logRun(t, "start", "worker %s task %s run %d fence %d saved %q", w.id, o.Task, o.Run, o.Fence, o.Saved)
	if d.Gang {
		t.step.joinGang(r, now)
	}
}

func (w *worker) stopOrder(rw http.ResponseWriter, o order, now time.Time) {
	w.stopRun(o, now)
	w.answer(rw, http.StatusOK, map[string]any{})
}

func (w *worker) stopRun(o order, now time.Time) {
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	if r, runs := w.runs[o.Task]; runs && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime / 2)
		w.world.logRun(r.t, "stop", "worker %s task %s run %d", w.id, o.Task, o.Run)
		w.world.checkAvail(r, "stop", now)
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, now time.Time) {
	if o.UntilMs > 0 {
		w.extend(o.UntilMs, now)
	}
	for len(w.ended) > 0 && w.ended[0].n <= o.Ack {
		w.world.takenNote(w, &w.ended[0], now)
		w.ended = w.ended[1:]
	}
	until := now.Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.world.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		w.world.mu.Lock()
		if !w.up {
			w.world.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if time.Now().Before(w.muteUntil) {
			w.world.mu.Unlock()
			silence(r)
		}
	}
	now = time.Now()
	w.world.tickWorker(w, now)
	active, ended := []any{}, []any{}
	for name, r := range w.runs {
		active = append(active, []any{name, r.number, r.saved(now), 100, 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.n, e.t.name, e.run, e.how, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"active": active, "ended": ended})
}

// progress returns how much of its work a run has done.
func (r *run) progress(now time.Time) time.Duration {
	from := r.ready
	if r.t.step.spec.Gang {
		if r.gang.began.IsZero() {
			return r.resumed
		}
		if r.gang.began.After(from) {
			from = r.gang.began
		}
	}
	if now.Before(from) {
		return r.resumed
	}
	return r.resumed + now.Sub(from)
}

// saved returns the newest saved value of a run.
func (r *run) saved(now time.Time) string {
	if !r.t.step.spec.Checkpoint {
		return ""
	}
	if p := r.progress(now); p >= r.lastSave+saveEvery {
		r.lastSave = p
	}
	if r.lastSave == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", r.t.saveName(), r.lastSave.Milliseconds())
}

// end ends a run; the others of its gang end as broken, or as done with it.
func (w *worker) end(r *run, how string, now time.Time) {
	if w.runs[r.t.name] != r {
		return
	}
	saved := ""
	if how != "done" {
		if how == "stopped" && r.t.step.spec.Checkpoint {
			r.lastSave = max(r.lastSave, r.progress(now))
		}
		saved = r.saved(now)
	}
	if how == "lapsed" && w.world.lapsesCount && now.Sub(w.world.disruptedAt) > touchTime {
		w.world.checkAvail(r, "lease that lapses", now)
	}
	delete(w.runs, r.t.name)
	w.sum = w.sum.minus(r.t.need())
	delete(r.t.runs, r)
	w.refused[r.t.name] = max(w.refused[r.t.name], r.number)
	w.ended = append(w.ended, ending{n: w.next, t: r.t, run: r.number, how: how, saved: saved, listed: now, doneRow: r.t.noteEnd(w, r, how, now)})
	w.next++
	w.world.logRun(r.t, "end", "worker %s task %s run %d %s", w.id, r.t.name, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang == nil || r.gang.over {
		return
	}
	r.gang.over = true
	others := "broken"
	switch how {
	case "done", "alone":
		others = how
	}
	for _, member := range r.gang.members {
		if member != r {
			member.w.end(member, others, now)
		}
	}
}
