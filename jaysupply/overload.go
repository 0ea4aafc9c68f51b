package jaysupply

import "time"

// Overload is the work that arrives in a pool while an overload lasts, and how long it is
// expected to last. The zero value is no overload.
//
// It handles this load: for seconds more work arrives than a pool can do. Jobs that can be on
// time are served first, so a job that is late already is overtaken by each of them. The work
// that waits when the job arrives does not contain them.
type Overload struct {
	// ArrivingMilli is how many thousandths of a core the arriving work keeps busy.
	ArrivingMilli float64
	// Remaining is the expected remaining time of the overload.
	Remaining time.Duration
}

// Lasting returns an overload that has lasted for a time. It is expected to last for as long
// again: without further knowledge, that is the best estimate for a process of unknown duration.
func Lasting(lasted time.Duration, arrivingMilli float64) Overload {
	return Overload{ArrivingMilli: arrivingMilli, Remaining: max(0, lasted)}
}

// section returns until when the capacity that arriving work leaves is constant, and how much is
// left. Without an end, it is constant until MaxTime.
func (o Overload) section(at time.Duration, milli float64) (until time.Duration, left float64) {
	if at >= o.Remaining || o.ArrivingMilli <= 0 {
		return MaxTime, milli
	}
	return o.Remaining, max(0, milli-o.ArrivingMilli)
}
