package jaystop

import "sync"

// Cut ends the waiting of all requests at once. It is safe for concurrent use.
type Cut struct {
	once sync.Once
	done chan struct{}
}

// NewCut returns a cut that has not happened.
func NewCut() *Cut {
	return &Cut{done: make(chan struct{})}
}

// Do makes the cut: requests in progress end at once, and later ones when they begin.
func (c *Cut) Do() {
	c.once.Do(func() { close(c.done) })
}

// Until returns the result of a request, or the given one once the cut is made. The request then goes on
// in the background.
func Until[T any](c *Cut, cut T, do func() T) T {
	select {
	case <-c.done:
		return cut
	default:
	}
	result := make(chan T, 1)
	go func() { result <- do() }()
	select {
	case got := <-result:
		return got
	case <-c.done:
		return cut
	}
}
