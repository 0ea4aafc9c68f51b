package jayreplay

import (
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
		is := is.New(t)
		off, on := Play(fourBursts(seed, withRateFactor(2.2), withDivision(false))), Play(fourBursts(seed, withRateFactor(2.2), withDivision(true)))
		for _, queue := range []string{"a", "b", "c", "d"} {
			is.True(on.Of(queue).InTime() > 0.45) // below a third with the part off
		}
		is.True(on.InTime() > off.InTime())
	}
}
