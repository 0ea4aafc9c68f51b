package jayport

import "sync"

// Arrivals records which answers of the store are arriving, and which records are known to
// exist although they may not have arrived yet. It is safe for concurrent use.
type Arrivals struct {
	mu   sync.Mutex
	open map[Partition]int
	ends map[Partition]int64
}

// NewArrivals returns Arrivals without any answer.
func NewArrivals() *Arrivals {
	return &Arrivals{open: map[Partition]int{}, ends: map[Partition]int64{}}
}

// Begin records that an answer with records of a partition has begun to arrive. The returned
// function is called once when it is complete or has failed.
func (a *Arrivals) Begin(p Partition) (ended func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[p]++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open[p]--
	}
}

// Arriving reports whether an answer with records of a partition is arriving.
func (a *Arrivals) Arriving(p Partition) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open[p] > 0
}

// Exists records that a partition has a record before an offset.
func (a *Arrivals) Exists(p Partition, before int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ends[p] = max(a.ends[p], before)
}

// KnownEnd returns the offset after the last record of a partition that is known to exist, or
// zero if none is.
func (a *Arrivals) KnownEnd(p Partition) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ends[p]
}
