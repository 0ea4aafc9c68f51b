package jayreplay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// doubledLoad returns a load that needs more than all instances, while the bursts of four pools
// follow one another.
func doubledLoad(seed uint64, rejectHopeless bool) Load {
	return fourBursts(seed, withOverload(2.2, 0.2, rejectHopeless), func(_ *SequentialBursts, l *Load) {
		l.DivideHosts, l.StandbyHosts = true, 0
	})
}

func TestJobsThatWillBeOvertakenAreRejected(t *testing.T) {
	// Guards against jobs that are late when they arrive and are accepted although each later job
	// that can be on time is served before them for as long as the burst lasts.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t) // reports each bound that is missed
			off, on := Play(doubledLoad(seed, false)), Play(doubledLoad(seed, true))
			useless, spared, uselessOn, rejected, needlessly := 0, 0, 0, 0, 0
			for n, j := range on.Jobs {
				if !off.Jobs[n].Served() {
					useless++
					if j.Rejections > 0 || j.Served() {
						spared++
					}
				}
				if j.Rejections == 0 && !j.Served() {
					uselessOn++
				}
				if j.Rejections > 0 {
					rejected++
					if off.Jobs[n].InTime() {
						needlessly++
					}
				}
			}
			t.Logf("of %d jobs: useless with the part off %d, of these rejected or useful with it on %d; accepted and useless with it on %d; rejected %d, of these in time with it off %d; in time: off %.3f, on %.3f; served: off %.3f, on %.3f",
				len(on.Jobs), useless, spared, uselessOn, rejected, needlessly, off.InTime(), on.InTime(), off.Served(), on.Served())
			is.True(useless > 100)
			is.True(5*spared >= 4*useless)
			is.True(on.InTime() >= off.InTime())
			is.True(20*needlessly <= rejected)
		})
	}
}
