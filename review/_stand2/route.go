package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["route"] = playedCase{options: options{entries: 3}, play: playRoute}
}

const (
	movedJob  = "5c0e7a21d94b36f8"
	movedPath = "/puxa400/" + movedJob
	// visibleTime is how long after its acceptance a job may be unknown.
	visibleTime = 3 * time.Second
)

// playRoute hands a job in. Then one version of the configuration removes its queue, and the next one adds a
// queue of the same host and prefix that another service runs.
func playRoute(s *stand) int {
	before, after := newRoute("a", "pule25.example", "/puxa400/", "seats"), newRoute("a", "pule25.example", "/puxa400/", "fees")
	other := newRoute("b", "pule25.example", "/dede484/", "seats")
	s.configure(3, []route{before, other}, "seats", "fees")
	for n := range 6 {
		if err := s.fleet.add(fmt.Sprintf("m%d", n), []string{"seats", "fees"}[n%2], "bole", fmt.Sprintf("r1-%d", n/4), 64_000, 262_144); err != nil {
			s.record.add("cannot run: %v", err)
			return invalid
		}
	}
	if !s.startEntries() {
		return invalid
	}
	time.Sleep(3 * time.Second)
	c := newClient("pule25.example", s.entries, s.record)
	spec, _ := json.Marshal(taskSpec{Long: 20_000})
	s.fleet.declare(movedJob, []stepNeed{{cpu: 1000, mem: 512}})
	body := map[string]any{"spec": string(spec), "steps": []any{map[string]any{"count": 2, "cpu": 1000, "memMb": 512, "estMs": 20_000}}}
	if !c.submit(movedPath, body, 8) || !s.awaitRuns(movedJob, 2) {
		return invalid
	}
	accepted := s.record.at()
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.configure(4, []route{other}, "seats", "fees")
		time.Sleep(time.Second)
		s.configure(5, []route{after, other}, "seats", "fees")
	}
	time.Sleep(max(0, accepted+visibleTime+4*time.Second-s.record.at()))
	return s.judgeMoved(c, body)
}

// judgeMoved asks for the job's state, repeats its submission as a client does whose answer was late, and
// counts the tasks that run twice.
func (s *stand) judgeMoved(c *client, body any) int {
	gone, known := 0, 0
	for _, e := range c.entries {
		status, text := c.call(e, http.MethodGet, movedPath, nil)
		s.record.add("client: GET %s at %s: %d %.60s", movedPath, e.name, status, text)
		switch {
		case status == http.StatusGone:
			gone++
		case status == http.StatusOK && strings.Contains(text, "running"):
			known++
		}
	}
	status, text := c.call(c.entries[1], http.MethodPost, movedPath, body)
	s.record.add("client: POST %s again at %s: %d %.60s", movedPath, c.entries[1].name, status, text)
	time.Sleep(4 * time.Second)
	twice := 0
	runs := s.fleet.runsOf(movedJob)
	for n, r := range runs {
		for _, other := range runs[:n] {
			if other.task == r.task && (other.ended == 0 || other.ended > r.began) {
				twice++
				s.record.add("check TWICE: %s runs on %s since %.3f s and on %s since %.3f s", r.task, other.worker, other.began.Seconds(), r.worker, r.began.Seconds())
			}
		}
	}
	s.record.add("check LOST: %d of %d GETs for the accepted job were answered 410", gone, len(c.entries))
	s.record.add("check TWICE: %d second runs of its tasks at the same time", twice)
	switch {
	case gone > 0 || twice > 0:
		return broken
	case known == 0:
		return invalid
	}
	return held
}
