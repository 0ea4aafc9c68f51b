package jayreplay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recurring makes the bursts of four queues, each of some seconds, recur.
func recurring(jitter time.Duration) func(*SequentialBursts, *Load) {
	return func(b *SequentialBursts, l *Load) {
		b.Width, b.Cycles, b.For, b.Jitter = 3*time.Second, 4, 80*time.Second, jitter
		l.Until = warmUp + 90*time.Second
	}
}

// atBegin returns the result for the jobs that are submitted within a second as a burst begins,
// from the third cycle on.
func atBegin(r Result) Result {
	var jobs []JobResult
	for n := 8; n < 16; n++ {
		// The rate is above half of its maximum for half of the width on either side.
		from := warmUp + time.Duration(n)*5*time.Second + time.Second
		jobs = append(jobs, r.Of(string(rune('a'+n%4))).Between(from, from+time.Second).Jobs...)
	}
	r.Jobs = jobs
	return r
}

// offAndOn plays a load without and with predictions. The owner of the fleet is lost at the
// given time, unless that is zero.
func offAndOn(t *testing.T, load Load, lostAt time.Duration) (off, on Result) {
	t.Helper()
	play := func(predict bool) Result {
		load.PredictBursts = predict
		s := newSimulation(load)
		if lostAt > 0 {
			s.clock.after(lostAt, func() { s.fleet = newSimulation(load).fleet })
		}
		s.run()
		return s.result()
	}
	off, on = play(false), play(true)
	t.Logf("first second: %.3f off, %.3f on; all: %.3f off, %.3f on; instance-seconds: %.0f off, %.0f on",
		atBegin(off).InTime(), atBegin(on).InTime(), off.InTime(), on.InTime(), off.InstanceSeconds, on.InstanceSeconds)
	return off, on
}

func TestRecurringBurstsBeginInTime(t *testing.T) {
	// Without predictions, instances are requested when a burst has begun, and its first jobs
	// wait for them for a move.
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			off, on := offAndOn(t, fourBursts(seed, recurring(0)), 0)
			is.True(1-atBegin(on).InTime() <= 0.7*(1-atBegin(off).InTime()))
			is.True(1-on.InTime() <= 0.8*(1-off.InTime()))
			is.True(on.InstanceSeconds <= 1.03*off.InstanceSeconds)
		})
	}
}

func TestIrregularBurstsCostNothing(t *testing.T) {
	// Guards against instances that are switched on for bursts that do not recur.
	t.Parallel()
	is := is.New(t)
	off, on := offAndOn(t, fourBursts(1, recurring(4*time.Second)), 0)
	is.True(on.InTime() >= off.InTime()-0.005)
	is.True(on.InstanceSeconds <= 1.01*off.InstanceSeconds)
}

func TestLostFleetOwnerLearnsBurstsAnew(t *testing.T) {
	// Guards against a new owner of the fleet that does worse than without predictions until
	// it has learned the bursts.
	t.Parallel()
	is := is.New(t)
	off, on := offAndOn(t, fourBursts(0, recurring(0)), warmUp+30*time.Second)
	is.True(on.InTime() >= off.InTime())
	is.True(on.InstanceSeconds <= 1.03*off.InstanceSeconds)
}
