// Package jaycatalog holds one revision of what operators have declared for
// the job service: pools, queues and the ordered rules that send a request to
// a queue. A catalog is replaced as a whole and never changed.
package jaycatalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaythread/jayrule"
	"jaythread/jayspec"
)

// Pool is a group of instances that run the tasks of some queues.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Guarded workers refuse what does not fit; others start what they are
	// told to.
	Guarded bool
	// Standby pools hold instances that are off and cost nothing.
	Standby bool
}

// Queue takes jobs for a pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	Policy jayspec.Policy
	// Timeout bounds the answer to a request about the queue; zero does not.
	Timeout time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one revision.
type Catalog struct {
	Revision int64
	Limits   Limits
	Pools    map[string]Pool
	Queues   map[string]Queue
	rules    jayrule.List
}

// New returns a catalog whose rules try longer path prefixes first, so that
// the first match is the longest one.
func New(revision int64, limits Limits, pools []Pool, queues []Queue) *Catalog {
	c := &Catalog{
		Revision: revision,
		Limits:   limits,
		Pools:    make(map[string]Pool, len(pools)),
		Queues:   make(map[string]Queue, len(queues)),
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	ordered := slices.Clone(queues)
	slices.SortStableFunc(ordered, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Name, b.Name))
	})
	for _, q := range ordered {
		c.Queues[q.Name] = q
		c.rules = append(c.rules, jayrule.Rule{
			Name:  q.Name,
			About: jayrule.AboutRequest,
			When:  jayrule.When{Service: []string{q.Host}, Path: []string{q.Prefix + "*"}},
			Then:  jayrule.Then{Route: q.Pool},
		})
	}
	return c
}

// Match returns the queue that a request is for and what follows the queue's
// prefix in its path.
func (c *Catalog) Match(host, path string) (queue Queue, rest string, found bool) {
	rule, found := c.rules.Decide(&jayrule.Subject{Kind: jayrule.AboutRequest, Service: host, Path: path})
	if !found {
		return Queue{}, "", false
	}
	queue = c.Queues[rule.Name]
	return queue, path[len(queue.Prefix):], true
}

// WorkingPools returns the names of the pools that run tasks, in order.
func (c *Catalog) WorkingPools() []string {
	var names []string
	for name, p := range c.Pools {
		if !p.Standby {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StandbyPools returns the names of the pools whose instances are off, in
// order.
func (c *Catalog) StandbyPools() []string {
	var names []string
	for name, p := range c.Pools {
		if p.Standby {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
