package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["wide"] = wide }

const (
	// memoryLimit is limits.memoryMb in kB.
	memoryLimit = 284 << 10
	wideJobs    = 6
	wideTasks   = 10_000
	// lastingTime is how long a task that lasts may be without a run beside free room, by the rule LOST.
	lastingTime = 9 * time.Second
)

// wide lets six jobs of 10,000 small tasks run beside a job that lasts and small jobs, and cancels the six.
// Without trouble they are not cancelled. A process that exceeds its memory is killed and started again.
func wide(w *world, trouble bool) string {
	if problem := w.smallDeployment(9, true); problem != "" {
		return problem
	}
	w.lapsesCount = true
	go w.limitMemory()
	lasting := w.newJob(w.queues[0], jobSpec{Steps: []stepSpec{{Count: 5, CPU: 1500, Mem: 3000, EstMs: 700, LongRunning: true, MayMiss: 1}}})
	if !w.submit(lasting, 3) {
		return "the lasting job was not accepted"
	}
	time.Sleep(3 * time.Second)
	var large []*job
	for range wideJobs {
		j := w.newJob(w.queues[0], jobSpec{Steps: []stepSpec{{Count: wideTasks, CPU: 1, Mem: 1, EstMs: 120_000, Checkpoint: true}}})
		if !w.submit(j, 10) {
			return "a wide job was not accepted"
		}
		large = append(large, j)
		for range 2 {
			small := w.newJob(w.queues[2], jobSpec{Steps: []stepSpec{{Count: 2, CPU: 500, Mem: 500, EstMs: 400}}})
			if !w.submit(small, 10) {
				return "a small job was not accepted"
			}
		}
	}
	for range 40 {
		time.Sleep(time.Second)
		if running := w.running(); running >= wideJobs*wideTasks {
			break
		}
	}
	w.mu.Lock()
	w.logf("running", "%d tasks", w.runningNow())
	w.mu.Unlock()
	if trouble {
		w.disrupt("the clients cancel the %d wide jobs, once each", len(large))
		var clients sync.WaitGroup
		for _, j := range large {
			clients.Go(func() { w.cancel(j, 1) })
		}
		clients.Wait()
	}
	w.watchLasting(lasting, 15*time.Second)
	return ""
}

func (w *world) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runningNow()
}

// runningNow returns how many tasks run. The caller holds the lock.
func (w *world) runningNow() int {
	n := 0
	for _, one := range w.workers {
		n += len(one.runs)
	}
	return n
}

// watchLasting checks for a time that no task of a lasting job is without a run for too long.
func (w *world) watchLasting(j *job, d time.Duration) {
	since := map[*task]time.Time{}
	reported := map[*task]bool{}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		w.mu.Lock()
		for _, s := range j.steps {
			for _, t := range s.tasks {
				switch {
				case len(t.runs) > 0:
					delete(since, t)
				case since[t].IsZero():
					since[t] = time.Now()
				case time.Since(since[t]) > lastingTime && !reported[t]:
					reported[t] = true
					w.violated("LOST", "%s is to last and has not run for %v, with room for it; %d tasks run", t.name, time.Since(since[t]).Round(time.Millisecond), w.runningNow())
				}
			}
		}
		w.mu.Unlock()
	}
}

// limitMemory kills each entry that exceeds its memory, as the platform does.
func (w *world) limitMemory() {
	peaks := map[string]int{}
	for n := 0; ; n++ {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		for _, e := range w.entries {
			if e.cmd == nil {
				continue
			}
			kb := residentKB(e.cmd.Process.Pid)
			peaks[e.name] = max(peaks[e.name], kb)
			if kb > memoryLimit {
				w.logf("memory", "%s has %d kB, more than %d, and is killed", e.name, kb, memoryLimit)
				_ = e.cmd.Process.Signal(syscall.SIGKILL)
			}
		}
		if n%40 == 0 {
			w.logf("memory", "most so far, in kB: %v; %d tasks run", peaks, w.runningNow())
		}
		w.mu.Unlock()
	}
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}
