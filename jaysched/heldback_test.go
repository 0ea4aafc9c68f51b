package jaysched

import (
	"testing"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

func TestStartsHeldBack(t *testing.T) {
	// Guards against an owner whose hosts are idle for seconds while tasks wait, and nothing
	// shows that its limit of starts in flight is the reason.
	heldBack := func(name string, want bool, limit int, spec *jayspec.Job) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2) // room for eight tasks
			w.pool.SetQuotas(acmeQuotas(1000))
			w.pool.SetStarts(limit)
			w.pool.Declare(spec, w.now)
			w.pool.Decide(w.now)
			is.Equal(w.pool.StartsHeldBack(), want)
			is.Equal(len(w.pool.quotas.reachedSince), 0) // the review records none: the next decision would report it as free
			w.pool.SetStarts(10)
			w.pool.Decide(w.now)
			is.True(!w.pool.StartsHeldBack()) // the limit has risen
		})
	}
	heldBack("a task with room waits", true, 3, newSpec("j", 1, tasks(6, 1000, 100)))
	heldBack("all tasks have started", false, 6, newSpec("j", 1, tasks(6, 1000, 100)))
	heldBack("the other tasks lack room", false, 8, newSpec("j", 1, tasks(9, 1000, 100)))
	heldBack("no worker is suitable", false, 0, newSpec("j", 1, tasks(6, 1000, 100), func(s *jayspec.Step) { s.RequiredLabel = "gpu" }))
	heldBack("nothing of the quota is lent yet", false, 0, ofAcme("j", 6))
}

func TestStartsHeldBackBehindOthers(t *testing.T) {
	// Guards against held-back tasks that are not counted since one before them cannot start: a
	// suspect must not be beside other jobs, and a slow worker would make a job late.
	w := newHarness(t, 2)
	w.pool.SetStarts(2)
	w.pool.Declare(newSpec("a", 1, tasks(2, 1000, 100), func(s *jayspec.Step) { s.MaxPerInstance = 1 }), w.now)
	w.pool.Declare(newSpec("j", 1, tasks(2, 1000, 100)), w.now)
	w.pool.jobs["j"].occurrences[0].steps[0].holdTask(0).crashes = make([]crash, isolatedAfter)
	w.pool.Decide(w.now)
	is.New(t).True(w.pool.StartsHeldBack())
	w = newSpeedHarness(t, 2, 0)
	slow := &w.pool.workers["w0"].pace
	slow.slow, slow.factor, slow.slowSince, slow.probedAt = true, 6.5, w.now, w.now
	w.pool.countSlow()
	w.pool.SetStarts(4)
	patient := newSpec("c", 1, tasks(1, 1000, 100))
	patient.Policy.Objective *= 1000
	w.pool.Declare(newSpec("a", 1, tasks(6, 1000, 100)), w.now)
	declare(w, patient)
	is.New(t).True(w.pool.StartsHeldBack())
}
