package jaymember

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayhome"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jaytail"
)

// Owners holds the claims of duties. It is the handler of the tail that reads them;
// claims.go claims vacant duties.
type Owners struct {
	members *Members
	logger  logr.Logger
	tail    *jaytail.Tail

	// table is an immutable view of the newest claims, working the table that records are
	// applied to.
	table   atomic.Pointer[View]
	working *jayowner.Table

	// vacantSince is the time since which this entry has seen each duty without an owner.
	// It is used only by the goroutine that claims duties.
	vacantSince map[jayowner.Duty]time.Duration

	mu sync.Mutex
	// turnover tracks the recent owners of each duty.
	turnover *jayowner.Turnover
}

// View is the claims as of a time.
type View struct {
	*jayowner.Table
	// AsOf is the time up to which the claims have been read.
	AsOf time.Duration
	// AnsweredAt is when the store answered the last read of the claims.
	AnsweredAt time.Duration
	// next is the offset after the last claim.
	next int64
}

func newOwners(m *Members) *Owners {
	return &Owners{
		members:     m,
		logger:      m.Logger.WithName("owners"),
		working:     jayowner.NewTable(),
		vacantSince: map[jayowner.Duty]time.Duration{},
		turnover:    jayowner.NewTurnover(),
	}
}

// Reset discards the claims before a reload.
func (o *Owners) Reset() {
	o.working.Reset()
}

// Apply applies a claim, or the record of a pool's queues.
func (o *Owners) Apply(r jayport.Record) {
	if pool, ok := jayhome.PoolOf(r); ok {
		if err := o.members.Homes.Apply(r); err != nil {
			o.logger.Error(err, "queues of a pool cannot be decoded", "pool", pool)
		}
		return
	}
	if err := o.working.Apply(r); err != nil {
		o.logger.Error(err, "claim cannot be decoded", "duty", r.Key)
		return
	}
	if c, ok := o.working.Claim(jayowner.Duty(r.Key)); ok {
		o.mu.Lock()
		o.turnover.AddClaim(c, o.members.Clock())
		o.mu.Unlock()
		if c.Released {
			o.members.Liveness.RecordStopping(c.Incarnation)
		}
		o.logger.Info("duty claimed", "duty", r.Key, "owner", c.Incarnation, "fence", c.Fence, "term", c.Term, "released", c.Released)
	}
}

// timeoutFactorOf returns the factor by which the owner of a duty may be silent for
// longer than usual.
func (o *Owners) timeoutFactorOf(d jayowner.Duty, now time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.turnover.TimeoutFactor(d, now)
}

// CaughtUp publishes the claims and then calls OnClaimsRead.
func (o *Owners) CaughtUp(asOf time.Duration) {
	o.Publish(&View{Table: o.working.Clone(), next: o.tail.Next(), AsOf: asOf, AnsweredAt: o.members.Clock()})
	o.members.OnClaimsRead()
}

// Publish replaces the current view.
func (o *Owners) Publish(view *View) {
	o.table.Store(view)
}

// View returns the newest view, or nil if the claims have not been read yet.
func (o *Owners) View() *View {
	return o.table.Load()
}

// Known reports whether the claims have been read.
func (o *Owners) Known() bool {
	return o.table.Load() != nil
}

// OwnerOf returns the newest claim of a duty, if there is one. The owner still serves a
// duty that it has released until the next claim.
func (o *Owners) OwnerOf(d jayowner.Duty) (jayowner.Claim, bool) {
	view := o.table.Load()
	if view == nil {
		return jayowner.Claim{}, false
	}
	c, ok := view.Claim(d)
	return c, ok
}
