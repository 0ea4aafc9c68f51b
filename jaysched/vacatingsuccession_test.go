package jaysched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// Guards against workers that stay closed, and service tasks that wait beside them, for as long as the owner
// of the fleet changes: the order of a former owner was kept for as long as those of the owners after it.
func TestOrdersToVacateOfFormerOwnersExpire(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, 1)
	orders := []Vacate{{Worker: "w0"}}
	ordered, closed := w.now, time.Duration(0)
	for fence := int64(1); fence <= 10; fence++ {
		w.pool.SetFleetFence(fence, w.now)
		w.pool.SetVacating(orders, w.now)
		is.True(fence > 1 || w.pool.workers["w0"].closed)
		if w.pool.workers["w0"].closed {
			closed = w.now - ordered
		}
		orders = nil
		w.now += jayport.ClosedTime / 3
	}
	t.Logf("closed until %v after the order", closed)
	is.True(closed <= jayport.ClosedTime)
}
