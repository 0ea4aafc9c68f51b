package jaynode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaycatalog"
	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayverdict"
	"jaythread/jaywire"
	"jaythread/jaywitness"
)

func TestPeersBecomeWitnesses(t *testing.T) {
	n := &Node{witnesses: jaywitness.New(jayclock.Boot, 0)}
	is := is.New(t)
	keep := func(fence int64) bool {
		body := &jaywire.WitnessJob{Pool: "seats", Job: "a", Fence: fence}
		return n.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_WitnessJob{WitnessJob: body}}).GetJobWitnessed().GetKept()
	}
	is.True(keep(2))
	answer := n.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskWitnessed{AskWitnessed: &jaywire.AskWitnessed{Pool: "seats", Fence: 3}}})
	is.Equal(answer.GetWitnessedJobs().GetJobs(), []string{"a"})
	is.True(!keep(2))
}

// TestTakeoverAsksFewWitnesses guards against a new owner that asks thousands of entries at once for
// what its predecessors have shown, and passes over those that do not answer in time.
func TestTakeoverAsksFewWitnesses(t *testing.T) {
	for _, entries := range []int{4, 16, 583, 5627} {
		is := is.New(t)
		clock := jayclock.Boot
		e := newTestEntry(t, "e0", newSharedStore(), newSharedHosts(clock, nil), clock)
		for n := range entries - 1 {
			name := fmt.Sprint("e", n+1)
			value, err := proto.Marshal(&jaywire.EntryRecord{Incarnation: name + "-00000000"})
			is.NoErr(err)
			e.node.members.Entries.Apply(jayport.Record{Key: name, Value: value})
		}
		asked := len(e.node.witnessesOf("seats"))
		is.True(asked >= min(entries-1, 15) && asked <= 16)
	}
}

func TestUnrecordedEndIsToldToWitnessesOnly(t *testing.T) {
	// Guards against a job that an entry of an earlier version shows as done, and that runs
	// again: such an entry keeps no ends.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := endUnrecorded(t)
		ask := func(witness bool) *jaywire.JobAnswer {
			return w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID, Witness: witness})
		}
		answer := ask(true)
		is.Equal(answer.State, jaywire.JobState_JOB_STATE_DONE)
		is.True(answer.Unrecorded)
		is.Equal(answer.Fence, w.claim.Fence)
		answer = ask(false)
		is.Equal(answer.State, jaywire.JobState_JOB_STATE_RUNNING)
		is.True(!answer.Unrecorded)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = "" })
		w.refreshClaimsFor(time.Second)
		answer = ask(false)
		is.Equal(answer.State, jaywire.JobState_JOB_STATE_DONE)
		is.True(!answer.Unrecorded)
	})
}

// TestOwnerWithoutWitnessDoesNotRevokeWhatAPeerShows guards against a job that a peer has shown as
// done and that the owner shows as running: after a restart of all entries the owner knows no peer
// that could be its witness, and the end is not recorded yet.
func TestOwnerWithoutWitnessDoesNotRevokeWhatAPeerShows(t *testing.T) {
	for _, toldPeer := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := endUnrecorded(t)
			if toldPeer {
				ask := &jaywire.AskJob{Pool: "seats", Job: testID, Witness: true}
				is.True(w.entry.node.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskJob{AskJob: ask}}).GetJob().GetUnrecorded())
			}
			state, known, err := w.entry.node.JobState(jaycatalog.Queue{Pool: "seats"}, "", testID, 100*time.Millisecond)
			if toldPeer {
				is.Equal(verdictOf(t, err), jayverdict.NotRun)
				return
			}
			is.NoErr(err)
			is.True(known)
			is.Equal(state, jaysched.Running)
		})
	}
}

// endUnrecorded returns the owner of a pool whose only job has ended while the store did not record
// progress.
func endUnrecorded(t *testing.T) *poolFixture {
	t.Helper()
	w := newPoolFixture(t, 1)
	w.entry.node.pools["seats"] = w.duty
	w.refreshClaimsFor(time.Second)
	w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
	ended := map[string][]jayport.EndedRun{}
	for range 2 { // steps
		w.workers.mu.Lock()
		for id, active := range w.workers.active {
			for run := range active {
				ended[id] = append(ended[id], jayport.EndedRun{Number: int64(len(ended[id]) + 1), Run: run, Ending: jayport.EndedDone})
			}
			report := jayport.Report{Clock: w.clock(), Ended: ended[id]}
			w.duty.post(func(now time.Duration) { w.duty.pool.Reported(jayport.WorkerRef{ID: id}, report, now, now) })
			clear(active)
		}
		w.workers.mu.Unlock()
		w.refreshClaimsFor(500 * time.Millisecond)
	}
	return w
}
