package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// maxServiceWait is the time within which a service task that has room must run again.
const maxServiceWait = 3 * time.Second

// loseAll crashes all workers.
func (w *harness) loseAll() {
	w.t.Helper()
	for _, id := range sortedKeys(w.workers) {
		w.crashWorker(id)
	}
	w.run()
}

// service returns a service with a number of tasks, each on its own worker.
func service(id string, tasks int) *jayspec.Job {
	return newSpec(id, 1, longRunning, func(s *jayspec.Step) { s.Tasks, s.MaxPerInstance = tasks, 1 })
}

// Guards against service tasks that wait ten seconds beside free workers: each worker has just
// started a suspect of another service, and was lost twice for a reason unrelated to the tasks.
func TestServiceTasksDoNotWaitForSuspectsOfOthers(t *testing.T) {
	const workers = 3
	t.Run("a task that is not suspected", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		for range isolatedAfter {
			w.reportFor(2 * time.Second)
			w.loseAll()
		}
		w.reportFor(startRiskTime)
		is.Equal(len(w.running()), workers)
		declare(w, service("b", 1))
		w.reportFor(maxServiceWait)
		is.True(w.running()["b.0.0.0"] != "")
	})
	t.Run("tasks that are suspects themselves", func(t *testing.T) {
		is := is.New(t)
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		declare(w, service("b", workers))
		w.reportFor(2 * time.Second)
		is.Equal(len(w.running()), 2*workers)
		for range isolatedAfter {
			w.loseAll()
			w.reportFor(maxServiceWait)
		}
		is.Equal(len(w.running()), 2*workers)
	})
	t.Run("short tasks start on no worker with a suspect", func(t *testing.T) {
		w := newHarness(t, workers)
		declare(w, service("a", workers))
		for range isolatedAfter {
			w.reportFor(2 * time.Second)
			w.loseAll()
		}
		w.reportFor(startRiskTime)
		declare(w, newSpec("short", 1, single))
		w.reportFor(maxServiceWait)
		is.New(t).Equal(w.running()["short.0.0.0"], "")
	})
}
