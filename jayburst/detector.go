package jayburst

import (
	"math"
	"slices"
	"time"
)

const (
	// maxGap is the longest time between two samples for which the begin of a burst between
	// them is known. A pool whose owner changes reports nothing for longer.
	maxGap = time.Second
	// rateWindow is the longest time over which a pool's owner computes its rate. The rate of
	// a new owner rises for that long, so that it says nothing about the begin of a burst.
	rateWindow = 2 * time.Second
	// minMeanWeight is the minimum weight of a sample in the mean, so that the mean covers
	// the recent cycles of bursts only.
	minMeanWeight = 0.005
	// minExcess and deviations give the excess over the mean at which a burst begins, as
	// multiples of the mean and of the standard deviation. Samples of an even load stay
	// below; a burst that takes half of the time is twice the mean.
	minExcess  = 0.6
	deviations = 0.5
	// endShare is the share of the threshold below which a burst ends.
	endShare = 0.6
	// confirmingSamples is the number of samples in a row that begin or end a burst: a single
	// large job is not a burst.
	confirmingSamples = 2
	// resumeShare is the multiple of a pool's usual duration of bursts up to which a further
	// begin belongs to the same burst, which an outage has interrupted.
	resumeShare = 1.2
	// remembered is the number of recent values of which the median is taken. A single
	// outlier, such as a burst delayed by an outage, does not change the median.
	remembered = 5
)

// sample is the rate of arriving work at a time, in thousandths of a core.
type sample struct {
	at    time.Duration
	milli float64
}

// change is what a sample says about the bursts of a pool.
type change uint8

const (
	noChange change = iota
	// began says that a burst has begun at a known time.
	began
	// foundInBurst says that a burst has begun at an unknown time.
	foundInBurst
)

// detector detects the bursts of one pool.
type detector struct {
	last sample
	// resumed is when samples were reported again after the latest gap, or zero.
	resumed  time.Duration
	samples  int
	mean     float64
	variance float64

	inBurst bool
	// threshold is the rate at which the present or latest burst began.
	threshold float64
	// crossings counts the samples in a row on the other side of the threshold, and crossed is
	// when the rate crossed it, or zero if that is not known.
	crossings int
	crossed   time.Duration
	beganAt   time.Duration
	// sum and summed give the mean rate of the present burst.
	sum    float64
	summed int
	// heights and durations are those of the recent bursts, and usualHeight is the median of
	// the heights.
	heights     []float64
	durations   []float64
	usualHeight float64
}

// observe adds a sample. Rates below minHeight are no burst.
func (d *detector) observe(s sample, minHeight float64) change {
	gap := d.samples == 0 || s.at-d.last.at > maxGap
	before := d.last
	if gap {
		d.crossings = 0
		if d.samples > 0 {
			d.resumed = s.at
		}
	}
	d.last = s
	d.addToMean(s)
	limit := math.Max(minHeight, d.mean+math.Max(minExcess*d.mean, deviations*math.Sqrt(d.variance)))
	if d.inBurst {
		// The limit rises with the mean, so that a lasting rise of the load ends as a burst.
		d.threshold = math.Max(d.threshold, limit)
		d.observeBurst(s, before)
		return noChange
	}
	if s.milli < limit {
		d.crossings = 0
		return noChange
	}
	if d.crossings == 0 {
		d.crossed = crossing(before, s, limit)
		if gap || d.resumed > 0 && s.at-d.resumed < rateWindow {
			d.crossed = 0
		}
	}
	d.crossings++
	if d.crossings < confirmingSamples {
		return noChange
	}
	return d.begin(limit)
}

// begin enters a burst once its rate has crossed the limit, which becomes the burst's threshold. A
// burst that continues one that an outage has interrupted is no change.
func (d *detector) begin(limit float64) change {
	usual := seconds(median(d.durations))
	continues := d.beganAt > 0 && float64(d.last.at-d.beganAt) < resumeShare*float64(usual)
	d.inBurst, d.threshold, d.crossings = true, limit, 0
	d.sum, d.summed = 0, 0
	if continues {
		return noChange
	}
	d.beganAt = d.crossed
	if d.crossed == 0 {
		return foundInBurst
	}
	return began
}

// observeBurst adds a sample to the present burst and ends the burst once the rate has fallen.
func (d *detector) observeBurst(s, before sample) {
	if s.milli >= d.threshold {
		d.sum += s.milli
		d.summed++
	}
	if s.milli >= endShare*d.threshold {
		d.crossings = 0
		return
	}
	if d.crossings == 0 {
		d.crossed = crossing(before, s, endShare*d.threshold)
	}
	d.crossings++
	if d.crossings < confirmingSamples {
		return
	}
	d.inBurst, d.crossings = false, 0
	if d.summed > 0 {
		d.heights = remember(d.heights, d.sum/float64(d.summed))
		d.usualHeight = median(d.heights)
	}
	if d.beganAt > 0 {
		d.durations = remember(d.durations, (d.crossed - d.beganAt).Seconds())
	}
}

// addToMean adds a sample to the mean and the variance.
func (d *detector) addToMean(s sample) {
	d.samples++
	weight := math.Max(minMeanWeight, 1/float64(d.samples))
	off := s.milli - d.mean
	d.mean += weight * off
	d.variance = (1 - weight) * (d.variance + weight*off*off)
}

// observed reports whether the pool has been sampled recently.
func (d *detector) observed(now time.Duration) bool {
	return d.samples > 0 && now-d.last.at <= maxGap
}

// crossing returns when the rate crossed a level between two samples.
func crossing(before, after sample, level float64) time.Duration {
	if before.milli == after.milli {
		return after.at
	}
	share := (level - before.milli) / (after.milli - before.milli)
	return before.at + time.Duration(min(max(share, 0), 1)*float64(after.at-before.at))
}

// remember appends a value and drops the oldest one beyond the remembered number.
func remember(values []float64, value float64) []float64 {
	values = append(values, value)
	return values[max(0, len(values)-remembered):]
}

// median returns the median of the values, or zero without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
