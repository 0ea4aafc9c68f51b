package jaynode

import (
	"slices"
	"strings"
	"time"

	"jaythread/jayburst"
	"jaythread/jayclock"
	"jaythread/jayfleet"
	"jaythread/jayjournal"
	"jaythread/jayload"
	"jaythread/jaylogger"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jayquota"
	"jaythread/jaysched"
	"jaythread/jayshare"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

const (
	// topicFleet is the topic of the progress of each maintenance wave and of the last
	// command to each host. Only the owner of the fleet appends to it.
	topicFleet = "fleet"
	waveKeys   = "wave/"
	hostKeys   = "host/"
	// stateLogInterval is the time between two log lines on the state of the pools.
	stateLogInterval = 500 * time.Millisecond
	// fleetTick is the time between two steps of the fleet's duty.
	fleetTick = 50 * time.Millisecond
	// demandInterval is the time between two demand requests to the owner of a pool.
	demandInterval = 150 * time.Millisecond
	// hostsInterval is the time between two reads of the inventory. Each read has a cost.
	hostsInterval = 400 * time.Millisecond
	// inventoryTimeout limits the duration of a call to the inventory.
	inventoryTimeout = 700 * time.Millisecond
	// fleetInbox limits the number of events that wait for the fleet's goroutine.
	fleetInbox = 4096
)

// fleetDuty moves and maintains hosts while this entry owns the fleet.
type fleetDuty struct {
	duty
	guard jayfleet.Guard
	// statuses writes the status of each wave for operators, in the order of its changes.
	statuses *jayjournal.Journal

	// The fields below are used only by the duty's goroutine.
	fleet *jayfleet.Fleet
	// lender decides what each pool may use of the organisations' quotas.
	lender *jayquota.Lender
	// lendsBy are the quotas by which the lender decides, nil before it decides.
	lendsBy *jaysched.Quotas
	// nextQuotas are those to decide by once the claims have been read as of nextQuotasAt, or nil.
	nextQuotas   *jaysched.Quotas
	nextQuotasAt time.Duration
	// uses sums up what organisations use in the pools.
	uses            *jayshare.Ledger
	readingHosts    bool
	nextHostsReadAt time.Duration
	// demandPaces determines when the owner of each pool is asked for the demand.
	demandPaces map[string]*demandPace
	// loads are the loads that each pool's owner reports, and existing is the digest of the list of
	// workers that it has.
	loads    map[string]*jayload.Receiver
	existing map[string]uint64
	// clocks relates the clock of each pool's owner to this entry's clock.
	clocks map[string]jaymember.PeerClock
	// commandLog collects the lines about single hosts of one step.
	commandLog *jaylogger.Groups
	// nextStatesLogAt is when the states of the pools are logged next.
	nextStatesLogAt time.Duration
}

func newFleetDuty(n *Node, claim jayowner.Claim) *fleetDuty {
	statuses, _ := n.ports.Formats.WaveStatus("", false)
	return &fleetDuty{
		statuses: jayjournal.New(n.store, statuses, string(claim.Duty), claim.Fence, n.clock, n.logger, jayjournal.WithLatency(n.store.Latency)),
		duty:     newDuty(n, claim, n.ports.Formats.Own(topicFleet, 0), fleetInbox, n.logger.WithName("fleet").WithValues("fence", claim.Fence)),
		guard: jayfleet.Guard{
			FencesChecked:    n.settings.FencesChecked,
			OwnerChangeDelay: n.settings.HolderTime,
			CallTime:         inventoryTimeout,
		},
		lender:      jayquota.NewLender(claim.Fence, jayquota.ByDemand{}, jayquota.WithTurn(turnReports(n.settings.MoveTime))),
		uses:        jayshare.NewLedger(),
		demandPaces: map[string]*demandPace{},
		loads:       map[string]*jayload.Receiver{},
		existing:    map[string]uint64{},
		clocks:      map[string]jaymember.PeerClock{},
		commandLog:  jaylogger.NewGroups("hosts"),
	}
}

// hostAndWorker returns the name of a host, with its worker if it has one.
func hostAndWorker(c jayfleet.HostChange) string {
	if c.Worker == "" {
		return c.Host
	}
	return c.Host + "=" + c.Worker
}

// run takes the fleet over and manages it until the duty ends.
func (d *fleetDuty) run() {
	defer d.node.removeFleet(d)
	recorded, ok := d.takeOver()
	if !ok {
		return
	}
	d.startJournals()
	d.loop(fleetTick, func() { d.step(recorded) })
}

// takeOver fences the former owner's producer and reads the recorded progress of the
// waves and the last command to each host. It returns false if the duty ended meanwhile.
func (d *fleetDuty) takeOver() (map[string]*jaywire.WaveProgress, bool) {
	if err := d.journal.Fence(d.ctx); err != nil {
		d.logger.Info("fleet takeover failed", "error", err.Error())
		return nil, false
	}
	c := newFleetCollector(d.logger)
	tail := jaytail.New(d.node.store, d.node.ports.Formats.Own(topicFleet, 0), jaytail.Options{}, c, d.node.clock, d.logger)
	for tail.Step(0) != nil {
		jayclock.Sleep(d.ctx, storeRetryDelay)
		if d.ctx.Err() != nil {
			return nil, false
		}
	}
	held := c.heldHosts(d.guard, d.node.members.Liveness, jayfleet.Takeover{Clock: d.node.clock(), WallTime: time.Now(), Started: d.node.started})
	d.fleet = jayfleet.New(jayfleet.Settings{
		MoveTime:         d.node.settings.MoveTime,
		MaintenanceTime:  d.node.settings.MaintenanceTime,
		HeldUntil:        held,
		CommandRate:      d.node.settings.HostCommandRate,
		CommandsInFlight: d.node.settings.HostCommands,
		CallTime:         inventoryTimeout,
		DivideHosts:      d.node.settings.Overload.DivideHosts,
		PredictBursts:    d.node.settings.Overload.PredictBursts,
	})
	d.node.metrics.DutyChanged(string(d.claim.Duty), "takenOver")
	d.logger.Info("fleet taken over", "term", d.claim.Term, "waves", len(c.waves), "heldHosts", len(held))
	return c.waves, true
}

func (d *fleetDuty) step(recorded map[string]*jaywire.WaveProgress) {
	for {
		handle, ok := d.inbox.Take()
		if !ok {
			break
		}
		handle(d.node.clock())
	}
	now := d.node.clock()
	catalog := d.node.Catalog()
	if catalog == nil {
		return
	}
	working := catalog.WorkingPools()
	d.fleet.SetPools(working, catalog.StandbyPools())
	for _, w := range d.node.declarations.allWaves() {
		progress := recorded[w.Name]
		since := waveStartTime(w.since, progress, now, time.Now())
		d.fleet.AddWave(w.Wave, since, progress.GetMaintained(), progress.GetDone())
	}
	d.watchPoolOwners(working)
	if d.guard.MayDecide(d.journal.AppendAge()) {
		for _, action := range d.fleet.Decide(now) {
			d.perform(action)
		}
	}
	for _, c := range d.fleet.TakeHostChanges() {
		d.commandLog.Add(hostAndWorker(c), "hosts changed", "pool", c.Pool, "state", c.State.String())
	}
	d.commandLog.Write(d.logger)
	d.logDivisions()
	d.logBursts(now)
	d.logStates(now)
	d.readHosts(now)
	d.lendQuotas(working)
	for _, pool := range working {
		d.askDemand(pool, now)
	}
}

// watchPoolOwners discards the reports about closed hosts of pools whose owner was replaced.
func (d *fleetDuty) watchPoolOwners(working []string) {
	for _, pool := range working {
		claim, claimed := d.node.members.Owners.OwnerOf(jayowner.PoolDuty(pool))
		if reporter, known := d.clocks[pool]; known && claimed && claim.Fence != reporter.Fence {
			d.fleet.PoolOwnerChanged(pool)
		}
	}
}

// logStates logs the state and the needs of each pool, once per stateLogInterval.
func (d *fleetDuty) logStates(now time.Duration) {
	if now < d.nextStatesLogAt {
		return
	}
	d.nextStatesLogAt = now + stateLogInterval
	pools, off := d.fleet.States(now)
	for _, s := range pools {
		d.logger.Info("pool state", "pool", s.Pool, "need", s.Need, "keep", s.Keep, "useful", s.Useful, "entitled", s.Entitled, "on", s.On, "idle", s.Idle, "longRunning", s.LongRunning,
			"coming", s.Coming, "leaving", s.Leaving, "usedMilli", s.UsedMilli, "roomMilli", s.RoomMilli, "off", off)
	}
}

// logDivisions logs each division of the hosts that moves some, by pool.
func (d *fleetDuty) logDivisions() {
	for _, v := range d.fleet.TakeDivisions() {
		d.logger.Info("hosts divided", "pool", v.Pool, "entitled", v.Entitled, "hosts", v.Have, "need", v.Need, "onTime", v.OnTime, "gives", v.Gives)
	}
}

// logBursts logs and counts the predictions of bursts and what became of them. Times are
// relative to now: the clock of an entry means nothing to an operator.
func (d *fleetDuty) logBursts(now time.Duration) {
	for _, e := range d.fleet.TakeBurstEvents() {
		p := e.Prediction
		d.node.metrics.BurstPredicted(p.Pool, e.Outcome.String())
		switch e.Outcome {
		case jayburst.Predicted:
			d.logger.Info("burst predicted", "pool", p.Pool, "beginsIn", (p.Begin - now).String(), "uncertainty", p.Uncertainty.String(), "heightMilli", p.HeightMilli, "confidence", p.Confidence)
		case jayburst.Came:
			d.logger.Info("burst begins", "pool", p.Pool, "predicted", true, "error", (e.Began - p.Begin).String(), "confidence", p.Confidence, "age", (now - e.Began).String())
		case jayburst.Unpredicted:
			d.logger.Info("burst begins", "pool", p.Pool, "predicted", false, "age", (now - e.Began).String())
		case jayburst.Missing, jayburst.Unobserved:
			d.logger.Info("burst does not begin", "pool", p.Pool, "outcome", e.Outcome.String(), "overdue", (now - p.Begin).String(), "confidence", p.Confidence)
		}
	}
}

// waveStartTime returns when a wave's time began, on this entry's clock: the earlier of
// the recorded declaration and the time at which this entry learned of the wave. An entry
// that was started during a wave learned of it late. Without the recorded time, each new
// owner would restart the wave's time, and the last hosts would be maintained too late.
func waveStartTime(learned time.Duration, progress *jaywire.WaveProgress, now time.Duration, wall time.Time) time.Duration {
	if progress.GetDeclaredUnixMillis() == 0 {
		return learned
	}
	declared := now - wall.Sub(time.UnixMilli(progress.DeclaredUnixMillis))
	return min(learned, declared)
}

// readHosts reads the inventory in the background, once per hostsInterval.
func (d *fleetDuty) readHosts(now time.Duration) {
	if d.readingHosts || now < d.nextHostsReadAt {
		return
	}
	d.readingHosts = true
	go func() {
		hosts, err := d.node.ports.Inventory.Hosts(inventoryTimeout)
		d.post(func(at time.Duration) {
			d.readingHosts = false
			d.nextHostsReadAt = at + hostsInterval
			if err != nil {
				d.logger.Info("inventory not read", "error", err.Error())
				return
			}
			d.fleet.ApplyInventory(hosts, now)
		})
	}()
}

// askDemand asks a pool's owner for the pool's demand and sends it the orders to vacate
// workers: once per demandInterval, and at once if the workers to vacate or the limits of the
// organisations' quotas have changed.
func (d *fleetDuty) askDemand(pool string, now time.Duration) {
	vacating := d.fleet.Vacating(pool)
	orders := make([]*jaywire.VacateOrder, 0, len(vacating))
	for worker, how := range vacating {
		orders = append(orders, &jaywire.VacateOrder{Worker: worker, Urgent: how.Urgent, Migrate: how.Migrate, Restart: how.Restart})
	}
	slices.SortFunc(orders, func(a, b *jaywire.VacateOrder) int { return strings.Compare(a.Worker, b.Worker) })
	names := vacateOrdersKey(orders)
	pace := d.demandPaces[pool]
	if pace == nil {
		pace = &demandPace{}
		d.demandPaces[pool] = pace
	}
	if !pace.due(names, d.lender.Pending(pool), now) {
		return
	}
	pace.sent(names)
	ask := &jaywire.AskDemand{
		Pool:          pool,
		Fence:         d.claim.Fence,
		Vacate:        orders,
		Quota:         encodeQuotaMessage(d.lender.Message(pool)),
		Contracting:   d.fleet.Contracting(pool),
		UsedElsewhere: d.usedElsewhere(pool, now),
	}
	if d.node.settings.Overload.RejectHopeless {
		ask.Arriving = encodeArriving(d.fleet.Arriving(pool, now))
	}
	if d.loads[pool] == nil {
		d.loads[pool] = jayload.NewReceiver()
	}
	ask.LoadsEpoch, ask.LoadsReport = d.loads[pool].Applied()
	existing, asked, read := d.fleet.Existing(pool)
	if clock, known := d.clocks[pool]; known && read {
		ask.Surveyed = true
		if digest := jayload.Digest(existing); digest == d.existing[pool] {
			ask.ExistingDigest = digest
		} else {
			ask.Existing = existing
		}
		ask.SurveyedFence, ask.SurveyedAtMicros = clock.Fence, clock.ToPeer(asked).Microseconds()
	}
	go func() {
		report, err := d.node.askDemand(ask)
		d.post(func(at time.Duration) {
			answered := err == nil && report.GetOwned()
			pace.ended(answered, at)
			if !answered {
				return
			}
			d.existing[pool] = report.ExistingDigest
			if loads, ok := d.loads[pool].Apply(report); ok {
				d.fleet.SetDemand(pool, demandOf(report, loads, now))
				d.receiveQuotas(pool, report)
				d.receiveUses(pool, report, now)
				d.clocks[pool] = jaymember.PeerClock{Fence: report.Fence, Clock: micros(report.ClockMicros), HeardAt: at}
			}
		})
	}()
}

func vacateOrdersKey(orders []*jaywire.VacateOrder) string {
	var b strings.Builder
	for _, o := range orders {
		b.WriteString(o.Worker)
		if o.Urgent {
			b.WriteByte('!')
		}
		b.WriteByte(' ')
	}
	return b.String()
}

func demandOf(report *jaywire.DemandReport, loads []*jaywire.WorkerLoad, at time.Duration) jayfleet.Demand {
	demand := jayfleet.Demand{
		OnTimeMilli:   report.OnTimeMilli,
		NeedMilli:     report.NeedMilli,
		SpareMilli:    report.SpareMilli,
		ExpiredMilli:  report.ExpiredMilli,
		ArrivingMilli: report.ArrivingMilli,
		HostsAtLeast:  int(report.WorkersAtLeast),
		Loads:         make(map[string]jayfleet.Load, len(loads)),
		At:            at,
	}
	for _, w := range loads {
		demand.Loads[w.Worker] = jayfleet.Load{
			CapacityMilli: w.CapacityMilli,
			UsedMilli:     w.UsedMilli,
			Runs:          int(w.Runs),
			LongRuns:      int(w.LongRuns),
			Vacated:       w.Vacated,
			Idle:          millis(w.IdleMillis),
			EmptyIn:       millis(w.EmptyInMillis),
			RestartCost:   w.RestartCost,
			Restartable:   w.Restartable,
			SpeedPercent:  int(w.SpeedPercent),
		}
	}
	return demand
}
