package jayfleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slow hosts that count as whole ones, and that are kept while sound ones leave.
func TestSlowHostsCountForLessAndLeaveFirst(t *testing.T) {
	is := is.New(t)
	slow, sound, unknown := Load{SpeedPercent: 15, Idle: time.Second}, Load{SpeedPercent: 100, Idle: 2 * time.Second}, Load{Idle: 3 * time.Second}
	is.Equal(slow.worth(10_000), int64(1500))
	is.Equal(sound.worth(10_000), int64(10_000))
	is.Equal(unknown.worth(10_000), int64(10_000))
	is.Equal(slow.worth(0), int64(0))
	b := &poolBalance{idle: []*host{{}, {}, {}}}
	for n, worker := range []string{"sound", "unknown", "slow"} {
		b.idle[n].Worker = worker
	}
	b.sort(Demand{Loads: map[string]Load{"slow": slow, "sound": sound, "unknown": unknown}})
	for n, worker := range []string{"slow", "unknown", "sound"} {
		is.Equal(b.idle[n].Worker, worker)
	}
}
