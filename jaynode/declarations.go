package jaynode

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jaycatalog"
	"jaythread/jayhome"
	"jaythread/jayport"
	"jaythread/jaytail"
)

// declarations holds the configuration and the waves that operators have declared. It is
// the handler of the tail that reads them.
type declarations struct {
	formats jayport.Formats
	logger  logr.Logger
	catalog atomic.Pointer[jaycatalog.Catalog]
	// adoptedAt is when the catalog came in force here.
	adoptedAt atomic.Int64
	// tail follows the declarations; confirmer reads them once more on request.
	tail      *jaytail.Tail
	confirmer *confirmer
	arrivals  *jayport.Arrivals

	mu    sync.Mutex
	waves map[string]declaredWave
	now   func() time.Duration
	// homes learns the pools of the queues before a catalog comes in force.
	homes *jayhome.Register
}

// declaredWave is a wave with the time at which this entry learned of it.
type declaredWave struct {
	jayport.Wave
	since time.Duration
}

func newDeclarations(n *Node) *declarations {
	d := &declarations{formats: n.ports.Formats, logger: n.logger.WithName("catalog"), arrivals: n.ports.Arrivals, waves: map[string]declaredWave{}, now: n.clock, homes: n.homes}
	interval := func() time.Duration { return n.pace.Interval(declarationsShare) }
	d.tail = n.newTail(n.ports.Formats.Declarations(), jaytail.Options{Wait: declarationsWait, Interval: interval, Shared: n.sharedReads.Read, MaxTimeout: declarationsMaxTimeout, KnownEnd: d.knownEnd}, d)
	d.confirmer = newConfirmer(d.asOf, n.newTail(n.ports.Formats.Declarations(), jaytail.Options{MaxTimeout: declarationsMaxTimeout, KnownEnd: d.knownEnd}, d), n.pace)
	jaytail.Join(d.tail, d.confirmer.tail)
	return d
}

// asOf returns a time by which every declaration in the store is known here: the time at
// which the latest complete read was sent. Reads that a peer relays are no exception, since
// the peer reads the store only after it was asked.
func (d *declarations) asOf() time.Duration {
	return max(d.tail.AsOf(), d.confirmer.tail.AsOf())
}

// knownEnd returns the offset after the last record that is known to exist.
func (d *declarations) knownEnd() int64 {
	return d.arrivals.KnownEnd(d.formats.Declarations())
}

// behind reports whether a record is known to exist that has not been applied here.
func (d *declarations) behind() bool {
	return d.knownEnd() > max(d.tail.Applied(), d.confirmer.tail.Applied())
}

// Reset is called before a reload. The catalog in force is kept until a newer one is
// read, so that its revision never decreases.
func (d *declarations) Reset() {}

// Apply processes an operator's record.
func (d *declarations) Apply(r jayport.Record) {
	declared, err := d.formats.DecodeDeclaration(r)
	if err != nil {
		d.logger.Error(err, "declaration unreadable", "key", r.Key, "offset", r.Offset)
		return
	}
	switch body := declared.(type) {
	case jayport.CatalogDeclared:
		d.adopt(body.Catalog)
	case jayport.WaveDeclared:
		d.addWave(body.Wave)
	case jayport.IgnoredRecord:
	}
}

// adopt replaces the catalog in force if the given one is newer: when records have
// expired, an older record may be read again.
func (d *declarations) adopt(c *jaycatalog.Catalog) {
	// Two tails apply records.
	d.mu.Lock()
	defer d.mu.Unlock()
	if present := d.catalog.Load(); present != nil && present.Revision >= c.Revision {
		return
	}
	d.adoptedAt.Store(int64(d.now()))
	for _, q := range c.Queues {
		d.homes.Assign(q.Address(), q.Pool)
	}
	d.catalog.Store(c)
	d.logger.Info("catalog in force", "revision", c.Revision, "queues", len(c.Queues), "pools", len(c.Pools), "organisations", c.Organisations.Size())
}

func (d *declarations) addWave(w jayport.Wave) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.waves[w.Name]; known {
		return
	}
	d.waves[w.Name] = declaredWave{Wave: w, since: d.now()}
	d.logger.Info("wave declared", "wave", w.Name, "hosts", len(w.Hosts), "maxAtOnce", w.MaxAtOnce, "within", w.Within.String())
}

// allWaves returns all declared waves in no particular order.
func (d *declarations) allWaves() []declaredWave {
	d.mu.Lock()
	defer d.mu.Unlock()
	waves := make([]declaredWave, 0, len(d.waves))
	for _, w := range d.waves {
		waves = append(waves, w)
	}
	return waves
}

// CaughtUp implements jaytail.Handler and does nothing.
func (d *declarations) CaughtUp(time.Duration) {}
