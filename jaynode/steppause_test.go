package jaynode

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayring"
)

// Guards against owners that are replaced one after the other while none serves the pool: a new owner decides after
// each of hundreds of reports, and leaves its processor no time to answer pings.
func TestLongStepsLeaveTheProcessorTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// step is how long a step takes, spacing the time between two events.
		step, spacing time.Duration
		// most is the largest share of the time for steps, in percent, and late how long an event waits.
		most int
		late time.Duration
	}{
		{"decisions after each report", time.Millisecond, 500 * time.Microsecond, 30, 6 * time.Millisecond},
		{"decisions on a backlog", 20 * time.Millisecond, 500 * time.Microsecond, 70, 60 * time.Millisecond},
		{"short steps", 100 * time.Microsecond, 500 * time.Microsecond, 25, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				clock := jayclock.Since(time.Now())
				d := &duty{node: &Node{clock: clock}, ctx: ctx, inbox: jayring.New[event](4096)}
				var inSteps, latest time.Duration
				var loop sync.WaitGroup
				loop.Go(func() {
					d.loop(poolTick, func() {
						began := clock()
						time.Sleep(c.step)
						for handle, ok := d.inbox.Take(); ok; handle, ok = d.inbox.Take() {
							handle(clock())
						}
						inSteps += clock() - began
					})
				})
				for range 2000 {
					posted := clock()
					d.post(func(now time.Duration) { latest = max(latest, now-posted) })
					time.Sleep(c.spacing)
				}
				cancel()
				loop.Wait()
				share := int(100 * inSteps / clock())
				t.Logf("steps take %d %% of the time, an event waits for %v at most", share, latest)
				is.True(share <= c.most)
				is.True(latest <= c.late)
			})
		})
	}
}
