package main

import (
	"syscall"
	"time"
)

func init() {
	scenarios["far"] = far
	scenarios["crashes"] = crashes
}

// far submits a job that is due on the last day of the year 9999; without trouble, one that is due soon.
func far(w *world, trouble bool) string {
	if problem := w.smallDeployment(3, true); problem != "" {
		return problem
	}
	due := time.Now().Add(4 * time.Second)
	if trouble {
		due = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
	}
	j := w.newJob(w.queues[0], jobSpec{Times: 1, FirstMs: due.UnixMilli(), Steps: []stepSpec{{Count: 2, CPU: 1000, Mem: 1000, EstMs: 500}}})
	if !w.submit(j, 3) {
		return "the job was not accepted"
	}
	time.Sleep(8 * time.Second)
	w.state(j)
	return ""
}

// crashes crashes all workers of a pool together, five times, while a job of one task is there. No run of the
// task fails.
func crashes(w *world, trouble bool) string {
	if problem := w.smallDeployment(6, true); problem != "" {
		return problem
	}
	j := w.newJob(w.queues[0], jobSpec{Steps: []stepSpec{{Count: 1, CPU: 2000, Mem: 2000, EstMs: 4000}}})
	if !w.submit(j, 3) {
		return "the job was not accepted"
	}
	for n := range 5 {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		w.disrupt("all workers of seats crash, %d", n+1)
		for name, m := range w.machines {
			if m.pool == "seats" {
				w.crash(name, 500*time.Millisecond)
			}
		}
	}
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		switch w.state(j) {
		case "done", "failed":
			return ""
		}
	}
	return "the job has not ended in time"
}

// end kills the entries that still run.
func (w *world) end() {
	w.mu.Lock()
	var exited []chan struct{}
	for _, e := range w.entries {
		e.down = true
		if e.cmd != nil {
			_ = e.cmd.Process.Signal(syscall.SIGKILL)
			exited = append(exited, e.exited)
		}
	}
	w.mu.Unlock()
	for _, c := range exited {
		<-c
	}
}
