package jayreplay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withOverload multiplies the rates of all queues and sets the error of their estimates.
func withOverload(times, spread float64, rejectHopeless bool) func(*SequentialBursts, *Load) {
	return func(b *SequentialBursts, l *Load) {
		withRateFactor(times)(b, l)
		l.RejectHopeless = rejectHopeless
		for n := range b.QueueLoads {
			b.QueueLoads[n].EstimateSpread = spread
		}
	}
}

func TestJobsAreOnTimeUnderDoubledLoad(t *testing.T) {
	// Guards against bursts of twice the load in which all jobs become slightly late in turn.
	for _, seed := range []uint64{0, 1, 5} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			off, on := Play(fourBursts(seed, withOverload(2, 0.2, false))), Play(fourBursts(seed, withOverload(2, 0.2, true)))
			t.Logf("in time: off %.3f, on %.3f; served: off %.3f, on %.3f", off.InTime(), on.InTime(), off.Served(), on.Served())
			is.New(t).True(3*(1-on.InTime()) <= 2*(1-off.InTime())) // a third fewer late jobs
		})
	}
}

func TestOrderIsKeptWhereEstimatesAreFarOff(t *testing.T) {
	// Guards against an order by a deadline status that is wrong for many jobs.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			off, on := Play(fourBursts(seed, withOverload(2, 0.9, false))), Play(fourBursts(seed, withOverload(2, 0.9, true)))
			t.Logf("in time: off %.3f, on %.3f", off.InTime(), on.InTime())
			is.New(t).Equal(on, off)
		})
	}
}

func TestHopelessJobsAreRejectedAtOnce(t *testing.T) {
	// Guards against jobs that are accepted and end useless. One pool without further hosts gets
	// four times the work that it can do.
	play := func(seed uint64, on bool) Result {
		return Play(fourBursts(seed, withOverload(4, 0.2, on), func(b *SequentialBursts, l *Load) {
			b.QueueLoads, b.Width, b.For = b.QueueLoads[:1], 8*time.Second, 24*time.Second
			l.Hosts, l.StandbyHosts = map[string]int{"pool-a": 4}, 0
		}))
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			off, on := play(seed, false), play(seed, true)
			rejected, accepted, useful, outOfOrder, latest := 0, 0, 0, 0, time.Duration(0)
			for _, j := range on.Jobs {
				if j.Rejections > 0 {
					rejected++
				}
				if j.Accepted == 0 {
					continue
				}
				accepted++
				if j.Done > 0 && j.Done-j.Accepted <= servedFactor*j.Objective {
					useful++
				}
				if j.Rejections == 0 {
					continue
				}
				if j.Accepted < latest-time.Second {
					outOfOrder++
				}
				latest = max(latest, j.Accepted)
			}
			t.Logf("in time: off %.3f, on %.3f; served: off %.3f, on %.3f; of %d jobs rejected %d, accepted %d, of these useful %d, returned out of order %d",
				off.InTime(), on.InTime(), off.Served(), on.Served(), len(on.Jobs), rejected, accepted, useful, outOfOrder)
			is.True(rejected > len(on.Jobs)/4)
			is.True(10*useful >= 6*accepted) // a third with the part off
			is.Equal(outOfOrder, 0)
		})
	}
}
