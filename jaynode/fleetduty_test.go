package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayfleet"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// fakeActors is a set of processes, some of which have ended or have a known clock.
type fakeActors struct {
	gone   map[string]bool
	clocks map[string]jaymember.PeerClock
}

func (a fakeActors) CertainlyEnded(incarnation string, _ time.Time) bool { return a.gone[incarnation] }

func (a fakeActors) ClockOf(incarnation string) (jaymember.PeerClock, bool) {
	c, known := a.clocks[incarnation]
	return c, known
}

func TestHeldHosts(t *testing.T) {
	is := is.New(t)
	day := time.UnixMilli(1_000_000_000)
	c := newFleetCollector(logr.Discard())
	command := func(host, by string, decided time.Duration, day time.Time) {
		c.commands[host] = &jaywire.HostCommand{UnixMillis: day.UnixMilli(), Incarnation: by, DecidedMicros: decided.Microseconds()}
	}
	command("ended", "gone", time.Hour, day)
	command("unknown", "unknown", time.Hour, day.Add(-time.Second))
	command("old", "unknown", time.Hour, day.Add(-time.Hour))
	command("known", "peer", 59*time.Second, day.Add(-time.Minute)) // its time of day is a minute behind
	command("over", "peer", 55*time.Second, day)
	peers := fakeActors{
		gone:   map[string]bool{"gone": true},
		clocks: map[string]jaymember.PeerClock{"peer": {Clock: 58 * time.Second, HeardAt: 8 * time.Second}},
	}
	guard := jayfleet.Guard{OwnerChangeDelay: 3 * time.Second}
	held := c.heldHosts(guard, peers, jayfleet.Takeover{Clock: 10 * time.Second, WallTime: day, Started: day.Add(-time.Minute)})
	is.Equal(held, map[string]time.Duration{"unknown": 13 * time.Second, "known": 12 * time.Second})
}

func TestWaveStartTimeSurvivesTakeover(t *testing.T) {
	// Guards against maintaining the last hosts of a wave after its time. The fleet's new
	// owner was started fourteen seconds into the wave and treated the wave as declared
	// at that time.
	is := is.New(t)
	wall := time.UnixMilli(1_000_000_000)
	now := time.Hour
	recorded := &jaywire.WaveProgress{DeclaredUnixMillis: wall.Add(-14 * time.Second).UnixMilli()}
	is.Equal(waveStartTime(now-time.Second, recorded, now, wall), now-14*time.Second)
	is.Equal(waveStartTime(now-20*time.Second, recorded, now, wall), now-20*time.Second)
	is.Equal(waveStartTime(now-time.Second, nil, now, wall), now-time.Second)
}

// Guards against a wave that is done and shown as running for good: the append of its first status is
// carried out late, after that of the last one, which the same owner or the next one has written.
func TestLateWaveStatusIsNotShown(t *testing.T) {
	for name, replaced := range map[string]bool{"by the same owner": false, "by the next owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := jayclock.Since(time.Now().Add(-time.Hour))
				store, hosts := newSharedStore(), newSharedHosts(clock, nil)
				first, second := newTestEntry(t, "e1", store, hosts, clock), newTestEntry(t, "e2", store, hosts, clock)
				start := func(e *testEntry, fence int64) *fleetDuty {
					d := newFleetDuty(e.node, e.claim(jayowner.Fleet, fence, fence))
					_, ok := d.takeOver()
					is.True(ok)
					d.startJournals()
					t.Cleanup(func() {
						d.cancel()
						e.node.duties.Wait()
						time.Sleep(20 * time.Second) // lets pending calls return
					})
					return d
				}
				owner := start(first, 1)
				first.store.set(func(s *faultyStore) { s.requestDelay = 3 * time.Second })
				owner.writeWaveStatus("1", false)
				time.Sleep(50 * time.Millisecond)
				first.store.set(func(s *faultyStore) { s.requestDelay = 0 })
				if replaced {
					owner.cancel()
					owner = start(second, 6)
				}
				owner.writeWaveStatus("1", true)
				time.Sleep(5 * time.Second)
				shown := store.latest(jayport.Partition{Topic: "status"}, "").Records
				is.Equal(len(shown), 1)
				is.Equal(string(shown[0].Value), "true")
			})
		})
	}
}

func TestArrivingWorkIsReported(t *testing.T) {
	is := is.New(t)
	report := &jaywire.DemandReport{}
	writeDemand(report, jaysched.Demand{ArrivingMilli: 7})
	is.Equal(demandOf(report, nil, 0).ArrivingMilli, int64(7))
}
