// Package jayconfig parses and validates the declared fleet configuration: pools,
// budgets, teams, jobs and rules. Operators keep the configuration under version
// control.
package jayconfig

import (
	"time"
	_ "time/tzdata" // The hosts of entry instances may lack a time zone database.

	"jaythread/jaydocument"
	"jaythread/jaypool"
	"jaythread/jayrule"
)

// Configuration is a complete fleet configuration.
type Configuration struct {
	// TimeZone is the time zone of all hours in rules, such as Africa/Addis_Ababa.
	TimeZone string       `json:"timeZone"`
	Pools    []Pool       `json:"pools"`
	Teams    []Team       `json:"teams"`
	Jobs     []Job        `json:"jobs"`
	Rules    jayrule.List `json:"rules"`

	location *time.Location
	pools    map[string]*Pool
	actions  map[string]jayrule.Action
}

// Pool declares a pool of instances with its budget and limits.
type Pool struct {
	Name string `json:"name"`
	// Instances holds patterns of instance identities. An instance joins the first
	// pool with a pattern that matches it.
	Instances []string `json:"instances"`
	// MinAvailable is the number of instances that must stay available at all
	// times.
	MinAvailable int `json:"minAvailable"`
	// Survive is the failure domain whose loss the pool must survive: rack or
	// dataCenter; empty means rack.
	Survive string `json:"survive"`
	// Slots and Connections limit the concurrent requests and the connections of
	// each instance.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// Team declares the resource quota of a team.
type Team struct {
	Name            string  `json:"name"`
	Processors      float64 `json:"processors"`
	MemoryGigabytes float64 `json:"memoryGigabytes"`
	Accelerators    int64   `json:"accelerators"`
}

// Job declares a number of identical tasks that must run in a pool.
type Job struct {
	Name            string  `json:"name"`
	Pool            string  `json:"pool"`
	Team            string  `json:"team"`
	Replicas        int     `json:"replicas"`
	Priority        string  `json:"priority"`
	Processors      float64 `json:"processors"`
	MemoryGigabytes float64 `json:"memoryGigabytes"`
	Accelerators    int64   `json:"accelerators"`
}

// Parse parses and validates a configuration. An error is of type
// jaydocument.Problems and gives the position of each problem.
func Parse(file string, text []byte) (*Configuration, error) {
	c := &Configuration{}
	d, err := jaydocument.Decode(file, text, c)
	if err != nil {
		return nil, err
	}
	c.index()
	c.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Location returns the time zone of the rules.
func (c *Configuration) Location() *time.Location {
	return c.location
}

// Pool returns the declaration of a pool, and whether it is declared.
func (c *Configuration) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Budget returns the availability budget of a pool. The budget of an undeclared
// pool is zero.
func (c *Configuration) Budget(pool string) jaypool.Budget {
	p, ok := c.pools[pool]
	if !ok {
		return jaypool.Budget{}
	}
	b := jaypool.Budget{MinAvailable: p.MinAvailable}
	if p.Survive == "dataCenter" {
		b.FailureDomain = jaypool.DataCenterDomain
	}
	return b
}

// PoolOf returns the pool that an instance belongs to according to its identity,
// and whether there is one.
func (c *Configuration) PoolOf(instance string) (string, bool) {
	for _, p := range c.Pools {
		for _, pattern := range p.Instances {
			if jayrule.Matches(pattern, instance) {
				return p.Name, true
			}
		}
	}
	return "", false
}

// Decide returns the action and the name of the first rule that matches, or nil and
// an empty name if no rule matches.
func (c *Configuration) Decide(s *jayrule.Subject) (jayrule.Action, string) {
	rule, ok := c.Rules.Decide(s)
	if !ok {
		return nil, ""
	}
	return c.actions[rule.Name], rule.Name
}

// Need returns the resources that one task of the job requires.
func (j *Job) Need() jaypool.Resources {
	return resources(j.Processors, j.MemoryGigabytes, j.Accelerators)
}

// Quota returns the resources that all tasks of the team may hold together.
func (t *Team) Quota() jaypool.Resources {
	return resources(t.Processors, t.MemoryGigabytes, t.Accelerators)
}

func resources(processors, gigabytes float64, accelerators int64) jaypool.Resources {
	return jaypool.Resources{
		ProcessorsMilli: int64(processors * 1000),
		MemoryMegabytes: int64(gigabytes * 1024),
		Accelerators:    accelerators,
	}
}

func (c *Configuration) index() {
	c.pools = make(map[string]*Pool, len(c.Pools))
	for i := range c.Pools {
		p := &c.Pools[i]
		if p.Slots == 0 {
			p.Slots = defaultSlots
		}
		if p.Connections == 0 {
			p.Connections = defaultConnections
		}
		c.pools[p.Name] = p
	}
	c.actions = make(map[string]jayrule.Action, len(c.Rules))
}
