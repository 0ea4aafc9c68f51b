package jaynode

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayfleet"
	"jaythread/jayjournal"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jayring"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

const (
	// topicFleet holds how far each maintenance wave is, and when each host was
	// last acted on. Only the owner of the fleet appends to it.
	topicFleet = "fleet"
	waveKeys   = "wave/"
	hostKeys   = "host/"
	// statesEvery is between two lines in the log on what the pools have.
	statesEvery = 500 * time.Millisecond
	// fleetTick is how often the fleet is looked at.
	fleetTick = 50 * time.Millisecond
	// demandEvery is how often each pool is asked what it needs.
	demandEvery = 150 * time.Millisecond
	// hostsEvery is how often the inventory is read; each reading is paid for.
	hostsEvery = 400 * time.Millisecond
	// inventoryTimeout bounds a call to the inventory.
	inventoryTimeout = 700 * time.Millisecond
	// fleetInbox bounds the events that wait for the fleet's goroutine.
	fleetInbox = 4096
)

// fleetDuty moves and maintains hosts, as long as this entry owns the fleet.
type fleetDuty struct {
	node   *Node
	claim  jayowner.Claim
	logger logr.Logger
	ctx    context.Context
	cancel context.CancelFunc
	inbox  *jayring.Ring[event]

	guard jayfleet.Guard

	// Only the duty's goroutine uses what follows.
	fleet   *jayfleet.Fleet
	journal *jayjournal.Journal
	listing bool
	listAt  time.Duration
	asking  map[string]bool
	askAt   map[string]time.Duration
	told    map[string]string
	// clocks are those of the pools' owners.
	clocks map[string]peerClock
	// statesAt is when the pools' states are logged next.
	statesAt time.Duration
}

func newFleetDuty(n *Node, claim jayowner.Claim) *fleetDuty {
	ctx, cancel := context.WithCancel(context.Background())
	d := &fleetDuty{
		node:   n,
		claim:  claim,
		logger: n.logger.WithName("fleet").WithValues("fence", claim.Fence),
		ctx:    ctx,
		cancel: cancel,
		inbox:  jayring.New[event](fleetInbox),
		guard: jayfleet.Guard{
			FencesChecked: n.settings.FencesChecked,
			HolderTime:    n.settings.HolderTime,
			CallTime:      inventoryTimeout,
		},
		asking: map[string]bool{},
		askAt:  map[string]time.Duration{},
		told:   map[string]string{},
		clocks: map[string]peerClock{},
	}
	d.journal = jayjournal.New(n.store, n.ports.Formats.Own(topicFleet, 0), string(claim.Duty), claim.Fence, n.clock, d.logger, jayjournal.WithLatency(n.store.Latency))
	return d
}

func (d *fleetDuty) end(why string) {
	d.logger.Info("duty ended", "why", why)
	d.node.metrics.DutyChanged(string(d.claim.Duty), "ended")
	d.cancel()
}

// run takes the fleet over and works on it until the duty ends.
func (d *fleetDuty) run() {
	defer d.node.dropFleet(d)
	recorded, ok := d.takeOver()
	if !ok {
		return
	}
	d.node.duties.Go(func() {
		if err := d.journal.Run(d.ctx); err != nil && d.ctx.Err() == nil {
			d.end(err.Error())
		}
	})
	tick := time.NewTicker(fleetTick)
	defer tick.Stop()
	for d.ctx.Err() == nil {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C:
		case <-d.inbox.Ready():
		}
		d.step(recorded)
	}
}

// takeOver fences the former owner off and reads how far the waves are.
func (d *fleetDuty) takeOver() (map[string]*jaywire.WaveProgress, bool) {
	if err := d.journal.Fence(d.ctx); err != nil {
		d.logger.Info("not taken over", "error", err.Error())
		return nil, false
	}
	c := newFleetCollector(d.logger)
	tail := jaytail.New(d.node.store, d.node.ports.Formats.Own(topicFleet, 0), jaytail.Options{}, c, d.node.clock, d.logger)
	for tail.Step(0) != nil {
		sleep(d.ctx, announcePause)
		if d.ctx.Err() != nil {
			return nil, false
		}
	}
	held := c.heldHosts(d.guard, d.node.liveness, jayfleet.Takeover{Clock: d.node.clock(), Day: time.Now(), Started: d.node.started})
	d.fleet = jayfleet.New(jayfleet.Settings{
		MoveTime:        d.node.settings.MoveTime,
		MaintenanceTime: d.node.settings.MaintenanceTime,
		HeldUntil:       held,
	})
	d.node.metrics.DutyChanged(string(d.claim.Duty), "takenOver")
	d.logger.Info("fleet taken over", "term", d.claim.Term, "waves", len(c.waves), "heldHosts", len(held))
	return c.waves, true
}

// fleetCollector collects what was recorded of waves and hosts.
type fleetCollector struct {
	waves  map[string]*jaywire.WaveProgress
	acts   map[string]*jaywire.HostAct
	logger logr.Logger
}

func newFleetCollector(logger logr.Logger) *fleetCollector {
	return &fleetCollector{waves: map[string]*jaywire.WaveProgress{}, acts: map[string]*jaywire.HostAct{}, logger: logger}
}

// Reset begins a load.
func (c *fleetCollector) Reset() {
	clear(c.waves)
	clear(c.acts)
}

// Apply takes in a record.
func (c *fleetCollector) Apply(r jayport.Record) {
	if r.Value == nil {
		return
	}
	wave, act := &jaywire.WaveProgress{}, &jaywire.HostAct{}
	var err error
	if name, ok := strings.CutPrefix(r.Key, waveKeys); ok {
		err = proto.Unmarshal(r.Value, wave)
		c.waves[name] = wave
	} else if name, ok := strings.CutPrefix(r.Key, hostKeys); ok {
		err = proto.Unmarshal(r.Value, act)
		c.acts[name] = act
	}
	if err != nil {
		c.logger.Error(err, "fleet's record unreadable", "key", r.Key)
	}
}

// CaughtUp is called after the load.
func (c *fleetCollector) CaughtUp(time.Duration) {}

// actors knows of the entries that have acted.
type actors interface {
	// ended reports whether the process of an incarnation that acted at a time of
	// day has ended for certain.
	ended(incarnation string, acted time.Time) bool
	// clockOf returns the clock of an incarnation, if it is known.
	clockOf(incarnation string) (peerClock, bool)
}

// heldHosts returns until when a new owner must leave hosts alone, since a former
// one acted on them a moment ago and may do so again.
func (c *fleetCollector) heldHosts(guard jayfleet.Guard, actors actors, t jayfleet.Takeover) map[string]time.Duration {
	held := map[string]time.Duration{}
	for host, act := range c.acts {
		at := time.UnixMilli(act.UnixMillis)
		recorded := jayfleet.RecordedAct{At: at, ActorEnded: actors.ended(act.Incarnation, at)}
		if clock, known := actors.clockOf(act.Incarnation); known {
			recorded.DecidedBy, recorded.ClockKnown = clock.by(micros(act.DecidedMicros)), true
		}
		if until := guard.HeldUntil(recorded, t); until > t.Clock {
			held[host] = until
		}
	}
	return held
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
		since := waveSince(w.since, progress, now, time.Now())
		d.fleet.Declared(w.Wave, since, progress.GetMaintained(), progress.GetDone())
	}
	if d.guard.MayDecide(d.journal.StuckFor()) {
		for _, action := range d.fleet.Decide(now) {
			d.perform(action)
		}
	}
	for _, n := range d.fleet.Notes() {
		d.logger.Info("host changed", "host", n.Host, "pool", n.Pool, "state", n.State.String(), "worker", n.Worker)
	}
	d.logStates(now)
	d.readHosts(now)
	for _, pool := range working {
		d.askDemand(pool, now)
	}
}

// logStates logs from time to time what each pool has and needs.
func (d *fleetDuty) logStates(now time.Duration) {
	if now < d.statesAt {
		return
	}
	d.statesAt = now + statesEvery
	pools, off := d.fleet.States(now)
	for _, s := range pools {
		d.logger.Info("pool state", "pool", s.Pool, "need", s.Need, "keep", s.Keep, "on", s.On, "idle", s.Idle, "lasting", s.Lasting,
			"coming", s.Coming, "leaving", s.Leaving, "usedMilli", s.UsedMilli, "roomMilli", s.RoomMilli, "off", off)
	}
}

// waveSince is since when a wave's time runs. An entry that was started in the
// middle of a wave learned of it late: if it went by that, a wave would begin its
// time anew with each owner, and the last hosts would be maintained too late.
func waveSince(learned time.Duration, progress *jaywire.WaveProgress, now time.Duration, wall time.Time) time.Duration {
	if progress.GetDeclaredUnixMillis() == 0 {
		return learned
	}
	declared := now - wall.Sub(time.UnixMilli(progress.DeclaredUnixMillis))
	return min(learned, declared)
}

func (d *fleetDuty) post(e event) {
	for !d.inbox.Offer(e) {
		if d.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// readHosts reads the inventory from time to time.
func (d *fleetDuty) readHosts(now time.Duration) {
	if d.listing || now < d.listAt {
		return
	}
	d.listing = true
	go func() {
		hosts, err := d.node.ports.Inventory.Hosts(inventoryTimeout)
		d.post(func(at time.Duration) {
			d.listing = false
			d.listAt = at + hostsEvery
			if err != nil {
				d.logger.Info("inventory not read", "error", err.Error())
				return
			}
			d.fleet.Listed(hosts, now)
		})
	}()
}

// askDemand asks a pool's owner what it needs and tells it which workers to
// vacate: from time to time, and at once when these have changed.
func (d *fleetDuty) askDemand(pool string, now time.Duration) {
	vacating := d.fleet.Vacating(pool)
	orders := make([]*jaywire.VacateOrder, 0, len(vacating))
	for worker, how := range vacating {
		orders = append(orders, &jaywire.VacateOrder{Worker: worker, Urgent: how.Urgent, Migrate: how.Migrate})
	}
	slices.SortFunc(orders, func(a, b *jaywire.VacateOrder) int { return strings.Compare(a.Worker, b.Worker) })
	names := ordersText(orders)
	if d.asking[pool] || now < d.askAt[pool] && names == d.told[pool] {
		return
	}
	d.asking[pool] = true
	d.told[pool] = names
	ask := &jaywire.AskDemand{Pool: pool, Fence: d.claim.Fence, Vacate: orders}
	existing, asked, read := d.fleet.Existing(pool)
	if clock, known := d.clocks[pool]; known && read {
		ask.Surveyed, ask.Existing = true, existing
		ask.SurveyedFence, ask.SurveyedAtMicros = clock.fence, clock.notAfter(asked).Microseconds()
	}
	go func() {
		report, err := d.node.askDemand(ask)
		d.post(func(at time.Duration) {
			d.asking[pool] = false
			d.askAt[pool] = at + demandEvery
			if err == nil && report.GetOwned() {
				d.fleet.Demanded(pool, demandOf(report, now))
				d.clocks[pool] = peerClock{fence: report.Fence, clock: micros(report.ClockMicros), heardAt: at}
			}
		})
	}()
}

func ordersText(orders []*jaywire.VacateOrder) string {
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

func demandOf(report *jaywire.DemandReport, at time.Duration) jayfleet.Demand {
	demand := jayfleet.Demand{NeedMilli: report.NeedMilli, SpareMilli: report.SpareMilli, Loads: make(map[string]jayfleet.Load, len(report.Workers)), At: at}
	for _, w := range report.Workers {
		demand.Loads[w.Worker] = jayfleet.Load{
			UsedMilli: w.UsedMilli,
			Runs:      int(w.Runs),
			LongRuns:  int(w.LongRuns),
			Vacated:   w.Vacated,
			Idle:      millis(w.IdleMillis),
			EmptyIn:   millis(w.EmptyInMillis),
		}
	}
	return demand
}

func (d *fleetDuty) perform(action jayfleet.Action) {
	lease := jayport.Lease{Holder: d.node.settings.Entry, Fence: d.claim.Fence}
	switch a := action.(type) {
	case jayfleet.MoveHost:
		d.logger.Info("moving host", "host", a.Host, "from", a.From, "to", a.Pool, "why", a.Why)
		d.act(a.Host, func() error { return d.node.ports.Inventory.Move(a.Host, a.Pool, lease, inventoryTimeout) })
	case jayfleet.MaintainHost:
		d.logger.Info("maintaining host", "host", a.Host, "wave", a.Wave)
		d.act(a.Host, func() error { return d.node.ports.Inventory.Maintain(a.Host, a.Wave, lease, inventoryTimeout) })
	case jayfleet.RecordWave:
		d.recordWave(a)
	}
}

// act records that a host is acted on, and does it.
func (d *fleetDuty) act(host string, do func() error) {
	decided := d.node.clock()
	value, err := proto.Marshal(&jaywire.HostAct{
		UnixMillis:    time.Now().UnixMilli(),
		Incarnation:   d.node.incarnation,
		DecidedMicros: decided.Microseconds(),
	})
	if err != nil {
		d.logger.Error(err, "act cannot be written", "host", host)
		go d.answered(host, jayfleet.ErrStale)
		return
	}
	outcome := make(chan error, 1)
	entry := jayjournal.NewEntry([]jayport.Record{{Key: hostKeys + host, Value: value}}, func(err error) { outcome <- err })
	if err := d.journal.Add(entry); err != nil {
		outcome <- err
	}
	go func() {
		record, err := d.awaitRecord(outcome)
		if err != nil {
			d.logger.Info("act not recorded", "host", host, "error", err.Error())
		}
		if d.ctx.Err() != nil {
			// An owner that was replaced meanwhile acts no more.
			return
		}
		if age := d.node.clock() - decided; !d.guard.MaySend(record, age) {
			entry.Withdraw()
			d.logger.Info("act not sent", "host", host, "age", age.String(), "recorded", record == jayfleet.Recorded)
			d.answered(host, jayfleet.ErrStale)
			return
		}
		d.answered(host, do())
	}()
}

// awaitRecord waits for the outcome of an act's record for as long as the act may
// wait. The error says why it was not recorded.
func (d *fleetDuty) awaitRecord(outcome <-chan error) (jayfleet.RecordState, error) {
	timer := time.NewTimer(d.guard.Patience())
	defer timer.Stop()
	select {
	case err := <-outcome:
		if err != nil {
			return jayfleet.NotRecorded, err
		}
		return jayfleet.Recorded, nil
	case <-d.ctx.Done():
		return jayfleet.NotRecorded, d.ctx.Err()
	case <-timer.C:
		return jayfleet.RecordPending, nil
	}
}

func (d *fleetDuty) answered(host string, err error) {
	d.post(func(now time.Duration) {
		if err != nil {
			d.logger.Info("act not accepted", "host", host, "error", err.Error())
		}
		var refused *jayport.HostError
		if errors.As(err, &refused) && refused.Reason == jayport.HostFenced {
			d.end("a host has seen a higher fence")
			return
		}
		d.fleet.Answered(host, err, now)
		d.listAt = min(d.listAt, now+hostsEvery/2)
	})
}

// recordWave records how far a wave is for the next owner, and tells operators.
func (d *fleetDuty) recordWave(a jayfleet.RecordWave) {
	declared := time.Now().Add(a.DeclaredAt - d.node.clock())
	value, err := proto.Marshal(&jaywire.WaveProgress{Maintained: a.Maintained, Done: a.Done, DeclaredUnixMillis: declared.UnixMilli()})
	if err != nil {
		d.logger.Error(err, "wave cannot be written", "wave", a.Wave)
		return
	}
	d.logger.Info("wave progress", "wave", a.Wave, "maintained", len(a.Maintained), "done", a.Done)
	entry := jayjournal.NewEntry([]jayport.Record{{Key: waveKeys + a.Wave, Value: value}}, func(err error) {
		if err != nil {
			d.logger.Info("wave progress not recorded", "wave", a.Wave, "error", err.Error())
			return
		}
		if a.Done || len(a.Maintained) == 0 {
			d.node.duties.Go(func() { d.tellOperators(a.Wave, a.Done) })
		}
	})
	if err := d.journal.Add(entry); err != nil {
		d.logger.Error(err, "wave progress not recorded", "wave", a.Wave)
	}
}

// tellOperators writes the status of a wave until the store has it.
func (d *fleetDuty) tellOperators(wave string, done bool) {
	p, record := d.node.ports.Formats.WaveStatus(wave, done)
	for d.ctx.Err() == nil {
		_, err := d.node.store.Append(jayport.Append{Partition: p, Records: []jayport.Record{record}, AsOf: jayport.AnyOffset}, storeTimeout)
		if err == nil {
			d.logger.Info("wave status written", "wave", wave, "done", done)
			return
		}
		d.logger.Info("wave status not written yet", "wave", wave, "error", err.Error())
		sleep(d.ctx, announcePause)
	}
}
