package jaydemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayaddress"
	"jaythread/jayapi"
	"jaythread/jayentry"
	"jaythread/jayoptions"
	"jaythread/jayplatform"
	"jaythread/jaystandin"
)

// The parameters of the demo. Its times are shorter than those of real installations.
const (
	// entryCount is the number of entries.
	entryCount = 8
	// listLag is how long changes take to become visible in the instance list.
	listLag = 200 * time.Millisecond
	// rebootTime is how long the reboot of a worker takes.
	rebootTime = 300 * time.Millisecond
	// settleTime is the entries' setting of the same name.
	settleTime = 200 * time.Millisecond
	// appendDelay is the delay of each append and read of the log service.
	appendDelay = 1500 * time.Microsecond
	// stopGrace is the entries' setting of the same name.
	stopGrace = probeTimeout
	// readyTimeout is the time limit for the start of all entries and workers.
	readyTimeout = 20 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 64
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 100 * time.Millisecond
	// rackDownTime is how long the workers of the failed rack are down.
	rackDownTime = 2 * time.Second
	// logDownTime is how long the log service is down.
	logDownTime = 1500 * time.Millisecond
	// returnedBeforeFailure is the number of instances that have returned from maintenance
	// when the rack fails.
	returnedBeforeFailure = 8
	// sampleInterval is the interval at which the spare capacity is sampled.
	sampleInterval = 50 * time.Millisecond
	// waveName is the ID of the maintenance wave.
	waveName = "demo"
	// operatorActor is the name of the operator in the audit log.
	operatorActor = "demo operator"
)

// Options are the options of the demo.
type Options struct {
	// Profile is the simulated installation.
	Profile Profile
	// For is how long the demo runs once all entries are ready. Zero means until the context ends.
	For time.Duration
	// Break violates a guarantee on purpose: with runTwice all workers run each request
	// twice, and with overlook the simulated platform stops too many workers.
	Break string
	// Out is where the addresses of the entries are written.
	Out    io.Writer
	Logger logr.Logger
}

// ErrUnknownViolation is the error for an unknown value of Options.Break.
var ErrUnknownViolation = errors.New("break is none of runTwice, overlook")

// Run runs the demo and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Break != "" && o.Break != "runTwice" && o.Break != "overlook" {
		return nil, ErrUnknownViolation
	}
	d := &demo{options: o, balancer: &balancer{}}
	defer d.close()
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	for n := range entryCount {
		if err := d.startEntry(n); err != nil {
			return nil, err
		}
	}
	return d.run(ctx)
}

// demo is a running demo.
type demo struct {
	options  Options
	platform *jaystandin.Platform
	// listener is the listener of the platform's HTTP API.
	listener net.Listener
	// url is the URL of the platform's HTTP API.
	url      string
	balancer *balancer
	// running are the running entries.
	running []*runningEntry
	callers *callers

	mu sync.Mutex
	// spareSum sums up the samples of the spare capacity.
	spareSum float64
	// samples counts these samples.
	samples int
	// publishTime is how long a change of the configuration took until all entries used it.
	publishTime time.Duration
}

// runningEntry is an entry of the demo.
type runningEntry struct {
	entry   *jayentry.Entry
	options *jayoptions.Options
	target  *target
}

func (d *demo) startPlatform() error {
	d.platform = &jaystandin.Platform{
		Log:   jaystandin.NewLogService(),
		Fleet: jaystandin.NewFleet(listLag, rebootTime),
	}
	d.platform.Log.SetFaults(jaystandin.LogFaults{Delay: appendDelay})
	if err := d.options.Profile.AddWorkers(d.platform.Fleet); err != nil {
		return err
	}
	var err error
	d.listener, err = jayaddress.Listen()
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	d.url = "http://" + d.listener.Addr().String()
	go func() { _ = d.platform.Serve(d.listener) }()
	return nil
}

// startEntry starts entry number n and adds it to the balancer.
func (d *demo) startEntry(n int) error {
	o := jayoptions.New()
	centers := d.options.Profile.DataCenters
	o.DataCenter = centers[n%len(centers)]
	o.PlatformURL = d.url
	o.SettleTime = jayoptions.Duration(settleTime)
	o.TaskLease = jayoptions.Duration(time.Second)
	o.StopGrace = jayoptions.Duration(stopGrace)
	o.PlanEvery = jayoptions.Duration(50 * time.Millisecond)
	for _, addr := range []*string{&o.CallerAddr, &o.OperatorAddr, &o.PeerAddr} {
		free, err := jayaddress.Free()
		if err != nil {
			return err
		}
		*addr = free
	}
	for _, other := range d.running {
		o.PeerSeeds = append(o.PeerSeeds, other.options.PeerAddr)
	}
	client := jayplatform.NewClient(d.url, time.Duration(o.PlatformTimeout))
	entry, err := jayentry.New(o, client, d.options.Logger.WithValues("entry", n+1))
	if err != nil {
		return err
	}
	if err := entry.Start(context.Background()); err != nil {
		return err
	}
	target := d.balancer.add(o.CallerAddr, o.OperatorAddr)
	d.running = append(d.running, &runningEntry{entry: entry, options: o, target: target})
	return nil
}

func (d *demo) run(ctx context.Context) (*Report, error) {
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go d.balancer.probeAll(watching)
	if err := d.applySample(ctx); err != nil {
		return nil, err
	}
	if d.options.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.options.For)
		defer cancel()
	}
	for _, r := range d.running {
		_, _ = fmt.Fprintf(d.options.Out, "callers: http://%s\noperators: http://%s\n", r.options.CallerAddr, r.options.OperatorAddr)
	}
	d.platform.Fleet.CountBreaches()
	d.callers = newCallers(d.options.Profile, d.balancer, d.platform.Fleet.Ledger)
	var load, script sync.WaitGroup
	loading, stopLoad := context.WithCancel(context.Background())
	load.Go(func() { d.callers.run(loading, callerCount, callerPause) })
	load.Go(func() { d.sampleSpare(loading) })
	script.Go(func() { d.script(ctx) })
	<-ctx.Done()
	script.Wait()
	done := d.waveDone()
	stopLoad()
	load.Wait()
	return d.report(done), nil
}

// applySample publishes the sample configuration as soon as an entry accepts it. It then
// waits until all entries are ready and have all workers in their pools.
func (d *demo) applySample(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := d.operator(0)
	for {
		_, err := client.Publish(jayapi.Publish{Message: "sample", Document: d.options.Profile.Document()})
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("apply the sample configuration: %w", err)
		}
		time.Sleep(pollInterval)
	}
	want := len(d.platform.Fleet.WorkerIDs())
	for !d.allReady(want) {
		if ctx.Err() != nil {
			return errors.New("the entries were not ready in time")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (d *demo) operator(n int) *jayapi.Client {
	return jayapi.NewClient("http://"+d.running[n].options.OperatorAddr, "", operatorActor)
}

func (d *demo) allReady(workers int) bool {
	for n, r := range d.running {
		if !r.target.ready.Load() {
			return false
		}
		status, err := d.operator(n).Status()
		if err != nil || len(status.Entries) != entryCount {
			return false
		}
		available := 0
		for _, p := range status.Pools {
			available += p.Available
		}
		if available != workers {
			return false
		}
	}
	return true
}

func (d *demo) waveDone() bool {
	status, err := d.operator(0).Status()
	if err != nil {
		return false
	}
	for _, w := range status.Waves {
		if w.Wave == waveName {
			return w.Phase == "done"
		}
	}
	return false
}

// sampleSpare samples the spare capacity, as a share of the minimum, until the context ends.
func (d *demo) sampleSpare(ctx context.Context) {
	needed := d.options.Profile.MinAvailable * len(d.options.Profile.Services)
	for ctx.Err() == nil {
		spare := float64(d.platform.Fleet.Available()-needed) / float64(needed)
		d.mu.Lock()
		d.spareSum += spare
		d.samples++
		d.mu.Unlock()
		time.Sleep(sampleInterval)
	}
}

func (d *demo) report(waveDone bool) *Report {
	t, seen := d.callers.tally, d.platform.Fleet.Ledger.Counters()
	return &Report{
		Profile:             d.options.Profile.Name,
		Requests:            t.requests,
		Answered:            t.answered,
		RefusedNotRun:       t.refusedNotRun,
		MayHaveRun:          t.mayHaveRun,
		Reasons:             d.callers.reasons,
		Unsent:              t.unsent,
		WrongAnswers:        t.wrongAnswers,
		DoubledRuns:         seen.DoubledRuns,
		NotRunButRan:        d.callers.notRunButRan(),
		CutInFlight:         t.cutInFlight + seen.CutByStop,
		BudgetBreaches:      seen.BudgetBreaches,
		PoolOverlaps:        seen.PoolOverlaps,
		LateWork:            seen.LateWork,
		TaskOverlaps:        seen.TaskOverlaps,
		SlotOverruns:        seen.SlotOverruns,
		BufferCost:          d.spareSum / float64(max(1, d.samples)),
		RollOutSeconds:      d.platform.Fleet.RollOut().Seconds(),
		WaveDone:            waveDone,
		Reboots:             seen.Reboots,
		InstanceMoves:       seen.InstanceMoves,
		JobMoves:            seen.JobMoves,
		ConfigInForceMillis: float64(d.publishTime.Microseconds()) / 1000,
		StateAppends:        d.platform.Log.Appends(jayentry.StateStream),
		ClaimAppends:        d.platform.Log.Appends(jayentry.ClaimStream),
		SnapshotAppends:     d.platform.Log.Appends(jayentry.SnapshotStream),
		P50Millis:           float64(d.callers.latency.ValueAtQuantile(50)) / 1000,
		P99Millis:           float64(d.callers.latency.ValueAtQuantile(99)) / 1000,
	}
}

func (d *demo) close() {
	var stopping sync.WaitGroup
	for _, r := range d.running {
		stopping.Go(func() { _ = r.entry.Stop() })
	}
	stopping.Wait()
	if d.listener != nil {
		_ = d.listener.Close()
	}
	if d.platform != nil {
		d.platform.Fleet.Close()
	}
}
