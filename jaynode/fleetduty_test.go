package jaynode

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jaywire"
)

func TestHeldHosts(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	held := func(sinceAct, sinceStart time.Duration) bool {
		c := newFleetCollector(logr.Discard())
		c.acts["m1"] = &jaywire.HostAct{UnixMillis: now.Add(-sinceAct).UnixMilli()}
		return c.heldHosts(now, now.Add(-sinceStart), 3*time.Second)["m1"]
	}
	t.Run("what was just acted on is held", func(t *testing.T) {
		is.New(t).True(held(time.Second, time.Minute))
	})
	t.Run("also if clocks differ", func(t *testing.T) {
		is.New(t).True(held(5*time.Second, time.Minute))
	})
	t.Run("not for ever", func(t *testing.T) {
		is.New(t).True(!held(6*time.Second, time.Minute))
	})
	t.Run("not what was acted on before this entry began", func(t *testing.T) {
		// Symptom: after all entries lost power, a pool in its rush gets no
		// host for three seconds.
		// Sequence: an owner moves two hundred hosts; all entries are lost and
		// come back a second later.
		// Cause: the new owner kept off all hosts that were acted on in the
		// last seconds, though their owner had ended with all others.
		is.New(t).True(!held(2*time.Second, time.Second))
	})
}

func TestWaveKeepsItsTimeThroughOwners(t *testing.T) {
	// Symptom: the last hosts of a wave are maintained after its time.
	// Sequence: entries are restarted in turn; the fleet's new owner was started
	// fourteen seconds into the wave.
	// Cause: it took the wave for one that was declared when it learned of it.
	is := is.New(t)
	wall := time.UnixMilli(1_000_000_000)
	now := time.Hour
	recorded := &jaywire.WaveProgress{DeclaredUnixMillis: wall.Add(-14 * time.Second).UnixMilli()}
	is.Equal(waveSince(now-time.Second, recorded, now, wall), now-14*time.Second)
	is.Equal(waveSince(now-20*time.Second, recorded, now, wall), now-20*time.Second)
	is.Equal(waveSince(now-time.Second, nil, now, wall), now-time.Second)
}
