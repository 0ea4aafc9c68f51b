package jaynode

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jayverdict"
)

// onePartition has one partition for each topic; an intake needs no other formats.
type onePartition struct{ testFormats }

func (onePartition) OwnPartitions() int { return 1 }

func (onePartition) Own(topic string, number int) jayport.Partition {
	return jayport.Partition{Topic: topic, Number: number}
}

func TestStoreAtOwnerSkipsSuspectedOwner(t *testing.T) {
	// Guards against submissions that take a second and a half after the host of a pool's
	// owner stops answering: until another entry owned the pool, each job was still sent
	// to the owner, although it had not answered a ping.
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	addr := silent.Addr().String()
	n := New(Settings{Entry: "e1", PeerAddr: "127.0.0.1:1"}, Ports{Formats: onePartition{}}, logr.Discard())
	claims := jayowner.NewTable()
	is.NoErr(claims.Apply(jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Incarnation: "e2-x", PeerAddr: addr, Term: 1}.Record()))
	n.members.Owners.Publish(&jaymember.View{Table: claims})
	n.members.Liveness.RecordOutcome("e2-x", jaypeer.ErrGone)
	began := time.Now()
	final, outcome := n.intake.storeAtOwner(&jayspec.Job{Pool: "seats", ID: "j"}, nil, 3*time.Second, time.Second)
	is.True(errors.Is(outcome, jayport.ErrRejected))
	is.True(!final) // the entry stores the job itself
	is.True(time.Since(began) < 100*time.Millisecond)
}

func TestStoreAtOwnerReturnsWhenOwnerIsSuspected(t *testing.T) {
	// Guards against callers without an answer when an owner's host loses power during
	// their requests. The request was waited for until it timed out, although pings had
	// failed meanwhile, and no time was left to store the job directly. In one outage 62
	// callers waited for two seconds each; the next owner was known after 1.5 s.
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	n := New(Settings{Entry: "e1", PeerAddr: "127.0.0.1:1"}, Ports{Formats: onePartition{}}, logr.Discard())
	claim := jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Incarnation: "e2-x", PeerAddr: silent.Addr().String(), Term: 1}
	claims := jayowner.NewTable()
	is.NoErr(claims.Apply(claim.Record()))
	n.members.Owners.Publish(&jaymember.View{Table: claims})
	began := time.Now()
	go func() {
		time.Sleep(100 * time.Millisecond)
		n.members.Liveness.RecordOutcome("e2-x", jaypeer.ErrGone)
	}()
	final, outcome := n.intake.storeAtOwner(&jayspec.Job{Pool: "seats", ID: "j"}, nil, 3*time.Second, time.Second)
	is.True(errors.Is(outcome, jayport.ErrNoAnswer))
	is.True(!final) // the entry stores the job itself
	is.True(time.Since(began) < time.Second)
}

// verdictOf returns the verdict of a rejection.
func verdictOf(t *testing.T, err error) jayverdict.Verdict {
	t.Helper()
	var refusal *jayverdict.Error
	is.New(t).True(errors.As(err, &refusal))
	return refusal.Verdict
}

// submitWithLostAnswers submits a job while the store accepts appends and all its answers
// are lost. If after is not zero, the job follows another one after that time. It returns
// whether the store has the job in the end, and the error that the caller got.
func submitWithLostAnswers(t *testing.T, after time.Duration) (stored bool, err error) {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
	e.setClaims()
	ctx, cancel := context.WithCancel(context.Background())
	e.node.intake.start(ctx)
	e.store.set(func(w *faultyStore) { w.loseAnswers = true })
	if after > 0 {
		go func() { _ = e.node.Submit(jobOf("00000000000000aa", time.Millisecond), 500*time.Millisecond) }()
		time.Sleep(after)
	}
	err = e.node.Submit(jobOf(testID, time.Second), 2*time.Second)
	e.store.set(func(w *faultyStore) { w.loseAnswers = false })
	time.Sleep(20 * time.Second) // lets pending calls return
	cancel()
	e.node.duties.Wait()
	for _, r := range e.store.store.latest(jayport.Partition{Topic: topicJobs}, "").Records {
		stored = stored || r.Key == jobKey("seats", testID)
	}
	return stored, err
}

func TestSubmitVerdictsAfterLostAnswers(t *testing.T) {
	// Guards against answering that a job was not accepted although it runs.
	synctest.Test(t, func(t *testing.T) {
		// The store accepts the job and its answers are lost until the caller's deadline.
		// An append in flight must not be taken for a withdrawn one.
		is := is.New(t)
		stored, err := submitWithLostAnswers(t, 0)
		is.Equal(verdictOf(t, err), jayverdict.MayHaveRun)
		is.True(stored)
	})
	synctest.Test(t, func(t *testing.T) {
		// A job behind an append without an answer is not sent, so that the rejection is
		// correct.
		is := is.New(t)
		stored, err := submitWithLostAnswers(t, 50*time.Millisecond)
		is.Equal(verdictOf(t, err), jayverdict.NotRun)
		is.True(!stored)
	})
	t.Run("a job sent to a silent owner may have run although the entry's own append is rejected", func(t *testing.T) {
		// The pool's owner is asked to store the job and stops answering; the entry's own
		// append is then rejected. The unknown outcome of the first request must be
		// returned, not the second outcome.
		is := is.New(t)
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = silent.Close() }()
		clock := jayclock.Boot
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.store.set(func(w *faultyStore) { w.refuse = true })
		claims := jayowner.NewTable()
		is.NoErr(claims.Apply(jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Incarnation: "e2-x", PeerAddr: silent.Addr().String(), Term: 1}.Record()))
		e.node.members.Owners.Publish(&jaymember.View{Table: claims, AsOf: clock(), AnsweredAt: clock()})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		e.node.intake.start(ctx)
		go func() {
			time.Sleep(100 * time.Millisecond)
			e.node.members.Liveness.RecordOutcome("e2-x", jaypeer.ErrGone)
		}()
		is.Equal(verdictOf(t, e.node.Submit(jobOf(testID, time.Millisecond), 2*time.Second)), jayverdict.MayHaveRun)
	})
}

// TestStoreWithoutNewClaimsIsReachable guards against entries that reject jobs for a fifth of the
// time while a pool has no owner: a read of the claims without a new one is answered after a
// second, so that the claims are known as of up to two seconds ago.
func TestStoreWithoutNewClaimsIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.node.members.Owners.Publish(&jaymember.View{Table: jayowner.NewTable(), AsOf: clock() - jaymember.ClaimsWait, AnsweredAt: clock()})
		time.Sleep(jaymember.ClaimsWait)
		is.True(!e.node.intake.storeUnreachable())
		time.Sleep(storeSilenceLimit)
		is.True(e.node.intake.storeUnreachable())
	})
}
