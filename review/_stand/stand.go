// Command stand plays one case of the review: it starts entries of jaythread as the deploy
// file does, with the project's own stand-in of the platform behind them, and judges what
// callers and workers have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayaddress"
	"jaythread/platform/jaystub"
)

// Exit codes of the cases.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// pool is the only pool, and prefix the path prefix of its queue.
	pool   = "seats"
	prefix = "/seats/"
	// memoryMegabytes is limits.memoryMb of the settings in DEPLOY.md. A process that
	// exceeds it is killed and started again.
	memoryMegabytes = 284
	// finishTime is finish_s, answerTime the deadline of a caller's request, and askTime the
	// time in which a caller repeats a request without an answer.
	finishTime = 14 * time.Second
	answerTime = 3 * time.Second
	askTime    = 3 * answerTime
)

// cases holds the function that plays each case and returns the exit code.
var cases = map[string]func(r *record, trouble bool) int{}

const (
	machines = 8
	entries  = 4
	// smallTasks is the number of tasks of a small job.
	smallTasks = 2
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

// stand is a small deployment: a platform, and entries in front of it.
type stand struct {
	record   *record
	dir      string
	platform *jaystub.Platform
	store    string
	entries  []*entry
	mu       sync.Mutex
	closing  bool
	// silentUntil is until when the store answers nothing, in Unix nanoseconds.
	silentUntil atomic.Int64
}

// entry is one process of the system.
type entry struct {
	name   string
	config string
	caller string
	ready  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	killed int
	peak   int
}

// newStand starts the platform with some machines and the entries.
func newStand(r *record, machines, room, entries int) (*stand, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stand{record: r, dir: dir}
	s.endOnSignal()
	if s.platform, err = jaystub.NewPlatform(rand.Float64); err != nil {
		return nil, err
	}
	s.platform.StopTime, s.platform.DownTime = 100*time.Millisecond, 1500*time.Millisecond
	if s.store, err = s.serveStore(); err != nil {
		return nil, err
	}
	s.platform.Configure(1, [3]string{"localhost", prefix, pool})
	for n := range machines {
		if _, err := s.platform.AddMachine(fmt.Sprintf("m%02d", n), pool, room); err != nil {
			return nil, err
		}
	}
	for n := range entries {
		e, err := s.newEntry(fmt.Sprintf("entry-%d", n+1))
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
		if err := s.start(e); err != nil {
			return nil, err
		}
	}
	return s, s.awaitReady()
}

// serveStore serves the stand-in of the store, which may be silent for some time.
func (s *stand) serveStore() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if s.dropped(ctx) {
			return
		}
		s.platform.Store.Handle(ctx)
		s.dropped(ctx)
	}}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// silence makes the store answer no call for some time.
func (s *stand) silence(length time.Duration) {
	s.silentUntil.Store(time.Now().Add(length).UnixNano())
}

// dropped reports whether a call comes, or would be answered, while the store is silent. It is not
// answered then, and its connection is closed once the store is sound again.
func (s *stand) dropped(ctx *fasthttp.RequestCtx) bool {
	until := time.Unix(0, s.silentUntil.Load())
	if !time.Now().Before(until) {
		return false
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) { time.Sleep(time.Until(until)) })
	return true
}

// newEntry writes the settings of an entry, those of deploy/entry.jsonc.tmpl with loopback
// addresses.
func (s *stand) newEntry(name string) (*entry, error) {
	var addrs [4]string
	for n := range addrs {
		addr, err := jayaddress.Free()
		if err != nil {
			return nil, err
		}
		addrs[n] = addr
	}
	e := &entry{name: name, config: filepath.Join(s.dir, name+".jsonc"), caller: addrs[0], ready: addrs[2]}
	settings := map[string]any{
		"entry": name, "dataCenter": "z", "callerAddr": addrs[0], "peerAddr": addrs[1], "logFormat": "json", "eventLoops": 1,
		"maxRequestBytes": 262144, "maxCallerConns": 1500, "callerIdle": "15s", "stopGrace": "2200ms", "stopBound": "5400ms",
		"jobService": map[string]any{
			"storeAddr": s.store, "inventoryAddr": s.platform.InventoryAddr, "advisorAddr": addrs[3], "readyAddr": addrs[2],
			"trustedNetwork": true, "processors": 0.4, "linkMegabits": 1000, "storeReadRate": 2000, "inventoryCommandRate": 64,
			"maxLease": "10000ms", "stopTime": "200ms", "gangTime": "3000ms", "farFactor": 1.5, "moveTime": "1.5s", "maintenanceTime": "2s",
			"holderTime": "3000ms", "fencesChecked": true, "noticeTime": "4500ms", "declarationTime": "2000ms",
			"overload":    map[string]any{"workerSpeeds": true, "copyShare": 0.05, "rejectHopeless": true},
			"retainEnded": "120s",
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.config, text, 0o600)
}

// start starts an entry with the command of the deploy file.
func (s *stand) start(e *entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/jaythread", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "JAYTHREAD_SETTINGS=" + e.config}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// stop ends an entry and waits until it has ended.
func (e *entry) stop() {
	e.mu.Lock()
	cmd, ended := e.cmd, e.ended
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// endOnSignal ends all processes when this one is told to stop.
func (s *stand) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and removes the folder.
func (s *stand) close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, e := range s.entries {
		e.stop()
	}
	if kept := os.Getenv("KEEP_LOGS"); kept == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// limitMemory does what the platform does: it kills an entry that exceeds its memory, and
// starts it again after a short delay.
func (s *stand) limitMemory() {
	for {
		time.Sleep(20 * time.Millisecond)
		for _, e := range s.entries {
			s.mu.Lock()
			closing := s.closing
			s.mu.Unlock()
			if closing {
				return
			}
			e.mu.Lock()
			pid := e.cmd.Process.Pid
			e.mu.Unlock()
			megabytes := residentMegabytes(pid)
			e.peak = max(e.peak, megabytes)
			if megabytes <= memoryMegabytes {
				continue
			}
			e.stop()
			e.killed++
			s.record.line("platform: %s has %d MB, more than its %d MB: killed, the %dth time", e.name, megabytes, memoryMegabytes, e.killed)
			go func() {
				time.Sleep(500 * time.Millisecond)
				s.mu.Lock()
				defer s.mu.Unlock()
				if !s.closing {
					_ = s.start(e)
				}
			}()
		}
	}
}

// residentMegabytes returns the resident memory of a process.
func residentMegabytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

var client = &http.Client{Timeout: answerTime, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}

// call sends a caller's request to an entry.
func (s *stand) call(e *entry, method, id string, body any) (status int, answer string, err error) {
	return s.callWithin(answerTime, e, method, id, body)
}

// callWithin sends a caller's request to an entry. The caller leaves after the time within, also
// if the deadline that it has told has not passed.
func (s *stand) callWithin(within time.Duration, e *entry, method, id string, body any) (status int, answer string, err error) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		content = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+prefix+id, content)
	if err != nil {
		return 0, "", err
	}
	req.Host = "localhost"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(answerTime.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// state returns the state of a job as some entry tells it within the time; retries reach
// other entries.
func (s *stand) state(id string, within time.Duration) string {
	until := time.Now().Add(within)
	for n := 0; ; n++ {
		status, answer, err := s.call(s.entries[n%len(s.entries)], http.MethodGet, id, nil)
		var got struct {
			State string `json:"state"`
		}
		switch {
		case err == nil && status == http.StatusOK && json.Unmarshal([]byte(answer), &got) == nil:
			return got.State
		case err == nil && status == http.StatusGone:
			return "unknown"
		}
		if time.Now().After(until) {
			return "no answer"
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// job is the body of a job.
type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	FirstMs    int64  `json:"firstMs,omitempty"`
	IntervalMs int64  `json:"intervalMs,omitempty"`
}

type step struct {
	Count int   `json:"count"`
	CPU   int   `json:"cpu"`
	MemMB int   `json:"memMb"`
	EstMs int64 `json:"estMs"`
	After []int `json:"after,omitempty"`
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// submit submits a job until some entry has accepted it, and reports whether one has.
func (s *stand) submit(id string, body job) bool {
	for n := range 4 {
		status, answer, err := s.call(s.entries[(int(id[0])+n)%len(s.entries)], http.MethodPost, id, body)
		if err == nil && status == http.StatusOK {
			return true
		}
		s.record.line("job %s: not accepted at try %d: status %d %s %v", id, n+1, status, answer, err)
		time.Sleep(time.Second)
	}
	return false
}

// awaitReady waits until all entries are ready and a job is done.
func (s *stand) awaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for {
			resp, err := client.Get("http://" + e.ready + "/v1/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready: %v", e.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	id := newID()
	if !s.submit(id, small()) {
		return errors.New("the first job is not accepted")
	}
	for s.state(id, answerTime) != "done" {
		if time.Now().After(until) {
			return errors.New("the first job is not done")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// small returns a job of two short tasks.
func small() job {
	return job{Spec: "50ms", Steps: []step{{Count: smallTasks, CPU: 1000, MemMB: 1000, EstMs: 50}}}
}

// traffic submits a small job each second and returns those that were accepted.
func (s *stand) traffic(length time.Duration) []string {
	var accepted []string
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for until := time.Now().Add(length); time.Now().Before(until); <-tick.C {
		id := newID()
		if s.submit(id, small()) {
			accepted = append(accepted, id)
			s.record.line("job %s: accepted", id)
		}
	}
	return accepted
}

// look is what the workers of the pool run at one moment.
type look struct {
	running, capacity int
	// of counts the running tasks of each job.
	of map[string]int
}

func (s *stand) look() look {
	l := look{of: map[string]int{}}
	for _, m := range s.platform.Machines() {
		if m.Worker == nil || m.Pool != pool {
			continue
		}
		l.capacity += m.Worker.Room()
		for _, task := range m.Worker.Running() {
			l.running++
			id, _, _ := strings.Cut(task, ".")
			l.of[id]++
		}
	}
	return l
}

// idle reports whether at no look a job had anything running, there was always room for it
// twice over, and always under half of the capacity was in use.
func idle(looks []look, id string, tasks int) bool {
	for _, l := range looks {
		if l.of[id] > 0 || l.capacity-l.running < 2*tasks || 2*l.running >= l.capacity {
			return false
		}
	}
	return true
}

// judge checks the rule LOST for the accepted jobs of some tasks each, finish_s after the end
// of the traffic: a job is unknown or gets no answer in time; or it is not done, and at no look
// it has anything running while there is room for it twice over and under half of the pool's
// capacity is in use. A job of one step always has a task whose turn has come.
func (s *stand) judge(accepted []string, tasks int) (lost int) {
	s.record.line("traffic has ended; %d jobs were accepted; asking for them in %v", len(accepted), finishTime)
	time.Sleep(finishTime)
	const (
		watched = 3 * time.Second
		pause   = 100 * time.Millisecond
	)
	var looks []look
	most, least := 0, math.MaxInt
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(pause) {
		l := s.look()
		looks = append(looks, l)
		most, least = max(most, l.running), min(least, l.capacity)
	}
	s.record.line("for 3 s at most %d tasks have run on workers with room for %d at least", most, least)
	states := make([]string, len(accepted))
	var all sync.WaitGroup
	for n, id := range accepted {
		all.Go(func() { states[n] = s.state(id, askTime) })
	}
	all.Wait()
	for _, v := range s.platform.Checker.Violations() {
		s.record.line("stand-in: %s: %s", v.Rule, v.Text)
	}
	for n, id := range accepted {
		state := states[n]
		if state == "done" {
			s.record.line("job %s: done; its tasks were started %d times", id, s.platform.Checker.Starts(id))
			continue
		}
		broken := "LOST"
		why := "it has had nothing running for 3 s"
		switch started, done := s.platform.Checker.Starts(id), s.platform.Checker.Finished(id); {
		case state == "unknown", state == "no answer", state == "failed", state == "canceled":
			why = state
		case done == tasks || !idle(looks, id, tasks):
			broken, why = "not done", fmt.Sprintf("%d of its tasks were started, %d have ended as done", started, done)
		}
		s.record.line("%s: job %s was accepted; state: %s; %s; tasks started %d times", broken, id, state, why, s.platform.Checker.Starts(id))
		if broken == "LOST" {
			lost++
		}
	}
	return lost
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{file: file, began: time.Now()}
	r.line("case %s, trouble %v", os.Args[1], trouble)
	code := exitNotRun
	if play, known := cases[os.Args[1]]; known {
		code = play(r, trouble)
	} else {
		r.line("no such case")
	}
	r.line("exit code %d", code)
	os.Exit(code)
}
