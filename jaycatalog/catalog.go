// Package jaycatalog holds one revision of the operators' declarations for the job
// service: pools, queues and the ordered rules that route a request to a queue. A
// catalog is immutable; a new revision replaces it as a whole.
package jaycatalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jaythread/jayorg"
	"jaythread/jayrule"
	"jaythread/jayspec"
)

// Pool declares a group of instances that run the tasks of one or more queues.
type Pool struct {
	Name       string
	HealthPath string
	MaxConns   int
	// Guarded states that the pool's workers refuse tasks that exceed their
	// capacity. Workers of other pools start every task that they are ordered to
	// start.
	Guarded bool
	// Standby marks a pool whose instances are off and cost nothing.
	Standby bool
}

// Queue declares a queue, which accepts jobs for a pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	Pool   string
	Policy jayspec.Policy
	// Timeout limits the time to respond to a request about the queue; zero means
	// no limit.
	Timeout time.Duration
	// Public states that callers need no key.
	Public bool
}

// Address returns what callers address the queue by. It does not depend on the queue's name and pool,
// which another revision may change.
func (q *Queue) Address() string {
	return q.Host + q.Prefix
}

// Limits holds the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one revision of the declarations.
type Catalog struct {
	Revision int64
	Limits   Limits
	Pools    map[string]Pool
	Queues   map[string]Queue
	// Organisations are those whose callers may use the queues that are not public. Nil
	// means that no queue needs a key.
	Organisations *jayorg.Directory
	rules         jayrule.List
	// byAddress holds the names of the queues by their addresses.
	byAddress map[string]string
}

// Option configures a new catalog.
type Option func(*Catalog)

// WithOrganisations declares the organisations.
func WithOrganisations(organisations []jayorg.Organisation) Option {
	return func(c *Catalog) { c.Organisations = jayorg.NewDirectory(organisations) }
}

// New returns a catalog. Its rules are ordered by decreasing length of the path
// prefix, so that the first match is the longest one.
func New(revision int64, limits Limits, pools []Pool, queues []Queue, options ...Option) *Catalog {
	c := &Catalog{
		Revision: revision,
		Limits:   limits,
		Pools:    make(map[string]Pool, len(pools)),
		Queues:   make(map[string]Queue, len(queues)),

		byAddress: make(map[string]string, len(queues)),
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
		c.byAddress[q.Address()] = q.Name
		c.rules = append(c.rules, jayrule.Rule{
			Name:  q.Name,
			About: jayrule.AboutRequest,
			When:  jayrule.When{Service: []string{q.Host}, Path: []string{q.Prefix + "*"}},
			Then:  jayrule.Then{Route: q.Pool},
		})
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Match returns the queue that a request is addressed to, and the part of the path
// that follows the queue's prefix.
func (c *Catalog) Match(host, path string) (queue Queue, rest string, found bool) {
	rule, found := c.rules.Decide(&jayrule.Subject{Kind: jayrule.AboutRequest, Service: host, Path: path})
	if !found {
		return Queue{}, "", false
	}
	queue = c.Queues[rule.Name]
	return queue, path[len(queue.Prefix):], true
}

// QueueAt returns the queue at an address.
func (c *Catalog) QueueAt(address string) (queue Queue, found bool) {
	name, found := c.byAddress[address]
	return c.Queues[name], found
}

// WorkingPools returns the names of all pools except standby pools, sorted.
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

// StandbyPools returns the names of the standby pools, sorted.
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
