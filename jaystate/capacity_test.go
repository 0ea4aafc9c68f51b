package jaystate

import (
	"fmt"
	"runtime"
	"testing"

	"jaythread/jaywire"
)

// largeState returns a state with the given number of workers in 34 pools and
// two tasks for each worker.
func largeState(tb testing.TB, workers int) *State {
	tb.Helper()
	document := `{"pools":[`
	for p := range 34 {
		if p > 0 {
			document += ","
		}
		document += fmt.Sprintf(`{"name":"p%02d","instances":["p%02d-*"],"minAvailable":1}`, p, p)
	}
	document += `]}`
	s := New()
	applyAll(tb, s, publish("first", 0, document))
	for n := range workers {
		id := fmt.Sprintf("p%02d-%05d", n%34, n)
		applyAll(tb, s, attach(id, 0, fmt.Sprintf("p%02d", n%34), fmt.Sprint("rack", n/40)))
		applyAll(tb, s, place("job", int32(2*n), id), place("job", int32(2*n+1), id))
	}
	return s
}

// BenchmarkCapacityFold measures, for several fleet sizes, the time and memory
// to apply one record: a report that an instance failed or recovered.
func BenchmarkCapacityFold(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := largeState(b, workers)
			ids := s.Fleet.IDs()
			for n := 0; b.Loop(); n++ {
				c := &jaywire.Command{Id: fmt.Sprint("c", n), Actor: "planner", Body: &jaywire.Command_ReportInstance{
					ReportInstance: &jaywire.ReportInstance{Instance: ids[n/2%len(ids)], Failed: n%2 == 0},
				}}
				text := record(b, c)
				if _, err := s.Apply(s.Offset, text); err != nil {
					b.Fatal(err)
				}
				if n == 0 {
					b.ReportMetric(float64(len(text)), "bytes/record")
				}
			}
		})
	}
}

// BenchmarkCapacitySnapshot measures, for several fleet sizes, the size of a
// snapshot, the time to load it, and the heap that the state occupies.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := largeState(b, workers)
			snapshot, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Load(snapshot); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snapshot.State)), "bytes")
			b.ReportMetric(float64(heapOf(b, workers))/(1<<20), "heapMB")
		})
	}
}

// heapOf returns the heap memory, in bytes, of a state with the given number
// of workers.
func heapOf(tb testing.TB, workers int) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := largeState(tb, workers)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return after.HeapAlloc - before.HeapAlloc
}
