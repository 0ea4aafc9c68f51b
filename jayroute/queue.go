package jayroute

import (
	"jaythread/jayrule"
)

// waiter is a request that waits for a slot.
type waiter struct {
	caller   string
	priority jayrule.Priority
	avoid    []string
	granted  chan *Upstream
	// shed is closed when a request of higher priority takes the waiter's place.
	shed chan struct{}
}

// queue holds the waiters. The highest priority is served first, the callers of
// one priority in rotation, and the requests of one caller in order of arrival.
type queue struct {
	levels [jayrule.Urgent + 1]level
	size   int
}

type level struct {
	callers  map[string][]*waiter
	rotation []string
	size     int
}

func (q *queue) push(w *waiter) {
	l := &q.levels[w.priority]
	if l.callers == nil {
		l.callers = map[string][]*waiter{}
	}
	if len(l.callers[w.caller]) == 0 {
		l.rotation = append(l.rotation, w.caller)
	}
	l.callers[w.caller] = append(l.callers[w.caller], w)
	l.size++
	q.size++
}

// each calls visit for the first waiter of each caller in the order of service
// until visit returns false.
func (q *queue) each(visit func(*waiter) bool) {
	for p := int(jayrule.Urgent); p >= 0; p-- {
		l := &q.levels[p]
		for _, caller := range l.rotation {
			if !visit(l.callers[caller][0]) {
				return
			}
		}
	}
}

// remove removes a waiter and reports whether it was queued. If it was served, its
// caller moves to the end of the rotation.
func (q *queue) remove(w *waiter, served bool) bool {
	l := &q.levels[w.priority]
	list := l.callers[w.caller]
	for n, other := range list {
		if other != w {
			continue
		}
		l.callers[w.caller] = append(list[:n:n], list[n+1:]...)
		l.size--
		q.size--
		l.endTurn(w.caller, served)
		return true
	}
	return false
}

func (l *level) endTurn(caller string, served bool) {
	empty := len(l.callers[caller]) == 0
	if empty {
		delete(l.callers, caller)
	}
	if !empty && !served {
		return
	}
	for n, c := range l.rotation {
		if c == caller {
			l.rotation = append(l.rotation[:n:n], l.rotation[n+1:]...)
			break
		}
	}
	if !empty {
		l.rotation = append(l.rotation, caller)
	}
}

// evictionCandidate returns a waiter to evict in favor of priority p: in the
// lowest occupied priority below p, the newest waiter of the caller with the most
// waiters.
func (q *queue) evictionCandidate(p jayrule.Priority) *waiter {
	for level := jayrule.Low; level < p; level++ {
		l := &q.levels[level]
		if l.size == 0 {
			continue
		}
		return l.newestOfLargestCaller()
	}
	return nil
}

func (l *level) newestOfLargestCaller() *waiter {
	var most []*waiter
	for _, caller := range l.rotation {
		if list := l.callers[caller]; len(list) > len(most) {
			most = list
		}
	}
	return most[len(most)-1]
}
