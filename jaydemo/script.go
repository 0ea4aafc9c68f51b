package jaydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/jayapi"
	"jaythread/jayclock"
	"jaythread/jayrule"
	"jaythread/jaystandin"
)

// script runs the operator's actions and the faults: a maintenance wave, the failure of a
// rack during the wave, a change of the configuration, an outage of the log service, the
// replacement of an entry, and the move of an instance.
func (d *demo) script(ctx context.Context) {
	d.injectViolation()
	if _, err := d.operator(0).StartWave(jayapi.Wave{Wave: waveName}); err != nil {
		d.options.Logger.Error(err, "wave not started")
		return
	}
	d.awaitReturned(ctx, returnedBeforeFailure)
	rack := d.rackOf(d.options.Profile.layout()[0])
	for _, id := range rack {
		d.platform.Fleet.Kill(id)
	}
	d.changeConfiguration(ctx)
	jayclock.Sleep(ctx, rackDownTime)
	for _, id := range rack {
		if err := d.platform.Fleet.Restart(id); err != nil {
			d.options.Logger.Error(err, "worker not revived")
		}
	}
	d.logOutage(ctx)
	d.replaceEntry(ctx)
	d.awaitWaveDone(ctx)
	d.moveInstance(ctx)
}

// logOutage takes the log service down for some time. Requests continue meanwhile, and
// payments are claimed with all peers.
func (d *demo) logOutage(ctx context.Context) {
	d.platform.Log.SetFaults(jaystandin.LogFaults{Down: true})
	jayclock.Sleep(ctx, logDownTime)
	d.platform.Log.SetFaults(jaystandin.LogFaults{Delay: appendDelay})
}

// moveInstance moves the last worker of the last service to the pool of the first service
// under load.
func (d *demo) moveInstance(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	services := d.options.Profile.Services
	id := fmt.Sprintf("%s-%02d", services[len(services)-1], d.options.Profile.WorkersEach)
	if _, err := d.operator(0).Move(jayapi.Move{Instance: id, Pool: services[0]}); err != nil {
		d.options.Logger.Error(err, "instance not moved")
		return
	}
	for ctx.Err() == nil && d.platform.Fleet.Ledger.Counters().InstanceMoves == 0 {
		jayclock.Sleep(ctx, pollInterval)
	}
}

// injectViolation violates the guarantee that Options.Break selects.
func (d *demo) injectViolation() {
	ids := d.platform.Fleet.WorkerIDs()
	switch d.options.Break {
	case "runTwice":
		for _, id := range ids {
			w, _ := d.platform.Fleet.Worker(id)
			w.SetFaults(jaystandin.WorkerFaults{RunTwice: true})
		}
	case "overlook":
		for _, id := range ids[:d.options.Profile.WorkersEach/2] {
			d.platform.Fleet.Kill(id)
		}
	}
}

func (d *demo) awaitReturned(ctx context.Context, n int) {
	for ctx.Err() == nil {
		status, err := d.operator(0).Status()
		if err == nil && len(status.Waves) > 0 && status.Waves[0].Returned >= n {
			return
		}
		jayclock.Sleep(ctx, pollInterval)
	}
}

func (d *demo) awaitWaveDone(ctx context.Context) {
	for ctx.Err() == nil && !d.waveDone() {
		jayclock.Sleep(ctx, pollInterval)
	}
}

// rackOf returns the IDs of all workers in the rack of a placement.
func (d *demo) rackOf(of placement) []string {
	var ids []string
	for _, at := range d.options.Profile.layout() {
		if at.dataCenter == of.dataCenter && at.rack == of.rack {
			ids = append(ids, at.id)
		}
	}
	return ids
}

// changeConfiguration publishes a new rule and measures how long it takes until every entry
// uses it.
func (d *demo) changeConfiguration(ctx context.Context) {
	client := d.operator(1)
	current, err := client.Configuration()
	if err != nil {
		return
	}
	changed := d.options.Profile.Configuration()
	probe := jayrule.Rule{
		Name: "probe", About: jayrule.AboutRequest,
		When: jayrule.When{Path: []string{"/probe"}}, Then: jayrule.Then{Refuse: "probe"},
	}
	changed.Rules = append(jayrule.List{probe}, changed.Rules...)
	document, err := json.Marshal(changed)
	if err != nil {
		return
	}
	began := time.Now()
	if _, err := client.Publish(jayapi.Publish{Replaces: current.Revision, Message: "probe", Document: string(document)}); err != nil {
		d.options.Logger.Error(err, "change not accepted")
		return
	}
	var asked sync.WaitGroup
	for _, t := range d.balancer.all() {
		asked.Go(func() { awaitProbeRule(ctx, t) })
	}
	asked.Wait()
	d.publishTime = time.Since(began)
}

// awaitProbeRule sends probe requests to an entry until it rejects one by the new rule with
// status 403. Without the rule, the status is 404.
func awaitProbeRule(ctx context.Context, t *target) {
	for ctx.Err() == nil {
		status, _, err := t.client.GetTimeout(nil, "http://"+t.addr+"/probe", time.Second)
		if err == nil && status == fasthttp.StatusForbidden {
			return
		}
		jayclock.Sleep(ctx, time.Millisecond)
	}
}

// replaceEntry stops the last entry gracefully and starts another one.
func (d *demo) replaceEntry(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	last := d.running[len(d.running)-1]
	if err := last.entry.Stop(); err != nil {
		d.options.Logger.Error(err, "entry stopped with an error")
	}
	d.balancer.remove(last.target)
	d.running = d.running[:len(d.running)-1]
	if err := d.startEntry(entryCount); err != nil {
		d.options.Logger.Error(err, "entry not replaced")
	}
}
