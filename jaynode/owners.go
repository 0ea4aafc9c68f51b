package jaynode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

const (
	// claimPause is between two looks for vacant duties.
	claimPause = 50 * time.Millisecond
	// rankDelay is how long a candidate waits for each one that ranks before
	// it: an append and its way to all readers take about 30 ms.
	rankDelay = 150 * time.Millisecond
	// settleTime is after this entry's start before it claims anything, so
	// that entries that start together know of each other.
	settleTime = 600 * time.Millisecond
	// pingPause is between two signs of life asked of each owner.
	pingPause = 300 * time.Millisecond
	// beatPause is between two signs of life that an owner writes to the store.
	beatPause = 400 * time.Millisecond
	// deadAfter is how long an owner may be missing, both on its peer link and
	// in the store, before its duties are claimed.
	deadAfter = 1500 * time.Millisecond
)

// owners follows the claims of duties and claims vacant ones.
type owners struct {
	node   *Node
	logger logr.Logger
	tail   *jaytail.Tail

	// table is a copy of the newest claims.
	table   atomic.Pointer[ownerView]
	working *jayowner.Table

	mu sync.Mutex
	// vacantSince is since when this entry has seen a duty without owner.
	vacantSince map[jayowner.Duty]time.Duration
	// lastSeen is when an owner's incarnation last gave a sign of life here.
	lastSeen map[string]time.Duration
	// gone are incarnations that have ended for certain.
	gone map[string]bool
}

// ownerView is the table as of a time.
type ownerView struct {
	*jayowner.Table
	next int64
	asOf time.Duration
}

func newOwners(n *Node) *owners {
	return &owners{
		node:        n,
		logger:      n.logger.WithName("owners"),
		working:     jayowner.NewTable(),
		vacantSince: map[jayowner.Duty]time.Duration{},
		lastSeen:    map[string]time.Duration{},
		gone:        map[string]bool{},
	}
}

// Reset begins a load.
func (o *owners) Reset() {
	o.working.Reset()
}

// Apply takes in a claim.
func (o *owners) Apply(r jayport.Record) {
	if err := o.working.Apply(r); err != nil {
		o.logger.Error(err, "claim unreadable", "duty", r.Key)
		return
	}
	if c, ok := o.working.Claim(jayowner.Duty(r.Key)); ok {
		o.logger.Info("duty claimed", "duty", r.Key, "owner", c.Incarnation, "fence", c.Fence, "term", c.Term, "released", c.Released)
	}
}

// CaughtUp publishes the claims and begins or ends this entry's duties.
func (o *owners) CaughtUp(asOf time.Duration) {
	o.table.Store(&ownerView{Table: o.working.Clone(), next: o.tail.Next(), asOf: asOf})
	o.node.matchDuties()
}

// known reports whether the claims were read at all.
func (o *owners) known() bool {
	return o.table.Load() != nil
}

// of returns the owner of a duty, if it has one.
func (o *owners) of(d jayowner.Duty) (jayowner.Claim, bool) {
	view := o.table.Load()
	if view == nil {
		return jayowner.Claim{}, false
	}
	c, ok := view.Claim(d)
	return c, ok && !c.Released
}

// duties are those that should have an owner now.
func (o *owners) duties() []jayowner.Duty {
	c := o.node.Catalog()
	if c == nil {
		return nil
	}
	duties := []jayowner.Duty{jayowner.Fleet}
	for _, pool := range c.WorkingPools() {
		duties = append(duties, jayowner.PoolDuty(pool))
	}
	return duties
}

// claim claims vacant duties until the context ends.
func (o *owners) claim(ctx context.Context) {
	o.node.duties.Go(func() { o.watch(ctx) })
	o.node.duties.Go(func() { o.beat(ctx) })
	sleep(ctx, settleTime)
	for ctx.Err() == nil {
		if !o.node.stopping.Load() {
			o.claimVacant()
		}
		sleep(ctx, claimPause)
	}
}

// claimVacant claims the duties whose turn it is for this entry.
func (o *owners) claimVacant() {
	view := o.table.Load()
	if view == nil {
		return
	}
	now := o.node.clock()
	vacant := o.vacant(view, now)
	if len(vacant) == 0 {
		return
	}
	rankings := jayowner.Rankings(vacant, o.held(view), o.candidates())
	var records []jayport.Record
	for _, d := range vacant {
		rank := slices.Index(rankings[d], o.node.incarnation)
		if rank < 0 || now-o.since(d) < time.Duration(rank)*rankDelay {
			continue
		}
		former, _ := view.Claim(d)
		records = append(records, jayowner.Claim{
			Duty:        d,
			Term:        former.Term + 1,
			Incarnation: o.node.incarnation,
			Entry:       o.node.settings.Entry,
			PeerAddr:    o.node.settings.PeerAddr,
		}.Record())
		o.logger.Info("claiming", "duty", string(d), "rank", rank, "former", former.Incarnation, "vacantFor", (now - o.since(d)).String())
	}
	if len(records) == 0 {
		return
	}
	// The condition makes sure that no claim was made since this entry looked;
	// a claim whose answer is lost shows in the tail like any other.
	_, err := o.node.store.Append(jayport.Append{
		Partition: o.node.ports.Formats.Own(topicOwners, 0),
		Records:   records,
		AsOf:      view.next,
	}, storeTimeout)
	var stale *jayport.StaleError
	if err != nil && !errors.As(err, &stale) {
		o.logger.Info("claim failed", "error", err.Error())
	}
	o.awaitRead(view.next)
}

// awaitRead waits until the claims were read past an offset.
func (o *owners) awaitRead(offset int64) {
	for range 20 {
		if view := o.table.Load(); view.next > offset {
			return
		}
		time.Sleep(claimPause / 5)
	}
}

// vacant returns the duties that nobody carries out, and notes since when.
func (o *owners) vacant(view *ownerView, now time.Duration) []jayowner.Duty {
	o.mu.Lock()
	defer o.mu.Unlock()
	var vacant []jayowner.Duty
	for _, d := range o.duties() {
		c, claimed := view.Claim(d)
		if claimed && !c.Released && !o.dead(c, now) {
			delete(o.vacantSince, d)
			continue
		}
		if _, noted := o.vacantSince[d]; !noted {
			o.vacantSince[d] = now
		}
		vacant = append(vacant, d)
	}
	return vacant
}

func (o *owners) since(d jayowner.Duty) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.vacantSince[d]
}

// dead reports whether the owner has ended, or has given no sign of life for
// too long.
func (o *owners) dead(c jayowner.Claim, now time.Duration) bool {
	if c.Incarnation == o.node.incarnation {
		return false
	}
	if o.gone[c.Incarnation] {
		return true
	}
	seen, noted := o.lastSeen[c.Incarnation]
	if !noted {
		o.lastSeen[c.Incarnation] = now
		return false
	}
	return now-seen > deadAfter
}

// hasEnded reports whether an incarnation is known to have ended.
func (o *owners) hasEnded(incarnation string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.gone[incarnation]
}

// held counts the duties of each live owner.
func (o *owners) held(view *ownerView) map[string]int {
	held := map[string]int{}
	for _, c := range view.Claims() {
		if !c.Released {
			held[c.Incarnation]++
		}
	}
	return held
}

// candidates are the entries that are not known to have ended.
func (o *owners) candidates() []jayowner.Candidate {
	o.mu.Lock()
	defer o.mu.Unlock()
	candidates := []jayowner.Candidate{}
	self := false
	for _, e := range o.node.entries.all() {
		if o.gone[e.Incarnation] {
			continue
		}
		self = self || e.Incarnation == o.node.incarnation
		candidates = append(candidates, jayowner.Candidate{Incarnation: e.Incarnation, Strength: e.ProcessorsMilli})
	}
	if !self {
		candidates = append(candidates, jayowner.Candidate{Incarnation: o.node.incarnation, Strength: o.node.settings.ProcessorsMilli})
	}
	return candidates
}

// watch asks the owners of duties for signs of life.
func (o *owners) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if view := o.table.Load(); view != nil {
			asked := map[string]bool{o.node.incarnation: true}
			for _, c := range view.Claims() {
				if !c.Released && !asked[c.Incarnation] {
					asked[c.Incarnation] = true
					o.node.duties.Go(func() { o.ping(c) })
				}
			}
		}
		sleep(ctx, pingPause)
	}
}

func (o *owners) ping(c jayowner.Claim) {
	_, err := o.node.peers.Ask(c.Incarnation, c.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Ping{Ping: &jaywire.Ping{}}})
	now := o.node.clock()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.lastSeen[c.Incarnation] = now
	case errors.Is(err, jaypeer.ErrGone):
		if !o.gone[c.Incarnation] {
			o.gone[c.Incarnation] = true
			o.logger.Info("owner has ended", "owner", c.Incarnation, "error", err.Error())
		}
	}
}

// beat is not needed while peers reach each other.
func (o *owners) beat(ctx context.Context) {
	<-ctx.Done()
}

// release gives up this entry's duties, so that others claim them at once.
func (o *owners) release(ctx context.Context) {
	view := o.table.Load()
	if view == nil {
		return
	}
	var records []jayport.Record
	for _, c := range view.Claims() {
		if c.Incarnation == o.node.incarnation && !c.Released {
			c.Released = true
			records = append(records, c.Record())
		}
	}
	if len(records) == 0 {
		return
	}
	_, err := o.node.store.Append(jayport.Append{
		Partition: o.node.ports.Formats.Own(topicOwners, 0),
		Records:   records,
		AsOf:      view.next,
	}, storeTimeout)
	if err != nil {
		o.logger.Info("duties not released", "error", err.Error())
	}
}
