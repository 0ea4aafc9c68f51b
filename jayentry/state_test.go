package jayentry

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayplatform"
	"jaythread/jaystandin"
	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// inForceWithin waits in fake time until all live entries have a revision.
func (w *world) inForceWithin(revision uint64, bound time.Duration) bool {
	for waited := time.Duration(0); waited <= bound; waited += time.Millisecond {
		all := true
		for _, n := range w.live() {
			all = all && n.revision() >= revision
		}
		if all {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	inWorld(t, 8, func(w *world) {
		is := is.New(w.t)
		outcome := w.publish(3, worldDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestLostAnswerOfAppend(t *testing.T) {
	// Symptom: an operator is told that a change failed, tries again, and is
	// refused by its own change.
	// Sequence: the append takes effect; its answer is lost.
	// Cause: an append without an answer was taken for one without effect.
	inWorld(t, 3, func(w *world) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{LoseAnswers: 3})
		outcome := w.publish(0, worldDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestOperatorsRaceThroughTheLog(t *testing.T) {
	inWorld(t, 3, func(w *world) {
		is := is.New(w.t)
		replaces := w.nodes[0].revision()
		outcomes := make(chan jaystate.Outcome, 2)
		for _, n := range w.nodes[:2] {
			go func() {
				outcome, err := n.entry.Propose(publishCommand(replaces, worldDocument), 5*time.Second)
				is.NoErr(err)
				outcomes <- outcome
			}()
		}
		first, second := <-outcomes, <-outcomes
		is.True(first.Accepted() != second.Accepted())
		is.True(errors.Is(first.Err, jaystate.ErrConflict) || errors.Is(second.Err, jaystate.ErrConflict))
	})
}

func TestLogDownForAnHour(t *testing.T) {
	// Symptom: callers are refused while the platform's store is down, or a
	// burst of old plans runs when it is back.
	// Sequence: the log service is down for an hour and comes back.
	// Cause: serving that depends on the log, and proposals that pile up.
	inWorld(t, 3, func(w *world) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{Down: true})
		before := w.log.Appends(StateStream)
		for range 6 {
			time.Sleep(10 * time.Minute)
			for _, n := range w.nodes {
				is.Equal(n.read().status, 200)
				is.NoErr(n.entry.Ready())
			}
		}
		w.log.SetFaults(jaystandin.LogFaults{})
		w.settle()
		is.True(w.log.Appends(StateStream)-before < 100) // no burst
		outcome := w.publish(0, worldDocument)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestLogSlowByHundredTimes(t *testing.T) {
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{Delay: 150 * time.Millisecond})
		outcome := w.publish(1, worldDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
		is.Equal(w.nodes[2].pay("slow").status, 200)
		is.Equal(w.runsOf("slow"), 1)
	})
}

func TestEntryThatStartsWhileTheLogIsDown(t *testing.T) {
	t.Run("takes the state of a peer and serves", func(t *testing.T) {
		inWorld(t, 3, func(w *world) {
			is := is.New(w.t)
			w.log.SetFaults(jaystandin.LogFaults{Down: true})
			fresh := w.start()
			w.settle()
			is.Equal(fresh.revision(), w.nodes[0].revision())
			is.Equal(fresh.read().status, 200)
		})
	})
	t.Run("refuses as not run without a peer, and says why", func(t *testing.T) {
		inWorld(t, 1, func(w *world) {
			is := is.New(w.t)
			w.log.SetFaults(jaystandin.LogFaults{Down: true})
			w.nodes[0].kill()
			fresh := w.start()
			w.settle()
			got := fresh.read()
			is.Equal(got.status, 503)
			is.Equal(got.verdict, jayverdict.NotRun)
			is.True(fresh.entry.Ready() != nil)
		})
	})
	t.Run("refuses a damaged state", func(t *testing.T) {
		inWorld(t, 2, func(w *world) {
			is := is.New(w.t)
			snapshot, err := w.nodes[0].entry.store.Snapshot()
			is.NoErr(err)
			snapshot.Offset += 100
			snapshot.State[10] ^= 1
			_, err = w.nodes[1].entry.store.Adopt(snapshot)
			is.True(errors.Is(err, jaystate.ErrSnapshotDigest))
		})
	})
}

func TestAllEntriesAreReplaced(t *testing.T) {
	// Symptom: configuration, audit trail or a payment's claim is gone after
	// a roll-out of the entries themselves.
	// Sequence: eight entries are replaced one after another, then seven at
	// once.
	// Cause: something lived only in the entries.
	inWorld(t, 8, func(w *world) {
		is := is.New(w.t)
		revision := w.nodes[0].revision()
		is.Equal(w.nodes[0].pay("before").status, 200)
		for n := range 8 {
			w.nodes[n].kill()
			w.start()
			w.settle()
		}
		for n := 8; n < 15; n++ {
			w.nodes[n].kill()
			w.start()
		}
		w.settle()
		w.settle()
		for _, n := range w.live() {
			is.Equal(n.revision(), revision)
			is.NoErr(n.entry.Ready())
			got := n.pay("before")
			is.Equal(got.verdict, jayverdict.MayHaveRun) // its answer went with the entries
		}
		is.Equal(w.runsOf("before"), 1)
		is.Equal(w.live()[7].pay("after").status, 200)
		var published bool
		w.live()[0].entry.Read(func(s *jaystate.State) {
			for _, e := range s.Audit() {
				published = published || e.Kind == "configuration" && e.Actor == "operator"
			}
		})
		is.True(published)
		members := 0
		w.live()[0].entry.Read(func(s *jaystate.State) { members = len(s.Members) })
		is.Equal(members, 8)
	})
}

func TestRetentionExpiresUnderAReader(t *testing.T) {
	// Symptom: an entry that starts reads from an offset that is gone, and
	// never gets ready; or it starts from an old snapshot and goes back.
	// Sequence: records expire after a snapshot was appended; an entry starts.
	// Cause: the log keeps records for a limited time.
	inWorld(t, 3, func(w *world) {
		is := is.New(w.t)
		for n := range 3 {
			is.NoErr(w.publish(n, worldDocument).Err)
			w.settle()
		}
		appendSnapshot(w, w.nodes[0].entry)
		revision := w.publish(0, worldDocument).Offset + 1
		w.settle()
		var offset uint64
		w.nodes[0].entry.Read(func(s *jaystate.State) { offset = s.Offset })
		w.log.Expire(StateStream, offset-1)
		// A damaged snapshot behind the good one must not be taken.
		_, err := w.log.Append(SnapshotStream, []byte("damaged"))
		is.NoErr(err)
		appendSnapshot(w, w.nodes[0].entry)
		fresh := w.start()
		w.settle()
		is.Equal(fresh.revision(), revision)
	})
}

func appendSnapshot(w *world, e *Entry) {
	w.t.Helper()
	snapshot, err := e.store.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	text, err := proto.Marshal(snapshot)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.Append(SnapshotStream, text); err != nil {
		w.t.Fatal(err)
	}
}

func TestSnapshotThatIsBehindChangesNothing(t *testing.T) {
	inWorld(t, 2, func(w *world) {
		is := is.New(w.t)
		old, err := w.nodes[0].entry.store.Snapshot()
		is.NoErr(err)
		revision := w.publish(0, worldDocument).Offset + 1
		is.True(w.inForceWithin(revision, 3*time.Second))
		adopted, err := w.nodes[1].entry.store.Adopt(old)
		is.NoErr(err)
		is.True(!adopted)
		is.Equal(w.nodes[1].revision(), revision)
	})
}

func TestEntryThatIsCutOff(t *testing.T) {
	// Symptom: one entry routes to an instance that the others know has moved.
	// Sequence: the entry is cut off; an instance drains and moves.
	// Cause: a view that nobody confirms any more.
	t.Run("from the log only, it follows its peers", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutLog = true })
			time.Sleep(5 * time.Second)
			revision := w.publish(0, worldDocument).Offset + 1
			is.True(w.inForceWithin(revision, 3*time.Second))
			is.Equal(w.nodes[3].read().status, 200)
		})
	})
	t.Run("from its peers only, it follows the log", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutPeer = true })
			time.Sleep(5 * time.Second)
			revision := w.publish(0, worldDocument).Offset + 1
			is.True(w.inForceWithin(revision, 3*time.Second))
			is.Equal(w.nodes[3].read().status, 200)
		})
	})
	t.Run("from both, it refuses as not run within the lease", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
			time.Sleep(viewLease + 2*time.Second) // a read that waits ends first
			got := w.nodes[3].read()
			is.Equal(got.status, 503)
			is.Equal(got.verdict, jayverdict.NotRun)
			is.True(strings.Contains(w.nodes[3].entry.Ready().Error(), "cut off"))
			w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = false, false })
			w.settle()
			is.Equal(w.nodes[3].read().status, 200)
		})
	})
}

func TestEntryThatWakesFromAPause(t *testing.T) {
	// Symptom: a worker that has left gets a request ten seconds later (seen
	// with a process that was stopped and continued in the middle of a wave).
	// Sequence: an entry is paused; the others go on; it wakes, reads the log
	// and hears its peers, and serves before its view is made anew.
	// Cause: the log's freshness was taken for the view's.
	t.Run("the log was read, the view not made anew", func(t *testing.T) {
		inWorld(t, 3, func(w *world) {
			is := is.New(w.t)
			e := w.nodes[0].entry
			w.nodes[0].set(func(n *node) { n.cutPeer = true })
			w.nodes[0].cancel() // its duties stand still
			time.Sleep(10 * time.Second)
			is.True(!e.viewUsable())
			next := jayplatform.Record{Offset: e.store.From(), Data: nil}
			e.store.Take(jayplatform.Page{Next: next.Offset + 1, Records: []jayplatform.Record{next}}, time.Now(), true)
			is.True(!e.viewUsable())
			e.router.rebuild()
			is.True(e.viewUsable())
		})
	})
	t.Run("peers are heard that are ahead", func(t *testing.T) {
		inWorld(t, 3, func(w *world) {
			is := is.New(w.t)
			woken := w.nodes[2]
			woken.set(func(n *node) { n.cutLog, n.cutPeer = true, true })
			time.Sleep(10 * time.Second)
			offset := woken.entry.router.Offset()
			for _, other := range w.nodes[:2] {
				woken.entry.members.HandleHeartbeat(other.entry.Self(), &jaywire.Heartbeat{Offset: offset + 1}, 0, func(string) {})
			}
			is.True(!woken.entry.viewUsable())
			for _, other := range w.nodes[:2] {
				woken.entry.members.HandleHeartbeat(other.entry.Self(), &jaywire.Heartbeat{Offset: offset}, 0, func(string) {})
			}
			is.True(woken.entry.viewUsable())
		})
	})
}

func TestDrainWaitsForAnEntryThatMayStillRoute(t *testing.T) {
	// Symptom: an instance reboots with requests in flight.
	// Sequence: one entry is cut off from the log but serves with a majority
	// of peers; the planner reboots an instance that it still routes to.
	// Cause: the planner took its own offset for everybody's.
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		acked := w.nodes[0].entry.members.Acked()
		var offset uint64
		w.nodes[0].entry.Read(func(s *jaystate.State) { offset = s.Offset })
		is.Equal(acked, offset)
		w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
		time.Sleep(time.Second)
		outcome := w.publish(0, worldDocument)
		time.Sleep(500 * time.Millisecond)
		is.True(w.nodes[0].entry.members.Acked() <= outcome.Offset) // it may still route
		time.Sleep(3 * viewLease)
		is.True(w.nodes[0].entry.members.Acked() > outcome.Offset) // its lease has lapsed
		// A drain that comes now waits as well, though the entry has been
		// silent for long: it may hear others, who have not folded it yet.
		outcome = w.publish(0, worldDocument)
		time.Sleep(viewLease)
		is.True(w.nodes[0].entry.members.Acked() <= outcome.Offset)
		time.Sleep(2 * viewLease)
		is.True(w.nodes[0].entry.members.Acked() > outcome.Offset)
	})
}

func TestDrainWaitsForTheViewNotTheFold(t *testing.T) {
	// Symptom: an instance reboots with requests in flight.
	// Sequence: an entry has folded a drain, but its view is rebuilt only
	// half a second later, as its pace allows; the planner reboots.
	// Cause: entries told each other what they had folded, not by what they
	// route.
	inWorld(t, 2, func(w *world) {
		is := is.New(w.t)
		slow := w.nodes[1].entry.members
		behind := w.nodes[1].entry.router.Offset()
		slow.routed = func() uint64 { return behind }
		outcome := w.publish(0, worldDocument)
		w.settle()
		is.True(w.nodes[0].entry.members.Acked() <= outcome.Offset)
		is.Equal(w.nodes[0].entry.members.Acked(), behind)
	})
}

func TestMemberThatWasNeverHeard(t *testing.T) {
	// Symptom: no wave and no move gets on after all entries were replaced.
	// Sequence: an entry vanishes without a trace; all others are replaced;
	// the new planner has never heard of it.
	// Cause: only a member that was heard once could fall silent.
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
		for n := range 3 {
			w.nodes[n].kill()
			w.start()
			w.settle()
		}
		w.settle()
		outcome := w.publish(5, worldDocument)
		time.Sleep(3 * viewLease)
		is.True(w.nodes[5].entry.members.Acked() > outcome.Offset)
	})
}

func TestTwoPlannersAndAPausedOne(t *testing.T) {
	// Symptom: a step is taken twice, or the fleet has no planner.
	// Sequence: the planner is cut off for longer than its term and comes
	// back; in between another one plans.
	// Cause: a lease that correctness rests on.
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		planner := func() string {
			var name string
			w.live()[0].entry.Read(func(s *jaystate.State) { name = s.Planner.Entry })
			return name
		}
		first := planner()
		is.True(first != "")
		var holder *node
		for _, n := range w.nodes {
			if n.entry.Self() == first {
				holder = n
			}
		}
		holder.set(func(n *node) { n.cutLog, n.cutPeer = true, true })
		time.Sleep(10 * time.Second)
		var now string
		for _, n := range w.nodes {
			if n != holder {
				n.entry.Read(func(s *jaystate.State) { now = s.Planner.Entry })
			}
		}
		is.True(now != first)
		holder.set(func(n *node) { n.cutLog, n.cutPeer = false, false })
		w.settle()
		is.Equal(planner(), now) // the old holder has read on and left it
		waves := startWaveCommand("w")
		outcome, err := w.nodes[0].entry.Propose(waves, 5*time.Second)
		is.NoErr(err)
		is.NoErr(outcome.Err)
	})
}

func startWaveCommand(id string) *jaywire.Command {
	return &jaywire.Command{Actor: "operator", Body: &jaywire.Command_StartWave{
		StartWave: &jaywire.StartWave{Wave: id, Pools: []string{"fees"}},
	}}
}
