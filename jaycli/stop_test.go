package jaycli

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"jaythread/jayaddress"
	"jaythread/jaycatalog"
	"jaythread/jayedge"
	"jaythread/jaymetric"
	"jaythread/jayoptions"
)

// TestStopDuringAStart guards against a request that ends without an answer, and a process that is
// killed, when an entry is stopped before the store has answered it: the request waits for the owner
// of a pool until its own deadline.
func TestStopDuringAStart(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	o := jayoptions.New()
	o.StopGrace, o.StopBound = 0, jayoptions.Duration(2*time.Second)
	o.JobService.StoreAddr = silent.Addr().String()
	o.CallerAddr, err = jayaddress.Free()
	is.NoErr(err)
	o.PeerAddr, err = jayaddress.Free()
	is.NoErr(err)
	node := newNode(o, logr.Discard(), jaymetric.NewJobMetrics())
	entered := make(chan struct{})
	edge := jayedge.NewEdge(jayedge.Options{Addr: o.CallerAddr, EventLoops: 1, MaxRequestBytes: 1 << 10, MaxConns: 10, Idle: time.Minute, Write: time.Minute}, func(ctx *fasthttp.RequestCtx) {
		close(entered)
		if _, _, err := node.JobState(jaycatalog.Queue{Pool: "seats"}, "", "00", time.Minute); err != nil {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}, logr.Discard())
	is.NoErr(edge.Start())
	is.NoErr(node.Start(t.Context()))
	caller, err := net.Dial("tcp4", o.CallerAddr)
	is.NoErr(err)
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	<-entered
	began := time.Now()
	err = stopNode(o, node, edge)
	is.True(time.Since(began) < time.Duration(o.StopBound))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}

// TestStopBeforeThePlatformAnswers guards against a process that is killed, since it does not notice
// that it is to stop while its first call to the platform waits for an answer.
func TestStopBeforeThePlatformAnswers(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	is.Equal(serveUntilDone(t, `{"platformUrl": "http://`+silent.Addr().String()+`", "platformTimeout": "10s"}`), ExitGood)
}

// serveUntilDone runs serve with a context that is done, and returns its exit code. It fails the
// test if serve does not end.
func serveUntilDone(t *testing.T, settings string) int {
	t.Helper()
	config := writeFile(t, "entry.jsonc", settings)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan int, 1)
	go func() { ended <- run(ctx, []string{"jaythread", "serve", "--config", config}, io.Discard, io.Discard) }()
	select {
	case code := <-ended:
		return code
	case <-time.After(2 * time.Second):
		t.Fatal("serve does not stop")
		return ExitRefused
	}
}

// TestStopWithoutAReaderOfTheLog guards against a process that is killed, since it waits for its
// standard error to be read.
func TestStopWithoutAReaderOfTheLog(t *testing.T) {
	is := is.New(t)
	unread, full, err := os.Pipe()
	is.NoErr(err)
	defer func() { _, _ = unread.Close(), full.Close() }()
	is.NoErr(full.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = full.Write(make([]byte, 1<<21))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(full.SetWriteDeadline(time.Time{}))
	defer func(stderr *os.File) { os.Stderr = stderr }(os.Stderr)
	os.Stderr = full
	is.Equal(serveUntilDone(t, `{}`), ExitGood)
}
