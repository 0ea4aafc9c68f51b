package jaycli

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayedge"
	"jaythread/jaylogger"
	"jaythread/jaynode"
	"jaythread/jayoptions"
	"jaythread/platform"
)

// serveJobs runs an entry that schedules jobs on the users' platform.
func serveJobs(ctx context.Context, options *jayoptions.Options) error {
	logger := jaylogger.New(os.Stdout, options.LogFormat, options.LogLevel)
	s := &options.JobService
	node := jaynode.New(jaynode.Settings{
		Entry:           options.Entry,
		DataCenter:      options.DataCenter,
		PeerAddr:        options.PeerAddr,
		ProcessorsMilli: int64(s.Processors * 1000),
		LinkMegabits:    int64(s.LinkMegabits),
		MaxLease:        time.Duration(s.MaxLease),
		StopTime:        time.Duration(s.StopTime),
		FarFactor:       s.FarFactor,
		MoveTime:        time.Duration(s.MoveTime),
		MaintenanceTime: time.Duration(s.MaintenanceTime),
		HolderTime:      time.Duration(s.HolderTime),
	}, jaynode.Ports{
		Store:     platform.NewStore(s.StoreAddr),
		Workers:   platform.NewWorkers(),
		Inventory: platform.NewInventory(s.InventoryAddr),
		Advisor:   platform.NewAdvisor(s.AdvisorAddr),
		Formats:   platform.Formats{},
	}, logger)
	front := platform.NewFront(node)
	ready := &fasthttp.Server{Handler: front.Ready, NoDefaultServerHeader: true, IdleTimeout: time.Duration(options.CallerIdle)}
	listener, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return fmt.Errorf("listen for the balancer: %w", err)
	}
	go func() { _ = ready.Serve(listener) }()
	edge := jayedge.NewEdge(jayedge.Options{
		Addr:            options.CallerAddr,
		EventLoops:      options.EventLoops,
		MaxRequestBytes: options.MaxRequestBytes,
		MaxConns:        options.MaxCallerConns,
		Idle:            time.Duration(options.CallerIdle),
		Write:           time.Duration(options.RequestTimeout),
	}, front.Handle, logger.WithName("edge"))
	if err := edge.Start(); err != nil {
		return err
	}
	if err := node.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.Background(), time.Duration(options.StopBound))
	defer cancel()
	edge.Drain()
	node.Stop()
	return edge.Stop(stop)
}
