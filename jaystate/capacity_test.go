package jaystate

import (
	"fmt"
	"runtime"
	"testing"

	"jaythread/jaywire"
)

// bigState returns a state of workers in 34 pools with two tasks a worker.
func bigState(tb testing.TB, workers int) *State {
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
	feed(tb, s, publish("first", 0, document))
	for n := range workers {
		id := fmt.Sprintf("p%02d-%05d", n%34, n)
		feed(tb, s, attach(id, 0, fmt.Sprintf("p%02d", n%34), fmt.Sprint("rack", n/40)))
		feed(tb, s, place("job", int32(2*n), id), place("job", int32(2*n+1), id))
	}
	return s
}

// BenchmarkCapacityFold is the time and memory of one record: an instance
// that fails or recovers, by fleet size.
func BenchmarkCapacityFold(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := bigState(b, workers)
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

// BenchmarkCapacitySnapshot is the size of a snapshot and the time to load it,
// by fleet size.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			s := bigState(b, workers)
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

// heapOf returns the memory that a state takes.
func heapOf(tb testing.TB, workers int) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := bigState(tb, workers)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return after.HeapAlloc - before.HeapAlloc
}
