// Package jayring joins the goroutines of an entry instance by bounded rings.
package jayring

import "sync"

// Ring is a bounded queue between one duty and another. The zero value is not
// usable; make one with New.
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

// Offer adds an item, or returns false if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		return false
	}
	r.put(item)
	return true
}

// Push adds an item and drops the oldest one if the ring is full. It suits
// observations of which the newest supersedes the older ones.
func (r *Ring[T]) Push(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == len(r.items) {
		r.take()
		r.dropped++
	}
	r.put(item)
}

// Take removes the oldest item; it returns false if the ring is empty.
func (r *Ring[T]) Take() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.size == 0 {
		var none T
		return none, false
	}
	return r.take(), true
}

// Ready returns a channel that receives after items were added. A receiver
// drains the ring with Take until it is empty.
func (r *Ring[T]) Ready() <-chan struct{} {
	return r.wake
}

// Dropped returns how many items Push has dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) put(item T) {
	r.items[(r.head+r.size)%len(r.items)] = item
	r.size++
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Ring[T]) take() T {
	var none T
	item := r.items[r.head]
	r.items[r.head] = none
	r.head = (r.head + 1) % len(r.items)
	r.size--
	return item
}
