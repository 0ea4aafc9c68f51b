package jayownership

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDelayFollowsTheLatencyOfTheStore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ latency, recorded, want time.Duration }{
		{4 * time.Millisecond, 0, 0},
		{100 * time.Millisecond, 0, 0},
		{200 * time.Millisecond, 0, SlowTakeoverDelay},
		{100 * time.Millisecond, SlowTakeoverDelay, SlowTakeoverDelay},
		{20 * time.Millisecond, SlowTakeoverDelay, 0},
	} {
		d := TakeoverDelay{recorded: c.recorded}
		wanted, change := d.Review(c.latency)
		is.Equal(wanted, c.want)
		is.Equal(change, c.want != c.recorded)
	}
}

// Guards against an owner that relies on a delay which was not recorded.
func TestDelayCountsOnceItIsRecorded(t *testing.T) {
	is := is.New(t)
	var d TakeoverDelay
	delay, change := d.Review(time.Second)
	is.True(change)
	_, again := d.Review(time.Second)
	is.True(!again) // it is being recorded
	is.Equal(d.Recorded(), time.Duration(0))
	d.RecordEnded(delay, errors.New("test"))
	is.Equal(d.Recorded(), time.Duration(0))
	delay, change = d.Review(time.Second)
	is.True(change)
	d.RecordEnded(delay, nil)
	is.Equal(d.Left(time.Minute, time.Minute), SlowTakeoverDelay+SlowTakeoverDelay/clockDriftDivisor)
}
