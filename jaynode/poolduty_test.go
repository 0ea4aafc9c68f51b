package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayjournal"
	"jaythread/jayowner"
	"jaythread/jayownership"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// poolFixture is the owner of a pool with two workers and one submitted job.
type poolFixture struct {
	clock   jayclock.Clock
	entry   *testEntry
	workers *fakeWorkers
	duty    *poolDuty
	claim   jayowner.Claim
}

func newPoolFixture(t *testing.T, term int64, silent ...string) *poolFixture {
	t.Helper()
	return newIdlePoolFixture(t, term, silent...).start(t)
}

// newIdlePoolFixture returns a fixture whose owner is not started yet.
func newIdlePoolFixture(t *testing.T, term int64, silent ...string) *poolFixture {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	store := newSharedStore()
	hosts := newSharedHosts(clock, nil)
	for _, id := range []string{"w0", "w1"} {
		hosts.hosts[id] = jayport.Host{Name: id, Pool: "seats", State: jayport.HostUp, Worker: id}
	}
	w := &poolFixture{clock: clock, entry: newTestEntry(t, "e1", store, hosts, clock)}
	w.workers = newFakeWorkers(clock, silent...)
	w.entry.node.ports.Workers = w.workers
	job := jayport.Append{Partition: jayport.Partition{Topic: topicJobs}, Records: []jayport.Record{{Key: jobKey("seats", testID), Value: storedJob(t)}}, AsOf: jayport.AnyOffset}
	if _, err := store.append(job); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"w0", "w1"} {
		w.entry.node.heartbeats.workers[id] = jayport.Worker{ID: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 4000}}
	}
	w.entry.node.heartbeats.asOf = clock()
	w.claim = w.entry.claim(jayowner.PoolDuty("seats"), 1, term)
	w.duty = newPoolDuty(w.entry.node, "seats", w.claim)
	return w
}

func (w *poolFixture) start(t *testing.T) *poolFixture {
	w.refreshClaims()
	w.entry.node.duties.Go(w.duty.run)
	t.Cleanup(func() {
		w.duty.cancel()
		w.entry.node.duties.Wait()
		time.Sleep(20 * time.Second) // lets pending calls return
	})
	return w
}

// refreshClaims sets claims by which the entry owns the pool as of now.
func (w *poolFixture) refreshClaims() {
	w.entry.setClaims(w.claim)
}

// refreshClaimsFor lets some time pass while the claims are refreshed.
func (w *poolFixture) refreshClaimsFor(d time.Duration) {
	for until := w.clock() + d; w.clock() < until; {
		w.refreshClaims()
		time.Sleep(500 * time.Millisecond)
	}
}

func TestTakeoverWaitsForFormerOwnersLeases(t *testing.T) {
	// Guards against running a task twice after a takeover: the former owner had started
	// it on a worker that does not answer the new owner. The new owner must wait until
	// the leases have expired that the former owner may renew before it learns of the
	// claim.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 2, "w1")
		is.True(formerLeaseWait > ownershipTimeout+leaseTime)
		w.refreshClaimsFor(ownershipTimeout + leaseTime)
		starts, _ := w.workers.counts()
		is.Equal(starts, 0)
		w.refreshClaimsFor(2 * time.Second)
		starts, _ = w.workers.counts()
		is.Equal(starts, 2)
	})
}

func TestFirstOwnerStartsTasksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPoolFixture(t, 1, "w1")
		w.refreshClaimsFor(time.Second)
		starts, _ := w.workers.counts()
		is.New(t).Equal(starts, 2)
	})
}

func TestOwnerStopsRenewingLeasesInLongStoreOutage(t *testing.T) {
	// Guards against a run of the former owner that goes on after the new owner has
	// waited for its lease to expire: an owner that was cut off from the store for longer
	// than that kept renewing its leases.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		time.Sleep(8 * time.Second)
		_, before := w.workers.counts()
		time.Sleep(1500 * time.Millisecond)
		_, within := w.workers.counts()
		is.True(within > before) // most outages are shorter
		time.Sleep(3 * time.Second)
		_, lost := w.workers.counts()
		time.Sleep(10 * time.Second)
		_, after := w.workers.counts()
		is.Equal(lost, after)
		w.entry.store.set(func(s *faultyStore) { s.unreachable = false })
		w.refreshClaimsFor(4 * time.Second)
		_, back := w.workers.counts()
		is.True(back > after)
	})
}

func TestOwnerConfirmsOwnershipForNewWorkers(t *testing.T) {
	// Guards against tasks that start a second late on each worker that joins between two
	// reads of the claims. The owner must confirm its ownership with the store at once
	// instead of waiting for the next read, and must not use the worker without the
	// confirmation, since it may have been replaced.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1, "w0", "w1")
		w.refreshClaimsFor(time.Second)
		join := func(id string) {
			w.entry.node.heartbeats.mu.Lock()
			w.entry.node.heartbeats.workers[id] = jayport.Worker{ID: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 4000}}
			w.entry.node.heartbeats.mu.Unlock()
			w.duty.workersChanged()
		}
		w.entry.store.set(func(s *faultyStore) { s.refuse = true })
		join("w2")
		time.Sleep(time.Second)
		starts, _ := w.workers.counts()
		is.Equal(starts, 0)
		w.entry.store.set(func(s *faultyStore) { s.refuse = false })
		time.Sleep(400 * time.Millisecond)
		starts, _ = w.workers.counts()
		is.Equal(starts, 2)
	})
}

// slowDown makes the store slow for this entry only, until its measured latency shows it.
func (w *poolFixture) slowDown(latency time.Duration) {
	w.entry.store.set(func(s *faultyStore) { s.answerDelay = latency })
	for range 8 {
		_, _ = w.entry.node.store.Append(jayport.Append{Partition: jayport.Partition{Topic: "other"}, AsOf: jayport.AnyOffset}, time.Second)
	}
}

// replace makes another entry take the pool over without this one learning of it.
func (w *poolFixture) replace(t *testing.T) {
	t.Helper()
	producer := jayport.Producer{Name: string(w.claim.Duty), Epoch: w.claim.Fence + 1}
	if _, err := w.entry.store.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, Producer: &producer, AsOf: jayport.AnyOffset}); err != nil {
		t.Fatal(err)
	}
}

// join adds a worker to the list of workers.
func (w *poolFixture) join(id string) {
	w.entry.node.heartbeats.mu.Lock()
	w.entry.node.heartbeats.workers[id] = jayport.Worker{ID: id, Pool: "seats", Capacity: jaypool.Resources{ProcessorsMilli: 4000, MemoryMegabytes: 4000}}
	w.entry.node.heartbeats.mu.Unlock()
	w.duty.workersChanged()
}

// Guards against a task that two owners start: the store is slow for the former owner only, which
// took its confirmation as valid for two of its own latencies and used a worker that had joined
// after it was replaced.
func TestSlowStoreOfOneEntryDoesNotExtendItsOwnership(t *testing.T) {
	for _, c := range []struct {
		name     string
		recorded bool
		joins    time.Duration
		starts   int
	}{
		{"unless the next owner knows", false, 100 * time.Millisecond, 0},
		{"for longer than the next owner waits", true, 950 * time.Millisecond, 0},
		{"but for as long as the next owner waits", true, 100 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newPoolFixture(t, 1, "w0", "w1")
				w.refreshClaimsFor(time.Second)
				if !c.recorded {
					w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
				}
				w.slowDown(400 * time.Millisecond)
				w.refreshClaims()
				w.replace(t)
				time.Sleep(c.joins)
				w.join("w2")
				time.Sleep(time.Second)
				starts, _ := w.workers.counts()
				is.New(t).Equal(starts, c.starts)
			})
		})
	}
}

// Guards against two owners that act at the same time: the former one relies on a takeover delay, and
// the next one does not wait for it.
func TestNextOwnerWaitsForTheRecordedDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		value, err := proto.Marshal(&jaywire.TakeoverDelay{Millis: 600})
		is.NoErr(err)
		_, err = w.entry.store.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, AsOf: jayport.AnyOffset,
			Records: []jayport.Record{{Key: jobKey("seats", takeoverDelayKey), Value: value}}})
		is.NoErr(err)
		w.start(t)
		time.Sleep(600 * time.Millisecond)
		_, renews := w.workers.counts()
		is.Equal(renews, 0)
		w.refreshClaimsFor(2 * time.Second)
		starts, _ := w.workers.counts()
		is.Equal(starts, 2)
		is.Equal(newestOf(w, topicProgress, jobKey("seats", takeoverDelayKey)), nil) // the store is fast
	})
}

// Guards against a task that two owners start: the store is slow for the former owner, which goes on
// for longer than the next one waits for its leases.
func TestSlowStoreDoesNotExtendTheOwnershipTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		w.slowDown(400 * time.Millisecond)
		w.refreshClaims()
		w.entry.store.set(func(s *faultyStore) { s.unreachable = true })
		time.Sleep(ownershipTimeout + 100*time.Millisecond)
		_, before := w.workers.counts()
		time.Sleep(3 * time.Second)
		_, after := w.workers.counts()
		w.entry.store.set(func(s *faultyStore) { s.unreachable, s.answerDelay = false, 0 })
		is.Equal(before, after)
	})
}

func TestClaimsOfOtherOwnersDoNotConfirmOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuse = true })
		other := w.claim
		other.Incarnation = "e2-x"
		for range 24 {
			w.entry.setClaims(w.claim, other)
			time.Sleep(500 * time.Millisecond)
		}
		_, before := w.workers.counts()
		time.Sleep(2 * time.Second)
		_, after := w.workers.counts()
		is.Equal(before, after)
		w.entry.store.set(func(s *faultyStore) { s.refuse = false })
	})
}

func TestPauseIsDetectedBeforeQueriesAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1, "w0", "w1")
		w.refreshClaimsFor(time.Second)
		w.entry.node.pools["seats"] = w.duty
		w.entry.store.set(func(s *faultyStore) { s.refuse = true })
		is.True(w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID}).Owned)
		pause := make(chan struct{})
		w.duty.post(func(time.Duration) { <-pause }) // pauses the duty's goroutine
		time.Sleep(3 * time.Second)
		answered := make(chan bool, 1)
		go func() { answered <- w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID}).Owned }()
		time.Sleep(time.Millisecond)
		close(pause)
		is.True(!<-answered) // asked during the pause
		is.True(!w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID}).Owned)
		w.entry.store.set(func(s *faultyStore) { s.refuse = false })
		w.refreshClaimsFor(time.Second)
		is.True(w.entry.node.askOwned(&jaywire.AskJob{Pool: "seats", Job: testID}).Owned)
	})
}

func TestProgressIsRecordedAfterJournalWasFull(t *testing.T) {
	// Guards against an owner that records nothing any more: its journal was full once, and it
	// believed that the refused batch was on its way.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuse = true })
		entry := func() *jayjournal.Entry { return jayjournal.NewEntry(nil, func(error) {}) }
		for w.duty.journal.Add(entry()) == nil {
			time.Sleep(time.Microsecond) // the journal takes the first entries
		}
		recorded := false
		is.True(w.duty.ask(func() { w.duty.pool.Cancel(testID, w.clock()) }, time.Second))
		time.Sleep(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuse = false })
		w.refreshClaimsFor(2 * time.Second)
		is.True(w.duty.ask(func() { recorded = w.duty.pool.Recorded(testID) }, time.Second))
		is.True(recorded)
	})
}

// Guards against an end that is acknowledged and not recorded: the progress of its job cannot be encoded.
func TestBatchThatCannotBeEncodedIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		batch := &jaysched.Batch{Progress: map[string]*jaywire.JobProgress{testID: {Organisation: "\xff"}, "other": {}}}
		records, err := w.duty.progressRecords(batch)
		is.True(err != nil)
		is.Equal(len(records), 0)
	})
}

func TestSurveyBeforeTakeoverDoesNotEndTheWait(t *testing.T) {
	// Guards against two runs of a task at the same time: the former owner starts a task on a
	// worker that has just joined, and the fleet's owner passes the next owner an inventory that
	// it read before that.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		surveyed := w.clock() - 100*time.Millisecond
		hosts := w.entry.hosts.hosts
		hosts.hosts["w2"] = jayport.Host{Name: "w2", Pool: "seats", State: jayport.HostUp, Worker: "w2"}
		w.entry.node.pools["seats"] = w.duty
		w.start(t)
		w.entry.setClaims(w.claim, w.entry.claim(jayowner.Fleet, 2, 1))
		survey := func(at time.Duration) {
			is.True(w.entry.node.demandOwned(&jaywire.AskDemand{
				Pool: "seats", Fence: 2, Surveyed: true, SurveyedFence: w.claim.Fence,
				SurveyedAtMicros: at.Microseconds(), Existing: []string{"w0", "w1"},
			}).Owned)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		survey(surveyed)
		starts, _ := w.workers.counts()
		is.Equal(starts, 0)
		survey(w.clock())
		starts, _ = w.workers.counts()
		is.True(starts > 0)
	})
}

// Guards against an owner that is confirmed from the time of an answer, or later: it was replaced after the
// store had executed the append, and uses a worker that joined before the answer.
func TestAppendsConfirmUpToTheirQuestion(t *testing.T) {
	for name, ask := range map[string]func(*poolFixture){
		"without records": func(w *poolFixture) { w.join("w2") },
		"with progress": func(w *poolFixture) {
			w.duty.ask(func() { w.duty.pool.CancelUnknown(lateID, "", w.clock()) }, time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newPoolFixture(t, 1, "w0", "w1", "w2")
				w.refreshClaimsFor(time.Second)
				w.entry.store.set(func(s *faultyStore) { s.answerDelay = jayownership.SlowStoreLatency - 10*time.Millisecond })
				ask(w)
				time.Sleep(2 * poolTick)
				w.replace(t)
				w.join("w3")
				time.Sleep(time.Second)
				starts, _ := w.workers.counts()
				is.New(t).Equal(starts, 0)
				w.entry.store.set(func(s *faultyStore) { s.answerDelay = 0 })
			})
		})
	}
}
