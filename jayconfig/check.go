package jayconfig

import (
	"fmt"
	"time"

	"jaythread/jayrule"
)

// Defaults of the limits of each instance of a pool.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// reporter collects problems with the values at JSON pointers.
type reporter interface {
	Add(pointer, format string, args ...any)
}

func (c *Configuration) check(d reporter) {
	location, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		d.Add("/timeZone", "%q is no time zone, such as Africa/Addis_Ababa", c.TimeZone)
		location = time.UTC
	}
	c.location = location
	c.checkPools(d)
	teams := c.checkTeams(d)
	c.checkJobs(d, teams)
	c.checkRules(d)
}

func (c *Configuration) checkPools(d reporter) {
	if len(c.Pools) == 0 {
		d.Add("/pools", "at least one pool is needed")
	}
	seen := map[string]bool{}
	for i, p := range c.Pools {
		at := fmt.Sprintf("/pools/%d", i)
		checkName(d, at, p.Name, seen)
		if len(p.Instances) == 0 {
			d.Add(at+"/instances", "at least one identity or pattern is needed")
		}
		if p.MinAvailable < 0 {
			d.Add(at+"/minAvailable", "%d is negative", p.MinAvailable)
		}
		if p.Survive != "" && p.Survive != "rack" && p.Survive != "dataCenter" {
			d.Add(at+"/survive", "%q is none of rack, dataCenter", p.Survive)
		}
		if p.Slots < 1 || p.Slots > 10_000 {
			d.Add(at+"/slots", "%d is outside 1 to 10000", p.Slots)
		}
		if p.Connections < p.Slots || p.Connections > 100_000 {
			d.Add(at+"/connections", "%d is outside slots (%d) to 100000", p.Connections, p.Slots)
		}
	}
}

func (c *Configuration) checkTeams(d reporter) map[string]bool {
	seen := map[string]bool{}
	for i, t := range c.Teams {
		at := fmt.Sprintf("/teams/%d", i)
		checkName(d, at, t.Name, seen)
		if t.Processors < 0 || t.MemoryGigabytes < 0 || t.Accelerators < 0 {
			d.Add(at, "a quota is not negative")
		}
	}
	return seen
}

func (c *Configuration) checkJobs(d reporter, teams map[string]bool) {
	seen := map[string]bool{}
	for i, j := range c.Jobs {
		at := fmt.Sprintf("/jobs/%d", i)
		checkName(d, at, j.Name, seen)
		if _, ok := c.pools[j.Pool]; !ok {
			d.Add(at+"/pool", "no pool %q is declared", j.Pool)
		}
		if !teams[j.Team] {
			d.Add(at+"/team", "no team %q is declared", j.Team)
		}
		if j.Replicas < 1 || j.Replicas > 100_000 {
			d.Add(at+"/replicas", "%d is outside 1 to 100000", j.Replicas)
		}
		if _, err := jayrule.ParsePriority(j.Priority); err != nil {
			d.Add(at+"/priority", "%v", err)
		}
		if j.Processors < 0 || j.MemoryGigabytes < 0 || j.Accelerators < 0 {
			d.Add(at, "a job's size is not negative")
		}
	}
}

func (c *Configuration) checkRules(d reporter) {
	seen := map[string]bool{}
	for i := range c.Rules {
		r := &c.Rules[i]
		at := fmt.Sprintf("/rules/%d", i)
		checkName(d, at, r.Name, seen)
		action, err := r.Action()
		if err != nil {
			d.Add(at+"/then", "%v", err)
		}
		c.actions[r.Name] = action
		if route, ok := action.(jayrule.Route); ok {
			if _, declared := c.pools[route.Pool]; !declared {
				d.Add(at+"/then/route", "no pool %q is declared", route.Pool)
			}
		}
		if r.When.Hours != "" {
			if _, _, err := jayrule.ParseHours(r.When.Hours); err != nil {
				d.Add(at+"/when/hours", "%v", err)
			}
		}
		if earlier, shadowed := c.Rules.Shadowed(i); shadowed {
			d.Add(at, "rule %q can never decide: the earlier rule %q matches whatever it matches", r.Name, earlier)
		}
	}
}

func checkName(d reporter, at, name string, seen map[string]bool) {
	if name == "" {
		d.Add(at, "a name is needed")
	}
	if seen[name] {
		d.Add(at+"/name", "%q stands twice", name)
	}
	seen[name] = true
}
