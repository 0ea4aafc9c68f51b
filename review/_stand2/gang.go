package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTime is how long a member waits for the others.
const gangTime = 3 * time.Second

// gang is one run of a gang. Its members work from the moment when all are present.
type gang struct {
	name  string
	count int

	mu      sync.Mutex
	members map[*run]*worker
	// since is when all were present, worked the work that the checkpoint of the start stands for.
	since  time.Time
	worked time.Duration
	ending bool
}

// joinGang adds a run to its gang, if its step is one. left is the work that is left.
func (f *fleet) joinGang(w *worker, r *run, left time.Duration) bool {
	parts := strings.Split(r.task, ".")
	step, _ := strconv.Atoi(parts[2])
	f.mu.Lock()
	need := f.jobs[parts[0]][step]
	if need.gang == 0 {
		f.mu.Unlock()
		return false
	}
	name := strings.Join(parts[:3], ".")
	key := fmt.Sprint(name, " run ", r.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{name: name, count: need.gang, members: map[*run]*worker{}}
		f.gangs[key] = g
	}
	f.mu.Unlock()
	r.gang = g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[r] = w
	r.timer = time.AfterFunc(gangTime, func() {
		g.mu.Lock()
		alone := g.since.IsZero()
		g.mu.Unlock()
		if alone {
			w.endLater(r, "alone")
		}
	})
	if len(g.members) == g.count {
		g.since, g.worked = time.Now(), r.worked
		time.AfterFunc(left, func() { g.end("done") })
	}
	return true
}

// saved returns the checkpoint of the gang: any member's value is valid for all of them.
func (g *gang) saved() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() {
		return ""
	}
	work := g.worked + time.Since(g.since)
	work -= work % saveTime
	if work <= 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(g.name))
	return fmt.Sprintf("%08x%08x", work.Milliseconds(), h.Sum32())
}

// memberEnded ends the other members when one has ended otherwise than with all.
func (g *gang) memberEnded(r *run, how string) {
	if how != "done" && how != "broken" {
		g.end("broken")
	}
}

// end ends all members, once.
func (g *gang) end(how string) {
	g.mu.Lock()
	if g.ending {
		g.mu.Unlock()
		return
	}
	g.ending = true
	members := g.members
	g.mu.Unlock()
	for r, w := range members {
		w.endLater(r, how)
	}
}
