package jaycli

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"jaythread/jayedge"
	"jaythread/jaylogger"
	"jaythread/jaymetric"
	"jaythread/jaynode"
	"jaythread/jayoptions"
	"jaythread/jayport"
	"jaythread/platform"
)

// logFlushTimeout limits how long the process waits at its end until its last log
// lines are written.
const logFlushTimeout = 200 * time.Millisecond

// heapLimitPercent is the share of the entry's memory from which on the garbage collector works more
// often. The rest is left for what the runtime does not count.
const heapLimitPercent = 85

// serveJobs runs an entry that schedules jobs on the users' platform.
func serveJobs(ctx context.Context, c *cli.Command, options *jayoptions.Options) error {
	logger, lines := jaylogger.NewBuffered(os.Stdout, options.LogFormat, options.LogLevel)
	defer lines.Close(logFlushTimeout)
	debug.SetMemoryLimit(options.JobService.MemoryMegabytes << 20 * heapLimitPercent / 100)
	metrics := jaymetric.NewJobMetrics()
	metrics.Counter("jaythread_lost_log_lines_total", "Log lines that found no room.", func() float64 { return float64(lines.Lost()) })
	if err := serveMetrics(options.JobService.MetricsAddr, metrics); err != nil {
		return err
	}
	node := newNode(options, logger, metrics)
	api := platform.NewAPI(node)
	if err := serveReadiness(options, api); err != nil {
		return err
	}
	edge := jayedge.NewEdge(jayedge.Options{
		Addr:            options.CallerAddr,
		EventLoops:      options.EventLoops,
		MaxRequestBytes: options.MaxRequestBytes,
		MaxConns:        options.MaxCallerConns,
		Idle:            time.Duration(options.CallerIdle),
		Write:           time.Duration(options.RequestTimeout),
	}, api.Handle, logger.WithName("edge"))
	if err := edge.Start(); err != nil {
		return err
	}
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	reloadOnHangup(ctx, c, logger)
	return stopNode(options, node, edge)
}

// newNode returns an entry with the given settings that is connected to the
// platform's services.
func newNode(options *jayoptions.Options, logger logr.Logger, metrics *jaymetric.JobMetrics) *jaynode.Node {
	s, arrivals := &options.JobService, jayport.NewArrivals()
	return jaynode.New(jaynode.Settings{
		Entry:           options.Entry,
		DataCenter:      options.DataCenter,
		PeerAddr:        options.PeerAddr,
		ProcessorsMilli: int64(s.Processors * 1000),
		LinkMegabits:    int64(math.Ceil(s.LinkMegabits)), // zero would be an unknown link
		MemoryBytes:     s.MemoryMegabytes << 20,
		StoreReadRate:   s.StoreReadRate,
		HostCommandRate: s.InventoryCommandRate,
		HostCommands:    s.CommandsInFlight(),
		MaxLease:        time.Duration(s.MaxLease),
		StopTime:        time.Duration(s.StopTime),
		FarFactor:       s.FarFactor,
		MoveTime:        time.Duration(s.MoveTime),
		MaintenanceTime: time.Duration(s.MaintenanceTime),
		HolderTime:      time.Duration(s.HolderTime),
		FencesChecked:   s.FencesChecked,
		RetainEnded:     max(time.Duration(s.RetainEnded), jaynode.MinRetainEnded),
		RevocationTime:  time.Duration(s.RevocationTime),
		DeclarationTime: time.Duration(s.DeclarationTime),
		Overload:        jaynode.Overload(s.Overload),
	}, jaynode.Ports{
		Store:     platform.NewStore(s.StoreAddr, platform.WithArrivals(arrivals)),
		Workers:   platform.NewWorkers(),
		Inventory: platform.NewInventory(s.InventoryAddr, s.CommandsInFlight()),
		Advisor:   platform.NewAdvisor(s.AdvisorAddr),
		Formats:   platform.Formats{},
		Arrivals:  arrivals,
	}, logger, jaynode.WithMetrics(metrics))
}

// serveReadiness serves readiness checks to the load balancer.
func serveReadiness(options *jayoptions.Options, api *platform.API) error {
	listener, err := net.Listen("tcp4", options.JobService.ReadyAddr)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	server := &fasthttp.Server{Handler: api.Ready, NoDefaultServerHeader: true, IdleTimeout: time.Duration(options.CallerIdle)}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// serveMetrics serves the metrics at an address. It does nothing if the address is
// empty.
func serveMetrics(addr string, m *jaymetric.JobMetrics) error {
	if addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	server := &fasthttp.Server{Handler: metricsHandler(m), NoDefaultServerHeader: true, IdleTimeout: metricsIdleTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// metricsIdleTimeout is the time after which an idle connection of a scraper is
// closed.
const metricsIdleTimeout = time.Minute

func metricsHandler(m *jaymetric.JobMetrics) fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(m.Handler())
}

const (
	// closeTimeout is the part of the stopBound setting that is left for closing the connections
	// and writing the log once the callers are answered.
	closeTimeout = jayedge.CloseTimeout + jaynode.StopTimeout + logFlushTimeout
	// lastAnswersTime is how long before that the requests that are still in progress are answered.
	lastAnswersTime = 200 * time.Millisecond
)

// stopNode stops an entry gracefully within the stopBound setting. Its duties are released, so that
// other entries take them over. Callers are served until the load balancer has
// noticed that the entry is leaving; after that, the requests in progress are still
// answered.
func stopNode(options *jayoptions.Options, node *jaynode.Node, edge *jayedge.Edge) error {
	callersTime := time.Duration(options.StopBound) - closeTimeout
	ctx, cancel := context.WithTimeout(context.Background(), callersTime)
	defer cancel()
	cut := time.AfterFunc(callersTime-lastAnswersTime, node.Cut)
	defer cut.Stop()
	node.Leave()
	edge.Drain(ctx, time.Duration(options.StopGrace))
	err := edge.Stop(ctx)
	node.Stop()
	return err
}

// reloadOnHangup reads the settings again at each SIGHUP until the context is done.
// Only the log level changes while the entry runs; other changes require a restart.
// Without a signal handler, SIGHUP would terminate the process.
func reloadOnHangup(ctx context.Context, c *cli.Command, logger logr.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	path := c.String("config")
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		options, err := loadSettings(path)
		if err != nil {
			logger.Error(err, "settings not reloaded")
			continue
		}
		jaylogger.SetLevel(options.LogLevel)
		logger.Info("settings reloaded", "logLevel", options.LogLevel)
	}
}
