package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
)

func TestEntitlements(t *testing.T) {
	entitled := func(name string, have, onTime, useful, expected []int) {
		t.Run(name, func(t *testing.T) {
			f := New(Settings{})
			var balances []*poolBalance
			var got []int
			for n := range have {
				balances = append(balances, &poolBalance{have: have[n], onTime: onTime[n], useful: useful[n], need: useful[n]})
			}
			f.entitle(balances)
			for _, b := range balances {
				got = append(got, b.entitled)
			}
			is.New(t).Equal(got, expected)
		})
	}
	entitled("enough for all", []int{20, 0}, []int{4, 9}, []int{4, 9}, []int{4, 9})
	entitled("in proportion if all need more", []int{267, 13}, []int{300, 600}, []int{300, 600}, []int{96, 184})
	entitled("a small pool beside a large one", []int{90, 10}, []int{20, 600}, []int{20, 600}, []int{8, 92})
	entitled("late jobs last, beyond a floor", []int{80, 20}, []int{0, 90}, []int{200, 90}, []int{10, 90})
	entitled("hosts that do not divide evenly", []int{7, 0}, []int{9, 9}, []int{9, 9}, []int{3, 4})
}

// divided returns a scarce world in which hosts are divided.
func divided(t *testing.T, seats, fees int) *world {
	t.Helper()
	w := scarce(t, seats, fees)
	w.fleet.settings.DivideHosts = true
	need := int64(40 * hostMilli)
	w.onTime = map[string]*int64{"seats": &need, "fees": &need}
	return w
}

func TestScarceHostsAreDividedAtOnce(t *testing.T) {
	const soon = 4500 * time.Millisecond // a drain and a move, before an even share is enforced
	after := func(name string, w *world, check func(*is.I, *world)) {
		t.Run(name, func(t *testing.T) {
			w.steps(soon)
			check(is.New(t), w)
		})
	}
	none := func(is *is.I, w *world) { is.Equal(len(w.moves), 0) }
	after("a pool with few hosts gets half of all", divided(t, 20, 2), func(is *is.I, w *world) {
		is.True(w.hostsUp("fees") >= 10)
		is.True(w.hostsUp("seats") >= 11)
		is.True(w.fleet.Contracting("seats") == (w.hostsUp("seats") > 11))
	})
	after("pools with similar ratios exchange nothing", divided(t, 14, 8), none)
	late := divided(t, 20, 2)
	late.onTime["fees"] = new(int64)
	after("late jobs take nothing from jobs that can be on time", late, none)
	old := divided(t, 20, 2)
	delete(old.onTime, "fees")
	after("nothing is divided if a pool does not report its on-time need", old, none)
	never := divided(t, 20, 2)
	never.drainTime = -1
	after("hosts that never become empty stay", never, none)
}

func TestSurplusHostsLeaveWithRestarts(t *testing.T) {
	// Guards against a pool that keeps busy hosts beyond its need while another pool has almost
	// none: each host holds a run that ends later than a drain lasts.
	surplus := func(name string, change func(*world), gives int, restart, contracting bool) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := divided(t, 20, 2)
			w.wanted["seats"] = 10 * hostMilli
			w.wanted["fees"] = 5 * hostMilli
			change(w)
			w.step()
			w.step()
			orders := w.fleet.Vacating("seats")
			is.Equal(len(orders), gives)
			for _, o := range orders {
				is.Equal(o.Restart, restart)
			}
			is.Equal(w.fleet.Contracting("seats"), contracting)
			for _, h := range w.fleet.hosts {
				is.True(!h.divided) // reported as vacated
				is.True(!h.restart || h.staysUntil > w.now)
			}
		})
	}
	surplus("with the part on", func(*world) {}, 4, true, true)
	surplus("with the part off", func(w *world) { w.fleet.settings.DivideHosts = false }, 0, false, false)
	surplus("if the pool's owner has an earlier version", func(w *world) { delete(w.onTime, "seats") }, 0, false, false)
	surplus("unless they have just arrived", func(w *world) {
		w.step()
		for _, h := range w.fleet.hosts {
			h.vacating, h.restart, h.staysUntil = notVacating, false, w.now+time.Second
		}
	}, 0, false, true) // above its entitlement
}

func TestHostsOfASilentPoolAreNotCountedElsewhere(t *testing.T) {
	// Guards against a pool that gets no other hosts as long as the owner of the pool that was to
	// give it hosts reports nothing.
	is := is.New(t)
	w := divided(t, 20, 2)
	w.step()
	is.True(len(w.fleet.Vacating("seats")) > 0)
	for range 6 {
		w.now += time.Second
		w.fleet.Decide(w.now)
	}
	is.Equal(len(w.fleet.Vacating("seats")), 0)
}

func TestNewFleetOwnerMovesNoDividedHostTwice(t *testing.T) {
	// Guards against a host that is moved twice: the owner of the fleet is lost after it has sent
	// the moves of a division, and the next one has not seen them in the inventory yet.
	is := is.New(t)
	w := divided(t, 20, 2)
	w.steps(2500 * time.Millisecond)
	is.True(len(w.moves) > 0)
	moved := map[string]bool{}
	held := map[string]time.Duration{}
	for _, m := range w.moves {
		moved[m.Host] = true
		held[m.Host] = w.now + time.Second
	}
	w.moves = nil
	w.fleet = New(Settings{MoveTime: move, MaintenanceTime: 2 * time.Second, DivideHosts: true, HeldUntil: held})
	w.fleet.SetPools([]string{"fees", "seats"}, []string{"standby"})
	w.steps(8 * time.Second)
	for _, m := range w.moves {
		is.True(!moved[m.Host])
	}
	is.True(w.hostsUp("fees") <= 12)
}

func TestHostStuckInAMoveDoesNotStopDivisions(t *testing.T) {
	// Guards against hosts that are never divided: one host stays in a move that no owner of the
	// fleet has a command for.
	w := divided(t, 20, 2)
	w.hosts["m0"].State = jayport.HostMoving
	w.steps(takeoverDelay + (unknownMoves+3)*move)
	is.New(t).True(w.hostsUp("fees") >= 9)
}

// BenchmarkDivide measures a decision with all pools short, with the part off and on.
func BenchmarkDivide(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint(on), func(b *testing.B) {
			const pools, each = 34, 165
			f := New(Settings{MoveTime: move, DivideHosts: on})
			var names []string
			var hosts []jayport.Host
			for n := range pools {
				pool := fmt.Sprint("pool", n)
				names = append(names, pool)
				need := int64((n + 1) * 20 * hostMilli)
				d := Demand{NeedMilli: need, OnTimeMilli: &need, Loads: map[string]Load{}, At: time.Second}
				for k := range each {
					h := jayport.Host{Name: fmt.Sprintf("m%02d-%03d", n, k), Pool: pool, State: jayport.HostUp, Worker: fmt.Sprint(n, "-", k), Capacity: jaypool.Resources{ProcessorsMilli: hostMilli}}
					hosts = append(hosts, h)
					d.Loads[h.Worker] = Load{Runs: 5, UsedMilli: 5000, EmptyIn: time.Duration(k) * 20 * time.Millisecond, RestartCost: int64(k)}
				}
				f.SetDemand(pool, d)
			}
			f.SetPools(names, []string{"standby"})
			f.ApplyInventory(hosts, time.Second)
			for b.Loop() {
				f.Decide(time.Second)
				for _, h := range f.sorted {
					h.vacating, h.staysUntil = notVacating, 0
				}
			}
		})
	}
}
