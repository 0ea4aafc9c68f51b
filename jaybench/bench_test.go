// Package jaybench compares an entry instance with two baselines, all in one process on
// the loopback interface: a direct call, and a plain reverse proxy without rules, verdicts,
// limits or claims.
package jaybench

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"jaythread/jayapi"
	"jaythread/jayentry"
	"jaythread/jayoptions"
	"jaythread/jayplatform"
	"jaythread/jaystandin"
)

// document is the configuration of the entries.
const document = `{
  "pools": [{"name": "seats", "instances": ["seats-*"], "minAvailable": 0, "slots": 1000, "connections": 1000}],
  "rules": [
    {"name": "pay", "about": "request", "when": {"path": ["/pay"]}, "then": {"route": "seats"}},
    {"name": "read", "about": "request", "then": {"route": "seats", "idempotent": true}}]}`

// startUpstreams starts plain servers that respond with five bytes, and returns their
// addresses.
func startUpstreams(b testing.TB, n int) []string {
	b.Helper()
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello") }, NoDefaultDate: true}
		go func() { _ = server.Serve(listener) }()
		b.Cleanup(func() { _ = listener.Close() })
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs
}

// platform is a simulated platform with the upstreams as its workers.
type platform struct {
	*jaystandin.LogService
	workers []jayplatform.Instance
}

func (p *platform) Since(version uint64, wait time.Duration) (jayplatform.Changes, error) {
	if version > 0 {
		time.Sleep(wait)
		return jayplatform.Changes{Version: version}, nil
	}
	return jayplatform.Changes{Version: 1, Instances: p.workers}, nil
}

func (p *platform) Do(string, uint64, jayplatform.Order) error { return nil }

// startServingEntry starts an entry instance in front of upstreams and waits until it serves
// requests. It returns the address for callers.
func startServingEntry(b testing.TB, addrs []string, eventLoops int) (string, *jayentry.Entry) {
	b.Helper()
	p := &platform{LogService: jaystandin.NewLogService()}
	for n, addr := range addrs {
		p.workers = append(p.workers, jayplatform.Instance{
			ID: fmt.Sprint("seats-", n), Kind: jayplatform.Worker, State: jayplatform.Live, Addr: addr, Rack: fmt.Sprint(n),
		})
	}
	e, o := startEntry(b, p, eventLoops)
	client := jayapi.NewClient("http://"+o.OperatorAddr, "", "bench")
	if _, err := client.Publish(jayapi.Publish{Message: "bench", Document: document}); err != nil {
		b.Fatal(err)
	}
	awaitServing(b, o.CallerAddr)
	return o.CallerAddr, e
}

// startEntry starts an entry instance on free addresses.
func startEntry(b testing.TB, p *platform, eventLoops int) (*jayentry.Entry, *jayoptions.Options) {
	b.Helper()
	o := jayoptions.New()
	o.EventLoops = eventLoops
	for _, addr := range []*string{&o.CallerAddr, &o.OperatorAddr, &o.PeerAddr} {
		*addr = freeAddr(b)
	}
	o.StopGrace = 0
	e, err := jayentry.New(o, p, logr.Discard())
	if err != nil {
		b.Fatal(err)
	}
	if err := e.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = e.Stop() })
	return e, o
}

func freeAddr(b testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func awaitServing(b testing.TB, addr string) {
	for range 1000 {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+addr+"/x", time.Second)
		if err == nil && status == fasthttp.StatusOK {
			time.Sleep(3 * time.Second) // waits until the slow start of new upstreams is over
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("the entry does not serve")
}

// startPlainProxy starts a reverse proxy that sends each request to the next upstream in turn,
// and returns its address.
func startPlainProxy(b testing.TB, addrs []string) string {
	b.Helper()
	clients := make([]*fasthttp.HostClient, len(addrs))
	for n, addr := range addrs {
		clients[n] = &fasthttp.HostClient{Addr: addr, MaxConns: 1000}
	}
	var mu sync.Mutex
	next := 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &fasthttp.Server{NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		client := clients[next%len(clients)]
		next++
		mu.Unlock()
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// callers is the number of concurrent callers, each with a connection of its own.
const callers = 32

// runLoad sends b.N requests from concurrent callers and reports latencies and CPU time. With
// keyed, each request has an idempotency key.
func runLoad(b *testing.B, addr, path string, keyed bool) {
	b.Helper()
	client := &fasthttp.HostClient{Addr: addr, MaxConns: callers, MaxIdemponentCallAttempts: 1}
	var mu sync.Mutex
	var latencies []time.Duration
	before := cpuTime()
	b.ResetTimer()
	b.SetParallelism(callers / runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://" + addr + path)
		mine := make([]time.Duration, 0, 1<<14)
		for n := 0; pb.Next(); n++ {
			if keyed {
				req.Header.SetMethod(fasthttp.MethodPost)
				req.Header.Set("Idempotency-Key", fmt.Sprintf("%p %d", &mine, n))
			}
			began := time.Now()
			if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
				b.Errorf("%v %d %s", err, resp.StatusCode(), resp.Body())
				return
			}
			mine = append(mine, time.Since(began))
		}
		mu.Lock()
		latencies = append(latencies, mine...)
		mu.Unlock()
	})
	b.StopTimer()
	if len(latencies) == 0 {
		return
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99µs")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpuµs/op")
}

// cpuTime returns the CPU time of this process, which includes callers, proxy and upstreams.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHop compares a direct call, a plain reverse proxy and the entry.
func BenchmarkHop(b *testing.B) {
	b.Run("direct", func(b *testing.B) { runLoad(b, startUpstreams(b, 1)[0], "/x", false) })
	b.Run("plain", func(b *testing.B) { runLoad(b, startPlainProxy(b, startUpstreams(b, 4)), "/x", false) })
	for _, loops := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("entry/%d loops", loops), func(b *testing.B) {
			addr, _ := startServingEntry(b, startUpstreams(b, 4), loops)
			runLoad(b, addr, "/x", false)
		})
	}
	for _, one := range []string{"direct", "plain", "entry"} {
		b.Run("single caller/"+one, func(b *testing.B) { runSequentialLoad(b, startTarget(b, one)) })
	}
	b.Run("entry/payments", func(b *testing.B) {
		addr, _ := startServingEntry(b, startUpstreams(b, 4), 2)
		runLoad(b, addr, "/pay", true)
	})
}

// BenchmarkIdleCallers measures the memory per idle connection.
func BenchmarkIdleCallers(b *testing.B) {
	const conns = 5_000 // each needs three file descriptors in this process
	addr, _ := startServingEntry(b, startUpstreams(b, 1), 2)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var open []net.Conn
		for range conns {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
			buffer := make([]byte, 512)
			if _, err := conn.Read(buffer); err != nil {
				b.Fatal(err)
			}
			open = append(open, conn)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		for _, conn := range open {
			_ = conn.Close()
		}
	}
	used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
	b.ReportMetric(float64(used)/conns, "bytes/conn")
}

// startTarget starts the given target of a benchmark and returns its address.
func startTarget(b *testing.B, name string) string {
	switch name {
	case "direct":
		return startUpstreams(b, 1)[0]
	case "plain":
		return startPlainProxy(b, startUpstreams(b, 4))
	default:
		addr, _ := startServingEntry(b, startUpstreams(b, 4), 2)
		return addr
	}
}

// runSequentialLoad sends requests one after the other and reports the latency on a machine
// that is not busy.
func runSequentialLoad(b *testing.B, addr string) {
	client := &fasthttp.HostClient{Addr: addr, MaxIdemponentCallAttempts: 1}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + addr + "/x")
	var latencies []time.Duration
	for b.Loop() {
		began := time.Now()
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			b.Fatal(err, resp.StatusCode())
		}
		latencies = append(latencies, time.Since(began))
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99µs")
}

// BenchmarkInForce measures the time from an operator's call until all of 8 entries use the
// new revision of the configuration. Each call of the log service takes 1.5 ms.
func BenchmarkInForce(b *testing.B) {
	p := &platform{LogService: jaystandin.NewLogService()}
	p.SetFaults(jaystandin.LogFaults{Delay: 1500 * time.Microsecond})
	var entries []*jayentry.Entry
	var operators string
	for range 8 {
		e, o := startEntry(b, p, 1)
		entries = append(entries, e)
		operators = "http://" + o.OperatorAddr
	}
	client := jayapi.NewClient(operators, "", "bench")
	revision := uint64(0)
	var took []time.Duration
	for b.Loop() {
		began := time.Now()
		decided, err := client.Publish(jayapi.Publish{Replaces: revision, Message: "bench", Document: document})
		if err != nil {
			b.Fatal(err)
		}
		revision = decided.Revision
		for _, e := range entries {
			for e.Revisions()[e.Self()] < revision {
				time.Sleep(100 * time.Microsecond)
			}
		}
		took = append(took, time.Since(began))
		time.Sleep(50 * time.Millisecond) // limits the rate to 20 changes per second
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99ms")
}
