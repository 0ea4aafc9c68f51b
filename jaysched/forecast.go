package jaysched

import (
	"maps"
	"math"
	"slices"
	"time"

	"jaythread/jayspec"
)

const (
	// trendWindow is the time over which growth is measured. A burst begins within a second.
	trendWindow = 800 * time.Millisecond
	// trendSamples is the minimum number of samples for a slope.
	trendSamples = 3
	// reportDelay is how long it takes until a host that has arrived can be used: the time for
	// its first report.
	reportDelay = 200 * time.Millisecond
)

// trend predicts the growth of a quantity.
type trend struct {
	samples []sample
}

type sample struct {
	at    time.Duration
	milli int64
}

// growth adds a sample and returns by how much the quantity will have grown after the lead time
// if it grows at the present rate. A decrease is not predicted: a host that leaves too early
// costs more than one that stays slightly too long.
func (t *trend) growth(milli int64, lead, now time.Duration) int64 {
	t.samples = slices.DeleteFunc(t.samples, func(s sample) bool { return s.at < now-trendWindow })
	t.samples = append(t.samples, sample{at: now, milli: milli})
	return int64(max(0, t.slope()*lead.Seconds()))
}

// slope returns the growth in thousandths of a core per second, by least squares.
func (t *trend) slope() float64 {
	n := float64(len(t.samples))
	var x, y, xx, xy float64
	for _, s := range t.samples {
		at := (s.at - t.samples[0].at).Seconds()
		x += at
		y += float64(s.milli)
		xx += at * at
		xy += at * float64(s.milli)
	}
	spread := n*xx - x*x
	if n < trendSamples || spread <= 0 {
		return 0
	}
	return (n*xy - x*y) / spread
}

const (
	// rateJobs is the number of jobs from which a rate is computed: with fewer, a single large
	// job would count as a burst.
	rateJobs = 12
	// minRateWindow and maxRateWindow limit the time over which the rate is computed: a batch
	// of jobs is not a burst, and a burst is over after some seconds.
	minRateWindow = 500 * time.Millisecond
	maxRateWindow = 2 * time.Second
)

// offeredWork is the work of the jobs that arrived recently.
type offeredWork struct {
	arrivals []arrival
}

// arrival is the arrival of a job: its priority, its work in thousandths of a core times seconds,
// and how long it takes.
type arrival struct {
	at       time.Duration
	priority int
	work     float64
	chain    time.Duration
}

// add records the arrival of a job.
func (o *offeredWork) add(a arrival) {
	o.arrivals = append(o.arrivals, a)
}

// rate returns how many thousandths of a core the arriving jobs would keep busy if they
// continued to arrive at the present rate, and how long a job takes on average.
//
// It handles this load: a burst begins, and its jobs find free room at first or are only in
// their first step. Their usage then says little about the usage at the time when a host that
// is requested now arrives; the rate of arriving work indicates it within half a second.
func (o *offeredWork) rate(now time.Duration) (milli float64, chain time.Duration) {
	milli, chain, _ = o.rateUpTo(math.MaxInt, now)
	return milli, chain
}

// rateUpTo returns the rate of the jobs of the given priority and of more urgent ones, and how many
// of them arrived within maxRateWindow. The window of the rate contains rateJobs of these jobs:
// chosen by all arrivals, it would contain few or none of them while less urgent jobs arrive faster.
func (o *offeredWork) rateUpTo(priority int, now time.Duration) (milli float64, chain time.Duration, count int) {
	o.arrivals = slices.DeleteFunc(o.arrivals, func(a arrival) bool { return a.at < now-maxRateWindow })
	from := now - maxRateWindow
	for _, a := range slices.Backward(o.arrivals) {
		if a.priority > priority {
			continue
		}
		if count++; count == rateJobs+1 {
			from = min(a.at, now-minRateWindow)
		}
	}
	work, weighted := 0.0, 0.0
	for _, a := range o.arrivals {
		if a.at > from && a.priority <= priority {
			work += a.work
			weighted += a.work * a.chain.Seconds()
		}
	}
	if work == 0 {
		return 0, 0, count
	}
	return work / (now - from).Seconds(), time.Duration(weighted / work * float64(time.Second)), count
}

// overtaking returns the rate of the jobs of the given priority and of more urgent ones, or zero
// if there are too few of them for a rate.
func (o *offeredWork) overtaking(priority int, now time.Duration) (milli float64) {
	milli, _, count := o.rateUpTo(priority, now)
	if count < rateJobs {
		return 0
	}
	return milli
}

// forecast returns the usage of a pool after the lead time, given its present usage: some of
// the present jobs will have ended by then, and others will have arrived at the present rate.
func (o *offeredWork) forecast(milli int64, lead, now time.Duration) int64 {
	rate, chain := o.rate(now)
	if chain <= 0 {
		return 0
	}
	left := math.Exp(-lead.Seconds() / chain.Seconds())
	return int64(float64(milli)*left + rate*(1-left))
}

// expectedTTL is how long a job that was submitted but not stored is remembered: by then its
// caller has retried or given up.
const expectedTTL = 5 * time.Second

// Expect handles a job that was submitted and is about to be stored.
//
// It handles this load: a burst during an outage of the store. Its jobs wait to be stored and
// all become known when the store is available again; hosts that are requested only then arrive
// later by the time of a host move.
func (p *Pool) Expect(spec *jayspec.Job, now time.Duration) {
	maps.DeleteFunc(p.expected, func(_ string, at time.Duration) bool { return at+expectedTTL < now })
	_, known := p.jobs[spec.ID]
	_, expected := p.expected[spec.ID]
	if known || expected {
		return
	}
	p.expected[spec.ID] = now
	p.addArrival(spec, p.longestChain(spec), now)
}

// longestChain returns the expected duration of a job that runs alone.
func (p *Pool) longestChain(spec *jayspec.Job) time.Duration {
	return spec.LongestChain(func(n int) time.Duration { return p.durations.predict(spec.Queue, spec.Steps[n].Estimate) })
}

// addArrival records the work of an arriving job. Jobs that are long-running or have scheduled
// times are not part of a burst.
func (p *Pool) addArrival(spec *jayspec.Job, chain, now time.Duration) {
	if spec.LongRunning() || spec.Schedule.Timed() {
		return
	}
	work := 0.0
	for n := range spec.Steps {
		s := &spec.Steps[n]
		if p.fitsNoWorker(s.Need) {
			continue
		}
		takes := p.durations.predict(spec.Queue, s.Estimate)
		work += float64(s.Tasks) * float64(s.Need.ProcessorsMilli) * takes.Seconds()
	}
	p.offeredWork.add(arrival{at: now, priority: p.policy(spec).Priority, work: work, chain: chain})
}
