package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// clientDeadline is how long a client waits for an answer.
const clientDeadline = 3 * time.Second

// client calls the entries in turn, as the platform's balancer spreads connections. It skips those that
// are not ready.
type client struct {
	host    string
	entries []*entry
	record  *record
	http    *http.Client
	key     string
}

func newClient(host string, entries []*entry, r *record) *client {
	return &client{host: host, entries: entries, record: r, http: &http.Client{Timeout: clientDeadline}}
}

// call sends one request to one entry. The status is zero without an answer.
func (c *client) call(e *entry, method, path string, body any) (status int, text string) {
	var in io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		in = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+e.caller+path, in)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("X-Deadline-Ms", "3000")
	if in != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(bytes.TrimSpace(data))
}

// submit hands a job in, with up to some tries at different entries.
func (c *client) submit(path string, body any, tries int) (accepted bool) {
	for n := range tries {
		e := c.entries[n%len(c.entries)]
		status, text := c.call(e, http.MethodPost, path, body)
		c.record.add("client: POST %s at %s: %d %.80s", path, e.name, status, text)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
