package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// Guards against a task that two owners start: the takeover took seconds, and the former owner was
// confirmed, and renewed leases, until the next one had fenced it.
func TestFormerLeasesAreAwaitedFromTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2, "w1")
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		w.start(t)
		w.refreshClaimsFor(5 * time.Second)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
		w.refreshClaimsFor(ownershipTimeout + leaseTime)
		starts, _ := w.workers.counts()
		is.Equal(starts, 0)
		w.refreshClaimsFor(7 * time.Second)
		starts, _ = w.workers.counts()
		is.Equal(starts, 2)
	})
}

// Guards against a job that two owners begin: the next one stores it while it waits for the takeover
// delay, and the former one, which relies on that delay, finds it and begins it.
func TestJobStoredDuringTheTakeoverDelayIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2, "w1")
		value, err := proto.Marshal(&jaywire.TakeoverDelay{Millis: 600})
		is.NoErr(err)
		_, err = w.entry.store.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, AsOf: jayport.AnyOffset,
			Records: []jayport.Record{{Key: jobKey("seats", takeoverDelayKey), Value: value}}})
		is.NoErr(err)
		w.entry.node.pools["seats"] = w.duty
		w.entry.node.intake.start(w.duty.ctx)
		w.start(t)
		time.Sleep(300 * time.Millisecond)
		is.NoErr(w.entry.node.intake.store("seats", lateID, "", lateJob(t, ""), time.Second, 0))
		w.refreshClaimsFor(5 * time.Second)
		is.Equal(w.workers.startsOf(lateID), 0)
		w.refreshClaimsFor(formerLeaseWait)
		is.Equal(w.workers.startsOf(lateID), 1)
	})
}
