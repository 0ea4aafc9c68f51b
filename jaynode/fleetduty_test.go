package jaynode

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayfleet"
	"jaythread/jaymember"
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

func TestArrivingWorkIsReported(t *testing.T) {
	is := is.New(t)
	report := &jaywire.DemandReport{}
	writeDemand(report, jaysched.Demand{ArrivingMilli: 7})
	is.Equal(demandOf(report, nil, 0).ArrivingMilli, int64(7))
}
