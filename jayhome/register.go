// Package jayhome knows which pools may have jobs of a queue. Usually that is the queue's pool alone.
// Once the configuration assigns the queue to another pool, the former one keeps its jobs, and until
// all entries know the change, either pool may receive a job.
package jayhome

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// keyPrefix is the prefix of the keys of the records, followed by the pool.
const keyPrefix = "queues/"

// PoolOf returns the pool that a record belongs to, or false if it is not a record of this package.
func PoolOf(r jayport.Record) (pool string, ok bool) {
	return strings.CutPrefix(r.Key, keyPrefix)
}

// Record returns the record by which the owner of a pool declares the addresses of the queues that may
// have jobs in the pool.
func Record(pool string, addresses []string) jayport.Record {
	value, err := proto.Marshal(&jaywire.PoolQueues{Addresses: addresses})
	if err != nil {
		// Addresses come from a configuration in UTF-8.
		panic("encode queues of a pool: " + err.Error())
	}
	return jayport.Record{Key: keyPrefix + pool, Value: value}
}

// set is a set of strings.
type set map[string]bool

// Register holds the pools that may have jobs of each queue, by the queue's address. It is safe for
// concurrent use.
type Register struct {
	mu sync.Mutex
	// recorded are the queues that the owner of each pool has recorded.
	recorded map[string]set
	// learned are the queues of each pool that are known from configurations and from other owners
	// since the pool's latest record.
	learned map[string]set
	// assigned is the latest pool of each queue in the configurations seen here.
	assigned map[string]string
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{recorded: map[string]set{}, learned: map[string]set{}, assigned: map[string]string{}}
}

// Apply applies a record of a pool. It returns an error for one that cannot be decoded.
func (r *Register) Apply(record jayport.Record) error {
	pool, _ := PoolOf(record)
	queues := &jaywire.PoolQueues{}
	if err := proto.Unmarshal(record.Value, queues); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := set{}
	for _, address := range queues.Addresses {
		recorded[address] = true
	}
	r.recorded[pool] = recorded
	delete(r.learned, pool)
	return nil
}

// Assign records that a configuration assigns a queue to a pool.
func (r *Register) Assign(address, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, known := r.assigned[address]
	r.assigned[address] = pool
	if known && former != pool {
		r.learn(address, former)
		r.learn(address, pool)
	}
}

// Learn records that a pool has received jobs of a queue.
func (r *Register) Learn(address, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learn(address, pool)
}

func (r *Register) learn(address, pool string) {
	if r.recorded[pool][address] {
		return
	}
	if r.learned[pool] == nil {
		r.learned[pool] = set{}
	}
	r.learned[pool][address] = true
}

// Others returns the pools, except for the given one, that may have jobs of a queue, sorted.
func (r *Register) Others(address, except string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	others := set{}
	for _, known := range []map[string]set{r.recorded, r.learned} {
		for pool, queues := range known {
			if pool != except && queues[address] {
				others[pool] = true
			}
		}
	}
	if pool := r.assigned[address]; pool != "" && pool != except {
		others[pool] = true
	}
	return slices.Sorted(maps.Keys(others))
}

// HasRecorded reports whether the owner of a pool has recorded a queue.
func (r *Register) HasRecorded(pool, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded[pool][address]
}

// Recorded returns the queues that the owner of a pool has recorded, sorted.
func (r *Register) Recorded(pool string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.recorded[pool]))
}

// Pools returns the pools that have recorded queues, sorted.
func (r *Register) Pools() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	for pool, queues := range r.recorded {
		if len(queues) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}
