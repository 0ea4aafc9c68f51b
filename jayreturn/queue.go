// Package jayreturn keeps the order in which rejected jobs are to return: each has a place in a
// virtual queue, ordered by first rejection, with the time at which its caller is asked to
// repeat the request.
package jayreturn

import (
	"time"
)

const (
	// MaxPlaces limits the memory for callers that do not return.
	MaxPlaces = 20_000
	// unusedTTL is how long after its time a place is kept. It covers the time that a request
	// takes and the differences between callers' timers; capacity that is kept for longer stays
	// unused if the caller has given up.
	unusedTTL = 2 * time.Second
)

// place is the place of a rejected job.
type place struct {
	work     float64
	priority int
	due      time.Duration
}

// slot identifies the places of one priority that are due within the same second.
type slot struct {
	priority int
	second   int64
}

// Queue is the virtual queue of one pool's rejected jobs. It is not safe for concurrent use.
type Queue struct {
	places map[string]place
	// last is the time of the latest place of each priority.
	last map[int]time.Duration
	// promised is the work of the places in each slot, counted the number of these places.
	promised map[slot]float64
	counted  map[slot]int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{places: map[string]place{}, last: map[int]time.Duration{}, promised: map[slot]float64{}, counted: map[slot]int{}}
}

// Len returns the number of places.
func (q *Queue) Len() int {
	return len(q.places)
}

// Give gives a rejected job a place after the given wait, but not before the places that were
// given earlier, and returns the time until then in whole seconds, as Retry-After has them. The
// wait includes the work that was promised to earlier places. A job keeps a place whose time has
// not come. A job that is rejected again at its time gets a new place after the wait alone, which
// may precede places that were given earlier. While the queue is full, Give returns the time
// without giving a place.
func (q *Queue) Give(id string, priority int, work float64, wait, now time.Duration) time.Duration {
	former, known := q.places[id]
	if known && former.due > now {
		return wholeSeconds(former.due - now)
	}
	if !known {
		wait = max(wait, q.last[priority]-now)
	}
	wait = max(time.Second, wholeSeconds(wait))
	if !known && len(q.places) >= MaxPlaces {
		return wait
	}
	q.Remove(id)
	q.add(id, place{work: work, priority: priority, due: now + wait})
	return wait
}

// wholeSeconds rounds a duration up to whole seconds.
func wholeSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}

func (q *Queue) add(id string, p place) {
	q.places[id] = p
	q.last[p.priority] = max(q.last[p.priority], p.due)
	at := p.slot()
	q.promised[at] += p.work
	q.counted[at]++
}

func (p place) slot() slot {
	return slot{priority: p.priority, second: int64(p.due / time.Second)}
}

// Remove removes the place of a job, for example because the job was accepted.
func (q *Queue) Remove(id string) {
	p, known := q.places[id]
	if !known {
		return
	}
	delete(q.places, id)
	if len(q.places) == 0 {
		clear(q.last)
	}
	at := p.slot()
	q.promised[at] -= p.work
	if q.counted[at]--; q.counted[at] == 0 {
		delete(q.promised, at)
		delete(q.counted, at)
	}
}

// Due returns when a job is to return; known is false if it has no place.
func (q *Queue) Due(id string) (due time.Duration, known bool) {
	p, known := q.places[id]
	return p.due, known
}

// Promised returns the work of the places that are due up to a time and have at least the
// urgency of a priority, where zero is the most urgent.
func (q *Queue) Promised(priority int, until time.Duration) float64 {
	work := 0.0
	for at, promised := range q.promised {
		if at.priority <= priority && at.second <= int64(until/time.Second) {
			work += promised
		}
	}
	return work
}

// Expire removes the places that were not used in time and returns how many there were.
func (q *Queue) Expire(now time.Duration) int {
	before := len(q.places)
	for id, p := range q.places {
		if now > p.due+unusedTTL {
			q.Remove(id)
		}
	}
	return before - len(q.places)
}
