package jaynode

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayfleet"
	"jaythread/jayowner"
	"jaythread/jayport"
)

// checkFenceOrder checks that no host received a lower fence after a higher one.
func checkFenceOrder(t *testing.T, commands []sentCommand) {
	t.Helper()
	highest := map[string]sentCommand{}
	for _, a := range commands {
		before, seen := highest[a.host]
		if seen && a.fence < before.fence {
			t.Errorf("%s: fence %d at %v after fence %d at %v", a.host, a.fence, a.at, before.fence, before.at)
		}
		if !seen || a.fence > before.fence {
			highest[a.host] = a
		}
	}
}

// fencesOf returns the distinct fences of commands in ascending order.
func fencesOf(commands []sentCommand) []int64 {
	var fences []int64
	for _, a := range commands {
		fences = append(fences, a.fence)
	}
	slices.Sort(fences)
	return slices.Compact(fences)
}

// takeoverScenario is a fleet whose first owner meets a fault while it sends commands,
// and is replaced a moment later.
type takeoverScenario struct {
	// fault is injected into the first owner's entry.
	fault func(*testEntry)
	// replacedAfter is the delay between the fault and the second owner's claim.
	replacedAfter time.Duration
}

// run runs both owners for some seconds, through a wave over all hosts, and returns the
// commands that reached the inventory.
func (r takeoverScenario) run(t *testing.T) []sentCommand {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	store, hosts := newSharedStore(), newSharedHosts(clock, map[string]int{"standby": 40})
	first, second := newTestEntry(t, "e1", store, hosts, clock), newTestEntry(t, "e2", store, hosts, clock)
	var names []string
	for name := range hosts.hosts {
		names = append(names, name)
	}
	for _, e := range []*testEntry{first, second} {
		e.node.declarations.addWave(jayport.Wave{Name: "1", Hosts: names, Within: 20 * time.Second, MaxAtOnce: 8})
	}
	former := newFleetDuty(first.node, first.claim(jayowner.Fleet, 1, 1))
	first.node.duties.Go(former.run)
	time.Sleep(700 * time.Millisecond)
	r.fault(first)
	time.Sleep(r.replacedAfter)
	next := newFleetDuty(second.node, second.claim(jayowner.Fleet, 6, 2))
	second.node.duties.Go(next.run)
	time.Sleep(6 * time.Second)
	former.cancel()
	next.cancel()
	first.store.set(func(w *faultyStore) { w.unreachable, w.loseAnswers, w.refuse = false, false, false })
	first.node.duties.Wait()
	second.node.duties.Wait()
	time.Sleep(10 * time.Second) // lets pending calls return
	return hosts.sent()
}

func TestReplacedOwnerSendsNoStaleCommands(t *testing.T) {
	// Guards against a command with a lower fence that reaches a host after one with a
	// higher fence, for an inventory that does not check fences. The first owner was cut
	// off or paused between deciding, recording and sending a command, another entry took
	// the fleet over, and the first owner sent its command although it was not recorded.
	faults := map[string]func(*testEntry){
		"the store is unreachable":                       func(e *testEntry) { e.store.set(func(w *faultyStore) { w.unreachable = true }) },
		"the store rejects all calls":                    func(e *testEntry) { e.store.set(func(w *faultyStore) { w.refuse = true }) },
		"answers of the store are lost":                  func(e *testEntry) { e.store.set(func(w *faultyStore) { w.loseAnswers = true }) },
		"appends arrive late":                            func(e *testEntry) { e.store.set(func(w *faultyStore) { w.requestDelay = 300 * time.Millisecond }) },
		"appends may arrive after the new owner's claim": func(e *testEntry) { e.store.set(func(w *faultyStore) { w.requestDelay = 900 * time.Millisecond }) },
		"answers of the store arrive late":               func(e *testEntry) { e.store.set(func(w *faultyStore) { w.answerDelay = 350 * time.Millisecond }) },
		"commands arrive late":                           func(e *testEntry) { e.hosts.setLatency(650 * time.Millisecond) },
		"there is no fault":                              func(*testEntry) {},
	}
	for name, fault := range faults {
		for _, after := range []time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond, 1100 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", and the owner is replaced after ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					commands := takeoverScenario{fault: fault, replacedAfter: after}.run(t)
					checkFenceOrder(t, commands)
					is.New(t).Equal(fencesOf(commands), []int64{1, 6})
				})
			})
		}
	}
}

func TestTakeoverFencesFormerOwner(t *testing.T) {
	// Guards against a command that the new owner has not read: the former owner recorded
	// and sent it after the new owner had read the records. The new owner fences the
	// former one's producer before it reads.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store, hosts := newSharedStore(), newSharedHosts(clock, nil)
		first, second := newTestEntry(t, "e1", store, hosts, clock), newTestEntry(t, "e2", store, hosts, clock)
		for _, duty := range []jayowner.Duty{jayowner.Fleet, jayowner.PoolDuty("seats")} {
			former := jayport.Append{Partition: jayport.Partition{Topic: "fleet"}, Records: []jayport.Record{{Key: "host/m1"}}, AsOf: jayport.AnyOffset}
			former.Producer = &jayport.Producer{Name: string(duty), Epoch: 1, Sequence: 1}
			if pool, isPool := duty.Pool(); isPool {
				former.Partition.Topic = topicProgress
				_, err := first.store.Append(former, time.Second)
				is.NoErr(err)
				next := newPoolDuty(second.node, pool, second.claim(duty, 6, 2))
				is.True(next.takeOver())
				next.cancel()
			} else {
				_, err := first.store.Append(former, time.Second)
				is.NoErr(err)
				_, ok := newFleetDuty(second.node, second.claim(duty, 6, 2)).takeOver()
				is.True(ok)
			}
			former.Producer.Sequence++
			_, err := first.store.Append(former, time.Second)
			var fenced *jayport.FencedError
			is.True(errors.As(err, &fenced))
		}
		second.node.duties.Wait()
	})
}

func TestDutyEndsWhenHostRejectsItsFence(t *testing.T) {
	// Guards against a replaced owner that keeps calling the inventory, which rejects
	// each call. The owner is cut off from the store and its peers, but not from the
	// inventory; a rejection for a lower fence must end its duty instead of failing one
	// command.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		for reason, ends := range map[jayport.HostReason]bool{jayport.HostFenced: true, jayport.HostBusy: false} {
			duty := newFleetDuty(e.node, e.claim(jayowner.Fleet, 1, 1))
			_, ok := duty.takeOver()
			is.True(ok)
			duty.commandAnswered("m1", &jayport.HostError{Reason: reason})
			duty.step(nil)
			is.Equal(duty.ctx.Err() != nil, ends)
			duty.cancel()
		}
	})
}

func TestAwaitRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		duty := newFleetDuty(e.node, e.claim(jayowner.Fleet, 1, 1))
		defer duty.cancel()
		outcome := make(chan error, 1)
		outcome <- nil
		state, err := duty.awaitRecord(outcome)
		is.NoErr(err)
		is.Equal(state, jayfleet.Recorded)
		outcome <- &jayport.FencedError{}
		state, err = duty.awaitRecord(outcome)
		is.True(err != nil)
		is.Equal(state, jayfleet.NotRecorded)
		state, err = duty.awaitRecord(outcome)
		is.NoErr(err)
		is.Equal(state, jayfleet.RecordPending)
	})
}

// Guards against commands of a replaced owner that the next one does not know: their record was refused
// since the owner is fenced, and they are sent before the duty ends.
func TestCommandsWithAFencedRecordAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.node.settings.FencesChecked = true
		duty := newFleetDuty(e.node, e.claim(jayowner.Fleet, 1, 1))
		_, ok := duty.takeOver()
		is.True(ok)
		next := jayport.Append{Partition: jayport.Partition{Topic: topicFleet}, AsOf: jayport.AnyOffset, Producer: &jayport.Producer{Name: string(jayowner.Fleet), Epoch: 6}}
		_, err := e.store.store.append(next)
		is.NoErr(err)
		var sent atomic.Bool
		duty.recordAndSend("m1", clock()+time.Second, func() error { sent.Store(true); return nil })
		var fenced *jayport.FencedError
		is.True(errors.As(duty.journal.Run(duty.ctx), &fenced)) // the duty ends after this
		synctest.Wait()
		is.True(!sent.Load())
		duty.cancel()
	})
}
