package jaynode

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

// TestReadDoesNotWaitForLostReader guards against an entry that reads no claims for over a second
// after all entries were lost: it waited for a reader that had not come back.
func TestReadDoesNotWaitForLostReader(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0") // accepts connections and never answers
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
	for n := range 40 {
		name := fmt.Sprint("r", n)
		value, err := proto.Marshal(&jaywire.EntryRecord{Incarnation: name + "-00000000", PeerAddr: silent.Addr().String(), DataCenter: e.node.settings.DataCenter})
		is.NoErr(err)
		e.node.members.Entries.Apply(jayport.Record{Key: name, Value: value})
	}
	reads := e.node.sharedReads
	_, _, ok := reads.Read(jayport.Partition{Topic: "owners"}, 0, time.Second)
	is.True(!ok)
	reads.mu.Lock()
	defer reads.mu.Unlock()
	is.Equal(len(reads.pinging), 1) // the reader is still being asked whether it runs
}
