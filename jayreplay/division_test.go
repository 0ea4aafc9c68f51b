package jayreplay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withDivision adds a few tasks that take much longer than the others, and selects whether
// hosts are divided.
func withDivision(divide bool) func(*SequentialBursts, *Load) {
	return func(b *SequentialBursts, l *Load) {
		l.DivideHosts = divide
		l.Until += 10 * time.Second // the long tasks of the last jobs
		for n := range b.QueueLoads {
			b.QueueLoads[n].LongTasks, b.QueueLoads[n].LongFactor = 0.03, 7
		}
	}
}

func TestPoolsThatAllLackHostsDivideThem(t *testing.T) {
	// Guards against a pool that gets almost no hosts while its burst lasts: the load is doubled,
	// the pools before it have a backlog and keep their hosts, and nearly every host has a task
	// that takes long.
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			off, on := Play(fourBursts(seed, withRateFactor(2.2), withDivision(false))), Play(fourBursts(seed, withRateFactor(2.2), withDivision(true)))
			t.Logf("lowest queue %.3f with the part off, %.3f with it on; all %.3f, %.3f", lowestInTime(off), lowestInTime(on), off.InTime(), on.InTime())
			is.True(3*lowestInTime(on) >= 4*lowestInTime(off)) // a third more
			is.True(on.InTime() >= off.InTime())
		})
	}
}

// lowestInTime returns the share of jobs in time of the queue with the lowest share.
func lowestInTime(r Result) float64 {
	lowest := 1.0
	for _, queue := range []string{"a", "b", "c", "d"} {
		lowest = min(lowest, r.Of(queue).InTime())
	}
	return lowest
}
