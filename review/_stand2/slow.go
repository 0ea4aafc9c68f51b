package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["slow"] = playedCase{options: options{entries: 4}, play: playSlow}
}

const (
	// slowFactor and slowTime are the disruption: one worker of nine turns slow.
	slowFactor = 6.5
	slowTime   = 2 * time.Second
	// touchTime is the time after a disruption until things are calm.
	touchTime = 3 * time.Second
	// smallPrefix begins the IDs of the small jobs.
	smallPrefix = "15c0e7a2e"
)

// playSlow lets a job run that lasts, a large one and small ones, and makes the worker slow that runs most
// of the small ones.
func playSlow(s *stand) int {
	s.configure(3, []route{newRoute("a", "pule25.example", "/puxa400/", "seats"), newRoute("b", "pule25.example", "/dede484/", "seats"), newRoute("c", "pule25.example", "/tobi117/", "seats")}, "seats")
	for n := range 9 {
		if err := s.fleet.add(fmt.Sprintf("m%d", n), "seats", []string{"bole", "arat-kilo", "piassa"}[n%3], fmt.Sprintf("r1-%d", n/4), 64_000, 262_144); err != nil {
			s.record.add("cannot run: %v", err)
			return invalid
		}
	}
	if !s.startEntries() {
		return invalid
	}
	time.Sleep(4 * time.Second)
	c := newClient("pule25.example", s.entries, s.record)
	if !s.submitLasting(c) {
		return invalid
	}
	s.fleet.quiet[largeJob] = true
	spec, _ := json.Marshal(taskSpec{Long: 60_000, Saves: true})
	s.fleet.declare(largeJob, []stepNeed{{cpu: 20, mem: 64}, {cpu: 1000, mem: 1024}})
	steps := []any{
		map[string]any{"count": largeTasks - 1, "cpu": 20, "memMb": 64, "estMs": 60_000, "checkpoint": true},
		map[string]any{"count": 1, "cpu": 1000, "memMb": 1024, "estMs": 300_000, "after": []int{0}},
	}
	if !c.submit("/puxa400/"+largeJob, map[string]any{"spec": string(spec), "steps": steps}, 15) || !s.awaitRuns(largeJob, largeTasks-1) {
		return invalid
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var small sync.WaitGroup
	small.Go(func() { s.submitSmall(c, stop) })
	time.Sleep(8 * time.Second)
	if s.trouble {
		w := s.fleet.busiest(smallPrefix, s.record.at()-3*time.Second)
		s.record.add("platform: worker %s turns slow, %.1f times for %v", w.id, slowFactor, slowTime)
		w.slow(slowFactor, slowTime)
	}
	from := s.record.at() + slowTime + touchTime
	time.Sleep(25 * time.Second)
	close(stop)
	small.Wait()
	s.summary(c)
	return s.judgeLasting(from)
}

// submitSmall hands in small jobs until it is stopped.
func (s *stand) submitSmall(c *client, stop <-chan struct{}) {
	var all sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			all.Wait()
			return
		case <-time.After(200 * time.Millisecond):
		}
		all.Go(func() {
			id := fmt.Sprintf("%s%07x", smallPrefix, n)
			s.fleet.declare(id, []stepNeed{{cpu: 500, mem: 256}})
			spec, _ := json.Marshal(taskSpec{Long: 500})
			step := map[string]any{"count": 4, "cpu": 500, "memMb": 256, "estMs": 500}
			c.submit("/puxa400/"+id, map[string]any{"spec": string(spec), "steps": []any{step}}, 2)
		})
	}
}

// busiest returns the worker that has begun most tasks of some jobs since a time.
func (f *fleet) busiest(prefix string, since time.Duration) *worker {
	f.mu.Lock()
	counts := map[string]int{}
	for _, r := range f.runs {
		if r.began >= since && len(r.task) > len(prefix) && r.task[:len(prefix)] == prefix {
			counts[r.worker]++
		}
	}
	f.mu.Unlock()
	var best *worker
	for _, w := range f.workers() {
		if best == nil || counts[w.id] > counts[best.id] {
			best = w
		}
	}
	return best
}
