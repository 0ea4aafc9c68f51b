package jayfleet

const (
	// fullSpeed is the speed of a worker that takes as long as predicted, in percent.
	fullSpeed = 100
	// slowSpeed is the speed, in percent, below which a host is released before others.
	slowSpeed = 50
)

// worth returns a capacity of the worker scaled by its speed, so that a pool with slow hosts
// demands more hosts. A capacity that is not zero stays so.
func (l Load) worth(milli int64) int64 {
	if l.SpeedPercent <= 0 || l.SpeedPercent >= fullSpeed {
		return milli
	}
	return max(min(milli, 1), milli*int64(l.SpeedPercent)/fullSpeed)
}

// slow reports whether the worker is known to be slow.
func (l Load) slow() bool {
	return l.SpeedPercent > 0 && l.SpeedPercent <= slowSpeed
}

// compareSlow orders slow workers first.
func compareSlow(a, b Load) int {
	switch {
	case a.slow() == b.slow():
		return 0
	case a.slow():
		return -1
	default:
		return 1
	}
}
