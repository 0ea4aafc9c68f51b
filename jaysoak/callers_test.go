package jaysoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callTimeout is the time limit of a call to an entry.
	callTimeout = 3 * time.Second
	// visibilityDelay is how long a job may be unknown after it was accepted.
	visibilityDelay = 3 * time.Second
	// submitAttempts is the largest number of attempts to submit a job.
	submitAttempts = 6
	// retryPause is the pause between these attempts.
	retryPause = 250 * time.Millisecond
)

// job is a caller's view of a job.
type job struct {
	id   string
	path string
	// organisation is the number of the organisation that submits the job.
	organisation int
	// accepted is when the job was accepted, or zero.
	accepted time.Time
	// refused is true if every attempt to submit the job was rejected as not run, and
	// rejected if every one of them was answered with 429.
	refused  bool
	rejected bool
	// submitted is when the job was first submitted. returnsInTurn says that its caller waits
	// for as long as a Retry-After states.
	submitted     time.Time
	returnsInTurn bool
	cancelled     bool
	// crashes is true if a task of the job crashes its workers.
	crashes bool
	// tasks is the number of the job's tasks.
	tasks int
	// state is the state that was last shown to the caller.
	state string
}

// callers submit jobs, query them and cancel some of them. They keep connections open until
// the process at the other end has exited.
type callers struct {
	soak   *soak
	client *http.Client

	// rejections counts the answers with 429.
	rejections atomic.Int64

	mu   sync.Mutex
	jobs []*job
}

// answer is an entry's response to a call. It is zero if there is no complete response.
type answer struct {
	status int
	text   string
	// retryAfter is the Retry-After of a response with 429.
	retryAfter time.Duration
}

func newCallers(s *soak) *callers {
	return &callers{soak: s, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// call sends a request to an entry.
func (c *callers) call(p *process, j *job, method string, body []byte) answer {
	key := c.soak.organisations.key(j.organisation)
	response := c.callWith(key, p, method, j.path, body)
	if response.status == http.StatusUnauthorized && c.soak.organisations.revokedFor(key) == 0 {
		c.soak.fail("key", p.name+" refuses the declared key "+key)
	}
	return response
}

// callWith is call with an API key, or without one if it is empty.
func (c *callers) callWith(key string, p *process, method, path string, body []byte) answer {
	return c.callContext(context.Background(), key, p, method, path, body)
}

// callContext is callWith for a caller that leaves when the context ends.
func (c *callers) callContext(ctx context.Context, key string, p *process, method, path string, body []byte) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.caller+path, bytes.NewReader(body))
	if err != nil {
		c.soak.fail("soak", err.Error())
		return answer{}
	}
	request.Host = "a.example"
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, text: string(text), retryAfter: c.retryAfter(p, response)}
}

// retryAfter returns the Retry-After of a response with 429, which must be a number of seconds
// from 1 on.
func (c *callers) retryAfter(p *process, response *http.Response) time.Duration {
	if response.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	c.rejections.Add(1)
	header := response.Header.Get("Retry-After")
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 1 {
		c.soak.fail("retry", fmt.Sprintf("%s answers 429 with the Retry-After %q", p.name, header))
	}
	return time.Duration(seconds) * time.Second
}

// crashingJobRatio is the mean number of jobs per job that crashes its workers.
const crashingJobRatio = 25

// jobBody returns the declaration of a random job with one to three steps of one to four
// tasks each.
func (c *callers) jobBody(j *job, r *rand.Rand) []byte {
	var steps []any
	for n := range 1 + r.IntN(3) {
		step := map[string]any{"count": 1 + r.IntN(4), "cpu": 1000, "memMb": 100, "estMs": 100}
		j.tasks += step["count"].(int)
		if n > 0 {
			step["after"] = []int{n - 1}
		}
		steps = append(steps, step)
	}
	takes := 30 + r.IntN(300)
	spec := fmt.Sprint(takes, "ms")
	if c.soak.scenario.crashing() && r.IntN(crashingJobRatio) == 0 {
		j.crashes = true
		spec += fmt.Sprintf(" crash=0@%dms", r.IntN(30))
	}
	if c.soak.scenario.overloaded {
		c.declareForOverload(j, steps, takes, r)
	}
	text, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return text
}

// crashedWorkers returns how many workers were crashed by jobs.
func (c *callers) crashedWorkers() int {
	count := 0
	for _, j := range c.jobs {
		count += c.soak.platform.Checker.Crashes(j.id)
	}
	return count
}

// newJob returns the job with a number for the pool with a path prefix.
func (c *callers) newJob(number int, prefix string) *job {
	id := fmt.Sprintf("%016x", number)
	return &job{id: id, path: prefix + id, organisation: number % len(c.soak.scenario.organisations()), returnsInTurn: number%2 == 0}
}

// runJob submits a job, may cancel it, and then checks its state several times, and until all outages
// are over.
func (c *callers) runJob(number int, r *rand.Rand) {
	j := c.newJob(number, []string{"/seats/", "/fees/"}[r.IntN(2)])
	body := c.jobBody(j, r)
	if !c.submit(j, body, r) {
		return
	}
	if r.IntN(8) == 0 {
		status := c.call(c.soak.anyEntry(r), j, http.MethodDelete, nil).status
		j.cancelled = true
		if status == http.StatusGone && time.Since(j.accepted) > visibilityDelay {
			c.soak.fail("lost", j.id+" is unknown when it is cancelled")
		}
	}
	if c.soak.scenario.moving && !j.cancelled {
		c.repeat(j, body, r)
	}
	for n := 0; n < 4 || !c.soak.calm(); n++ {
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond / c.soak.scenario.askRate())
		c.checkState(j, c.soak.anyEntry(r))
		if c.soak.scenario.organised() {
			c.probe(j, r)
		}
	}
}

// repeat submits an accepted job once more, as a caller does whose answer was late.
func (c *callers) repeat(j *job, body []byte, r *rand.Rand) {
	time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	switch response := c.call(c.soak.anyEntry(r), j, http.MethodPost, body); response.status {
	case http.StatusConflict, http.StatusBadRequest:
		c.soak.fail("repeat", fmt.Sprintf("%s was accepted, and its repetition is refused: %d %s", j.id, response.status, response.text))
	}
}

// submit submits a job, several times if need be, and reports whether it was accepted.
func (c *callers) submit(j *job, body []byte, r *rand.Rand) bool {
	j.refused, j.rejected, j.submitted = true, true, time.Now()
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	if c.soak.scenario.organised() {
		c.soak.platform.Checker.Submitted(j.id, c.soak.scenario.organisations()[j.organisation])
	}
	for range submitAttempts {
		response := c.call(c.soak.anyEntry(r), j, http.MethodPost, body)
		switch response.status {
		case http.StatusOK:
			j.accepted, j.refused, j.rejected = time.Now(), false, false
			return true
		case http.StatusTooManyRequests:
		case http.StatusServiceUnavailable, http.StatusUnauthorized:
			j.rejected = false
		default:
			j.refused, j.rejected = false, false
		}
		pause, returns := j.pauseAfter(response)
		if !returns {
			break
		}
		time.Sleep(pause)
	}
	return false
}

// checkState queries a job's state and checks it against earlier responses and against the
// runs of its tasks. It reports whether the job has ended.
func (c *callers) checkState(j *job, p *process) bool {
	asked := time.Now()
	response := c.call(p, j, http.MethodGet, nil)
	if response.status == http.StatusGone && asked.Sub(j.accepted) > visibilityDelay {
		c.soak.fail("lost", j.id+" was accepted and is unknown to "+p.name)
	}
	if response.status != http.StatusOK {
		return false
	}
	var shown struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(response.text), &shown); err != nil {
		c.soak.fail("answer", j.id+": "+response.text)
		return false
	}
	if j.state == "done" && shown.State != "done" {
		c.soak.fail("mixed", j.id+" was shown as done and is now "+shown.State)
	}
	if shown.State == "failed" && !j.crashes || shown.State == "canceled" && !j.cancelled {
		c.soak.fail("lost", j.id+" is shown as "+shown.State+" without cause")
	}
	if finished := c.soak.platform.Checker.Finished(j.id); shown.State == "done" && finished < j.tasks {
		c.soak.fail("mixed", fmt.Sprintf("%s is shown as done, %d of its %d tasks have ended so", j.id, finished, j.tasks))
	}
	j.state = shown.State
	return shown.State == "done" || shown.State == "canceled" || shown.State == "failed"
}

// awaitEnds waits until every accepted job has ended, and checks that no rejected job was
// run. It returns the numbers of accepted and rejected jobs.
func (c *callers) awaitEnds(within time.Duration, r *rand.Rand) (accepted, refused int) {
	until := time.Now().Add(within)
	for _, j := range c.jobs {
		if j.refused {
			refused++
			if c.soak.platform.Checker.Begun(j.id) {
				c.soak.fail("refused", j.id+" was rejected at every try and has run")
			}
			continue
		}
		if j.accepted.IsZero() {
			continue
		}
		accepted++
		for !c.checkState(j, c.soak.anyEntry(r)) {
			if time.Now().After(until) {
				c.soak.fail("finish", j.id+" has not ended: "+j.state)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return accepted, refused
}
