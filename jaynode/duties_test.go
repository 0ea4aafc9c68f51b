package jaynode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// newMemberFixture returns a fixture whose entry reads its claim from the store and claims vacant duties.
func newMemberFixture(t *testing.T, silent ...string) *poolFixture {
	t.Helper()
	w := newIdlePoolFixture(t, 1, silent...)
	n := w.entry.node
	claim := jayport.Append{Partition: jayport.Partition{Topic: "owners"}, Records: []jayport.Record{w.claim.Record()}, AsOf: jayport.AnyOffset}
	if _, err := w.entry.store.store.append(claim); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.members.Start(ctx)
	t.Cleanup(func() {
		n.stopping.Store(true)
		cancel()
		n.endDuties()
		n.duties.Wait()
		time.Sleep(20 * time.Second) // lets pending calls return
	})
	time.Sleep(2 * time.Second)
	w.duty = n.ownedPool("seats")
	return w
}

// restart ends the pool's duty by itself and waits until it has been started again.
func (w *poolFixture) restart() {
	w.duty.end("test")
	time.Sleep(2 * time.Second)
	w.duty = w.entry.node.ownedPool("seats")
}

// Guards against a cancellation that is acknowledged and lost: the pool's duty ended by itself and was
// started again under the same claim, and the store took its first append for one of its former self.
func TestRestartedDutyRecordsItsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMemberFixture(t)
		is.True(w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: testID}).Owned)
		w.restart()
		const unknown = "00000000000000ff"
		is.True(w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: unknown}).Owned)
		is.True(newestOf(w, topicProgress, jobKey("seats", unknown)) != nil)
	})
}

// Guards against a call of the duty's former self that cannot be told from one of its own.
func TestRestartedDutyHasItsOwnFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMemberFixture(t)
		former := w.duty.claim
		w.restart()
		is.True(w.duty.claim.Fence > former.Fence)
		is.True(w.duty.claim.Term > former.Term)
	})
}

func TestRestartedDutyWaitsForItsFormerRuns(t *testing.T) {
	// Guards against running a task twice: the duty of a pool's first owner ended by itself and
	// was started again, and did not wait for the runs that it had started on a worker that does
	// not answer.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMemberFixture(t, "w1")
		starts, _ := w.workers.counts()
		is.Equal(starts, 2)
		w.workers.mu.Lock()
		w.workers.silent = map[string]bool{"w0": true}
		w.workers.mu.Unlock()
		w.restart()
		time.Sleep(2 * time.Second)
		starts, _ = w.workers.counts()
		is.Equal(starts, 2)
	})
}
