package jaydemo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"jaythread/jaystandin"
	"jaythread/jayverdict"
)

const (
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 10 * time.Second
	// largeResponse is the size in bytes of a large response. It exceeds the entries'
	// buffer, so that the response is streamed.
	largeResponse = 1500 << 10
)

// callers send requests through the balancer and check each response.
type callers struct {
	profile  Profile
	balancer *balancer
	ledger   *jaystandin.Ledger

	mu    sync.Mutex
	tally tally
	// refusedAttempts are the IDs of the attempts that were rejected as not run.
	refusedAttempts []string
	// reasons counts the responses of entries by their text, and requests without a
	// response by their error.
	reasons map[string]int
	// latency is in microseconds.
	latency *hdrhistogram.Histogram
}

// tally holds the counters of the callers.
type tally struct {
	requests      int
	answered      int
	refusedNotRun int
	mayHaveRun    int
	wrongAnswers  int
	cutInFlight   int
	unsent        int
}

func newCallers(p Profile, b *balancer, ledger *jaystandin.Ledger) *callers {
	return &callers{
		profile:  p,
		balancer: b,
		ledger:   ledger,
		reasons:  map[string]int{},
		latency:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// run sends requests from a number of callers until the context ends. Each caller pauses
// between its requests, on average for the given time.
func (c *callers) run(ctx context.Context, callerCount int, pause time.Duration) {
	var running sync.WaitGroup
	for n := range callerCount {
		running.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			for ctx.Err() == nil {
				c.sendRandom(random, fmt.Sprintf("college-%d", n%12))
				time.Sleep(pause/2 + time.Duration(random.Int64N(int64(pause))))
			}
		})
	}
	running.Wait()
}

// call is a request to be sent by a caller.
type call struct {
	id     string
	key    string
	caller string
	method string
	path   string
	body   []byte
	size   int
}

// sendRandom sends a random request. A payment that failed is sent again, and sometimes one
// that succeeded too.
func (c *callers) sendRandom(random *rand.Rand, caller string) {
	service := c.profile.Services[random.IntN(len(c.profile.Services))]
	q := call{id: uuid.NewString(), caller: caller, method: fasthttp.MethodGet, path: "/" + service + "/list"}
	switch kind := random.IntN(100); {
	case kind < 25:
		q.method = fasthttp.MethodPost
		q.path = "/" + c.profile.Payments + "/pay"
		q.key = "key-" + q.id
		q.body = []byte(strings.Repeat("p", random.IntN(2000)))
	case kind < 27:
		q.size = largeResponse
	}
	answered := c.send(q)
	if q.key != "" && (!answered || random.IntN(5) == 0) {
		// The same payment is sent again, usually through another entry; it must not run
		// twice.
		c.send(q)
	}
}

// send sends a request to an entry and reports whether it succeeded.
func (c *callers) send(q call) bool {
	entry := c.balancer.pick()
	if entry == nil {
		return false
	}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(q.method)
	req.SetRequestURI("http://" + entry.addr + q.path)
	req.Header.Set(jaystandin.HeaderRequestID, q.id)
	attempt := uuid.NewString()
	req.Header.Set(jaystandin.HeaderAttempt, attempt)
	req.Header.Set("Jaythread-Caller", q.caller)
	if q.key != "" {
		req.Header.Set(jaystandin.HeaderKey, q.key)
	}
	if q.size > 0 {
		req.Header.Set(jaystandin.HeaderSize, fmt.Sprint(q.size))
	}
	req.SetBodyRaw(q.body)
	began := time.Now()
	err := entry.client.DoTimeout(req, resp, callerTimeout)
	return c.checkResponse(q, attempt, resp, err, time.Since(began))
}

// checkResponse counts a response and checks its body. It reports whether the request
// succeeded.
func (c *callers) checkResponse(q call, attempt string, resp *fasthttp.Response, err error, took time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.requests++
	if err != nil {
		c.recordError(err)
		c.reasons["no answer: "+err.Error()]++
		return false
	}
	verdict := jayverdict.Parse(string(resp.Header.Peek(jayverdict.Header)))
	switch {
	case resp.StatusCode() == fasthttp.StatusOK:
		c.tally.answered++
		_ = c.latency.RecordValue(took.Microseconds())
		if string(resp.Body()) != jaystandin.Answer(q.id, q.body, q.size) {
			c.tally.wrongAnswers++
		}
		return true
	case verdict == jayverdict.NotRun:
		c.tally.refusedNotRun++
		c.refusedAttempts = append(c.refusedAttempts, attempt)
		c.reasons[strings.TrimSpace(string(resp.Body()))]++
	default:
		c.tally.mayHaveRun++
		c.reasons[strings.TrimSpace(string(resp.Body()))]++
	}
	return false
}

// recordError counts a request without a response. A request whose connection could not be
// opened was not in flight.
func (c *callers) recordError(err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.tally.unsent++
		return
	}
	c.tally.cutInFlight++
}

// notRunButRan returns the number of attempts that were rejected as not run although they
// ran.
func (c *callers) notRunButRan() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := 0
	for _, attempt := range c.refusedAttempts {
		if c.ledger.RunsOf(attempt) > 0 {
			broken++
		}
	}
	return broken
}
