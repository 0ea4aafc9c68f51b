package jaysupply

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const s = time.Second

func TestTimeBehindArrivingWork(t *testing.T) {
	// Guards against a late job that is accepted by the work that waits now and is overtaken by
	// what arrives later.
	behind := func(name string, work float64, o Overload, expected time.Duration) {
		t.Run(name, func(t *testing.T) {
			supply := New(1000)
			supply.Add(2*s, 1000)
			is.New(t).Equal(supply.TimeBehind(work, o), expected)
		})
	}
	behind("without arriving work", 4000, Lasting(4*s, 0), 3*s)
	behind("an overload that has just begun", 4000, Lasting(0, 5000), 3*s)
	behind("capacity that is left", 1000, Lasting(4*s, 500), 2*s)
	behind("capacity that arrives is left too", 2500, Lasting(4*s, 500), 3*s)
	behind("no capacity is left until the end", 4000, Lasting(4*s, 5000), 6*s)
	behind("capacity arrives after the end", 3000, Lasting(s, 5000), 3*s)
	behind("no capacity is left though no work waits", 0, Lasting(4*s, 5000), 4*s)
}

func TestTimeForWithoutCapacity(t *testing.T) {
	is := is.New(t)
	supply := New(0)
	is.Equal(supply.TimeFor(1), MaxTime)
	supply.Add(s, 1000)
	is.Equal(supply.TimeFor(1000), 2*s)
	is.Equal(supply.TimeFor(1e18), MaxTime)
}
