package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two runs of a service task: the store answers its owner only after the next one has waited until
// all leases of this one must have ended, and this one sends the order then.
func TestPlacementRecordedLateStartsNothing(t *testing.T) {
	is := is.New(t)
	w := newConfirmedHarness(t, 2)
	w.storeUnavailable = true
	declare(w, service("a", 1))
	batch := w.pool.TakeBatch()
	w.now += 12 * time.Second
	w.pool.BatchRecorded(batch, w.now)
	w.run()
	is.Equal(w.starts("a.0.0.0"), 0)
	w.storeUnavailable = false
	w.pool.OwnerConfirmed(w.now, nil, w.now)
	w.pass(time.Second)
	is.Equal(w.starts("a.0.0.0"), 1)
}
