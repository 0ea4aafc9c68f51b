package jaynode

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jaypool"
	"jaythread/jayspec"
	"jaythread/jayverdict"
)

// jobOf returns a job of one step with the given estimate, a stretch of 1.6 and an
// objective of 600 ms.
func jobOf(id string, takes time.Duration) *jayspec.Job {
	return &jayspec.Job{
		ID: id, Queue: "q", Pool: "seats", Accepted: time.Now(),
		Policy: jayspec.Policy{Stretch: 1.6, Objective: 600 * time.Millisecond, Attempts: 3},
		Steps:  []jayspec.Step{{Tasks: 1, Estimate: takes, Need: jaypool.Resources{ProcessorsMilli: 100, MemoryMegabytes: 100}}},
	}
}

func TestOutageWait(t *testing.T) {
	is := is.New(t)
	is.Equal(outageWaitOf(jobOf("j", time.Second), 3*time.Second), 1200*time.Millisecond)
	is.Equal(outageWaitOf(jobOf("j", 5*time.Second), 3*time.Second), 1350*time.Millisecond) // limited by the caller's deadline
	is.Equal(outageWaitOf(jobOf("j", 0), 3*time.Second), 600*time.Millisecond)
	is.Equal(remainingWait(time.Second, time.Second), time.Second)
	is.Equal(remainingWait(6*time.Second, time.Second), time.Duration(0))
	is.Equal(retryAfter(0), time.Second)
	is.Equal(retryAfter(3*time.Second), 3*time.Second)
	is.Equal(retryAfter(time.Minute), 5*time.Second)
}

// submitDuringFault starts a fault of an entry's store, submits a job after the time
// before, and ends the fault after the further time after. It returns the answer to the
// caller and how long it took.
func submitDuringFault(t *testing.T, takes, before, after time.Duration, fault func(*faultyStore, bool)) (took time.Duration, err error) {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
	e.setClaims()
	ctx, cancel := context.WithCancel(context.Background())
	e.node.intake.start(ctx)
	e.store.set(func(w *faultyStore) { fault(w, true) })
	go func() { _ = e.node.Submit(jobOf("00000000000000aa", time.Millisecond), 500*time.Millisecond) }()
	time.Sleep(before)
	go func() {
		time.Sleep(after)
		e.store.set(func(w *faultyStore) { fault(w, false) })
	}()
	go func() {
		// The fault also blocks reads of the claims. Without fresh claims the entry would
		// treat the store as unreachable and not append at all.
		for range 100 {
			e.setClaims()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	began := clock()
	err = e.node.Submit(jobOf(testID, takes), 2850*time.Millisecond)
	took = clock() - began
	cancel()
	time.Sleep(after + 20*time.Second) // lets pending calls return
	e.node.duties.Wait()
	return took, err
}

func TestSubmitDuringStoreOutage(t *testing.T) {
	silent := func(w *faultyStore, on bool) { w.unreachable = on }
	busy := func(w *faultyStore, on bool) { w.refuse = on }
	refused := func(err error) *jayverdict.Error {
		var refusal *jayverdict.Error
		if errors.As(err, &refusal) && refusal.Verdict == jayverdict.NotRun {
			return refusal
		}
		return nil
	}
	for name, fault := range map[string]func(*faultyStore, bool){"the store is silent": silent, "the store rejects all calls": busy} {
		t.Run("a job is accepted after a short outage in which "+name, func(t *testing.T) {
			// Guards against losing jobs in a short outage: each job was rejected at
			// once, and its caller gave up after four retries within 2.5 s. A fifth of
			// the jobs of a burst were lost in an outage of two seconds, although they
			// could still have been done in time.
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				took, err := submitDuringFault(t, time.Second, time.Second, 700*time.Millisecond, fault)
				is.NoErr(err)
				is.True(took < 1700*time.Millisecond)
			})
		})
		t.Run("a job that would finish late is refused in an outage in which "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				took, err := submitDuringFault(t, time.Second, time.Second, time.Minute, fault)
				is.True(refused(err) != nil)
				is.True(refused(err).RetryAfter >= time.Second)
				is.True(took < 1400*time.Millisecond)
			})
		})
		t.Run("a job is refused at once in a long outage in which "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				took, err := submitDuringFault(t, time.Second, 8*time.Second, time.Minute, fault)
				is.True(refused(err) != nil)
				is.True(took < 200*time.Millisecond)
				is.True(refused(err).RetryAfter >= 5*time.Second)
			})
		})
	}
}
