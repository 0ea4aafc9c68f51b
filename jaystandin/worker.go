package jaystandin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayaddress"
	"jaythread/jayplatform"
	"jaythread/jayverdict"
)

// Headers of requests to a worker.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderAttempt is the ID of one attempt to send a request. Each retry has a new one.
	HeaderAttempt = "X-Attempt-Id"
	HeaderKey     = "Idempotency-Key"
	HeaderPool    = "Jaythread-Pool"
	// HeaderSize is the size in bytes that the worker's response should have.
	HeaderSize = "X-Answer-Bytes"
)

// WorkerFaults are the faults injected into one worker.
type WorkerFaults struct {
	// Slow is the factor by which the service time is multiplied. Zero means one.
	Slow float64 `json:"slow"`
	// Silent makes the worker accept requests and never respond.
	Silent bool `json:"silent"`
	// CutAnswers makes the worker run a request and close the connection in the middle of
	// the response.
	CutAnswers bool `json:"cutAnswers"`
	// Refuse makes the worker reject every request with the verdict that it was not run.
	Refuse bool `json:"refuse"`
	// FailStarts makes every task fail at its start.
	FailStarts bool `json:"failStarts"`
	// RunTwice makes the worker run every request twice. This violates a guarantee on
	// purpose, to show that the checks detect it.
	RunTwice bool `json:"runTwice"`
}

// Worker is a simulated upstream instance with an HTTP server.
type Worker struct {
	spec        jayplatform.Instance
	service     string
	slots       int
	serviceTime time.Duration
	ledger      *Ledger

	inFlight atomic.Int64
	draining atomic.Bool
	up       atomic.Bool

	mu       sync.Mutex
	faults   WorkerFaults
	listener net.Listener
	server   *fasthttp.Server
	// fences are the fences of the last orders, by the kind of order and its task.
	fences map[string]uint64
	tasks  map[string]jayplatform.TaskReport
	// drainingSince is when the worker began to drain, or zero.
	drainingSince time.Time
	// stopped is closed when the worker stops.
	stopped chan struct{}
	// onChange is called when a draining worker has finished its last request.
	onChange func()
}

// SetFaults replaces the worker's injected faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

func (w *Worker) listen() (net.Listener, error) {
	if w.spec.Addr == "" {
		return jayaddress.Listen()
	}
	return net.Listen("tcp4", w.spec.Addr)
}

// start opens the worker's listener and serves requests. The first start uses a free port,
// and later ones use the same port again.
func (w *Worker) start() error {
	listener, err := w.listen()
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.spec.ID, err)
	}
	w.mu.Lock()
	w.spec.Addr = listener.Addr().String()
	w.listener = listener
	w.stopped = make(chan struct{})
	w.server = &fasthttp.Server{
		Handler:                      w.serve,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		MaxRequestBodySize:           64 << 20,
		DisablePreParseMultipartForm: true,
		Logger:                       discardLogger{},
	}
	server := w.server
	w.mu.Unlock()
	w.draining.Store(false)
	w.up.Store(true)
	go func() {
		// Serve returns when stop closes the listener.
		_ = server.Serve(listener)
	}()
	return nil
}

// discardLogger discards the messages of the HTTP server.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// stop stops the worker with its tasks. If the stop is planned, the requests that it
// interrupts are counted.
func (w *Worker) stop(planned bool) {
	if !w.up.Swap(false) {
		return
	}
	if cut := w.inFlight.Load(); planned && cut > 0 {
		w.ledger.update(func(c *Counters) { c.CutByStop += int(cut) })
	}
	w.mu.Lock()
	close(w.stopped)
	listener, server := w.listener, w.server
	for name := range w.tasks {
		w.ledger.recordTaskStop(name, w.spec.ID)
	}
	w.tasks = map[string]jayplatform.TaskReport{}
	w.mu.Unlock()
	_ = listener.Close()
	go func() { _ = server.Shutdown() }()
}

func (w *Worker) serve(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	faults, stopped, leaving := w.faults, w.stopped, w.drainingSince
	w.mu.Unlock()
	if w.draining.Load() && !leaving.IsZero() && time.Since(leaving) > drainGrace {
		w.ledger.update(func(c *Counters) { c.LateWork++ })
	}
	if w.draining.Load() || faults.Refuse || !w.up.Load() {
		ctx.SetConnectionClose()
		w.refuse(ctx, "leaving")
		return
	}
	if n := w.inFlight.Add(1); int(n) > w.slots {
		w.releaseSlot()
		w.ledger.update(func(c *Counters) { c.SlotOverruns++ })
		w.refuse(ctx, "no slot")
		return
	}
	defer w.releaseSlot()
	pool := string(ctx.Request.Header.Peek(HeaderPool))
	w.ledger.recordRequestStart(w.spec.ID, pool)
	defer w.ledger.recordRequestEnd(w.spec.ID)
	w.run(ctx, faults, stopped)
}

func (w *Worker) releaseSlot() {
	if w.inFlight.Add(-1) == 0 && w.draining.Load() {
		w.onChange()
	}
}

func (w *Worker) refuse(ctx *fasthttp.RequestCtx, why string) {
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(jayverdict.Header, jayverdict.NotRun.String())
	ctx.SetBodyString(why)
}

func (w *Worker) run(ctx *fasthttp.RequestCtx, faults WorkerFaults, stopped <-chan struct{}) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	key := string(ctx.Request.Header.Peek(HeaderKey))
	attempt := string(ctx.Request.Header.Peek(HeaderAttempt))
	w.ledger.recordRun(attempt, key)
	if faults.RunTwice {
		w.ledger.recordRun(attempt, key)
	}
	if faults.Silent {
		<-stopped
		return
	}
	if !w.waitServiceTime(faults, stopped) || faults.CutAnswers {
		w.cutResponse(ctx)
		return
	}
	size, _ := fasthttp.ParseUint(ctx.Request.Header.Peek(HeaderSize))
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(Answer(id, ctx.Request.Body(), size))
}

// waitServiceTime waits for the service time of a request. It returns false if the worker
// was stopped meanwhile.
func (w *Worker) waitServiceTime(faults WorkerFaults, stopped <-chan struct{}) bool {
	d := w.serviceTime
	if faults.Slow > 0 {
		d = time.Duration(float64(d) * faults.Slow)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stopped:
		return false
	}
}

// cutResponse closes the connection in the middle of a response.
func (w *Worker) cutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\npart"))
		_ = c.Close()
	})
}

// Answer returns the body of a worker's response to a request. With it, a caller checks
// whether it received the complete response to its own request.
func Answer(id string, body []byte, size int) string {
	head := fmt.Sprintf("id=%s body=%d ", id, len(body))
	if size <= len(head) {
		return head
	}
	return head + strings.Repeat("x", size-len(head))
}

// checkFence checks the fence of an order and records it. An order with a lower fence than
// the last one of its kind is an error. For an order that was carried out before, or whose
// task was stopped since, it returns true: the order must not be carried out again.
func (w *Worker) checkFence(order jayplatform.Order, fence uint64) (again bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := fenceKey(order)
	last, seen := w.fences[name]
	if seen && fence < last {
		return false, fmt.Errorf("fence %d is below %d", fence, last)
	}
	if seen && fence == last {
		return true, nil
	}
	if start, ok := order.(jayplatform.StartTask); ok && w.stopFence(start) >= fence {
		return true, nil
	}
	w.fences[name] = fence
	return false, nil
}

// stopFence returns the fence of the last order to stop a task. A start that arrives after
// the stop of the same placement must not start the task.
func (w *Worker) stopFence(start jayplatform.StartTask) uint64 {
	return w.fences[fenceKey(jayplatform.StopTask(start))]
}

func fenceKey(order jayplatform.Order) string {
	switch a := order.(type) {
	case jayplatform.StartTask:
		return fmt.Sprintf("start %s/%d", a.Job, a.Replica)
	case jayplatform.StopTask:
		return fmt.Sprintf("stop %s/%d", a.Job, a.Replica)
	default:
		return jayplatform.OrderName(order)
	}
}

func (w *Worker) setDraining(on bool) {
	w.mu.Lock()
	w.drainingSince = time.Time{}
	if on {
		w.drainingSince = time.Now()
	}
	w.mu.Unlock()
	w.draining.Store(on)
}

func (w *Worker) startTask(a jayplatform.StartTask, fence uint64) {
	name := fmt.Sprintf("%s/%d", a.Job, a.Replica)
	w.mu.Lock()
	defer w.mu.Unlock()
	report := jayplatform.TaskReport{Job: a.Job, Replica: a.Replica, Fence: fence, State: jayplatform.TaskRunning}
	if w.faults.FailStarts {
		report.State = jayplatform.TaskFailed
		w.tasks[name] = report
		return
	}
	w.ledger.recordTaskStart(name, w.spec.ID)
	w.tasks[name] = report
}

func (w *Worker) stopTask(a jayplatform.StopTask, fence uint64) {
	name := fmt.Sprintf("%s/%d", a.Job, a.Replica)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.recordTaskStop(name, w.spec.ID)
	report, known := w.tasks[name]
	if !known {
		report = jayplatform.TaskReport{Job: a.Job, Replica: a.Replica, Fence: fence}
	}
	report.State = jayplatform.TaskStopped
	w.tasks[name] = report
}

// report returns the worker as the instance list shows it.
func (w *Worker) report() jayplatform.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.spec
	i.State = jayplatform.Live
	if w.draining.Load() {
		i.State = jayplatform.Leaving
	}
	if !w.up.Load() {
		i.State = jayplatform.Down
	}
	i.InFlight = int(w.inFlight.Load())
	for _, name := range sortedNames(w.tasks) {
		i.Tasks = append(i.Tasks, w.tasks[name])
	}
	return i
}
