package jaynode

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// rejectingEntry is an entry that owns a pool whose goroutine processes events only while it
// answers. The pool has one worker and waiting work for half a minute.
type rejectingEntry struct {
	*testEntry
	duty *poolDuty
}

func newRejectingEntry(t *testing.T) *rejectingEntry {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
	e.node.settings.Overload.RejectHopeless = true
	claim := e.claim(jayowner.PoolDuty("seats"), 1, 1)
	e.setClaims(claim)
	r := &rejectingEntry{testEntry: e, duty: newPoolDuty(e.node, "seats", claim)}
	r.duty.loaded.Store(true)
	e.node.pools["seats"] = r.duty
	r.duty.pool.Listed([]jayport.Worker{{ID: "w", Addr: "w", Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 1000, MemoryMegabytes: 9000}}}, clock())
	job := jobOf("learned", 10*time.Millisecond)
	job.Steps[0].Tasks = 40
	r.duty.pool.Declare(job, clock())
	r.pass(4*time.Second, true)
	for n := range 300 {
		r.duty.pool.Declare(jobOf(fmt.Sprint("waiting", n), time.Second), clock())
	}
	r.pass(3*time.Second, false)
	return r
}

// pass lets time pass; the worker ends each run within a step, or none.
func (r *rejectingEntry) pass(d time.Duration, ends bool) {
	var active []jayport.ActiveRun
	number, worker := int64(r.node.clock()), jayport.WorkerRef{ID: "w", Addr: "w"}
	for until := r.node.clock() + d; r.node.clock() < until; time.Sleep(50 * time.Millisecond) {
		now := r.node.clock()
		r.duty.pool.SetConfirmedAt(now)
		r.duty.pool.SetArriving(nil, now)
		report := jayport.Report{Clock: now}
		for _, action := range r.duty.pool.Decide(now) {
			start, ok := action.(jaysched.StartRun)
			switch {
			case ok && !ends:
				active = append(active, jayport.ActiveRun{Run: start.Order.Run, Speed: 100})
			case ok:
				number++
				report.Ended = append(report.Ended, jayport.EndedRun{Number: number, Run: start.Order.Run, Ending: jayport.EndedDone})
			}
		}
		report.Active = active
		r.duty.pool.Reported(worker, report, now, now)
	}
}

// answer processes the events of the pool's duty for a time.
func answer(duty *poolDuty, d time.Duration) {
	clock := duty.node.clock
	for until := clock() + d; clock() < until; time.Sleep(time.Millisecond) {
		for handle, ok := duty.inbox.Take(); ok; handle, ok = duty.inbox.Take() {
			handle(clock())
		}
	}
}

func TestHopelessJobIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRejectingEntry(t)
		go answer(r.duty, time.Second)
		job := jobOf(testID, time.Second)
		value, err := encodeJob(job)
		is.NoErr(err)
		stored := r.node.intake.storeFor(&jaywire.StoreJob{Pool: "seats", Job: testID, Declaration: value, TimeoutMillis: 1000})
		is.True(stored.Hopeless)
		is.True(stored.RetryAfterMillis >= 1000)
		is.Equal(stored.Outcome, jaywire.StoreOutcome_STORE_OUTCOME_NOT_DONE) // for an entry of an earlier version
		var refusal *jayverdict.Error
		is.True(errors.As(r.node.intake.submit(job, time.Second), &refusal)) // this entry owns the pool
		is.Equal(refusal.Status, statusTooMany)
		is.Equal(refusal.Verdict, jayverdict.NotRun)
		is.True(refusal.RetryAfter >= time.Second)
		is.Equal(len(r.store.store.latest(jayport.Partition{Topic: topicJobs}, "").Records), 0)
		is.Equal(r.duty.pool.Places(), 1)
		time.Sleep(time.Second)

		// Guards against a rejection by an owner that has just taken over, whose view of the pool is
		// incomplete. The places were lost with the former owner.
		r.duty = newPoolDuty(r.node, "seats", r.claim(jayowner.PoolDuty("seats"), 2, 2))
		r.duty.loaded.Store(true)
		r.node.pools["seats"] = r.duty
		go answer(r.duty, time.Second)
		is.NoErr(r.node.intake.admit("seats", testID, value))
		is.Equal(r.duty.pool.Places(), 0)
		time.Sleep(time.Second)
	})
}

func TestPoolThatDoesNotAnswerRejectsNothing(t *testing.T) {
	// Guards against submissions that wait for a pool that is too busy to decide, and against a
	// place for a job that is being stored.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRejectingEntry(t)
		value, err := encodeJob(jobOf(testID, time.Second))
		is.NoErr(err)
		began := r.node.clock()
		is.NoErr(r.node.intake.admit("seats", testID, value))
		is.True(r.node.clock()-began <= admitTimeout)
		answer(r.duty, 100*time.Millisecond)
		is.Equal(r.duty.pool.Places(), 0)
		// Guards against "not run" for a job that the first request may still store.
		r.pass(6*time.Second, false)
		go answer(r.duty, time.Second)
		err = r.node.intake.admit("seats", testID, value)
		time.Sleep(2 * time.Second)
		is.NoErr(err)
	})
}

func TestDemandWithoutArrivingHostsRejectsNothing(t *testing.T) {
	// Guards against a fleet's owner of an earlier version, or with the part off: its message lacks
	// the hosts that are on their way.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRejectingEntry(t)
		r.setClaims(r.duty.claim, r.claim(jayowner.Fleet, 2, 2))
		value, err := encodeJob(jobOf(testID, time.Second))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		rejects := func(arriving []*jaywire.ArrivingHost) bool {
			go answer(r.duty, 100*time.Millisecond)
			is.True(r.node.demandOwned(&jaywire.AskDemand{Pool: "seats", Fence: 2, Arriving: arriving}).Owned)
			time.Sleep(200 * time.Millisecond)
			r.duty.pool.SetConfirmedAt(r.node.clock())
			r.duty.pool.Decide(r.node.clock())
			go answer(r.duty, 100*time.Millisecond)
			err := r.node.intake.admit("seats", testID, value)
			time.Sleep(200 * time.Millisecond)
			return err != nil
		}
		is.True(!rejects(nil))
		r.duty.pool.AppendEnded(testID)
		is.True(rejects(encodeArriving(nil)))
	})
}
