package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const entryCount = 4

type httpFunc func(http.ResponseWriter, *http.Request)

func (f httpFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) { f(w, r) }

// smallDeployment declares two queues, two pools and a standby pool, and starts all entries.
func (w *world) smallDeployment(perPool int, guarded bool) string {
	w.services = []service{{Name: "seats", Enforces: guarded}, {Name: "fees", Enforces: guarded}, {Name: "spare", Enforces: true, Standby: true}}
	w.queues = []queue{
		{Name: "q-seats", Host: "a.example", Prefix: "/seats/", Service: "seats", Timeout: 3000, SLO: 600, Attempts: 3, Stretch: 1.6},
		{Name: "q-adv", Host: "a.example", Prefix: "/adv/", Service: "seats", Timeout: 3000, SLO: 600, Attempts: 3, Stretch: 1.6, Advice: &map[string]int{"decideMs": 50, "periodMs": 2, "validMs": 5000}},
		{Name: "q-fees", Host: "a.example", Prefix: "/fees/", Service: "fees", Timeout: 3000, SLO: 600, Attempts: 3, Stretch: 1.6, Priority: 1},
	}
	w.configure()
	for i := range perPool {
		rack := fmt.Sprintf("r1-%d", i%3)
		w.addMachine(fmt.Sprintf("s%d", i), "seats", "bole", rack, resources{CPU: 16000, Mem: 64000})
		w.addMachine(fmt.Sprintf("f%d", i), "fees", "arat-kilo", rack, resources{CPU: 16000, Mem: 64000})
	}
	w.addMachine("x0", "spare", "bole", "r1-3", resources{CPU: 16000, Mem: 64000})
	for _, e := range w.entries {
		e.start()
	}
	w.pollReadiness()
	if !w.awaitReady(len(w.entries), 20*time.Second) {
		return "the entries are not ready"
	}
	time.Sleep(3 * time.Second)
	return ""
}

func (w *world) newJob(q queue, spec jobSpec, takes ...time.Duration) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("%016x", w.random.Uint64())
	spec.Spec = "spec of " + id
	for len(takes) < len(spec.Steps) {
		takes = append(takes, time.Duration(spec.Steps[len(takes)].EstMs)*time.Millisecond)
	}
	return &job{id: id, queue: q, spec: spec, takes: takes, world: w, steps: map[string]*step{}}
}

// randomJob returns a job with a mix of what the pages allow.
func (w *world) randomJob(now time.Time) *job {
	w.mu.Lock()
	r := w.random
	q := w.queues[r.IntN(len(w.queues))]
	spec := jobSpec{}
	for n := range 1 + r.IntN(3) {
		s := stepSpec{Count: 1 + r.IntN(5), CPU: int64(1000 + r.IntN(4000)), Mem: int64(1000 + r.IntN(8000)), EstMs: int64(200 + r.IntN(2200))}
		if n > 0 && r.IntN(3) > 0 {
			s.After = []int{r.IntN(n)}
		}
		s.Checkpoint = r.IntN(2) == 0
		switch r.IntN(6) {
		case 0, 1:
			s.Gang = true
			s.CPU = min(s.CPU, 3000)
		case 2:
			s.MaxPerServer = 1
		case 3:
			s.Speculative = true
		}
		spec.Steps = append(spec.Steps, s)
	}
	if r.IntN(6) == 0 {
		spec.Times, spec.IntervalMs = 2+r.IntN(5), int64(500+r.IntN(2500))
		spec.FirstMs = now.Add(time.Duration(r.IntN(5000)) * time.Millisecond).UnixMilli()
	}
	if r.IntN(12) == 0 {
		spec = jobSpec{Steps: []stepSpec{{Count: 3, CPU: 1500, Mem: 3000, EstMs: 700, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}}
	}
	fails := 0.0
	if r.IntN(5) == 0 {
		fails = 0.2
	}
	w.mu.Unlock()
	j := w.newJob(q, spec)
	j.failChance = fails
	return j
}

// soak plays random jobs and troubles for a while.
func soak(w *world, trouble bool) string {
	if problem := w.smallDeployment(5, w.random.IntN(2) == 0); problem != "" {
		return problem
	}
	w.pause = []int{150, 300, 600}[w.random.IntN(3)]
	var clients sync.WaitGroup
	until := time.Now().Add(35 * time.Second)
	clients.Go(func() {
		for time.Now().Before(until) {
			j := w.randomJob(time.Now())
			clients.Go(func() { w.live(j) })
			time.Sleep(time.Duration(50+w.intN(w.pause)) * time.Millisecond)
		}
	})
	if trouble {
		time.AfterFunc(6*time.Second, func() { w.declareWave([]string{"s0", "s1", "s2", "f0", "f1", "x0"}, 25, 2) })
		for time.Now().Before(until.Add(-8 * time.Second)) {
			w.randomTrouble()
			time.Sleep(time.Duration(200+w.intN(3500)) * time.Millisecond)
		}
	}
	w.mu.Lock()
	w.trafficEnd = until
	w.mu.Unlock()
	clients.Wait()
	return ""
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// live hands a job in and follows it to its end.
func (w *world) live(j *job) {
	if !w.submit(j, 6) {
		time.Sleep(20 * time.Second)
		w.mu.Lock()
		if j.started && j.rejections == j.attempts {
			w.violated("REFUSED", "job %s has run, and all attempts were rejected", j.id)
		}
		w.mu.Unlock()
		return
	}
	lasting := j.spec.Steps[0].LongRunning
	var cancelAt time.Time
	if lasting || w.intN(10) == 0 {
		cancelAt = time.Now().Add(time.Duration(200+w.intN(6000)) * time.Millisecond)
		if lasting {
			cancelAt = cancelAt.Add(10 * time.Second)
		}
	}
	for until := time.Now().Add(70 * time.Second); time.Now().Before(until); {
		time.Sleep(time.Duration(300+w.intN(500)) * time.Millisecond)
		if !cancelAt.IsZero() && time.Now().After(cancelAt) && j.cancelAt.IsZero() {
			w.cancel(j, 10)
		}
		switch w.state(j) {
		case "done", "failed", "canceled":
			time.Sleep(3 * time.Second)
			w.state(j)
			return
		}
		if w.idles(j) {
			w.mu.Lock()
			w.violated("LOST", "job %s has nothing running, and half of its service is free: %s", j.id, j.missing())
			w.mu.Unlock()
			return
		}
	}
	w.mu.Lock()
	w.logf("unfinished", "job %s: %s", j.id, j.missing())
	w.mu.Unlock()
}

// idles reports whether a job has had nothing running for a while though under half of its service was in use,
// finishTime after the end of the traffic, with no disruption near. Jobs with advice are not judged: the advisor
// may allow too few workers.
func (w *world) idles(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if j.queue.Advice != nil || w.trafficEnd.IsZero() || now.Sub(w.trafficEnd) < finishTime || now.Sub(w.disruptedAt) < 12*time.Second || !j.cancelAt.IsZero() || j.spec.Times > 0 || j.missing() == "" {
		j.idleSince = time.Time{}
		return false
	}
	running := false
	for _, s := range j.steps {
		for _, t := range s.tasks {
			running = running || len(t.runs) > 0
		}
	}
	for service := range w.sentTo[j.queue.Prefix] {
		var all, used resources
		for _, one := range w.workers {
			if one.up && one.service == service {
				all, used = all.plus(one.cap), used.plus(one.used())
			}
		}
		running = running || 2*used.CPU >= all.CPU || 2*used.Mem >= all.Mem
	}
	if running {
		j.idleSince = time.Time{}
		return false
	}
	if j.idleSince.IsZero() {
		j.idleSince = now
	}
	return now.Sub(j.idleSince) > 3*time.Second
}

func (w *world) randomTrouble() {
	e := w.entries[w.intN(len(w.entries))]
	var names []string
	w.mu.Lock()
	for name, m := range w.machines {
		if m.w != nil {
			names = append(names, name)
		}
	}
	w.mu.Unlock()
	m := w.machines[names[w.intN(len(names))]]
	d := time.Duration(300+w.intN(4500)) * time.Millisecond
	switch w.intN(16) {
	case 0, 1:
		e.signal(syscall.SIGKILL)
	case 2:
		e.signal(syscall.SIGTERM)
	case 3:
		go e.freeze(d)
	case 4:
		w.crash(m.name, d)
	case 5:
		w.disrupt("worker of %s is mute for %v", m.name, d)
		w.mu.Lock()
		if m.w != nil {
			m.w.muteUntil = time.Now().Add(d)
		}
		w.mu.Unlock()
	case 6:
		w.disrupt("store is silent for %s for %v", e.name, d)
		w.storeMode(e, storeMode{silent: true}, d)
	case 7:
		w.disrupt("store is busy for all for %v", d)
		for _, e := range w.entries {
			w.storeMode(e, storeMode{busy: true}, d)
		}
	case 8:
		w.disrupt("store loses the answers of writes of %s for %v", e.name, d)
		w.storeMode(e, storeMode{loseWrites: true}, d)
	case 9:
		w.disrupt("worker of %s loses start orders", m.name)
		w.mu.Lock()
		if m.w != nil {
			m.w.loseStarts = 1 + w.random.IntN(3)
		}
		w.mu.Unlock()
	case 11, 12:
		w.disrupt("worker of %s carries out orders late", m.name)
		w.mu.Lock()
		for _, one := range w.machines {
			if one.w != nil {
				one.w.lateShare, one.w.lateUntil = 0.5, time.Now().Add(d)
			}
		}
		w.mu.Unlock()
	case 13:
		w.drain(m.name, 2*time.Second+d, time.Second)
	case 14:
		w.mu.Lock()
		q := &w.queues[2*w.random.IntN(2)]
		if q.Service == "seats" {
			q.Service = "fees"
		} else {
			q.Service = "seats"
		}
		w.mu.Unlock()
		w.configure()
	case 15:
		e.signal(syscall.SIGHUP)
	case 10:
		w.disrupt("store is slow for all for %v", d)
		for _, e := range w.entries {
			w.storeMode(e, storeMode{delay: 200 * time.Millisecond}, d)
		}
	}
}

func (w *world) storeMode(e *entry, m storeMode, d time.Duration) {
	w.store.setMode(e.name, m)
	time.AfterFunc(d, func() { w.store.setMode(e.name, storeMode{}) })
}
