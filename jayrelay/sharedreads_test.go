package jayrelay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

// fakeReaders are forty entries of one data centre, whose readers may have lost power.
type fakeReaders struct {
	lost   bool
	server *Server
}

// Members returns the known entries.
func (f *fakeReaders) Members() []Member {
	var members []Member
	for n := range 40 {
		members = append(members, Member{Name: fmt.Sprint("r", n), DataCenter: "bole", Capacity: 1600})
	}
	return members
}

// MembersVersion returns one, since the members do not change.
func (f *fakeReaders) MembersVersion() int64 { return 1 }

// Named returns an announcement of any entry.
func (f *fakeReaders) Named(entry string) (*jaywire.EntryRecord, bool) {
	return &jaywire.EntryRecord{Incarnation: entry + "-1"}, true
}

// AskReader answers, or returns an error after the time for an answer.
func (f *fakeReaders) AskReader(_ *jaywire.EntryRecord, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	if f.lost {
		time.Sleep(SharedReadTimeout)
		return nil, jayport.ErrNoAnswer
	}
	if request.GetPing() != nil {
		return &jaywire.PeerResponse{}, nil
	}
	return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_StoreResult{StoreResult: f.server.Serve(request.GetStoreCall())}}, nil
}

// TestReadDoesNotWaitForLostReader guards against an entry that reads no claims for over a second
// after all entries were lost: it waited for a reader that had not come back.
func TestReadDoesNotWaitForLostReader(t *testing.T) {
	read := func(reads *SharedReads, clock jayclock.Clock) (ok bool, took time.Duration) {
		began := clock()
		_, _, ok = reads.Read(jayport.Partition{Topic: "owners"}, 0, time.Second)
		return ok, clock() - began
	}
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("the readers are lost: ", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := jayclock.Since(time.Now())
				direct := &waitingStore{}
				peers := &fakeReaders{lost: lost, server: NewServer(direct, clock)}
				store := New(direct, nil, clock, logr.Discard())
				reads := NewSharedReads("e1", "bole", store, peers.server, peers, clock, logr.Discard())
				ok, took := read(reads, clock)
				is.True(!ok) // the reader is still being asked whether it runs
				is.Equal(took, time.Duration(0))
				time.Sleep(2 * SharedReadTimeout)
				ok, took = read(reads, clock)
				is.Equal(ok, !lost)
				is.True(!lost || took == 0)
				time.Sleep(2 * SharedReadTimeout)
			})
		})
	}
}
