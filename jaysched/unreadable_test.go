package jaysched

import (
	"testing"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against running a task twice that is done: the progress of its job could not be read, and was
// replaced by the little that the owner had seen itself, which the next owner took for all of it.
func TestUnreadableProgressIsNotReplaced(t *testing.T) {
	is := is.New(t)
	first := newHarness(t, 1)
	spec := newSpec("j", 2)
	declare(first, spec)
	first.finish("j", 0, jayport.EndedDone)
	first.record() // becomes unreadable
	is.Equal(len(first.running()), 2)
	second := newHarness(t, 0, WithFence(9, 2))
	second.now, second.workers = first.now, first.workers
	second.pool.RestoreUnreadable(spec, second.now)
	second.list()
	second.run()
	for _, f := range second.workers {
		for ref := range f.active {
			if ref.Task.Index == 0 {
				f.end(ref, jayport.EndedDone)
			}
		}
	}
	second.reports()
	if batch := second.record(); batch != nil {
		is.Equal(len(batch.Progress), 0)
	}
}
