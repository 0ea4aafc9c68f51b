package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["quota"] = playedCase{options: options{entries: 3, extra: map[string]any{"declarationTime": "3000ms", "revocationTime": "5000ms"}}, play: playQuota}
}

const (
	// gangTasks members of gangCPU each are handed in as one gang.
	gangTasks = 8
	gangCPU   = 2000
	gangJob   = "5c0e7a21d94b36f8"
	otherJob  = "15c0e7a21d900001"
	// usualCount and loweredCount are the tenant's maxCount of cpu.
	usualCount   = 20_000
	loweredCount = 6_000
	// loweredTime is how long the lower one is in force.
	loweredTime = 3 * time.Second
)

// playQuota hands in a gang that waits for room, and lowers the quota of its tenant for some seconds.
func playQuota(s *stand) int {
	routes := []route{newRoute("a", "pule25.example", "/puxa400/", "seats")}
	s.configureTenants(3, routes, usualCount)
	for n := range 2 {
		if err := s.fleet.add(fmt.Sprintf("m%d", n), "seats", "bole", fmt.Sprintf("r1-%d", n), 16_000, 65_536); err != nil {
			s.record.add("cannot run: %v", err)
			return invalid
		}
	}
	if !s.startEntries() {
		return invalid
	}
	time.Sleep(3 * time.Second)
	other, own := newClient("pule25.example", s.entries, s.record), newClient("pule25.example", s.entries, s.record)
	other.key, own.key = "key-of-the-other-tenant", "key-of-the-tenant"
	if !s.submitOther(other) || !s.submitGang(own) {
		return invalid
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.configureTenants(4, routes, loweredCount)
		time.Sleep(loweredTime)
		s.configureTenants(5, routes, usualCount)
	}
	return s.judgeGang(own)
}

// submitOther hands in the job of another tenant, which leaves too little room for the gang for a while.
func (s *stand) submitOther(c *client) bool {
	spec, _ := json.Marshal(taskSpec{Long: 12_000})
	s.fleet.declare(otherJob, []stepNeed{{cpu: 10_000, mem: 1024}})
	step := map[string]any{"count": 2, "cpu": 10_000, "memMb": 1024, "estMs": 12_000}
	return c.submit("/puxa400/"+otherJob, map[string]any{"spec": string(spec), "steps": []any{step}}, 6) && s.awaitRuns(otherJob, 2)
}

func (s *stand) submitGang(c *client) bool {
	spec, _ := json.Marshal(taskSpec{Long: 1_500})
	s.fleet.declare(gangJob, []stepNeed{{cpu: gangCPU, mem: 512}})
	step := map[string]any{"count": gangTasks, "cpu": gangCPU, "memMb": 512, "estMs": 20_000, "gang": true}
	return c.submit("/puxa400/"+gangJob, map[string]any{"spec": string(spec), "steps": []any{step}}, 6)
}

// judgeGang checks the rule LOST: the job is not shown as failed, since no run of it has failed.
func (s *stand) judgeGang(c *client) int {
	last := ""
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		e := c.entries[int(s.record.at()/time.Second)%len(c.entries)]
		status, text := c.call(e, http.MethodGet, "/puxa400/"+gangJob, nil)
		s.record.add("client: GET /puxa400/%s at %s: %d %.60s", gangJob, e.name, status, text)
		if status == http.StatusOK {
			last = text
		}
		if strings.Contains(text, "done") || strings.Contains(text, "failed") {
			break
		}
	}
	runs, failed := s.fleet.runsOf(gangJob), 0
	for _, r := range runs {
		if r.how == "failed" {
			failed++
		}
	}
	s.record.add("check LOST: the gang is shown as %s; %d of its runs have begun, %d have ended as failed", last, len(runs), failed)
	switch {
	case strings.Contains(last, "failed") && failed == 0:
		return broken
	case strings.Contains(last, "done"):
		return held
	}
	return invalid
}

// configureTenants writes a configuration with two tenants, the first of which has a quota.
func (s *stand) configureTenants(version int, routes []route, cpu int) {
	tenants := []any{
		map[string]any{"name": "college", "apiKeys": []string{"key-of-the-tenant"}, "weight": 4, "maxCount": map[string]any{"cpu": cpu, "memMb": 0, "gpu": 0}},
		map[string]any{"name": "other", "apiKeys": []string{"key-of-the-other-tenant"}, "weight": 4, "maxCount": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0}},
	}
	services := []any{map[string]any{"name": "seats", "enforcesCapacity": true}}
	s.store.Put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants})
	s.record.add("operator: configuration %d, with a maxCount of %d cpu", version, cpu)
}
