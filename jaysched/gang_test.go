package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
)

// savingGang returns a job of a gang that takes two workers and saves its progress.
func savingGang() *jayspec.Job {
	return newSpec("j", 1, func(s *jayspec.Step) { s.Gang, s.Checkpoint, s.Tasks = true, true, 8 })
}

// saves sets the checkpoint of all runs on a worker.
func (f *fakeWorker) saves(checkpoint string) {
	for ref, run := range f.active {
		run.Checkpoint = checkpoint
		f.active[ref] = run
	}
}

// breakGang ends the runs on a worker as broken, with a checkpoint.
func (f *fakeWorker) breakGang(checkpoint string) {
	for ref := range f.active {
		f.end(ref, jayport.EndedBroken)
		f.ended[len(f.ended)-1].Checkpoint = checkpoint
	}
}

// resumedFrom returns the checkpoints of the latest run of a gang of eight.
func (w *harness) resumedFrom(is *is.I) map[string]int {
	latest, from := int64(0), map[string]int{}
	for _, a := range w.sent {
		if s, ok := a.(StartRun); ok && s.Order.Run.Number > latest {
			latest, from = s.Order.Run.Number, map[string]int{}
		}
		if s, ok := a.(StartRun); ok && s.Order.Run.Number == latest {
			from[s.Order.Checkpoint]++
		}
	}
	is.True(latest > 1)
	return from
}

// TestGangResumesFromOneCheckpoint guards against members of a gang that go on from different points: a worker was
// lost, and the others have saved since its last report.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	lose := func(w *harness, id string) {
		w.restart(id, jayport.Incarnation(w.now))
		w.list()
		w.run()
	}
	play := func(name string, crash func(w *harness), want string) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2)
			declare(w, savingGang())
			is.Equal(len(w.running()), 8)
			w.workers["w0"].saves("first")
			w.workers["w1"].saves("first")
			w.pass(time.Second)
			w.reports()
			crash(w)
			w.pass(time.Second)
			w.reports()
			w.pass(time.Second)
			is.Equal(len(w.running()), 8)
			is.Equal(w.resumedFrom(is), map[string]int{want: 8})
		})
	}
	play("the newest one of the others", func(w *harness) {
		lose(w, "w1")
		w.workers["w0"].breakGang("second")
	}, "second")
	play("the one that the lost worker has reported", func(w *harness) {
		w.workers["w1"].saves("second")
		w.reports()
		lose(w, "w1")
		w.workers["w0"].breakGang("")
	}, "second")
	play("after two crashes", func(w *harness) {
		lose(w, "w1")
		w.workers["w0"].breakGang("second")
		w.pass(time.Second)
		w.reports()
		w.pass(time.Second)
		lose(w, "w0")
		w.workers["w1"].breakGang("")
	}, "second")
	t.Run("after a takeover", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, 2)
		declare(w, savingGang())
		w.workers["w0"].saves("first")
		w.pass(time.Second)
		w.reports()
		w.workers["w0"].breakGang("second")
		w.workers["w1"].breakGang("")
		w.reports()
		w.pool.markChanged(w.pool.jobs["j"])
		progress := w.pool.TakeBatch().Progress["j"]
		next := newHarness(t, 2, WithFence(2, 2))
		next.pool.Restore(savingGang(), progress, next.now)
		next.pool.InventoryRead([]string{"w0", "w1"}, next.now, next.now)
		next.reports()
		next.pass(time.Second)
		is.Equal(next.resumedFrom(is), map[string]int{"second": 8})
	})
}
