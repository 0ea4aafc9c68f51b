package jayroute

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that waits until it is refused although a slot is free: the end of an
// ejection gives the slots of the upstream to nobody.
func TestWaitingRequestGetsAnUpstreamAfterItsEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(2, 1, 10)
		for {
			lease, err := p.Acquire(AcquireOptions{Avoid: []string{"u1"}})
			is.NoErr(err)
			lease.Release(true)
			if !p.upstreams["u0"].available(time.Now()) {
				break
			}
		}
		held, err := p.Acquire(AcquireOptions{})
		is.NoErr(err)
		is.Equal(held.Upstream.ID, "u1")
		began := time.Now()
		lease, err := p.Acquire(AcquireOptions{Wait: 10 * firstEjection})
		is.NoErr(err)
		is.Equal(lease.Upstream.ID, "u0")
		is.True(time.Since(began) <= 2*firstEjection)
	})
}
