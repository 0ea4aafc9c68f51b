package jaynode

import (
	"strings"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayfleet"
	"jaythread/jaymember"
	"jaythread/jayport"
	"jaythread/jaywire"
)

// fleetCollector collects the recorded progress of the waves and the last command to each
// host.
type fleetCollector struct {
	waves    map[string]*jaywire.WaveProgress
	commands map[string]*jaywire.HostCommand
	logger   logr.Logger
}

func newFleetCollector(logger logr.Logger) *fleetCollector {
	return &fleetCollector{waves: map[string]*jaywire.WaveProgress{}, commands: map[string]*jaywire.HostCommand{}, logger: logger}
}

// Reset discards the collected records before a reload.
func (c *fleetCollector) Reset() {
	clear(c.waves)
	clear(c.commands)
}

// Apply decodes a record.
func (c *fleetCollector) Apply(r jayport.Record) {
	if r.Value == nil {
		return
	}
	wave, command := &jaywire.WaveProgress{}, &jaywire.HostCommand{}
	var err error
	if name, ok := strings.CutPrefix(r.Key, waveKeys); ok {
		err = proto.Unmarshal(r.Value, wave)
		c.waves[name] = wave
	} else if name, ok := strings.CutPrefix(r.Key, hostKeys); ok {
		err = proto.Unmarshal(r.Value, command)
		c.commands[name] = command
	}
	if err != nil {
		c.logger.Error(err, "fleet record cannot be decoded", "key", r.Key)
	}
}

// CaughtUp implements jaytail.Handler and does nothing.
func (c *fleetCollector) CaughtUp(time.Duration) {}

// actors looks up the processes that have sent commands to hosts.
type actors interface {
	// CertainlyEnded reports whether the process of an incarnation that acted at a time of
	// day has certainly ended.
	CertainlyEnded(incarnation string, acted time.Time) bool
	// ClockOf returns the clock of an incarnation, if it is known.
	ClockOf(incarnation string) (jaymember.PeerClock, bool)
}

// heldHosts returns the hosts that a new owner must not act on yet, each with the time
// from which it may: a former owner recently sent a command to the host and may send it
// again.
func (c *fleetCollector) heldHosts(guard jayfleet.Guard, actors actors, t jayfleet.Takeover) map[string]time.Duration {
	held := map[string]time.Duration{}
	for host, command := range c.commands {
		at := time.UnixMilli(command.UnixMillis)
		recorded := jayfleet.RecordedCommand{At: at, ActorEnded: actors.CertainlyEnded(command.Incarnation, at)}
		if clock, known := actors.ClockOf(command.Incarnation); known {
			recorded.DecidedBy, recorded.ClockKnown = clock.ToLocal(micros(command.DecidedMicros)), true
		}
		if until := guard.HeldUntil(recorded, t); until > t.Clock {
			held[host] = until
		}
	}
	return held
}
