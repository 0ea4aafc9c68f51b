package jayfleet

import (
	"errors"
	"slices"
	"strings"
	"time"

	"jaythread/jayburst"
	"jaythread/jayport"
)

// Settings configures a fleet.
type Settings struct {
	// MoveTime and MaintenanceTime are how long a host is unavailable during a move and
	// during maintenance.
	MoveTime        time.Duration
	MaintenanceTime time.Duration
	// HeldUntil is the time until which this owner sends no commands to a host, by host
	// name. It lists hosts that previous owners have recently sent commands to.
	HeldUntil map[string]time.Duration
	// CommandRate is the number of commands per second that the inventory serves, and
	// CommandsInFlight the number that may wait for their answer. Zero is no limit.
	CommandRate      float64
	CommandsInFlight int
	// CallTime is the maximum duration of a call to the inventory.
	CallTime time.Duration
	// DivideHosts and PredictBursts select decisions under load; see jayoptions.Overload.
	DivideHosts   bool
	PredictBursts bool
	// BurstPredictors are the predictors of bursts; nil means all.
	BurstPredictors []jayburst.Predictor
}

// Action is a command for the fleet's owner to carry out: MoveHost, MaintainHost or
// RecordWave.
type Action interface {
	isAction()
}

// MoveHost moves a host to another pool.
type MoveHost struct {
	Host string
	Pool string
	// From is the host's current pool and Why the reason; both are only logged.
	From string
	Why  string
	// SendBy is the latest time at which the command may be sent: later the host's pool may
	// start runs on it.
	SendBy time.Duration
}

// MaintainHost starts the maintenance of a host for a wave.
type MaintainHost struct {
	Host string
	Wave string
	// SendBy is the same as for a move.
	SendBy time.Duration
}

// RecordWave stores the progress of a wave.
type RecordWave struct {
	Wave       string
	Maintained []string
	Done       bool
	// DeclaredAt is when the wave was declared; its deadline counts from then.
	DeclaredAt time.Duration
}

func (MoveHost) isAction()     {}
func (MaintainHost) isAction() {}
func (RecordWave) isAction()   {}

// Load is the state of one worker as reported by its pool's owner.
type Load struct {
	// CapacityMilli is the worker's current capacity in thousandths of a core; nil means
	// the capacity in the inventory.
	CapacityMilli *int64
	UsedMilli     int64
	Runs          int
	LongRuns      int
	Vacated       bool
	Idle          time.Duration
	// EmptyIn is the estimated time until the worker is empty if its runs are migrated; a
	// negative value means never.
	EmptyIn time.Duration
	// RestartCost is the work, in thousandths of a core times seconds, that is lost if the
	// worker is emptied within EmptyIn. Restartable reports whether EmptyIn is based on
	// restarts.
	RestartCost int64
	Restartable bool
	// SpeedPercent is the worker's speed as its own runs show it; zero is unknown.
	SpeedPercent int
}

// Vacate specifies how a pool is to empty a worker.
type Vacate struct {
	// Urgent allows stopping all runs except long-running ones. Migrate allows stopping
	// runs that can continue on another worker.
	Urgent  bool
	Migrate bool
	// Restart allows stopping runs that start anew on another worker.
	Restart bool
}

// Demand is the capacity that a pool's owner requests.
type Demand struct {
	// NeedMilli is the capacity that the pool can use soon, and SpareMilli the additional
	// capacity that it may need because of random variation, both in thousandths of a
	// core.
	NeedMilli  int64
	SpareMilli int64
	// ExpiredMilli is the part of NeedMilli that is for jobs whose results their callers
	// can no longer use.
	ExpiredMilli int64
	// OnTimeMilli is the part of NeedMilli for jobs that can still be done by their target;
	// nil means that it is not known.
	OnTimeMilli *int64
	// ArrivingMilli is the capacity that the arriving jobs would keep busy if they continued
	// to arrive at the present rate.
	ArrivingMilli int64
	// HostsAtLeast is the minimum number of hosts regardless of their size.
	HostsAtLeast int
	// Loads holds the load of each worker by worker ID.
	Loads map[string]Load
	// At is when the demand was reported.
	At time.Duration
	// superseded is set if the pool has another owner since. It does not know which hosts the
	// former owner has closed.
	superseded bool
}

// Fleet is the aggregate of all hosts, demands and waves. It is not safe for concurrent
// use.
type Fleet struct {
	settings Settings
	hosts    map[string]*host
	sorted   []*host
	// byPool are the hosts by the pool that the inventory lists them in, in the same order.
	byPool map[string][]*host
	// decidingSince is when this owner called Decide for the first time.
	decidingSince time.Duration
	// listedAt is when the current inventory was requested. complete reports whether all
	// of its rows were readable.
	listedAt time.Duration
	complete bool
	standby  map[string]bool
	working  map[string]bool
	demands  map[string]Demand
	waves    map[string]*wave
	// shortSince is the time since which a pool has had less than its share, by pool.
	shortSince map[string]time.Duration
	// division is what each pool was last entitled to, by pool, while a pool lacks hosts.
	// divisions are those that moved hosts and were not taken yet.
	division  map[string]Division
	divisions []Division
	// short reports whether some pool has fewer hosts than it can use soon.
	short bool
	// bursts predicts the bursts of the pools; it is nil if they are not predicted.
	bursts *burstPredictor
	pace   *commandPace
	// closed are the hosts that are closed for waves, by pool.
	closed map[string]*closedHosts
	// closingLeft is the number of idle hosts that may still be closed for moves now.
	closingLeft int
	actions     []Action
	hostChanges []HostChange
}

// HostChange is a change in the known state of a host.
type HostChange struct {
	Host   string
	Pool   string
	State  jayport.HostState
	Worker string
}

// host is an instance together with the operation in progress on it.
type host struct {
	jayport.Host
	command command
	// commandSent is when the command was last sent, commandDone when it was accepted.
	commandSent time.Duration
	commandDone time.Duration
	sending     bool
	// vacating is the reason why the host's pool is asked to empty it.
	vacating purpose
	urgent   bool
	// moveTo is the destination pool of a host that is vacated for a move.
	moveTo string
	// drains allows the pool some time to empty the host.
	drains bool
	// drainTime is the maximum time to empty the host if drains is set.
	drainTime time.Duration
	// vacatingSince is when the pool was first asked to empty the host.
	vacatingSince time.Duration
	// staysUntil is until when the host is not given away again while runs on it must be waited for
	// or restarted. Idle hosts, and those that become empty soon, may be reclaimed earlier.
	staysUntil time.Duration
	// divided reports whether the host is vacated by a division.
	divided bool
	// restart allows the host's pool to restart runs elsewhere that keep it from leaving.
	restart bool
}

// command is an operation requested from the inventory.
type command interface {
	isCommand()
}

type moving struct {
	to string
}

type maintaining struct {
	wave string
}

func (moving) isCommand()      {}
func (maintaining) isCommand() {}

// purpose is the reason why a host is vacated.
type purpose uint8

const (
	notVacating purpose = iota
	forMove
	forWave
)

// New returns a fleet without hosts.
func New(settings Settings) *Fleet {
	return &Fleet{
		settings: settings,
		hosts:    map[string]*host{},
		standby:  map[string]bool{},
		working:  map[string]bool{},
		demands:  map[string]Demand{},
		waves:    map[string]*wave{},
		bursts:   newBurstPredictor(settings),
		pace:     newCommandPace(settings),

		shortSince: map[string]time.Duration{},
	}
}

// SetPools sets the names of the pools that run tasks and of the pools whose hosts are on
// standby.
func (f *Fleet) SetPools(working, standby []string) {
	clear(f.working)
	clear(f.standby)
	for _, p := range working {
		f.working[p] = true
	}
	for _, p := range standby {
		f.standby[p] = true
	}
}

// ApplyInventory applies an inventory listing that was requested at the given time.
func (f *Fleet) ApplyInventory(list []jayport.Host, asked time.Duration) {
	f.listedAt, f.complete = asked, jayport.Complete(list)
	present := make(map[string]bool, len(list))
	for _, listed := range list {
		if listed.Name == "" {
			continue
		}
		present[listed.Name] = true
		h, known := f.hosts[listed.Name]
		if !known {
			h = &host{}
			f.hosts[listed.Name] = h
			f.sorted = append(f.sorted, h)
		}
		if h.Pool != listed.Pool || h.State != listed.State || h.Worker != listed.Worker {
			f.hostChanges = append(f.hostChanges, HostChange{Host: listed.Name, Pool: listed.Pool, State: listed.State, Worker: listed.Worker})
		}
		h.Host = listed
		f.confirmCommand(h, asked)
		h.clearCompletedCommand(asked)
	}
	f.sorted = slices.DeleteFunc(f.sorted, func(h *host) bool {
		if !present[h.Name] {
			delete(f.hosts, h.Name)
		}
		return !present[h.Name]
	})
	slices.SortFunc(f.sorted, func(a, b *host) int { return strings.Compare(a.Name, b.Name) })
	f.byPool = map[string][]*host{}
	for _, h := range f.sorted {
		f.byPool[h.Pool] = append(f.byPool[h.Pool], h)
	}
}

// byDestination returns the hosts by the pool that they are in or on their way to; those on their
// way are listed twice.
func (f *Fleet) byDestination() map[string][]*host {
	hosts := make(map[string][]*host, len(f.byPool))
	for _, h := range f.sorted {
		hosts[h.Pool] = append(hosts[h.Pool], h)
		if to := h.destination(); to != "" && to != h.Pool {
			hosts[to] = append(hosts[to], h)
		}
	}
	return hosts
}

// destination returns the pool that a host is moved or vacated for, or an empty string.
func (h *host) destination() string {
	if m, ok := h.command.(moving); ok {
		return m.to
	}
	if h.vacating == forMove {
		return h.moveTo
	}
	return ""
}

// confirmCommand takes a command without an answer for accepted if a listing that was requested
// after it was sent shows its effect.
func (f *Fleet) confirmCommand(h *host, asked time.Duration) {
	if h.command == nil || h.commandDone > 0 || h.sending || asked < h.commandSent {
		return
	}
	switch a := h.command.(type) {
	case moving:
		if h.Pool == a.to || h.State == jayport.HostMoving {
			f.accept(h, asked)
		}
	case maintaining:
		if h.State == jayport.HostMaintained {
			f.accept(h, asked)
		}
	}
}

// accept records that the inventory has accepted the command on a host.
func (f *Fleet) accept(h *host, now time.Duration) {
	h.commandDone = now
	h.vacating = notVacating
	if m, ok := h.command.(maintaining); ok {
		f.markMaintained(m.wave, h.Name)
	}
}

// abandon gives up the command on a host.
func (h *host) abandon() {
	h.command = nil
	h.vacating = notVacating
}

// clearCompletedCommand clears a command that the listing shows to be complete: it was
// accepted before the listing was requested, and the host is neither moving nor being
// maintained.
func (h *host) clearCompletedCommand(asked time.Duration) {
	completed := h.command != nil && h.commandDone > 0 && h.commandDone < asked &&
		(h.State == jayport.HostUp || h.State == jayport.HostDown)
	if completed {
		h.command = nil
		h.commandDone = 0
		h.vacating = notVacating
	}
}

// TakeHostChanges returns and clears the changes collected since the last call.
func (f *Fleet) TakeHostChanges() []HostChange {
	changes := f.hostChanges
	f.hostChanges = nil
	return changes
}

// SetDemand stores the latest demand of a pool.
func (f *Fleet) SetDemand(pool string, d Demand) {
	f.demands[pool] = d
	f.observeBursts(pool, d)
}

// PoolOwnerChanged discards what the former owner of a pool has reported about closed hosts.
func (f *Fleet) PoolOwnerChanged(pool string) {
	if d, known := f.demands[pool]; known {
		d.superseded = true
		f.demands[pool] = d
	}
}

// HandleAnswer applies the inventory's answer to the command on a host. It must be called once
// for each command.
func (f *Fleet) HandleAnswer(name string, err error, now time.Duration) {
	f.pace.answered(errors.Is(err, jayport.ErrRateExceeded), now)
	h, known := f.hosts[name]
	if !known || h.command == nil {
		return
	}
	h.sending = false
	switch outcome(err) {
	case accepted:
		f.accept(h, now)
	case refused:
		h.abandon()
	case notMade:
		// The host stays closed, so that the command is decided again at the next tick.
		h.command = nil
	case inDoubt:
		// The command may still be carried out, so it is repeated until its outcome is
		// known.
	}
}

// Vacating returns the workers that a pool is to empty, by worker ID.
func (f *Fleet) Vacating(pool string) map[string]Vacate {
	workers := map[string]Vacate{}
	for _, h := range f.byPool[pool] {
		if h.Worker != "" && (h.vacating != notVacating || h.command != nil) {
			workers[h.Worker] = Vacate{Urgent: h.urgent, Migrate: h.drains, Restart: h.restart && h.vacating == forMove}
		}
	}
	return workers
}

// Existing returns the workers of a pool according to the inventory, and when the
// inventory was requested. known is false if it has not been read yet or has unreadable
// rows.
func (f *Fleet) Existing(pool string) (workers []string, asked time.Duration, known bool) {
	for _, h := range f.byPool[pool] {
		if h.Worker != "" {
			workers = append(workers, h.Worker)
		}
	}
	return workers, f.listedAt, f.listedAt > 0 && f.complete
}

// Decide returns the actions to carry out now.
func (f *Fleet) Decide(now time.Duration) []Action {
	f.actions = nil
	if f.decidingSince == 0 {
		f.decidingSince = now
	}
	if f.listedAt > 0 {
		// The pace may not allow all commands. Pools that lack hosts come first, standby last.
		f.resend(now)
		f.finishMoves(false, now)
		f.predictBursts(now)
		f.balance(now)
		f.runWaves(now)
		f.finishMoves(true, now)
	}
	return f.actions
}

// held reports whether no command may be sent to a host because a previous owner has
// recently sent one: the two commands could conflict.
func (f *Fleet) held(h *host, now time.Duration) bool {
	return now < f.settings.HeldUntil[h.Name]
}

const (
	// resendAfter is the delay before a command without an answer is repeated.
	resendAfter = 300 * time.Millisecond
	// abandonAfter is the time after which a command without an answer is given up if it
	// cannot be repeated because the host's pool does not keep the host closed.
	abandonAfter = 5 * time.Second
)

// resend repeats commands without an answer on hosts that are still closed.
func (f *Fleet) resend(now time.Duration) {
	for _, h := range f.sorted {
		if h.command == nil || h.commandDone > 0 || h.sending || now < h.commandSent+resendAfter {
			continue
		}
		switch {
		case f.empty(h, now):
			if f.pace.take(now) {
				f.send(h, "repeated", now)
			}
		case now >= h.commandSent+abandonAfter:
			h.abandon()
		}
	}
}

// begin sends a command for an empty host. It returns false if the pace does not allow one now.
func (f *Fleet) begin(h *host, a command, why string, now time.Duration) bool {
	if !f.pace.take(now) {
		return false
	}
	h.command = a
	h.commandDone = 0
	f.send(h, why, now)
	return true
}

func (f *Fleet) send(h *host, why string, now time.Duration) {
	h.sending = true
	h.commandSent = now
	switch a := h.command.(type) {
	case moving:
		f.actions = append(f.actions, MoveHost{Host: h.Name, Pool: a.to, From: h.Pool, Why: why, SendBy: f.sendBy(h, now)})
	case maintaining:
		f.actions = append(f.actions, MaintainHost{Host: h.Name, Wave: a.wave, SendBy: f.sendBy(h, now)})
	}
}

// sendBy returns the latest time at which a command on an empty host may be sent, so that the
// call ends while the host's pool still keeps the host closed.
func (f *Fleet) sendBy(h *host, now time.Duration) time.Duration {
	latest := now + maxCommandAge
	if f.standby[h.Pool] {
		return latest
	}
	return min(latest, f.demands[h.Pool].At+jayport.ClosedTime-f.settings.CallTime)
}

// load returns the load that the pool of a host last reported for the host.
func (f *Fleet) load(h *host) (Load, bool) {
	d, ok := f.demands[h.Pool]
	if !ok {
		return Load{}, false
	}
	l, ok := d.Loads[h.Worker]
	return l, ok
}

// room returns the host's current capacity in thousandths of a core, at its speed.
func (f *Fleet) room(h *host) int64 {
	l, known := f.load(h)
	if known && l.CapacityMilli != nil {
		return l.worth(*l.CapacityMilli)
	}
	return l.worth(h.Capacity.ProcessorsMilli)
}

// empty reports whether a command on the host would end no run: it is on standby, or its
// pool has emptied it and starts no new runs on it.
func (f *Fleet) empty(h *host, now time.Duration) bool {
	if f.standby[h.Pool] {
		return true
	}
	l, known := f.load(h)
	d := f.demands[h.Pool]
	fresh := now-d.At < maxDemandAge && !d.superseded
	return known && fresh && l.Vacated
}

// maxDemandAge is the maximum age of a demand for the pool to be balanced or for one of
// its hosts to be considered empty. It is shorter than jayport.ClosedTime.
const maxDemandAge = time.Second
