// Package jaymember manages the membership of an entry: it tracks which entries run,
// which of them owns which duty and whether the owners are alive, and claims vacant
// duties.
package jaymember

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayhome"
	"jaythread/jayowner"
	"jaythread/jaypace"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaytail"
)

// Topics of the membership in the platform's store.
const (
	// topicOwners holds the claims of duties.
	topicOwners = "owners"
	// topicEntries holds the announcements of the entries.
	topicEntries = "entries"
	// topicHeartbeats holds the heartbeats of the entries that own a duty.
	topicHeartbeats = "beats"
)

const (
	// ClaimsWait is how long a read of the claims waits for a new record. A record ends
	// the wait at once; a connection that no longer answers is noticed only when the wait
	// is over.
	ClaimsWait = time.Second
	// entriesWait is the same wait for the announcements, and entriesPause the delay between
	// two reads of them: while many entries start, there are new ones all the time.
	entriesWait  = 3 * time.Second
	entriesPause = 250 * time.Millisecond
	// claimsShare, entriesShare and heartbeatsShare are the shares of the store's rate that
	// all entries may use to read claims, announcements and heartbeats that follow each
	// other. Each record ends the waiting reads of all entries.
	claimsShare     = 0.25
	entriesShare    = 0.125
	heartbeatsShare = 0.25
)

// Options configures a membership.
type Options struct {
	Entry       string
	Incarnation string
	PeerAddr    string
	DataCenter  string
	// ProcessorsMilli and LinkMegabits are the entry's share of its host.
	ProcessorsMilli int64
	LinkMegabits    int64
	// Started is when the entry was started, and StartedAt is the same moment on Clock.
	Started   time.Time
	StartedAt time.Duration

	Clock   jayclock.Clock
	Store   *jayrelay.Store
	Formats jayport.Formats
	Logger  logr.Logger
	// SharedReads and SharedClaims read announcements and claims through other entries.
	SharedReads  jaytail.SharedRead
	SharedClaims jaytail.SharedRead
	// Pace limits the reads of all entries to the store's rate.
	Pace *jaypace.Pace

	// Partition returns the number of the partition that holds the records of a key.
	Partition func(key string) int
	// Duties returns the duties that should have an owner now.
	Duties func() []jayowner.Duty
	// OwnsAnyDuty reports whether this entry owns any duty.
	OwnsAnyDuty func() bool
	// Ended reports whether this entry has ended a duty under one of its claims by itself. The duty is
	// claimed again: its former self has used the fence.
	Ended func(jayowner.Claim) bool
	// Stopping reports whether this entry is stopping and claims no more duties.
	Stopping func() bool
	// Homes receives the records of the pools' queues, which stand beside the claims. Nil stands for a new
	// register.
	Homes *jayhome.Register
	// OnClaimsRead is called after each read of the claims.
	OnClaimsRead func()
	// Go runs a function in a goroutine that the entry waits for when it stops.
	Go func(func())
}

// Members is the membership of an entry: the entries and owners that it has read from the
// store.
type Members struct {
	Options

	Entries  *Entries
	Owners   *Owners
	Liveness *Liveness
	// Announcer announces this entry, and others while this entry owns a duty.
	Announcer *Announcer
}

// New returns a membership; Start starts it.
func New(options Options) *Members {
	m := &Members{Options: options}
	if m.Homes == nil {
		m.Homes = jayhome.NewRegister()
	}
	m.Entries = newEntries(m)
	m.Owners = newOwners(m)
	m.Liveness = newLiveness(m)
	m.Announcer = newAnnouncer(m)
	return m
}

// Start follows entries and claims, announces this entry, monitors the owners and claims
// vacant duties until the context ends.
func (m *Members) Start(ctx context.Context) {
	m.follow(ctx)
	m.Liveness.start(ctx)
	m.Go(func() { m.Owners.claim(ctx) })
}

// follow follows entries and claims and announces this entry.
func (m *Members) follow(ctx context.Context) {
	// The handler of the claims asks the tail for its offset, so tail must be set before
	// the tail runs.
	m.Owners.tail = m.newTail(topicOwners, jaytail.Options{Wait: ClaimsWait, Shared: m.SharedClaims}, claimsShare, m.Owners)
	m.Go(func() { m.Owners.tail.Run(ctx) })
	entries := m.newTail(topicEntries, jaytail.Options{Wait: entriesWait, Pause: entriesPause, Shared: m.SharedReads}, entriesShare, m.Entries)
	m.Go(func() { entries.Run(ctx) })
	m.Go(func() { m.Announcer.announce(ctx) })
	m.Go(func() { m.Announcer.store(ctx) })
}

// newTail returns a tail that uses up to a share of the store's rate together with those of all
// other entries.
func (m *Members) newTail(topic string, options jaytail.Options, share float64, handler jaytail.Handler) *jaytail.Tail {
	p := m.Formats.Own(topic, 0)
	options.Interval = func() time.Duration { return m.Pace.Interval(share) }
	return jaytail.New(m.Store, p, options, handler, m.Clock, m.Logger.WithName(p.Topic))
}

// capacity returns this entry's capacity for duties.
func (m *Members) capacity() int64 {
	return jayowner.Capacity(m.ProcessorsMilli, m.LinkMegabits)
}

// Close closes the connections to other entries.
func (m *Members) Close() {
	m.Liveness.link.Close()
	m.Announcer.link.Close()
}
