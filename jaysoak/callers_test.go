package jaysoak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
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
	// refused is true if every attempt to submit the job was rejected as not run.
	refused   bool
	cancelled bool
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

	mu   sync.Mutex
	jobs []*job
}

func newCallers(s *soak) *callers {
	return &callers{soak: s, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// call sends a request to an entry. It returns the status and the body of the response, or
// zero if there is no complete response.
func (c *callers) call(p *process, j *job, method string, body []byte) (int, string) {
	key := c.soak.organisations.key(j.organisation)
	status, text := c.callWith(key, p, method, j.path, body)
	if status == http.StatusUnauthorized && c.soak.organisations.revokedFor(key) == 0 {
		c.soak.fail("key", p.name+" refuses the declared key "+key)
	}
	return status, text
}

// callWith is call with an API key, or without one if it is empty.
func (c *callers) callWith(key string, p *process, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.caller+path, bytes.NewReader(body))
	if err != nil {
		c.soak.fail("soak", err.Error())
		return 0, ""
	}
	request.Host = "a.example"
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
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
	spec := fmt.Sprint(30+r.IntN(300), "ms")
	if c.soak.scenario.crashing() && r.IntN(crashingJobRatio) == 0 {
		j.crashes = true
		spec += fmt.Sprintf(" crash=0@%dms", r.IntN(30))
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

// runJob submits a job, may cancel it, and then checks its state several times.
func (c *callers) runJob(number int, r *rand.Rand) {
	j := &job{id: fmt.Sprintf("%016x", number), organisation: number % len(organisationNames), refused: true}
	j.path = []string{"/seats/", "/fees/"}[r.IntN(2)] + j.id
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	text := c.jobBody(j, r)
	if c.soak.scenario.organised() {
		c.soak.platform.Checker.Submitted(j.id, organisationNames[j.organisation])
	}
	for range submitAttempts {
		status, _ := c.call(c.soak.anyEntry(r), j, http.MethodPost, text)
		if status == http.StatusOK {
			j.accepted, j.refused = time.Now(), false
			break
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusUnauthorized {
			j.refused = false
		}
		time.Sleep(retryPause)
	}
	if j.accepted.IsZero() {
		return
	}
	if r.IntN(8) == 0 {
		status, _ := c.call(c.soak.anyEntry(r), j, http.MethodDelete, nil)
		j.cancelled = true
		if status == http.StatusGone && time.Since(j.accepted) > visibilityDelay {
			c.soak.fail("lost", j.id+" is unknown when it is cancelled")
		}
	}
	for range 4 {
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
		c.checkState(j, c.soak.anyEntry(r))
		if c.soak.scenario.organised() {
			c.probe(j, r)
		}
	}
}

// checkState queries a job's state and checks it against earlier responses and against the
// runs of its tasks. It reports whether the job has ended.
func (c *callers) checkState(j *job, p *process) bool {
	asked := time.Now()
	status, text := c.call(p, j, http.MethodGet, nil)
	if status == http.StatusGone && asked.Sub(j.accepted) > visibilityDelay {
		c.soak.fail("lost", j.id+" was accepted and is unknown to "+p.name)
	}
	if status != http.StatusOK {
		return false
	}
	var answer struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		c.soak.fail("answer", j.id+": "+text)
		return false
	}
	if j.state == "done" && answer.State != "done" {
		c.soak.fail("mixed", j.id+" was shown as done and is now "+answer.State)
	}
	if answer.State == "failed" && !j.crashes || answer.State == "canceled" && !j.cancelled {
		c.soak.fail("lost", j.id+" is shown as "+answer.State+" without cause")
	}
	if finished := c.soak.platform.Checker.Finished(j.id); answer.State == "done" && finished < j.tasks {
		c.soak.fail("mixed", fmt.Sprintf("%s is shown as done, %d of its %d tasks have ended so", j.id, finished, j.tasks))
	}
	j.state = answer.State
	return answer.State == "done" || answer.State == "canceled" || answer.State == "failed"
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
