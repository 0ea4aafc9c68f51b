package jayowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeoutFactor(t *testing.T) {
	claimed := func(owners ...string) *Turnover {
		turnover := NewTurnover()
		for n, owner := range owners {
			turnover.AddClaim(Claim{Duty: Fleet, Fence: int64(n + 1), Incarnation: owner}, time.Duration(n)*time.Second)
		}
		return turnover
	}
	factor := func(name string, expected int, at time.Duration, owners ...string) {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(claimed(owners...).TimeoutFactor(Fleet, at), expected)
		})
	}
	factor("a duty without claims has a factor of 1", 1, 0)
	factor("entries lost one after another do not raise the factor", 1, 2*time.Second, "a", "b", "c")
	factor("an owner that returns doubles the factor", 2, 2*time.Second, "a", "b", "a")
	factor("two owners that return raise the factor to 4", 4, 3*time.Second, "a", "b", "a", "b")
	factor("a fourth and a fifth owner double the factor each", 4, 4*time.Second, "a", "b", "c", "d", "e")
	factor("the factor is at most 16", 16, 7*time.Second, "a", "b", "a", "b", "a", "b", "a", "b")
	factor("a claim counts for 15 s", 2, 14900*time.Millisecond, "a", "b", "a")
	factor("a claim does not count after 15 s", 1, 15100*time.Millisecond, "a", "b", "a")
	t.Run("a claim that is read twice counts once", func(t *testing.T) {
		turnover := claimed("a", "b")
		turnover.AddClaim(Claim{Duty: Fleet, Fence: 1, Incarnation: "a"}, 2*time.Second)
		turnover.AddClaim(Claim{Duty: Fleet, Fence: 2, Incarnation: "b"}, 2*time.Second)
		is.New(t).Equal(turnover.TimeoutFactor(Fleet, 2*time.Second), 1)
	})
	t.Run("a release does not count as a claim", func(t *testing.T) {
		turnover := claimed("a", "b")
		turnover.AddClaim(Claim{Duty: Fleet, Fence: 3, Incarnation: "a", Released: true}, 2*time.Second)
		is.New(t).Equal(turnover.TimeoutFactor(Fleet, 2*time.Second), 1)
	})
	t.Run("claims of other duties do not count", func(t *testing.T) {
		is.New(t).Equal(claimed("a", "b", "a").TimeoutFactor(PoolDuty("seats"), 2*time.Second), 1)
	})
}

func TestTimeoutFactorEndsRepeatedTakeovers(t *testing.T) {
	// Guards against a pool whose tasks end with their leases while no new ones start,
	// although all entries are healthy. After a power loss of all entries, an owner took
	// the pool over and read 170 jobs through a narrow network link, so that its answers
	// to pings were late. Every second another entry claimed the pool before the owner
	// had read the jobs, since an owner that was wrongly presumed to have ended got no
	// longer timeout the next time.
	const wait = 650 * time.Millisecond
	for _, reads := range []time.Duration{700 * time.Millisecond, 1700 * time.Millisecond, 5 * time.Second} {
		for _, entries := range []int{2, 97} {
			t.Run(fmt.Sprint(reads, " of reading, number of entries: ", entries), func(t *testing.T) {
				turnover, now, claims := NewTurnover(), time.Duration(0), 0
				for {
					claims++
					turnover.AddClaim(Claim{Duty: Fleet, Fence: int64(claims), Incarnation: fmt.Sprint(claims % entries)}, now)
					allowed := time.Duration(turnover.TimeoutFactor(Fleet, now)) * wait
					if allowed >= reads {
						break
					}
					now += allowed
				}
				is.New(t).True(now < 4*reads)
			})
		}
	}
}
