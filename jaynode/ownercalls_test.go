package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaysched"
)

// TestEstimatesOfDemandLeaveTimeForLeases guards against leases that lapse: the fleet's owner asks for the demand
// again as soon as it has an answer, and each estimate takes long.
func TestEstimatesOfDemandLeaveTimeForLeases(t *testing.T) {
	is := is.New(t)
	var b demandBudget
	spent, now := time.Duration(0), time.Minute
	for end := now + time.Minute; now < end; now += 150 * time.Millisecond {
		if b.due(now) {
			now += time.Second
			spent += time.Second
			b.estimated(jaysched.Demand{NeedMilli: 1}, time.Second, now)
		}
		is.Equal(b.last.NeedMilli, int64(1))
	}
	is.True(spent <= time.Minute/demandShare+time.Second)
	is.True(spent >= time.Minute/demandShare-time.Second)
}

// TestShortEstimatesAreMadeForEachRequest guards against a demand that is old although estimates take no time.
func TestShortEstimatesAreMadeForEachRequest(t *testing.T) {
	is := is.New(t)
	var b demandBudget
	b.estimated(jaysched.Demand{}, time.Millisecond, time.Minute)
	is.True(b.due(time.Minute + demandInterval))
}

// TestBusyOwnerIsToldFromAPausedProcess guards against a log that names a pause of the process where the owner has
// computed for long.
func TestBusyOwnerIsToldFromAPausedProcess(t *testing.T) {
	is := is.New(t)
	is.True(wasBusy(4*time.Second, 4*time.Second))
	is.True(wasBusy(4*time.Second, 1600*time.Millisecond)) // with two fifths of a core
	is.True(!wasBusy(4*time.Second, 20*time.Millisecond))
}

func TestDemandBeyondItsBudgetHasPresentLoads(t *testing.T) {
	// Guards against a worker that is taken for empty, by an earlier estimate, while it has runs.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		is.True(w.duty.ask(func() {
			now := w.clock()
			earlier := jaysched.Demand{NeedMilli: 7, Loads: []jaysched.Load{{Worker: "w0", Vacated: true}}}
			d := w.duty.pool.UpdateDemand(earlier, now)
			is.Equal(d.NeedMilli, int64(7))
			runs := 0
			for _, l := range d.Loads {
				runs += l.Runs
				is.Equal(l.Vacated, false)
			}
			is.Equal(len(d.Loads), 2)
			is.Equal(runs, 2)
		}, time.Second))
	})
}
