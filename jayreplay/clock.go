package jayreplay

import (
	"container/heap"
	"time"
)

// clock is the simulated time with the queue of pending events. It advances from event to
// event; an event itself takes no simulated time.
type clock struct {
	now     time.Duration
	pending events
	// eventCount is the number of events scheduled so far.
	eventCount int
}

type event struct {
	at time.Duration
	// sequence orders events that are due at the same time.
	sequence int
	do       func()
}

// after schedules do after a delay.
func (c *clock) after(d time.Duration, do func()) {
	c.eventCount++
	heap.Push(&c.pending, event{at: c.now + d, sequence: c.eventCount, do: do})
}

// every calls do at once and then at a fixed interval.
func (c *clock) every(d time.Duration, do func()) {
	do()
	c.after(d, func() { c.every(d, do) })
}

// run processes all events that are due up to the given time.
func (c *clock) run(until time.Duration) {
	for len(c.pending) > 0 && c.pending[0].at <= until {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; it implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; it implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
