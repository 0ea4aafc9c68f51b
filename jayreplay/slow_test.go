package jayreplay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaysched"
)

// slowQuarter returns sequential bursts in which a quarter of the workers of one pool take 6.5
// times as long for 16 s, which cover the pool's burst.
func slowQuarter(seed uint64, on bool) Load {
	return fourBursts(seed, func(b *SequentialBursts, l *Load) {
		b.QueueLoads[0].EstimateSpread = 0.5
		for n := range b.QueueLoads {
			q := &b.QueueLoads[n]
			q.LongTasks, q.LongFactor, q.Speculative = 0.03, 7, 0.3
		}
		l.Slowdowns = []Slowdown{{Outage: Outage{At: warmUp + time.Second, For: 16 * time.Second, Each: 4}, Pool: "pool-a", Factor: 6.5}}
		l.WorkerSpeeds = on
		if on {
			l.CopyShare = 0.1
		}
	})
}

// Guards against the loss of a quarter of a queue's value while a quarter of its workers are
// slow: the workers kept the tasks that they had, and got more of them.
func TestSlowWorkersAreAvoided(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			on, off := Play(slowQuarter(seed, true)), Play(slowQuarter(seed, false))
			t.Logf("off: queue a in time %.3f, served %.3f; all in time %.3f; moves %d, instance-seconds %.0f", off.Of("a").InTime(), off.Of("a").Served(), off.InTime(), off.Moves, off.InstanceSeconds)
			t.Logf("on: queue a in time %.3f, served %.3f; all in time %.3f; moves %d, instance-seconds %.0f", on.Of("a").InTime(), on.Of("a").Served(), on.InTime(), on.Moves, on.InstanceSeconds)
			is.True(on.Of("a").InTime() >= off.Of("a").InTime()+0.2)
			is.True(on.Of("a").Served() >= off.Of("a").Served())
		})
	}
}

// Guards against sound workers that are taken for slow, and against copies that take room from
// others: without slow workers the part changes next to nothing.
func TestSoundWorkersAreNotAvoided(t *testing.T) {
	is := is.New(t)
	load := slowQuarter(0, true)
	load.Slowdowns = nil
	s := newSimulation(load)
	s.run()
	load.WorkerSpeeds, load.CopyShare = false, 0
	off, on := Play(load), s.result()
	t.Logf("in time off %.3f, on %.3f; workers called slow %d; copies %d, won %d", off.InTime(), on.InTime(), s.events[jaysched.WorkerSlow], s.events[jaysched.CopyStarted], s.events[jaysched.CopyWon])
	is.True(s.events[jaysched.WorkerSlow] <= 1)
	is.True(on.InTime() >= off.InTime()-0.01)
}
