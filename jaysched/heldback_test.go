package jaysched

import (
	"testing"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

func TestStartsHeldBack(t *testing.T) {
	// Guards against an owner whose hosts are idle for seconds while tasks wait, and nothing
	// shows that its limit of starts in flight is the reason.
	heldBack := func(name, organisation string, want bool, limit int, change ...func(*jayspec.Step)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2) // room for eight tasks
			w.pool.SetQuotas(acmeQuotas(1000))
			w.pool.SetStarts(limit)
			spec := newSpec("j", 1, change...)
			spec.Organisation = organisation
			w.pool.Declare(spec, w.now)
			w.pool.Decide(w.now)
			is.Equal(w.pool.StartsHeldBack(), want)
			is.Equal(len(w.pool.quotas.reachedSince), 0) // the review records none: the next decision would report it as free
			w.pool.SetStarts(10)
			w.pool.Decide(w.now)
			is.True(!w.pool.StartsHeldBack()) // the limit has risen
		})
	}
	heldBack("a task with room waits", "", true, 3, tasks(6, 1000, 100))
	heldBack("all tasks have started", "", false, 6, tasks(6, 1000, 100))
	heldBack("the other tasks lack room", "", false, 8, tasks(9, 1000, 100))
	heldBack("no worker is suitable", "", false, 0, tasks(6, 1000, 100), func(s *jayspec.Step) { s.RequiredLabel = "gpu" })
	heldBack("nothing of the quota is lent yet", "acme", false, 0, tasks(6, 1000, 100))
}
