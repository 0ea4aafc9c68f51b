package jayplatform

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 64 << 20

// Client is an HTTP client of the platform with JSON bodies. It implements Log,
// InstanceList and Workers.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client
}

// NewClient returns a client for the platform at a base URL. Each call times out
// after the timeout plus the time for which the call asks the platform to wait.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: timeout,
		http: &fasthttp.Client{
			Name: "jaythread",
			// A retry by the library could append a record twice.
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxResponseBytes,
			MaxConnsPerHost:           64,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

// Append implements Log.
func (c *Client) Append(stream string, record []byte) (uint64, error) {
	var a appendResponse
	path := "/streams/" + url.PathEscape(stream) + "/records"
	err := c.call(fasthttp.MethodPost, path, record, 0, &a)
	return a.Offset, err
}

// Read implements Log. If it returns ErrExpired, the page still holds the oldest
// offset.
func (c *Client) Read(stream string, from uint64, wait time.Duration) (Page, error) {
	var p Page
	path := fmt.Sprintf("/streams/%s/records?from=%d&waitMillis=%d", url.PathEscape(stream), from, wait.Milliseconds())
	err := c.call(fasthttp.MethodGet, path, nil, wait, &p)
	return p, err
}

// Since implements InstanceList.
func (c *Client) Since(version uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	path := fmt.Sprintf("/instances?since=%d&waitMillis=%d", version, wait.Milliseconds())
	err := c.call(fasthttp.MethodGet, path, nil, wait, &changes)
	return changes, err
}

// Do implements Workers.
func (c *Client) Do(instance string, fence uint64, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode the order for %s: %w", instance, err)
	}
	path := "/instances/" + url.PathEscape(instance) + "/" + OrderName(order) + "?fence=" + strconv.FormatUint(fence, 10)
	return c.call(fasthttp.MethodPost, path, body, 0, nil)
}

// OrderName returns the last segment of the URL path for an order.
func OrderName(order Order) string {
	switch order.(type) {
	case Drain:
		return "drain"
	case Undrain:
		return "undrain"
	case Reboot:
		return "reboot"
	case StartTask:
		return "startTask"
	case StopTask:
		return "stopTask"
	default:
		return ""
	}
}

func (c *Client) call(method, path string, body []byte, wait time.Duration, into any) error {
	// The request and response are not pooled: after a timeout the library may
	// still use them, and a pooled object would then mix the bytes of two calls.
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, wait+c.timeout); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusGone:
		// The response still contains the oldest offset that is retained.
		_ = json.Unmarshal(resp.Body(), into)
		return fmt.Errorf("%w: %s", ErrExpired, path)
	case status >= 500:
		return fmt.Errorf("%w: %s %s: status %d", ErrUnavailable, method, path, status)
	case status >= 300:
		return fmt.Errorf("%w: %s %s: status %d: %s", ErrRefused, method, path, status, resp.Body())
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, method, path, err)
	}
	return nil
}
