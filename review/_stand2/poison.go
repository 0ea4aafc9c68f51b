package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"] = playedCase{options: options{entries: 4}, play: playPoison}
}

const (
	// poisonJobs of the jobs that come can never be done: a task needs more memory than any worker has.
	poisonJobs = 8
	// soundJobs come with them, so that they are a twentieth.
	soundJobs    = 152
	poisonTime   = 3 * time.Second
	poisonTasks  = 10_000
	poisonMemory = 300_000
	// finishTime is how long after the end of the traffic the jobs are asked for.
	finishTime = 14 * time.Second
	// poisonWatch is how long after it the tasks that last are watched.
	poisonWatch = 45 * time.Second
)

// playPoison lets a job run that lasts, and hands in many jobs, a twentieth of which can never be done.
func playPoison(s *stand) int {
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
	sound := s.submitWithPoison(c)
	from := s.record.at()
	time.Sleep(finishTime)
	unanswered, unfinished := s.askForAll(c, sound)
	s.record.add("check LOST: %v after the end of the traffic, %d of the %d sound jobs that were accepted got no answer on their state from any of three entries; %d were not shown as done", finishTime, unanswered, len(sound), unfinished)
	time.Sleep(max(0, from+poisonWatch-s.record.at()))
	if s.judgeLasting(from+touchTime) == broken || unanswered > 0 {
		return broken
	}
	return held
}

// submitWithPoison hands in all jobs within poisonTime, and returns the paths of the sound ones that were
// accepted.
func (s *stand) submitWithPoison(c *client) []string {
	var all sync.WaitGroup
	var mu sync.Mutex
	var sound []string
	jobs := poisonJobs + soundJobs
	for n := range jobs {
		all.Go(func() {
			time.Sleep(poisonTime * time.Duration(n) / time.Duration(jobs))
			id := fmt.Sprintf("15c0e7a2e%07x", n)
			poisoned := n%(jobs/poisonJobs) == 0 && s.trouble
			step := map[string]any{"count": 2, "cpu": 500, "memMb": 256, "estMs": 500}
			if poisoned {
				step = map[string]any{"count": poisonTasks, "cpu": 500, "memMb": poisonMemory, "estMs": 500}
			}
			spec, _ := json.Marshal(taskSpec{Long: 500})
			s.fleet.declare(id, []stepNeed{{cpu: 500, mem: 256}})
			accepted := c.submit("/puxa400/"+id, map[string]any{"spec": string(spec), "steps": []any{step}}, 2)
			if accepted && !poisoned {
				mu.Lock()
				sound = append(sound, "/puxa400/"+id)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return sound
}

// askForAll asks three entries in turn for the state of each job. It returns how many got no answer, and how
// many were not shown as done.
func (s *stand) askForAll(c *client, paths []string) (unanswered, unfinished int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for n, path := range paths {
		all.Go(func() {
			state := ""
			for k := 0; k < 3 && state == ""; k++ {
				e := c.entries[(n+k)%len(c.entries)]
				status, text := c.call(e, http.MethodGet, path, nil)
				s.record.add("client: GET %s at %s: %d %.60s", path, e.name, status, text)
				if status == http.StatusOK {
					state = text
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if state == "" {
				unanswered++
			}
			if !strings.Contains(state, "done") {
				unfinished++
			}
		})
	}
	all.Wait()
	return unanswered, unfinished
}
