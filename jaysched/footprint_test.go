package jaysched

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayspec"
)

// TestFootprintCoversTheMemoryOfJobs guards against an owner that accepts more jobs than it has memory
// for.
func TestFootprintCoversTheMemoryOfJobs(t *testing.T) {
	check := func(name string, jobs int, spec func(id string) *jayspec.Job) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 1)
			w.pool.dueAt = modelTime
			before := heapBytes()
			for n := range jobs {
				w.pool.Declare(spec(fmt.Sprintf("%016x", n)), w.now)
			}
			w.pool.Decide(w.now)
			used := int64(heapBytes() - before)
			is.True(used <= w.pool.Footprint())
			for id := range w.pool.jobs {
				w.pool.Cancel(id, w.now)
			}
			is.Equal(w.pool.Footprint(), int64(0))
		})
	}
	check("plain jobs", 2000, func(id string) *jayspec.Job { return newSpec(id, 2) })
	check("long texts", 500, func(id string) *jayspec.Job {
		spec := newSpec(id, 1)
		spec.Text = string(make([]byte, jayspec.MaxTextBytes))
		return spec
	})
	check("many steps", 200, func(id string) *jayspec.Job { return newSpec(id, jayspec.MaxSteps) })
	check("wide steps", 200, func(id string) *jayspec.Job { return newSpec(id, 1, tasks(jayspec.MaxTasks, 1000, 100)) })
	check("gangs", 20, func(id string) *jayspec.Job {
		return newSpec(id, 1, tasks(5000, 1000, 100), func(s *jayspec.Step) { s.Gang = true })
	})
	check("occurrences that are due", 100, func(id string) *jayspec.Job { return timed(id, 1000, 0, 0, tasks(1, 1000, 100)) })
	check("occurrences of services", 20, func(id string) *jayspec.Job {
		return timed(id, 1000, time.Second, time.Millisecond, longRunning, tasks(30, 1000, 100))
	})
}

// heapBytes returns the number of bytes in use on the heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
