package jayreplay

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// organisationsBurst returns the load of fourBursts with jobs of twenty-three organisations. Three
// of them, the heavy ones, send six times their usual load while the rate of queue a doubles.
func organisationsBurst(seed uint64, fair bool) (load Load, heavy, small []string) {
	for n := range 3 {
		heavy = append(heavy, fmt.Sprint("heavy", n))
	}
	for n := range 20 {
		small = append(small, fmt.Sprint("small", n))
	}
	arrivals := func(seed uint64, rateFactor float64, of []string) []Arrival {
		burst := fourBursts(seed, withRateFactor(rateFactor), func(b *SequentialBursts, _ *Load) { b.QueueLoads[0].Rate *= 2 })
		for n, a := range burst.Arrivals {
			a.Job.ID = fmt.Sprint(a.Job.ID, "-", seed)
			a.Job.Organisation = of[n%len(of)]
		}
		return burst.Arrivals
	}
	load = fourBursts(seed)
	load.Until += 10 * time.Second
	load.FairShares = fair
	const busy = 1.5
	load.Arrivals = slices.Concat(arrivals(seed, busy*20/23, small), arrivals(seed+100, busy*6*3/23, heavy))
	slices.SortStableFunc(load.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return load, heavy, small
}

func TestFairSharesServeSmallOrganisations(t *testing.T) {
	// Guards against a shortage in which organisations that send several times their usual load
	// make the jobs of all others late. Without shares, small and heavy ones are served alike.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			load, heavy, small := organisationsBurst(seed, true)
			r := Play(load)
			t.Logf("in time, served: small %.3f %.3f, heavy %.3f %.3f, all %.3f %.3f", r.OfOrganisations(small...).InTime(), r.OfOrganisations(small...).Served(),
				r.OfOrganisations(heavy...).InTime(), r.OfOrganisations(heavy...).Served(), r.InTime(), r.Served())
			is.True(r.OfOrganisations(small...).InTime() >= 0.72)
			is.True(r.OfOrganisations(heavy...).Served() >= 0.5) // nobody starves
		})
	}
}
