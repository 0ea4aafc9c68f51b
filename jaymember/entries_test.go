package jaymember

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

func TestRestartedActorHasCertainlyEnded(t *testing.T) {
	// Guards against a pool in a burst that gets no host for three seconds after all
	// entries lost power. An entry moved hosts, released its duties and was restarted
	// shortly before the power loss. The fleet's new owner sent no commands to these
	// hosts, since only the last owner of a duty was known to have ended.
	is := is.New(t)
	m := newTestMembers(t, "e1", newMemoryStore(), jayclock.Since(time.Now()))
	acted := time.UnixMilli(1_000_000)
	announce := func(incarnation string, started time.Time) {
		value, err := proto.Marshal(&jaywire.EntryRecord{Incarnation: incarnation, StartedUnixMillis: started.UnixMilli()})
		is.NoErr(err)
		m.Entries.Apply(jayport.Record{Key: "e2", Value: value})
	}
	is.True(!m.Liveness.CertainlyEnded("e2-00000001", acted)) // no announcement yet
	announce("e2-00000001", acted.Add(-time.Minute))
	is.True(!m.Liveness.CertainlyEnded("e2-00000001", acted))
	announce("e2-00000002", acted.Add(time.Second))
	is.True(m.Liveness.CertainlyEnded("e2-00000001", acted))
	is.True(!m.Liveness.CertainlyEnded("e2-00000002", acted))
	announce("e2-00000000", acted.Add(-time.Hour)) // late announcement of an earlier process
	is.True(!m.Liveness.CertainlyEnded("e2-00000002", acted))
}
