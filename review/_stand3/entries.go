package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// entry is an entry instance: a real process of the project, started with the command of the deploy file.
type entry struct {
	world    *world
	name     string
	ip       string
	front    string
	ready    string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
	down     bool
	isReady  bool
	logFile  *os.File
}

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string, n int) []int {
	var found []int
	for port := 21000 + os.Getpid()%9000; len(found) < n; port++ {
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	return found
}

var (
	section  = regexp.MustCompile(`(?s)\{\{#([a-zA-Z_.]+)\}\}(.*?)\{\{/[a-zA-Z_.]+\}\}`)
	inverted = regexp.MustCompile(`(?s)\{\{\^([a-zA-Z_.]+)\}\}(.*?)\{\{/[a-zA-Z_.]+\}\}`)
	value    = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the template of the deploy file.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if v, ok := fields[m[1]]; ok && v != false {
			return m[2]
		}
		return ""
	})
	template = inverted.ReplaceAllStringFunc(template, func(s string) string {
		m := inverted.FindStringSubmatch(s)
		if v, ok := fields[m[1]]; ok && v != false {
			return ""
		}
		return m[2]
	})
	return value.ReplaceAllStringFunc(template, func(s string) string {
		m := value.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			text, _ := json.Marshal(v)
			return string(text)
		}
		return fmt.Sprint(v)
	})
}

// newEntries writes the settings of n entries.
func newEntries(w *world, n int, dir string, zones []string) {
	template, err := os.ReadFile("deploy/entry.jsonc.tmpl")
	if err != nil {
		fatal("template", err)
	}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, 10+i))
	}
	free := freePorts(ips, 4)
	for i, ip := range ips {
		e := &entry{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, free[0]), ready: fmt.Sprintf("%s:%d", ip, free[1])}
		fields := map[string]any{
			"node": e.name, "zone": zones[i%len(zones)], "ip": ip, "listen.front": e.front, "listen.ready": e.ready, "portRange.0": free[2],
			"platform.addr": serve(w.store.handler(e.name)), "cloud.addr": w.cloud, "advice": w.advisor,
			"limits.cpuShare": 0.4, "limits.linkMbps": 1000.0, "limits.memoryMb": 284, "platform.readsPerS": 2000, "cloud.dutyPerS": 64.0,
			"bounds.holdMaxMs": 10000, "bounds.stopMs": 200, "bounds.gangMs": 3000, "bounds.farX": 1.5, "bounds.moveS": 1.5, "bounds.upkeepS": 2,
			"bounds.leaseMs": 3000, "bounds.requireFence": true, "bounds.noticeMs": 4500, "bounds.configMs": 2000, "bounds.status_s": 120,
		}
		text := strings.ReplaceAll(render(string(template), fields), ":9464", fmt.Sprintf(":%d", free[3]))
		e.settings = filepath.Join(dir, e.name+".jsonc")
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			fatal("settings", err)
		}
		if e.logFile, err = os.Create(filepath.Join(dir, e.name+".log")); err != nil {
			fatal("log", err)
		}
		w.entries = append(w.entries, e)
	}
}

// start starts the entry's process, and starts it again whenever it has ended.
func (e *entry) start() {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.down || e.cmd != nil {
		return
	}
	cmd := exec.Command("target/jaythread", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYTHREAD_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.logFile, e.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start", err)
	}
	e.cmd, e.exited = cmd, make(chan struct{})
	e.starts++
	e.world.logf("entry", "%s started, pid %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		e.world.mu.Lock()
		e.world.logf("entry", "%s ended: %v", e.name, err)
		e.cmd, e.isReady = nil, false
		close(e.exited)
		e.world.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		e.start()
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.cmd != nil {
		e.world.disruptedAt = time.Now()
		e.world.logf("trouble", "%s gets %v", e.name, s)
		_ = e.cmd.Process.Signal(s)
	}
}

// freeze stops a process for a time.
func (e *entry) freeze(d time.Duration) {
	e.signal(syscall.SIGSTOP)
	time.Sleep(d)
	e.signal(syscall.SIGCONT)
}

// pollReadiness asks the entries as the balancer does.
func (w *world) pollReadiness() {
	client := &http.Client{Timeout: time.Second}
	for _, e := range w.entries {
		go func() {
			for {
				ok := false
				if r, err := client.Get("http://" + e.ready + "/v1/readyz"); err == nil {
					ok = r.StatusCode == http.StatusOK
					_ = r.Body.Close()
				}
				w.mu.Lock()
				e.isReady = ok
				w.mu.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
}

func (w *world) awaitReady(n int, atMost time.Duration) bool {
	until := time.Now().Add(atMost)
	for time.Now().Before(until) {
		count := 0
		w.mu.Lock()
		for _, e := range w.entries {
			if e.isReady {
				count++
			}
		}
		w.mu.Unlock()
		if count >= n {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// pick returns an entry of those in rotation, or any if there is none.
func (w *world) pick() *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []*entry
	for _, e := range w.entries {
		if e.isReady {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = w.entries
	}
	return in[w.random.IntN(len(in))]
}

var callers = &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call makes a client's request. The status is zero if there was no answer.
func (w *world) call(e *entry, method string, q queue, rest string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+e.front+q.Prefix+rest, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = q.Host
	r.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := callers.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// submit hands a job in as a client does: again after no answer, and later after a rejection.
func (w *world) submit(j *job, tries int) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	j.firstSent = time.Now()
	w.mu.Unlock()
	for range tries {
		e := w.pick()
		sent := time.Now()
		status, text := w.call(e, http.MethodPost, j.queue, j.id, j.body())
		w.mu.Lock()
		j.attempts++
		w.logf("submit", "job %s at %s: %d after %v", j.id, e.name, status, time.Since(sent).Round(time.Millisecond))
		if status == 429 || status == 503 {
			j.rejections++
		}
		if status/100 == 2 {
			if j.ackedAt.IsZero() {
				j.ackedAt = time.Now()
			}
			w.mu.Unlock()
			return true
		}
		if status != 0 && status != 429 && status != 503 && status != 504 && status != 502 {
			w.logf("submit", "job %s: unexpected %d %s", j.id, status, text)
		}
		w.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state and checks it against what was seen.
func (w *world) state(j *job) string {
	e := w.pick()
	sent := time.Now()
	status, text := w.call(e, http.MethodGet, j.queue, j.id, nil)
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(text, &body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status == http.StatusGone && !j.ackedAt.IsZero() && j.cancelAt.IsZero() && sent.Sub(j.ackedAt) > visibleTime {
		w.violated("LOST", "GET of the accepted job %s at %s is answered 410", j.id, e.name)
	}
	if body.State != j.shown {
		w.logf("shown", "job %s at %s: %d %s", j.id, e.name, status, body.State)
	}
	switch body.State {
	case "done":
		if missing := j.missing(); missing != "" {
			w.violated("MIXED", "job %s is shown as done, but %s", j.id, missing)
		}
	case "failed":
		if !j.mayFail() && j.shown != "failed" {
			w.violated("LOST", "job %s is shown as failed without cause", j.id)
		}
	case "canceled":
		if j.cancelAt.IsZero() && j.shown != "canceled" {
			w.violated("LOST", "job %s is shown as canceled without cause", j.id)
		}
	}
	if body.State != "" {
		j.shown = body.State
	}
	return body.State
}

// missing names a task that has not ended done, or is empty.
func (j *job) missing() string {
	for k := range max(1, j.spec.Times) {
		for n := range j.spec.Steps {
			if !j.allDone(k, n) {
				return fmt.Sprintf("step %d of occurrence %d has not ended so", n, k)
			}
		}
	}
	return ""
}

// mayFail reports whether a task, or a gang, has failed as often as its queue allows.
func (j *job) mayFail() bool {
	for _, s := range j.steps {
		total := 0
		for _, t := range s.tasks {
			total += t.failed
			if t.failed >= j.queue.Attempts {
				return true
			}
		}
		if s.spec.Gang && total >= j.queue.Attempts {
			return true
		}
	}
	return false
}

// cancel cancels a job until that is acknowledged.
func (w *world) cancel(j *job, tries int) {
	w.mu.Lock()
	j.cancelAt = time.Now()
	w.mu.Unlock()
	for range tries {
		e := w.pick()
		status, _ := w.call(e, http.MethodDelete, j.queue, j.id, nil)
		w.mu.Lock()
		w.logf("cancel", "job %s at %s: %d", j.id, e.name, status)
		if status/100 == 2 || status == http.StatusGone {
			j.cancelAck = time.Now()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
}
