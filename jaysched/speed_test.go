package jaysched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jayspeed"
)

// newSpeedHarness returns a harness with workers of four cores, whose queue has learned its
// durations.
func newSpeedHarness(t *testing.T, workers int, copyShare float64, options ...Option) *harness {
	w := newHarness(t, workers, options...)
	w.pool.settings.WorkerSpeeds, w.pool.settings.CopyShare = true, copyShare
	learnDurations(w.pool)
	return w
}

// learnDurations makes the durations of the queue known to a pool.
func learnDurations(p *Pool) {
	r := p.speeds.errorsOf("q")
	for n := range jayspeed.MinErrors {
		r.Add(0.2 * float64(n%5-2))
	}
}

// fill declares jobs of one task, four for each worker.
func fill(w *harness, workers int, change ...func(*jayspec.Step)) {
	for n := range 4 * workers {
		declare(w, newSpec(fmt.Sprintf("j%02d", n), 1, append([]func(*jayspec.Step){func(s *jayspec.Step) { s.Tasks = 1 }}, change...)...))
	}
}

// endAll ends all runs on a worker as done.
func (w *harness) endAll(id string) {
	for ref := range w.workers[id].active {
		w.workers[id].end(ref, jayport.EndedDone)
	}
	w.pass(time.Millisecond)
	w.reports()
}

// pace lets time pass with reports. The runs on the named workers do not end, those on others
// take as long as predicted.
func (w *harness) pace(d time.Duration, slow ...string) {
	for range int(d / (100 * time.Millisecond)) {
		w.pass(100 * time.Millisecond)
		for id, f := range w.workers {
			for ref := range f.active {
				r := w.pool.workers[id].runs[ref]
				if !slices.Contains(slow, id) && r != nil && w.now-r.confirmedAt >= time.Second {
					f.end(ref, jayport.EndedDone)
				}
			}
		}
		w.reports()
	}
}

func (w *harness) countEvents(kinds map[EventKind]int) map[EventKind]int {
	for _, e := range w.pool.TakeEvents() {
		kinds[e.Kind]++
	}
	return kinds
}

func TestSlowWorkerIsRecognisedByOverdueRuns(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 4, 0)
	fill(w, 4)
	w.pace(2500*time.Millisecond, "w1")
	is.True(w.pool.workers["w1"].pace.slow)
	is.True(w.pool.workers["w1"].speedPercent() < 60)
	is.True(!w.pool.workers["w2"].pace.slow)
	is.True(w.pool.Demand(w.now).Loads[1].SpeedPercent > 0)
	t.Run("it gets single probes only, and is trusted when one is fast", func(t *testing.T) {
		is := is.New(t)
		w.endAll("w1")
		is.True(w.pool.workers["w1"].pace.slow)
		declare(w, newSpec("k", 1, func(s *jayspec.Step) { s.Tasks = 16 }))
		w.pass(probeInterval)
		is.Equal(len(w.workers["w1"].active), 1)
		w.pace(1500 * time.Millisecond)
		is.True(!w.pool.workers["w1"].pace.slow)
		is.Equal(w.countEvents(map[EventKind]int{})[WorkerFastAgain], 1)
	})
}

// Guards against a step with a wrong estimate that makes a worker look slow: what is seen of a run
// did not say to which step of its job it belongs.
func TestSeenRunsNameTheirStep(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 1, 0)
	declare(w, newSpec("j", 2))
	w.pace(1800 * time.Millisecond)
	ended := map[int]bool{}
	for _, o := range w.pool.speedEvidence(w.pool.workers["w0"]) {
		ended[o.Step] = o.Ended
	}
	is.Equal(ended, map[int]bool{0: true, 1: false})
}

// Guards against slow workers that are never recognised since their reports list a percentage
// below 100 for every run, and these runs were taken to be throttled.
func TestSlowWorkerIsRecognisedWhateverSpeedItReports(t *testing.T) {
	w := newSpeedHarness(t, 4, 0)
	fill(w, 4)
	for range 25 {
		for _, f := range w.workers {
			for ref, active := range f.active {
				active.Speed = 40
				f.active[ref] = active
			}
		}
		w.pace(100*time.Millisecond, "w1")
	}
	is.New(t).True(w.pool.workers["w1"].pace.slow)
}

// Guards against a pool that avoids all its workers when the tasks of a queue become longer.
func TestNoWorkerIsSlowIfMostLookSlow(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 4, 0)
	fill(w, 4)
	w.pace(4*time.Second, "w0", "w1", "w2", "w3")
	is.Equal(w.pool.speeds.slow, 0)
	is.True(w.pool.speeds.from > 0)
}

// Guards against a worker that is called slow since it does not report: its runs may have ended.
func TestSilentWorkerIsNotSlow(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 4, 0)
	fill(w, 4)
	w.workers["w1"].silent = true
	w.pace(3500*time.Millisecond, "w1")
	is.True(!w.pool.workers["w1"].pace.slow)
	is.Equal(w.pool.workers["w1"].speedPercent(), 0)
}

// Guards against predictions that follow the slow workers, so that these look sound.
func TestSlowRunsAreNotLearned(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 4, 0)
	fill(w, 4)
	w.pace(3*time.Second, "w1")
	before := w.pool.durations.predict("q", time.Second)
	w.endAll("w1")
	is.Equal(w.pool.durations.predict("q", time.Second), before)
}

// Guards against large tasks that stay on a slow worker although they write checkpoints and others
// have room.
func TestRunsWithCheckpointsLeaveSlowWorkers(t *testing.T) {
	is := is.New(t)
	w := newSpeedHarness(t, 4, 0)
	fill(w, 3, func(s *jayspec.Step) { s.Checkpoint = true })
	w.pace(3*time.Second, "w1")
	is.True(w.pool.workers["w1"].pace.slow)
	moved := 0
	for _, a := range w.sent {
		if s, ok := a.(StopRun); ok && s.Why == "workerIsSlow" {
			moved++
			is.Equal(s.To.ID, "w1")
		}
	}
	is.Equal(moved, 4)
	is.Equal(len(w.workers["w1"].active), 0)
}

// speedTrial plays one worker with ten tasks at a time and returns after how long it is
// recognised as slow, or zero. The estimates are off by a deviation, which the tasks of a job
// have in common.
func speedTrial(random *rand.Rand, deviation, factor float64, takes time.Duration) time.Duration {
	type slot struct {
		job   string
		began time.Duration
		ends  time.Duration
	}
	r := &jayspeed.Errors{}
	jobError, left, job := 0.0, 0, 0
	next := func(now time.Duration) slot {
		if left == 0 {
			left, job, jobError = 1+random.IntN(8), job+1, deviation*random.NormFloat64()
		}
		left--
		e := jobError + 0.2*random.NormFloat64()
		if random.Float64() < 0.03 {
			e += math.Log(7)
		}
		return slot{job: strconv.Itoa(job), began: now, ends: now + time.Duration(float64(takes)*math.Exp(e))}
	}
	for range jayspeed.MaxErrors {
		r.Add(math.Log(next(0).ends.Seconds() / takes.Seconds()))
	}
	w := &worker{}
	slots := make([]slot, 10)
	for n := range slots {
		slots[n] = next(0)
	}
	const sound, end = 10 * time.Second, 16 * time.Second
	for now := time.Duration(0); now < end; now += speedInterval {
		if factor > 1 && now == sound {
			for n := range slots {
				slots[n].ends = now + time.Duration(float64(slots[n].ends-now)*factor)
			}
		}
		seen := slices.Clone(w.pace.ends)
		for n, s := range slots {
			if s.ends <= now {
				w.pace.ends = append(w.pace.ends[max(0, len(w.pace.ends)-maxRecentEnds+1):], jayspeed.Run{Job: s.job, Began: s.began, At: s.ends, Predicted: takes, Ended: true, Spread: r.Spread()})
				slots[n] = next(now)
				if factor > 1 && now >= sound {
					slots[n].ends = now + time.Duration(float64(slots[n].ends-now)*factor)
				}
			} else if now > s.began {
				seen = append(seen, jayspeed.Run{Job: s.job, Began: s.began, At: now, Predicted: takes, Spread: r.Spread()})
			}
		}
		w.pace.reportedAt = now
		if _, slow := jayspeed.Examine(seen, nil, now); slow {
			return now
		}
	}
	return 0
}

// speedTrials returns how many of the sound workers were called slow, and after what time the slow
// ones were recognised, in increasing order.
func speedTrials(t *testing.T, deviation float64, takes time.Duration) (falseAlarms int, delays []time.Duration) {
	random := rand.New(rand.NewPCG(1, uint64(100*deviation)))
	for range speedTrialCount {
		if speedTrial(random, deviation, 1, takes) > 0 {
			falseAlarms++
		}
		if at := speedTrial(random, deviation, 6.5, takes); at > 10*time.Second {
			delays = append(delays, at-10*time.Second)
		}
	}
	slices.Sort(delays)
	t.Logf("false alarms %d of %d workers in 16 s each; recognised %d, median after %.1f durations, 9 of 10 after %.1f",
		falseAlarms, speedTrialCount, len(delays), delays[len(delays)/2].Seconds()/takes.Seconds(), delays[len(delays)*9/10].Seconds()/takes.Seconds())
	return falseAlarms, delays
}

const (
	speedTrialCount = 60
	speedTrialTime  = 540 * time.Millisecond
)

// Guards against sound workers that are called slow for the tasks that always last long by
// themselves, and against a slow worker that is recognised only when its runs end.
func TestSpeedIsRecognisedFromOverdueRuns(t *testing.T) {
	for _, deviation := range []float64{0.2, 0.5, 0.9} {
		t.Run(fmt.Sprint("estimates off by ", deviation), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			falseAlarms, delays := speedTrials(t, deviation, speedTrialTime)
			is.Equal(falseAlarms, 0)
			if deviation == 0.2 {
				is.Equal(len(delays), speedTrialCount)
				is.True(delays[speedTrialCount/2] <= 2*speedTrialTime)
			}
		})
	}
}

// Guards against a slow worker that keeps its tasks for long because their estimates say little.
func TestSpeedIsRecognisedDespitePoorEstimates(t *testing.T) {
	for _, deviation := range []float64{0.5, 0.9} {
		t.Run(fmt.Sprint("estimates off by ", deviation), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, delays := speedTrials(t, deviation, speedTrialTime)
			is.Equal(len(delays), speedTrialCount)
			is.True(delays[len(delays)/2] <= 2*speedTrialTime)
		})
	}
}

// Guards against tasks that wait for good since all workers that may run them are slow: single
// probes served such a pool, and an advised task got not even these.
func TestTasksWithoutSoundWorkerStart(t *testing.T) {
	// newSlow returns a harness whose first worker is slow, and too slow for new jobs to be on time.
	newSlow := func(t *testing.T, workers int) *harness {
		w := newSpeedHarness(t, workers, 0)
		slow := w.pool.workers["w0"]
		slow.pace.slow, slow.pace.factor, slow.pace.slowSince, slow.pace.probedAt = true, 6.5, w.now, w.now
		w.pool.countSlow()
		return w
	}
	four := newSpec("j", 1, tasks(4, 1000, 100))
	t.Run("in a pool of one worker", func(t *testing.T) {
		w := newSlow(t, 1)
		declare(w, four)
		is.New(t).Equal(len(w.workers["w0"].active), 4)
	})
	t.Run("if the others drain", func(t *testing.T) {
		w := newSlow(t, 3)
		w.workers["w1"].info.Draining, w.workers["w2"].info.Draining = true, true
		w.list()
		declare(w, four)
		is.New(t).Equal(len(w.workers["w0"].active), 4)
	})
	t.Run("if the advisor allows no other", func(t *testing.T) {
		w := newSlow(t, 2)
		spec := newSpec("j", 1)
		spec.Policy.Advised = true
		declare(w, spec)
		w.advise(3*time.Second, "w0")
		is.New(t).Equal(len(w.workers["w0"].active), 2)
	})
	t.Run("but none while another worker is sound", func(t *testing.T) {
		w := newSlow(t, 2)
		declare(w, newSpec("j", 1, tasks(6, 1000, 100)))
		is.New(t).Equal(len(w.workers["w0"].active), 0)
	})
}
