package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	Mem          int64  `json:"memMb,omitempty"`
	EstMs        int64  `json:"estMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	RackLocal    bool   `json:"rackLocal,omitempty"`
	Requires     string `json:"requires,omitempty"`
	DataRack     string `json:"dataRack,omitempty"`
	MaxPerServer int    `json:"maxPerServer,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`
}

type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	Times      int        `json:"times,omitempty"`
	FirstMs    int64      `json:"firstMs,omitempty"`
	IntervalMs int64      `json:"intervalMs,omitempty"`
}

// job is a job that a client hands in.
type job struct {
	id    string
	queue queue
	spec  jobSpec
	// takes is how long a task of each step really takes; failChance how often its runs fail.
	takes      []time.Duration
	failChance float64
	world      *world
	steps      map[string]*step

	firstSent  time.Time
	ackedAt    time.Time
	rejections int
	attempts   int
	cancelAt   time.Time // the first cancel was sent
	cancelAck  time.Time
	shown      string
	started    bool
	idleSince  time.Time
}

func (j *job) body() []byte {
	text, _ := json.Marshal(j.spec)
	return text
}

// step is a step of one occurrence of a job.
type step struct {
	job        *job
	occurrence int
	number     int
	spec       *stepSpec
	takes      time.Duration
	tasks      map[int]*task
	gangs      map[int64]*gangRun
}

type task struct {
	step    *step
	index   int
	name    string
	runs    map[*run]bool
	starts  int
	everOK  bool
	notedOK bool
	dones   []*taskEnd
	failed  int
	// awaySince is when a lasting task was last at work, byOrder that a stop, move or upkeep ended it.
	awaySince time.Time
	byOrder   bool
	noted     int // failed ends that were taken note of
}

// taskEnd is an end of a run as done.
type taskEnd struct {
	void   bool
	noted  bool
	starts []string
}

func (t *task) need() resources {
	return resources{CPU: t.step.spec.CPU, Mem: t.step.spec.Mem}
}

// saveName is what a saved value of the task begins with: that of a gang is valid for all its members.
func (t *task) saveName() string {
	s := t.step
	if s.spec.Gang {
		return fmt.Sprintf("%s.%d.%d", s.job.id, s.occurrence, s.number)
	}
	return t.name
}

func (t *task) failsRun() bool {
	return t.step.job.failChance > 0 && t.step.job.world.random.Float64() < t.step.job.failChance
}

// taskNamed returns the task with a name, or nil. The caller holds the lock.
func (w *world) taskNamed(name string) *task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := w.jobs[parts[0]]
	k, _ := strconv.Atoi(parts[1])
	n, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	if j == nil || n >= len(j.spec.Steps) || index >= j.spec.Steps[n].Count || k >= max(1, j.spec.Times) {
		return nil
	}
	key := fmt.Sprintf("%d.%d", k, n)
	s := j.steps[key]
	if s == nil {
		s = &step{job: j, occurrence: k, number: n, spec: &j.spec.Steps[n], takes: j.takes[n], tasks: map[int]*task{}, gangs: map[int64]*gangRun{}}
		j.steps[key] = s
	}
	t := s.tasks[index]
	if t == nil {
		t = &task{step: s, index: index, name: name, runs: map[*run]bool{}}
		s.tasks[index] = t
	}
	return t
}

func (s *step) joinGang(r *run, now time.Time) {
	g := s.gangs[r.number]
	if g == nil || g.over {
		g = &gangRun{members: map[int]*run{}, first: now}
		s.gangs[r.number] = g
	}
	g.members[r.t.index] = r
	r.gang = g
	if len(g.members) == s.spec.Count {
		g.began = now
	}
}

// allDone reports whether all tasks of a step of an occurrence have ended done.
func (j *job) allDone(occurrence, n int) bool {
	s := j.steps[fmt.Sprintf("%d.%d", occurrence, n)]
	if s == nil {
		return false
	}
	done := 0
	for _, t := range s.tasks {
		if t.everOK {
			done++
		}
	}
	return done == s.spec.Count || s.spec.Gang && done > 0
}

// checkStart checks the rules for a start that a worker is about to carry out. The caller holds the lock.
func (w *world) checkStart(one *worker, t *task, o order, now time.Time) {
	s, j := t.step, t.step.job
	j.started = true
	what := fmt.Sprintf("%s run %d on %s", t.name, o.Run, one.id)
	if !s.spec.Speculative {
		for r := range t.runs {
			w.violated("TWICE", "%s starts while run %d runs on %s", what, r.number, r.w.id)
		}
		if t.notedOK {
			w.violated("TWICE", "%s starts after a run has ended done and that was taken note of", what)
		}
		for _, d := range t.dones {
			if !d.void && !d.noted {
				d.starts = append(d.starts, what)
			}
		}
	}
	for _, before := range s.spec.After {
		if !j.allDone(s.occurrence, before) {
			w.violated("ORDER", "%s starts before step %d is done", what, before)
		}
	}
	if j.spec.Times > 0 {
		due := time.UnixMilli(j.spec.FirstMs + int64(s.occurrence)*j.spec.IntervalMs)
		if early := due.Sub(now); early > earlyTime {
			w.violated("ORDER", "%s starts %v before its time", what, early)
		}
	}
	if !w.sentTo[j.queue.Prefix][one.service] {
		w.violated("ROUTE", "%s starts on a worker of %s", what, one.service)
	}
	if s.spec.Requires != "" && !contains(one.labels, s.spec.Requires) {
		w.violated("ROUTE", "%s starts without the label %s", what, s.spec.Requires)
	}
	if s.spec.MaxPerServer > 0 {
		count := 0
		for _, r := range one.runs {
			if r.t.step == s {
				count++
			}
		}
		if count >= s.spec.MaxPerServer {
			w.violated("ROUTE", "%s starts beside %d others of its step", what, count)
		}
	}
	if !w.guards(one.service) && !one.cap.fits(one.used().plus(t.need())) {
		w.violated("LIMIT", "%s brings a worker over its capacity: %v and %v of %v", what, one.used(), t.need(), one.cap)
	}
	if !s.spec.LongRunning && !s.spec.Gang && t.noted >= j.queue.Attempts {
		w.violated("BUDGET", "%s starts after %d runs have ended failed", what, t.noted)
	}
	if one.late {
		return
	}
	if !j.cancelAck.IsZero() && now.Sub(j.cancelAck) > cancelTime {
		w.violated("UNASKED", "%s starts %v after its cancel was acknowledged", what, now.Sub(j.cancelAck))
	}
	if one.state == "draining" && now.Sub(one.drainingAt) > drainTime {
		w.violated("DRAIN", "%s starts %v after the worker was said to drain", what, now.Sub(one.drainingAt))
	}
}

// atWork reports whether a lasting task is at work on some worker.
func (t *task) atWork(now time.Time) bool {
	for r := range t.runs {
		if r.stopAt.IsZero() && now.After(r.ready) {
			return true
		}
	}
	return false
}

// noticeTime is how long a task must have been away, for any cause, to count as missing.
const noticeTime = 4500 * time.Millisecond

// checkAvail checks an order that ends a run of a lasting task. The caller holds the lock.
func (w *world) checkAvail(r *run, what string, now time.Time) {
	t, s := r.t, r.t.step
	if s.spec.MayMiss == 0 || !s.job.cancelAt.IsZero() || r.w.state == "draining" || now.Before(r.ready) {
		return
	}
	away := []string{}
	for n := range s.spec.Count {
		other := w.taskNamed(fmt.Sprintf("%s.%d.%d.%d", s.job.id, s.occurrence, s.number, n))
		if other == t || other.atWork(now) {
			continue
		}
		if other.byOrder || !other.awaySince.IsZero() && now.Sub(other.awaySince) > noticeTime {
			away = append(away, other.name)
		}
	}
	if len(away) >= s.spec.MayMiss {
		w.violated("AVAIL", "a %s ends %s run %d on %s while %v are away, and %d may be", what, t.name, r.number, r.w.id, away, s.spec.MayMiss)
	}
	t.byOrder = true
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}

// noteEnd records the end of a run. The caller holds the lock.
func (t *task) noteEnd(one *worker, r *run, how string, now time.Time) *taskEnd {
	if t.awaySince.IsZero() || len(t.runs) == 0 {
		t.awaySince = now
	}
	if how != "stopped" && how != "lapsed" {
		t.byOrder = false
	}
	switch how {
	case "done":
		t.everOK = true
		e := &taskEnd{}
		t.dones = append(t.dones, e)
		return e
	case "failed":
		t.failed++
	}
	return nil
}

// takenNote handles an end that ackCursor has reached. The caller holds the lock.
func (w *world) takenNote(one *worker, e *ending, now time.Time) {
	w.logRun(e.t, "noted", "worker %s end %d: task %s run %d %s", one.id, e.n, e.t.name, e.run, e.how)
	if e.how == "failed" {
		e.t.noted++
	}
	row := e.doneRow
	if row == nil || row.void {
		return
	}
	row.noted, e.t.notedOK = true, true
	for _, start := range row.starts {
		w.violated("TWICE", "%s started after a run had ended done that is now taken note of", start)
	}
}
