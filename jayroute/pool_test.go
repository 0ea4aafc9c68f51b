package jayroute

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaythread/jayrule"
	"jaythread/jayverdict"
)

func targets(n, share int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: fmt.Sprint("u", i), Addr: fmt.Sprint("addr", i), Share: share}
	}
	return list
}

func newPool(n, share, queue int, options ...PoolOption) *Pool {
	p := NewPool("seats", queue, options...)
	p.Update(targets(n, share))
	return p
}

func TestSharesSumUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		var members []string
		for n := range rapid.IntRange(1, 12).Draw(t, "members") {
			members = append(members, fmt.Sprint("m", n))
		}
		sum := 0
		for _, m := range members {
			sum += Share(slots, "upstream", m, members)
		}
		if sum != slots {
			t.Fatalf("the shares of %d members of %d slots sum up to %d", len(members), slots, sum)
		}
	})
}

func TestPoolNeverExceedsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(3, 2, 100)
		var mu sync.Mutex
		inFlight := map[string]int{}
		var done sync.WaitGroup
		for n := range 60 {
			done.Go(func() {
				lease, err := p.Acquire(AcquireOptions{Caller: fmt.Sprint(n % 5), Wait: time.Minute})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				inFlight[lease.Upstream.ID]++
				if inFlight[lease.Upstream.ID] > 2 {
					t.Errorf("%s has %d in flight", lease.Upstream.ID, inFlight[lease.Upstream.ID])
				}
				mu.Unlock()
				time.Sleep(time.Duration(n%7) * time.Millisecond)
				mu.Lock()
				inFlight[lease.Upstream.ID]--
				mu.Unlock()
				lease.Release(false)
			})
		}
		done.Wait()
	})
}

// acquireLater requests a lease in the background, waits until the request is
// queued, and returns the channel that receives its error.
func acquireLater(p *Pool, o AcquireOptions) <-chan error {
	outcome := make(chan error, 1)
	go func() {
		_, err := p.Acquire(o)
		outcome <- err
	}()
	synctest.Wait()
	return outcome
}

func TestQueue(t *testing.T) {
	t.Run("the highest priority is served first, and callers take turns", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(1, 1, 100)
			held, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			var mu sync.Mutex
			var order []string
			wait := func(caller string, priority jayrule.Priority) {
				go func() {
					lease, err := p.Acquire(AcquireOptions{Caller: caller, Priority: priority, Wait: time.Minute})
					is.NoErr(err)
					mu.Lock()
					order = append(order, caller)
					mu.Unlock()
					lease.Release(false)
				}()
				synctest.Wait()
			}
			wait("big", jayrule.Normal)
			wait("big", jayrule.Normal)
			wait("big", jayrule.Normal)
			wait("small", jayrule.Normal)
			wait("nurse", jayrule.Urgent)
			held.Release(false)
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(order, []string{"nurse", "big", "small", "big", "big"})
		})
	})
	t.Run("a full queue sheds the lowest priority", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(1, 1, 2)
			held, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			browsing := acquireLater(p, AcquireOptions{Caller: "a", Priority: jayrule.Low, Wait: time.Minute})
			first := acquireLater(p, AcquireOptions{Caller: "b", Priority: jayrule.Normal, Wait: time.Minute})
			urgent := acquireLater(p, AcquireOptions{Caller: "c", Priority: jayrule.Urgent, Wait: time.Minute})
			is.Equal(jayverdict.Of(<-browsing), jayverdict.NotRun)
			_, err = p.Acquire(AcquireOptions{Caller: "d", Priority: jayrule.Low, Wait: time.Minute})
			is.Equal(jayverdict.Of(err), jayverdict.NotRun)
			held.Release(false)
			is.NoErr(<-urgent)
			time.Sleep(2 * time.Minute)
			is.Equal(jayverdict.Of(<-first), jayverdict.NotRun) // the urgent request keeps the slot
		})
	})
	t.Run("a request is refused when its wait time ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(1, 1, 10)
			_, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			began := time.Now()
			_, err = p.Acquire(AcquireOptions{Wait: 300 * time.Millisecond})
			is.Equal(jayverdict.Of(err), jayverdict.NotRun)
			is.Equal(time.Since(began), 300*time.Millisecond)
			is.Equal(p.Waiting(), 0)
		})
	})
	t.Run("a new upstream serves queued requests", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(1, 1, 10)
			_, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			waiting := acquireLater(p, AcquireOptions{Wait: time.Minute})
			p.Update(targets(2, 1))
			is.NoErr(<-waiting)
		})
	})
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	p := newPool(2, 8, 10)
	p.SetLeaving("u0")
	for range 8 {
		lease, err := p.Acquire(AcquireOptions{})
		is.NoErr(err)
		is.Equal(lease.Upstream.ID, "u1")
	}
}

func TestAvoidedUpstreamIsNotTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool(2, 1, 10)
		lease, err := p.Acquire(AcquireOptions{Avoid: []string{"u0"}})
		is.NoErr(err)
		is.Equal(lease.Upstream.ID, "u1")
		_, err = p.Acquire(AcquireOptions{Avoid: []string{"u0"}, Wait: time.Second})
		is.True(err != nil)
		// Guards against a refusal that comes only after the whole wait: a request
		// that has tried every upstream of its pool waits for a slot that it
		// cannot use.
		began := time.Now()
		_, err = p.Acquire(AcquireOptions{Avoid: []string{"u0", "u1"}, Wait: time.Second})
		is.True(err != nil)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

func TestEjection(t *testing.T) {
	t.Run("a failing upstream is ejected and used again later", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(100, 0)
		p := newPool(4, 100, 10, WithNow(func() time.Time { return now }))
		failed := 0
		for range 100 {
			lease, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			bad := lease.Upstream.ID == "u0"
			if bad {
				failed++
			}
			lease.Release(bad)
		}
		is.Equal(failed, ejectAfter)
		now = now.Add(firstEjection)
		for range 100 {
			lease, err := p.Acquire(AcquireOptions{Avoid: []string{"u1", "u2", "u3"}})
			is.NoErr(err)
			lease.Release(false)
		}
	})
	t.Run("no more than half of a pool is ejected", func(t *testing.T) {
		is := is.New(t)
		p := newPool(4, 100, 10)
		for range 200 {
			lease, err := p.Acquire(AcquireOptions{})
			is.NoErr(err)
			lease.Release(true)
		}
		ejected := 0
		for _, u := range p.list {
			if time.Now().Before(u.ejectedUntil) {
				ejected++
			}
		}
		is.Equal(ejected, 2)
	})
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(0.1)
	taken := 0
	for range 1000 {
		b.First()
		if b.Take() {
			taken++
		}
	}
	is.True(taken >= 100 && taken <= 111) // the reserve plus a tenth of the first attempts
}

func TestMayRetry(t *testing.T) {
	is := is.New(t)
	is.True(MayRetry(jayverdict.NotRun, false, 1))
	is.True(!MayRetry(jayverdict.MayHaveRun, false, 1))
	is.True(MayRetry(jayverdict.MayHaveRun, true, 1))
	is.True(MayRetry(jayverdict.MayHaveRun, true, 1))
	is.True(!MayRetry(jayverdict.MayHaveRun, true, maxAttempts))
	is.True(!MayRetry(jayverdict.NotRun, true, maxUnrunAttempts))
}
