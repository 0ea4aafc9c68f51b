package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayhome"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// TestDisputedJobIsNotBegun guards against a job that runs in two pools: the owner has begun it before the
// other pool has answered.
func TestDisputedJobIsNotBegun(t *testing.T) {
	play := func(name string, test func(is *is.I, w *harness)) {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 1)
			is := is.New(t)
			is.True(w.pool.Declare(&jayspec.Job{ID: "j", Address: "a.example/q/", Steps: []jayspec.Step{{Tasks: 2, Need: jaypool.Resources{ProcessorsMilli: 1000}, Estimate: time.Second}}}, w.now))
			is.True(w.pool.Dispute("j", w.now))
			w.pass(time.Second)
			is.Equal(w.starts("j.0.0.0"), 0)
			is.True(!w.pool.StateKnown("j", w.now))
			test(is, w)
		})
	}
	play("until it is settled", func(is *is.I, w *harness) {
		is.True(w.pool.Settle("j", w.now, w.now))
		w.pass(time.Second)
		is.Equal(w.starts("j.0.0.0"), 1)
		is.True(!w.pool.Dispute("j", w.now)) // it has begun
	})
	play("and not by an answer from before the job was conceded", func(is *is.I, w *harness) {
		asked := w.now
		w.pass(time.Second)
		w.pool.Concede("j", w.now)
		is.True(!w.pool.Settle("j", asked, w.now))
		is.True(w.pool.Settle("j", w.now, w.now))
	})
	play("nor kept once another pool has it", func(is *is.I, w *harness) {
		is.True(w.pool.Withdraw("j", w.now))
		held, _ := w.pool.HoldingOf("j", "", w.now)
		is.Equal(held, jayhome.None)
		is.Equal(w.pool.Footprint(), int64(0))
		is.True(w.pool.TakeBatch() == nil)
	})
	play("but cancelled", func(is *is.I, w *harness) {
		is.True(w.pool.Cancel("j", w.now))
		held, _ := w.pool.HoldingOf("j", "", w.now)
		is.Equal(held, jayhome.Settled)
		is.True(!w.pool.Withdraw("j", w.now))
	})
}

// TestJobWithRecordedProgressIsNotDisputed guards against a job that two pools run: its pool has withdrawn it after a
// takeover, although some of its tasks were done.
func TestJobWithRecordedProgressIsNotDisputed(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1, WithFence(2, 2))
	w.pool.Restore(newSpec("j", 1), &jaywire.JobProgress{Steps: []*jaywire.StepProgress{{Done: []byte{1}}}}, w.now)
	is.True(!w.pool.Dispute("j", w.now))
	held, _ := w.pool.HoldingOf("j", "", w.now)
	is.Equal(held, jayhome.Settled)
	t.Run("nor is one of which a run has ended", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 1, WithFence(2, 2))
		w.pool.Restore(newSpec("j", 1), nil, w.now)
		is.True(w.pool.Dispute("j", w.now))
		run := jayport.RunRef{Task: jayport.TaskID{Job: "j"}, Number: 1}
		w.workers["w0"].ended = []jayport.EndedRun{{Number: 1, Run: run, Ending: jayport.EndedDone}}
		w.reports()
		held, _ := w.pool.HoldingOf("j", "", w.now)
		is.Equal(held, jayhome.Settled)
		is.True(!w.pool.Withdraw("j", w.now))
	})
}
