package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["large"] = playedCase{options: options{entries: 4}, play: playLarge}
}

const (
	// largeTasks is the number of tasks of the large job. The first shortTasks of them end one after the
	// other, the rest go on.
	largeTasks = 10_000
	shortTasks = 120
	largeJob   = "5c0e7a21d94b36f8"
	// watchTime is how long the tasks are watched once the large job runs.
	watchTime = 18 * time.Second
)

// playLarge lets a job run that lasts, restarts the entries in turn twice, as for two releases, and then
// hands in a large job whose tasks save their progress.
func playLarge(s *stand) int {
	s.configure(3, []route{newRoute("a", "pule25.example", "/puxa400/", "seats"), newRoute("b", "pule25.example", "/dede484/", "seats")}, "seats")
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
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.rollingRestart()
		s.rollingRestart()
	}
	time.Sleep(6 * time.Second)
	if !s.submitLarge(c) {
		return invalid
	}
	from := s.record.at()
	time.Sleep(watchTime)
	s.summary(c)
	s.record.add("the store refused %d appends with a record beyond %d bytes", s.store.refused(), recordBytes)
	return s.judgeLasting(from)
}

// submitLarge hands in the large job and waits until its tasks have begun.
func (s *stand) submitLarge(c *client) bool {
	s.fleet.quiet[largeJob] = true
	spec, _ := json.Marshal(taskSpec{Short: shortTasks, Base: 5_000, Gap: 500, Long: 300_000, Saves: true})
	s.fleet.declare(largeJob, []stepNeed{{cpu: 5, mem: 20}})
	step := map[string]any{"count": largeTasks, "cpu": 5, "memMb": 20, "estMs": 100_000, "checkpoint": true}
	if !c.submit("/puxa400/"+largeJob, map[string]any{"spec": string(spec), "steps": []any{step}}, 4) {
		s.record.add("the large job was not accepted")
		return false
	}
	return s.awaitRuns(largeJob, largeTasks)
}

// summary writes what has become of the large job.
func (s *stand) summary(c *client) {
	ends := map[string]int{}
	for _, r := range s.fleet.runsOf(largeJob) {
		how := r.how
		if how == "" {
			how = "at work"
		}
		ends[how]++
	}
	s.record.add("the runs of the large job: %v", ends)
	status, text := c.call(c.entries[0], http.MethodGet, "/puxa400/"+largeJob, nil)
	s.record.add("client: GET /puxa400/%s: %d %.60s", largeJob, status, text)
}

// rollingRestart stops the entries one after the other with SIGTERM and starts them again.
func (s *stand) rollingRestart() {
	for _, e := range s.entries {
		e.mu.Lock()
		done := e.done
		e.mu.Unlock()
		e.signal(syscall.SIGTERM)
		select {
		case <-done:
		case <-time.After(6 * time.Second):
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		if !ready(e, 10*time.Second) {
			s.record.add("%s is not ready again", e.name)
		}
	}
}
