package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["gang"] = playedCase{options: options{entries: 3}, play: playGang}
}

const (
	savingGangTasks = 8
	// gangCrashes is how often a worker crashes.
	gangCrashes = 3
	// gangDownTime is how long a worker is down then.
	gangDownTime = 4500 * time.Millisecond
)

// playGang lets a gang run whose tasks save their progress, and makes one of its workers crash.
func playGang(s *stand) int {
	s.configure(3, []route{newRoute("a", "pule25.example", "/puxa400/", "seats")}, "seats")
	for n := range 9 {
		if err := s.fleet.add(fmt.Sprintf("m%d", n), "seats", []string{"bole", "arat-kilo", "piassa"}[n%3], fmt.Sprintf("r1-%d", n/4), 64_000, 262_144); err != nil {
			s.record.add("cannot run: %v", err)
			return invalid
		}
	}
	if !s.startEntries() {
		return invalid
	}
	time.Sleep(2 * time.Second)
	c := newClient("pule25.example", s.entries, s.record)
	spec, _ := json.Marshal(taskSpec{Long: 25_000, Saves: true})
	// Four members fit on a worker.
	s.fleet.declare(gangJob, []stepNeed{{cpu: 15_000, mem: 1024, gang: savingGangTasks}})
	step := map[string]any{"count": savingGangTasks, "cpu": 15_000, "memMb": 1024, "estMs": 25_000, "gang": true, "checkpoint": true}
	if !c.submit("/puxa400/"+gangJob, map[string]any{"spec": string(spec), "steps": []any{step}}, 8) || !s.awaitRuns(gangJob, savingGangTasks) {
		return invalid
	}
	for range gangCrashes {
		time.Sleep(5700 * time.Millisecond)
		if s.trouble {
			s.crashHostOf(gangJob + ".0.0.0")
		}
	}
	return s.judgeSaved(c)
}

// crashHostOf makes the worker crash that runs a task.
func (s *stand) crashHostOf(task string) {
	id := ""
	for _, r := range s.fleet.runsOf(jobOf(task)) {
		if r.task == task && r.ended == 0 {
			id = r.worker
		}
	}
	for _, h := range s.fleet.hosts {
		if h.worker != nil && h.worker.id == id {
			s.fleet.crash(h, gangDownTime)
			return
		}
	}
}

// judgeSaved checks that all members of each run of the gang were started with the same saved value.
func (s *stand) judgeSaved(c *client) int {
	done := false
	for until := time.Now().Add(45 * time.Second); time.Now().Before(until) && !done; time.Sleep(500 * time.Millisecond) {
		status, text := c.call(c.entries[0], http.MethodGet, "/puxa400/"+gangJob, nil)
		done = status == http.StatusOK && strings.Contains(text, "done")
	}
	values, restarts := map[int64]map[string]int{}, 0
	for _, r := range s.fleet.runsOf(gangJob) {
		if values[r.number] == nil {
			values[r.number] = map[string]int{}
		}
		values[r.number][r.startedWith]++
	}
	differ := 0
	for number, of := range values {
		if number > 1 {
			restarts++
		}
		if len(of) > 1 {
			differ++
			s.record.add("check UNASKED: the members of run %d were started with different saved values: %v", number, of)
		}
	}
	s.record.add("check UNASKED: %d runs of the gang after the first, %d with different saved values; shown as done: %v", restarts, differ, done)
	switch {
	case differ > 0:
		return broken
	case !done:
		return invalid
	}
	return held
}
