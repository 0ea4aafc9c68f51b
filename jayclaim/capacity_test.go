package jayclaim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkCapacityClaim measures the time to apply a claim and the memory used
// per key.
func BenchmarkCapacityClaim(b *testing.B) {
	const keys = 100_000
	now := time.Unix(0, 0)
	var before, after runtime.MemStats
	var table *Table
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table = NewTable(time.Hour)
		for n := range keys {
			id := fmt.Sprintf("00000000-0000-0000-0000-%012d", n)
			table.Apply(newClaim(id, NewKey("caller", id), false), now)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	runtime.KeepAlive(table)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "bytes/key")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/claim")
}
