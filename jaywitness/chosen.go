package jaywitness

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// perPool is the number of entries that may be witnesses of a pool.
const perPool = 16

// Chosen returns the names of the entries that may be witnesses of a pool's jobs, in no
// particular order: up to perPool of the named entries. An entry that joins or leaves replaces
// one of them at most.
//
// It handles this load: a new owner asks all witnesses at once. If every entry could be one, the
// questions of a takeover would grow with the entries, beyond what an entry can connect to and
// beyond the time for an answer.
func Chosen(pool string, entries []string) []string {
	if len(entries) <= perPool {
		return entries
	}
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(entries))
	for n, name := range entries {
		all[n] = scored{name, xxhash.Sum64String(pool + "\x00" + name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, perPool)
	for n := range chosen {
		chosen[n] = all[n].name
	}
	return chosen
}

// Choices keeps the witnesses of each pool until the entries change. It is safe for concurrent use.
type Choices struct {
	mu      sync.Mutex
	version int64
	byPool  map[string][]string
}

// Of returns the names of the entries that may be witnesses of a pool's jobs. The version is a
// number that changes with the entries.
func (c *Choices) Of(pool string, version int64, entries func() []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != c.version || c.byPool == nil {
		c.version, c.byPool = version, map[string][]string{}
	}
	chosen, known := c.byPool[pool]
	if !known {
		chosen = Chosen(pool, entries())
		c.byPool[pool] = chosen
	}
	return chosen
}
