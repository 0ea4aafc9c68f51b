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
	// shed is closed when a request of higher priority took the place.
	shed chan struct{}
}

// queue holds waiters: the highest priority first, callers of one priority in
// turn, the requests of one caller in order of arrival.
type queue struct {
	levels [jayrule.Urgent + 1]level
	size   int
}

type level struct {
	callers map[string][]*waiter
	turns   []string
	size    int
}

func (q *queue) push(w *waiter) {
	l := &q.levels[w.priority]
	if l.callers == nil {
		l.callers = map[string][]*waiter{}
	}
	if len(l.callers[w.caller]) == 0 {
		l.turns = append(l.turns, w.caller)
	}
	l.callers[w.caller] = append(l.callers[w.caller], w)
	l.size++
	q.size++
}

// each calls visit in the order of service until it returns false.
func (q *queue) each(visit func(*waiter) bool) {
	for p := int(jayrule.Urgent); p >= 0; p-- {
		l := &q.levels[p]
		for _, caller := range l.turns {
			if !visit(l.callers[caller][0]) {
				return
			}
		}
	}
}

// remove takes a waiter out; served moves its caller to the end of the turns.
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
	for n, c := range l.turns {
		if c == caller {
			l.turns = append(l.turns[:n:n], l.turns[n+1:]...)
			break
		}
	}
	if !empty {
		l.turns = append(l.turns, caller)
	}
}

// lowest returns the newest waiter of the caller that waits with most, in the
// lowest priority below p.
func (q *queue) lowest(p jayrule.Priority) *waiter {
	for level := jayrule.Low; level < p; level++ {
		l := &q.levels[level]
		if l.size == 0 {
			continue
		}
		return l.greediest()
	}
	return nil
}

func (l *level) greediest() *waiter {
	var most []*waiter
	for _, caller := range l.turns {
		if list := l.callers[caller]; len(list) > len(most) {
			most = list
		}
	}
	return most[len(most)-1]
}
