package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaycatalog"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// TestUnrecordedEndIsShownToNobody guards against a job that is shown as done and runs again: its end was
// known to its owner, its worker and the entry that showed it, and all three were lost.
func TestUnrecordedEndIsShownToNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := endUnrecorded(t)
		noOrganisation := ""
		wantShown := func(want jaysched.State) {
			t.Helper()
			state, known, err := w.entry.node.JobState(jaycatalog.Queue{Pool: "seats"}, "", testID, 100*time.Millisecond)
			is.NoErr(err)
			is.True(known)
			is.Equal(state, want)
			for _, organisation := range []*string{nil, &noOrganisation} { // an entry of an earlier version sends none
				ask := &jaywire.AskJob{Pool: "seats", Job: testID, Organisation: organisation}
				answer := w.entry.node.handlePeer(&jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskJob{AskJob: ask}}).GetJob()
				is.True(answer.Owned)
				is.Equal(stateOf(answer.State), want)
			}
		}
		wantShown(jaysched.Running)
		w.refreshClaimsFor(2 * time.Second)
		wantShown(jaysched.Running)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = "" })
		w.refreshClaimsFor(time.Second)
		wantShown(jaysched.StateDone)
	})
}

// endUnrecorded returns the owner of a pool whose only job has ended while the store did not record
// progress.
func endUnrecorded(t *testing.T) *poolFixture {
	t.Helper()
	w := newPoolFixture(t, 1)
	w.entry.node.pools["seats"] = w.duty
	w.refreshClaimsFor(time.Second)
	w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
	w.endSteps(2)
	return w
}

// endSteps ends the runs of some steps, one step after the other.
func (w *poolFixture) endSteps(steps int) {
	ended := map[string][]jayport.EndedRun{}
	for range steps {
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
}
