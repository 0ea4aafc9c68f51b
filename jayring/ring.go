// Package jayring provides a bounded queue for passing items between the goroutines
// of an entry instance.
package jayring

import "sync"

// Ring is a bounded queue that is safe for concurrent use. Use New to create one;
// the zero value is not usable.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	size    int
	dropped uint64
	wake    chan struct{}
}

// New returns a ring that holds up to capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, capacity), wake: make(chan struct{}, 1)}
}

// Offer adds an item. It returns false and does not add the item if the ring is
// full.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		return false
	}
	r.put(item)
	return true
}

// Push adds an item. If the ring is full, it drops the oldest item. Push is
// suitable for observations, where a new item supersedes older ones.
func (r *Ring[T]) Push(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		r.take()
		r.dropped++
	}
	r.put(item)
}

// Take removes and returns the oldest item. It returns false if the ring is empty.
func (r *Ring[T]) Take() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var none T
		return none, false
	}
	return r.take(), true
}

// Ready returns a channel that receives a value after items were added. One value
// may stand for several items, so a receiver must call Take until the ring is
// empty.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.wake
}

// Dropped returns the number of items that Push has dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// put adds an item to a ring that is not full and signals the receiver. The caller
// holds the mutex.
func (r *Ring[T]) put(item T) {
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take removes the oldest item of a ring that is not empty. The caller holds the
// mutex.
func (r *Ring[T]) take() T {
	var none T
	item := r.items[r.head]
	r.items[r.head] = none
	r.head = (r.head + 1) % len(r.items)
	r.size--
	return item
}
