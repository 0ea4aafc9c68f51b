package jayapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// ResponseError is the error of a call to which the entry responded with a problem.
type ResponseError struct {
	Status  int
	Problem Problem
}

// Error returns the problem's message.
func (e *ResponseError) Error() string {
	return e.Problem.Error
}

// ErrNoEntry is returned if the entry does not respond.
var ErrNoEntry = errors.New("entry instance does not answer")

// Client calls the operator API of an entry.
type Client struct {
	base  string
	token string
	actor string
	http  *fasthttp.Client
}

// NewClient returns a client of the operator API at a base URL. The token may be
// empty; actor identifies the user in the audit trail.
func NewClient(base, token, actor string) *Client {
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		actor: actor,
		http:  &fasthttp.Client{MaxIdemponentCallAttempts: 1},
	}
}

// Status returns the state of the fleet as the entry knows it.
func (c *Client) Status() (*Status, error) {
	var s Status
	return &s, c.get("/v1/status", &s)
}

// Configuration returns the configuration in force.
func (c *Client) Configuration() (*Configuration, error) {
	var config Configuration
	return &config, c.get("/v1/configuration", &config)
}

// Publish replaces the configuration. It is refused if another revision than
// p.Replaces is in force.
func (c *Client) Publish(p Publish) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/configuration", p, &d)
}

// InForce returns the revision that each live entry has in force, and whether all
// of them have reached the given one.
func (c *Client) InForce(revision uint64) (*RevisionStatus, error) {
	var f RevisionStatus
	return &f, c.get("/v1/inForce?revision="+strconv.FormatUint(revision, 10), &f)
}

// StartWave starts a maintenance wave. Without pools, the wave covers all pools.
func (c *Client) StartWave(w Wave) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/waves", w, &d)
}

// SetWave changes the phase of a wave; verb is pause, resume or cancel.
func (c *Client) SetWave(wave, verb string) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/waves/"+url.PathEscape(wave)+"/"+verb, struct{}{}, &d)
}

// Move starts the move of an instance to another pool.
func (c *Client) Move(m Move) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/moves", m, &d)
}

// ReleaseJob releases a parked job, so that its tasks are placed again.
func (c *Client) ReleaseJob(job string) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/jobs/"+url.PathEscape(job)+"/release", struct{}{}, &d)
}

// Quarantine changes the quarantine of an instance; verb is set or lift.
func (c *Client) Quarantine(instance, verb string) (*WriteResult, error) {
	var d WriteResult
	return &d, c.post("/v1/quarantine/"+url.PathEscape(instance)+"/"+verb, struct{}{}, &d)
}

// AuditFilter selects audit entries. An empty field matches all entries; Subject
// and Actor match substrings.
type AuditFilter struct {
	From    uint64
	Kind    string
	Subject string
	Actor   string
}

// Audit returns the audit entries that match a filter, oldest first.
func (c *Client) Audit(f AuditFilter) ([]AuditEntry, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(f.From, 10))
	query.Set("kind", f.Kind)
	query.Set("subject", f.Subject)
	query.Set("actor", f.Actor)
	var entries []AuditEntry
	err := c.get("/v1/audit?"+query.Encode(), &entries)
	return entries, err
}

// Explain returns the rule that applies to a request, and why earlier rules do not
// match.
func (c *Client) Explain(q Explain) (*Explained, error) {
	var e Explained
	return &e, c.post("/v1/explain", q, &e)
}

// Plan simulates a wave over the given pools, or over all pools if none is given,
// and returns its steps. The step argument is the duration of one step; zero
// selects the server's default.
func (c *Client) Plan(pools []string, step time.Duration) (*Plan, error) {
	query := url.Values{}
	query.Set("pools", strings.Join(pools, ","))
	query.Set("stepMillis", strconv.FormatInt(step.Milliseconds(), 10))
	var p Plan
	return &p, c.get("/v1/plan?"+query.Encode(), &p)
}

func (c *Client) get(path string, into any) error {
	return c.call(fasthttp.MethodGet, path, nil, into)
}

func (c *Client) post(path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(fasthttp.MethodPost, path, text, into)
}

func (c *Client) call(method, path string, body []byte, into any) error {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set(HeaderActor, c.actor)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, proposeTimeout+5*time.Second); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNoEntry, c.base, err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return json.Unmarshal(resp.Body(), into)
	}
	responseError := &ResponseError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &responseError.Problem); err != nil {
		responseError.Problem.Error = strings.TrimSpace(string(resp.Body()))
	}
	return responseError
}
