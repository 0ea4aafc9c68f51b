package jayupstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"jaythread/jayverdict"
)

// upstream is a fake upstream on the loopback interface. The test handles its
// requests one at a time.
type upstream struct {
	addr     string
	requests chan *request
}

// request is a request that reached the upstream, with its connection.
type request struct {
	path string
	conn net.Conn
}

func newUpstream(t *testing.T) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{addr: listener.Addr().String(), requests: make(chan *request, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.read(conn)
		}
	}()
	return u
}

func (u *upstream) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.requests <- &request{path: r.URL.Path, conn: conn}
	}
}

func (r *request) write(text string) {
	_, _ = io.WriteString(r.conn, text)
}

// outcome is the result of a call.
type outcome struct {
	result *Result
	err    error
}

// call sends a request and passes what reaches the upstream to handle.
func (u *upstream) call(c *Client, path string, a Attempt, handle func(r *request)) outcome {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://upstream" + path)
	a.Addr, a.Connections = u.addr, 4
	if a.Timeout == 0 {
		a.Timeout = 10 * time.Second
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := c.Do(a, req)
		done <- outcome{result, err}
	}()
	select {
	case r := <-u.requests:
		handle(r)
		return <-done
	case o := <-done:
		return o
	}
}

func newClient() *Client {
	return NewClient(time.Minute, time.Second, 1000)
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		handle func(r *request)
		want   jayverdict.Verdict
	}{
		{"the connection is closed before the answer", func(r *request) { _ = r.conn.Close() }, jayverdict.MayHaveRun},
		{"the connection is closed within the status line", func(r *request) { r.write("HTTP/1.1 200"); _ = r.conn.Close() }, jayverdict.MayHaveRun},
		{"the body is truncated", func(r *request) {
			r.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
			_ = r.conn.Close()
		}, jayverdict.MayHaveRun},
		{"the chunked body is truncated", func(r *request) {
			r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")
			_ = r.conn.Close()
		}, jayverdict.MayHaveRun},
		{"the answer is not HTTP", func(r *request) { r.write("hello\r\n\r\n"); _ = r.conn.Close() }, jayverdict.MayHaveRun},
		{"the upstream refuses the request as not run", func(r *request) {
			r.write("HTTP/1.1 503 Busy\r\nJaythread-Verdict: notRun\r\nContent-Length: 0\r\n\r\n")
		}, jayverdict.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := newUpstream(t).call(newClient(), "/", Attempt{}, c.handle)
			is.True(got.err != nil)
			is.Equal(jayverdict.Of(got.err), c.want)
		})
	}
	t.Run("a 503 answer without a verdict is not an error", func(t *testing.T) {
		is := is.New(t)
		got := newUpstream(t).call(newClient(), "/", Attempt{}, func(r *request) {
			r.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		})
		is.NoErr(got.err)
	})
	t.Run("a request to a closed port has not run", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is := is.New(t)
		is.NoErr(err)
		_ = listener.Close()
		_, err = newClient().Do(Attempt{Addr: listener.Addr().String(), Connections: 1, Timeout: time.Second}, &fasthttp.Request{})
		is.Equal(jayverdict.Of(err), jayverdict.NotRun)
	})
	t.Run("a leaving upstream is distinguished from a busy one", func(t *testing.T) {
		is := is.New(t)
		got := newUpstream(t).call(newClient(), "/", Attempt{}, func(r *request) {
			r.write("HTTP/1.1 503 Busy\r\nConnection: close\r\nJaythread-Verdict: notRun\r\nContent-Length: 0\r\n\r\n")
		})
		is.True(errors.Is(got.err, ErrLeaving))
	})
}

func TestLibraryDoesNotRetry(t *testing.T) {
	// Guards against an upstream that sees two requests for one call: the client
	// library repeats idempotent methods when a kept-alive connection closes after
	// a GET was sent.
	is := is.New(t)
	u, c := newUpstream(t), newClient()
	got := u.call(c, "/first", Attempt{}, func(r *request) { r.write(ok) })
	is.NoErr(got.err)
	got = u.call(c, "/second", Attempt{}, func(r *request) { _ = r.conn.Close() })
	is.Equal(jayverdict.Of(got.err), jayverdict.MayHaveRun)
	is.Equal(len(u.requests), 0)
}

func TestClosedIdleConnection(t *testing.T) {
	// Guards against a request that fails with "may have run" although no upstream
	// saw it: an upstream closes an idle connection, and a write to it succeeds
	// before the end of the connection is noticed.
	is := is.New(t)
	u, c := newUpstream(t), newClient()
	got := u.call(c, "/first", Attempt{}, func(r *request) {
		r.write(ok)
		_ = r.conn.Close()
	})
	is.NoErr(got.err)
	got = u.call(c, "/second", Attempt{}, func(r *request) { r.write(ok) })
	// Either the end of the connection was already visible and nothing was
	// written, or the library had dropped the connection and opened a new one.
	is.True(got.err == nil || jayverdict.Of(got.err) == jayverdict.NotRun)
}

func TestUnsolicitedAnswerIsDiscarded(t *testing.T) {
	// Guards against a caller that receives another caller's response: an upstream
	// sends a second, unsolicited response, which is taken for the response to the
	// next request on the connection, because HTTP/1.1 matches responses to requests
	// by order alone.
	is := is.New(t)
	u, c := newUpstream(t), newClient()
	var kept net.Conn
	got := u.call(c, "/first", Attempt{}, func(r *request) { kept = r.conn; r.write(ok) })
	is.NoErr(got.err)
	_, err := io.WriteString(kept, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret")
	is.NoErr(err)
	for range 2 {
		got = u.call(c, "/second", Attempt{}, func(r *request) { r.write(ok) })
		if got.err == nil {
			is.Equal(string(got.result.Body), "ok")
			continue
		}
		is.Equal(jayverdict.Of(got.err), jayverdict.NotRun)
	}
}

func TestLateAnswerIsDiscarded(t *testing.T) {
	// Guards against a caller that receives the response to a request that timed
	// out: the response arrives later on the same connection, and the connection is
	// reused for another request.
	is := is.New(t)
	u, c := newUpstream(t), newClient()
	var late *request
	// The connection is opened first, and the timeout is long enough for a loaded
	// machine to write the request: a request that timed out before it was sent
	// has not run, which is not the case under test.
	got := u.call(c, "/first", Attempt{}, func(r *request) { r.write(ok) })
	is.NoErr(got.err)
	got = u.call(c, "/slow", Attempt{Timeout: 250 * time.Millisecond}, func(r *request) { late = r })
	is.Equal(jayverdict.Of(got.err), jayverdict.MayHaveRun)
	late.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
	got = u.call(c, "/next", Attempt{}, func(r *request) { r.write(ok) })
	is.NoErr(got.err)
	is.Equal(string(got.result.Body), "ok")
}

func TestLargeAnswerIsStreamed(t *testing.T) {
	body := strings.Repeat("x", 5000)
	head := "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
	t.Run("a complete answer is read to its end", func(t *testing.T) {
		is := is.New(t)
		got := newUpstream(t).call(newClient(), "/", Attempt{}, func(r *request) { r.write(head + body) })
		is.NoErr(got.err)
		is.True(got.result.Rest != nil)
		rest, err := io.ReadAll(got.result.Rest)
		is.NoErr(err)
		is.Equal(string(got.result.Body)+string(rest), body)
		is.NoErr(got.result.Rest.Close())
	})
	t.Run("a truncated answer returns an error", func(t *testing.T) {
		is := is.New(t)
		got := newUpstream(t).call(newClient(), "/", Attempt{}, func(r *request) {
			r.write(head + body[:3000])
			_ = r.conn.Close()
		})
		is.NoErr(got.err)
		_, err := io.ReadAll(got.result.Rest)
		is.True(err != nil)
		_ = got.result.Rest.Close()
	})
	t.Run("a chunked answer is decoded", func(t *testing.T) {
		is := is.New(t)
		got := newUpstream(t).call(newClient(), "/", Attempt{}, func(r *request) {
			r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n2\r\n s\r\n0\r\n\r\n")
		})
		is.NoErr(got.err)
		is.Equal(string(got.result.Body), "part s")
	})
}

func TestNewConnectionIsOpened(t *testing.T) {
	is := is.New(t)
	u, c := newUpstream(t), newClient()
	var first, second string
	u.call(c, "/", Attempt{NewConnection: true}, func(r *request) { first = r.conn.RemoteAddr().String(); r.write(ok) })
	u.call(c, "/", Attempt{NewConnection: true}, func(r *request) { second = r.conn.RemoteAddr().String(); r.write(ok) })
	is.True(first != second)
}

func TestConnectionLimitChangesUnderLoad(t *testing.T) {
	// Guards against a data race on the connection limit, seen now and then in a
	// test of late answers: the limit was written without the library's lock when
	// an entry joined and the share of connections changed while requests were
	// under way.
	u, c := newUpstream(t), newClient()
	go func() {
		for r := range u.requests {
			r.write(ok)
		}
	}()
	done := make(chan error, 8)
	for n := range 8 {
		go func() {
			var err error
			for m := 0; m < 50 && err == nil; m++ {
				req := &fasthttp.Request{}
				req.SetRequestURI("http://upstream/")
				_, err = c.Do(Attempt{Addr: u.addr, Connections: 8 + (n+m)%3, Timeout: 10 * time.Second}, req)
			}
			done <- err
		}()
	}
	for range 8 {
		is.New(t).NoErr(<-done)
	}
}
