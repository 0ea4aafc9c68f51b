package jaysoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"jaythread/jayoptions"
)

// overloadSettings enables all decisions under overload.
var overloadSettings = jayoptions.Overload{
	DivideHosts: true, PredictBursts: true, WorkerSpeeds: true, CopyShare: 0.05, FairShares: true, RejectHopeless: true,
}

const (
	// overloadTime is by how much longer faults are injected than without overload.
	overloadTime = 3 * time.Second
	// slowFactor is how many times as long tasks take on a slow worker.
	slowFactor = 6.5
	// burstInterval is the time between two jobs of a burst. Each of them takes about 6 core
	// seconds, so that about 150 cores' work arrives for the 64 cores of the workers.
	burstInterval = 40 * time.Millisecond
	// burstTime is how long jobs arrive for one pool before they arrive for the other.
	burstTime = time.Second
	// earlyInterval is the time between two jobs before the burst.
	earlyInterval = 100 * time.Millisecond
	// stragglerTime is how long a straggler takes: longer than another run of its task may
	// continue after its copy has ended.
	stragglerTime = 8 * time.Second
	// returnTime is how long after its first submission a rejected job may return. One that is
	// asked to return later does not.
	returnTime = 6 * time.Second
)

// overload submits more work than the workers can do for a third of the given length. Two workers,
// one in each pool at first, are slow for half of the length. Before the burst, jobs let the pools
// learn how long tasks take, and later some of their tasks take long by themselves.
func (c *callers) overload(length time.Duration) {
	r := rand.New(rand.NewPCG(c.soak.scenario.seed, 11))
	first := r.IntN(soakMachines)
	setSpeeds := func(factor float64) {
		for _, n := range []int{first, first + 1} {
			c.soak.platform.Slow(fmt.Sprint("m", n%soakMachines), factor)
		}
	}
	var calls sync.WaitGroup
	defer calls.Wait()
	slow := time.AfterFunc(length/6, func() { setSpeeds(slowFactor) })
	defer slow.Stop()
	recovery := time.AfterFunc(length*2/3, func() { setSpeeds(1) })
	defer recovery.Stop()
	pools := []string{"/seats/", "/fees/"}
	before := int(length * 5 / 12 / earlyInterval)
	for n := range before {
		// A third of the stragglers must not be copied.
		own := rand.New(rand.NewPCG(c.soak.scenario.seed, uint64(n)+1<<21))
		calls.Go(func() { c.submitEarlyJob(1<<21+n, pools[n%2], n > before/2, n%3 != 2, own) })
		time.Sleep(earlyInterval)
	}
	for n := range int(length / 3 / burstInterval) {
		own := rand.New(rand.NewPCG(c.soak.scenario.seed, uint64(n)+1<<20))
		pool := pools[n/int(burstTime/burstInterval)%2]
		calls.Go(func() { c.submitBurstJob(1<<20+n, pool, own) })
		time.Sleep(burstInterval)
	}
}

// submitBurstJob submits a job of tasks that need half of a worker each.
func (c *callers) submitBurstJob(number int, pool string, r *rand.Rand) {
	takes := 150 + r.IntN(200)
	step := map[string]any{"count": 6, "cpu": soakCapacity / 2 * 1000, "memMb": 100, "estMs": estimateOf(takes, r)}
	c.submitUnlimited(number, pool, fmt.Sprint(takes, "ms"), step, r)
}

// submitEarlyJob submits a job of small tasks, of which one may take long.
func (c *callers) submitEarlyJob(number int, pool string, straggles, speculative bool, r *rand.Rand) {
	takes := 150 + r.IntN(200)
	step := map[string]any{"count": 4, "cpu": 1000, "memMb": 100, "estMs": estimateOf(takes, r), "speculative": speculative}
	spec := fmt.Sprint(takes, "ms")
	if straggles {
		spec += fmt.Sprint(" straggle=0@", stragglerTime)
	}
	c.submitUnlimited(number, pool, spec, step, r)
}

// submitUnlimited submits a job of one step for the organisation without a quota.
func (c *callers) submitUnlimited(number int, pool, spec string, step map[string]any, r *rand.Rand) {
	j := c.newJob(number, pool)
	j.organisation = len(c.soak.scenario.organisations()) - 1
	c.declareSpeculative(j, []any{step})
	j.tasks = step["count"].(int)
	text, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	c.submit(j, text, r)
}

// declareForOverload changes the steps of a random job: estimates are off by a fifth, and a third
// of the steps are speculative.
func (c *callers) declareForOverload(j *job, steps []any, takes int, r *rand.Rand) {
	for _, step := range steps {
		step.(map[string]any)["estMs"] = estimateOf(takes, r)
		step.(map[string]any)["speculative"] = r.IntN(3) == 0
	}
	c.declareSpeculative(j, steps)
}

func (c *callers) declareSpeculative(j *job, steps []any) {
	for n, step := range steps {
		if step.(map[string]any)["speculative"] == true {
			c.soak.platform.Checker.SetSpeculative(j.id, n)
		}
	}
}

// estimateOf returns an estimate in milliseconds that is off by up to a fifth.
func estimateOf(millis int, r *rand.Rand) int {
	return millis * (80 + r.IntN(41)) / 100
}

// pauseAfter returns how long a caller waits after a submission that was not accepted, and
// whether it submits the job again at all. Half of the rejected jobs return when they were asked
// to, the others earlier.
func (j *job) pauseAfter(response answer) (pause time.Duration, returns bool) {
	if response.retryAfter == 0 || !j.returnsInTurn {
		return retryPause, true
	}
	return response.retryAfter, time.Since(j.submitted)+response.retryAfter <= returnTime
}

// alwaysRejected returns the number of jobs each submission of which was answered with 429.
func (c *callers) alwaysRejected() int {
	count := 0
	for _, j := range c.jobs {
		if j.rejected {
			count++
		}
	}
	return count
}

// countMessages returns how often the entries have logged each decision under overload.
func countMessages(entries []*process) string {
	var counts []string
	for _, message := range []string{
		"hosts divided", "burst predicted", "worker slow", "copy started", "copy won",
		"organisation beyond its share", "job rejected", "job returned in turn",
	} {
		count := 0
		for _, p := range entries {
			text, _ := os.ReadFile(p.log)
			count += bytes.Count(text, []byte(`"message":"`+message+`"`))
		}
		counts = append(counts, fmt.Sprint(message, " ", count))
	}
	return strings.Join(counts, ", ")
}
