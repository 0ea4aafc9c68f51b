package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// ratedInventory takes a number of commands in each second and rejects the others. Of those that
// it takes, every seventh has its answer lost.
type ratedInventory struct {
	world  *world
	rate   int
	second time.Duration
	// taken counts the commands of the present second, rejected all that came in excess.
	taken    int
	rejected int
	all      int
}

func (i *ratedInventory) answer(Action) error {
	if now := i.world.now.Truncate(time.Second); now != i.second {
		i.second, i.taken = now, 0
	}
	if i.taken >= i.rate {
		i.rejected++
		return fmt.Errorf("%w: status 429", jayport.ErrRateExceeded)
	}
	i.taken++
	i.all++
	if i.all%7 == 0 {
		return fmt.Errorf("%w: test", jayport.ErrNoAnswer)
	}
	return nil
}

// idleFleet is a fleet whose hosts all become idle at once, with an inventory of a limited rate.
func idleFleet(t *testing.T, hosts int, settings Settings) (*world, *ratedInventory) {
	w := newWorld(t, map[string]int{"seats": hosts, "standby": 10})
	settings.MoveTime, settings.MaintenanceTime = 1500*time.Millisecond, 2*time.Second
	w.restart(settings)
	i := &ratedInventory{world: w, rate: 64}
	w.answer = i.answer
	return w, i
}

// restart replaces the fleet's owner.
func (w *world) restart(settings Settings) {
	w.fleet = New(settings)
	w.fleet.SetPools([]string{"fees", "seats"}, []string{"standby"})
}

// waiting returns the number of hosts that are closed and whose move is not accepted yet.
func (f *Fleet) waiting() int {
	waiting := 0
	for _, h := range f.sorted {
		if h.vacating == forMove && h.commandDone == 0 {
			waiting++
		}
	}
	return waiting
}

// TestIdleFleetDoesNotFloodTheInventory guards against a burst of commands as large as the fleet:
// thousands of hosts were idle at once, most of their moves were rejected and repeated all
// together several times a second, and the owner did nothing else until it was replaced.
func TestIdleFleetDoesNotFloodTheInventory(t *testing.T) {
	settings := Settings{CommandRate: 64, CommandsInFlight: 16}
	for _, hosts := range []int{1500, 6000} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			is := is.New(t)
			w, inventory := idleFleet(t, hosts, settings)
			mostWaiting := 0
			for n := range 80 {
				if n == 40 {
					w.restart(settings)
				}
				w.step()
				mostWaiting = max(mostWaiting, w.fleet.waiting())
			}
			is.True(inventory.all >= 64*8*6/10)    // most of the rate is used
			is.True(inventory.rejected <= 64*8/10) // few commands are sent in vain
			is.True(mostWaiting <= 64)             // no host is closed for long while its command waits
		})
	}
}

// TestPoolsGetHostsBeforeStandby guards against a pool that waits for its hosts behind thousands
// of moves to standby.
func TestPoolsGetHostsBeforeStandby(t *testing.T) {
	is := is.New(t)
	w, _ := idleFleet(t, 1500, Settings{CommandRate: 64, CommandsInFlight: 16})
	w.steps(time.Second)
	w.wanted["fees"] = 50 * hostMilli
	// Closing takes 0.3 s, the moves 1.5 s, and one window does not suffice for 50 commands.
	w.steps(300*time.Millisecond + 1500*time.Millisecond + commandWindow + 200*time.Millisecond)
	is.True(w.hostsUp("fees") > 50)
}

func TestRateFallsOnceForCommandsRejectedTogether(t *testing.T) {
	is := is.New(t)
	p := newCommandPace(Settings{CommandRate: 100, CommandsInFlight: 1000})
	now := time.Minute
	sent := func() (count int) {
		for p.take(now) {
			count++
		}
		return count
	}
	is.Equal(sent(), 90) // a burst of nine tenths of the rate
	now += time.Second
	is.Equal(sent(), 0) // within the window
	for range 90 {
		p.answered(true, now)
	}
	is.Equal(p.inFlight, 0)
	now += commandWindow
	allowed := sent()
	is.True(allowed >= 45 && allowed <= 55) // half of the rate, which rises slowly
}

func TestUnlimitedPace(t *testing.T) {
	is := is.New(t)
	p := newCommandPace(Settings{})
	for range 10_000 {
		is.True(p.take(time.Minute))
	}
	_, limited := p.closable(time.Minute)
	is.True(!limited)
}

// TestCommandIsRepeatedOnlyOnClosedHost guards against the end of tasks by a repeated move: the
// first one did not arrive, the pool opened the host again, and the move was repeated without
// asking whether the host was still empty.
func TestCommandIsRepeatedOnlyOnClosedHost(t *testing.T) {
	for name, opens := range map[string]bool{"still closed": false, "opened": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, map[string]int{"seats": 2, "fees": 1, "standby": 1})
			sent := 0
			for range 20 {
				w.now += 100 * time.Millisecond
				w.list()
				w.reportDemands()
				if opens && sent > 0 {
					w.fleet.PoolOwnerChanged("seats")
				}
				for _, a := range w.fleet.Decide(w.now) {
					sent++
					w.fleet.HandleAnswer(a.(MoveHost).Host, fmt.Errorf("%w: test", jayport.ErrNoAnswer), w.now)
				}
			}
			if opens {
				is.Equal(sent, 1)
			} else {
				is.True(sent > 1)
			}
		})
	}
}

// TestListingConfirmsCommand guards against a repeated command that has taken effect: the host's
// worker is gone, so that the pool no longer reports it as closed.
func TestListingConfirmsCommand(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]int{"seats": 2, "fees": 1, "standby": 1})
	w.answer = func(Action) error { return fmt.Errorf("%w: test", jayport.ErrNoAnswer) }
	w.steps(3 * time.Second)
	is.Equal(len(w.moves), 1)
	is.Equal(w.hostsUp("standby"), 2)
	is.Equal(w.fleet.hosts[w.moves[0].Host].command, nil)
}

// TestMoveIsSentWhileItsHostIsClosed guards against a command that is sent when the pool may
// have opened the host again.
func TestMoveIsSentWhileItsHostIsClosed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, map[string]int{"seats": 8, "standby": 10})
	w.restart(Settings{MoveTime: 1500 * time.Millisecond, CallTime: 700 * time.Millisecond})
	w.steps(time.Second)
	is.True(len(w.moves) > 0)
	for _, m := range w.moves {
		is.True(m.SendBy+700*time.Millisecond <= w.now+jayport.ClosedTime)
	}
}
