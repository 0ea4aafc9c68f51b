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

// inForceWithin waits on the fake clock until all live entries use at least the
// given revision. It reports whether they do so within the bound.
func (w *cluster) inForceWithin(revision uint64, bound time.Duration) bool {
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
	withCluster(t, 8, func(w *cluster) {
		is := is.New(w.t)
		outcome := w.publish(3, clusterDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestLostAnswerOfAppend(t *testing.T) {
	// Guards against an operator who receives an error for a change, repeats it and
	// is refused because of the first change: the append took effect, only its
	// response was lost.
	withCluster(t, 3, func(w *cluster) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{LoseAnswers: 3})
		outcome := w.publish(0, clusterDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestConcurrentPublishesConflict(t *testing.T) {
	withCluster(t, 3, func(w *cluster) {
		is := is.New(w.t)
		replaces := w.nodes[0].revision()
		outcomes := make(chan jaystate.Outcome, 2)
		for _, n := range w.nodes[:2] {
			go func() {
				outcome, err := n.entry.Propose(publishCommand(replaces, clusterDocument), 5*time.Second)
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
	// Guards against refused callers while the log service is down for an hour,
	// and against a burst of outdated planner commands when it is back.
	withCluster(t, 3, func(w *cluster) {
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
		is.True(w.log.Appends(StateStream)-before < 100) // no burst of planner commands
		outcome := w.publish(0, clusterDocument)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
	})
}

func TestLogSlowByHundredTimes(t *testing.T) {
	withCluster(t, 4, func(w *cluster) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{Delay: 150 * time.Millisecond})
		outcome := w.publish(1, clusterDocument)
		is.NoErr(outcome.Err)
		is.True(w.inForceWithin(outcome.Offset+1, 3*time.Second))
		is.Equal(w.nodes[2].pay("slow").status, 200)
		is.Equal(w.runsOf("slow"), 1)
	})
}

func TestEntryThatStartsWhileTheLogIsDown(t *testing.T) {
	t.Run("an entry with a peer adopts its state and serves requests", func(t *testing.T) {
		withCluster(t, 3, func(w *cluster) {
			is := is.New(w.t)
			w.log.SetFaults(jaystandin.LogFaults{Down: true})
			fresh := w.start()
			w.settle()
			is.Equal(fresh.revision(), w.nodes[0].revision())
			is.Equal(fresh.read().status, 200)
		})
	})
	t.Run("an entry without a peer refuses requests as not run and is not ready", func(t *testing.T) {
		withCluster(t, 1, func(w *cluster) {
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
	t.Run("an entry rejects a damaged snapshot", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
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
	// Guards against the loss of the configuration, the audit trail or a payment's
	// claim when entries are replaced, first one after another and then seven at
	// once. Nothing may be stored only in the entries.
	withCluster(t, 8, func(w *cluster) {
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
			is.Equal(got.verdict, jayverdict.MayHaveRun) // its stored answer was lost with the entries
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

func TestEntryStartsAfterRecordsExpired(t *testing.T) {
	// Guards against an entry that never becomes ready because it reads from an
	// expired offset, or that rolls back to an old snapshot: records expire after
	// a snapshot was appended, and then an entry starts.
	withCluster(t, 3, func(w *cluster) {
		is := is.New(w.t)
		for n := range 3 {
			is.NoErr(w.publish(n, clusterDocument).Err)
			w.settle()
		}
		appendSnapshot(w, w.nodes[0].entry)
		revision := w.publish(0, clusterDocument).Offset + 1
		w.settle()
		var offset uint64
		w.nodes[0].entry.Read(func(s *jaystate.State) { offset = s.Offset })
		w.log.Expire(StateStream, offset-1)
		// A damaged snapshot after the intact one must be skipped.
		_, err := w.log.Append(SnapshotStream, []byte("damaged"))
		is.NoErr(err)
		appendSnapshot(w, w.nodes[0].entry)
		fresh := w.start()
		w.settle()
		is.Equal(fresh.revision(), revision)
	})
}

func appendSnapshot(w *cluster, e *Entry) {
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

func TestOlderSnapshotIsIgnored(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		is := is.New(w.t)
		old, err := w.nodes[0].entry.store.Snapshot()
		is.NoErr(err)
		revision := w.publish(0, clusterDocument).Offset + 1
		is.True(w.inForceWithin(revision, 3*time.Second))
		adopted, err := w.nodes[1].entry.store.Adopt(old)
		is.NoErr(err)
		is.True(!adopted)
		is.Equal(w.nodes[1].revision(), revision)
	})
}

func TestIsolatedEntry(t *testing.T) {
	// Guards against an entry that routes to an instance which the other entries
	// know has moved: the entry is isolated while the instance drains and moves,
	// and no other entry confirms its view.
	t.Run("an entry cut off from the log follows its peers", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutLog = true })
			time.Sleep(5 * time.Second)
			revision := w.publish(0, clusterDocument).Offset + 1
			is.True(w.inForceWithin(revision, 3*time.Second))
			is.Equal(w.nodes[3].read().status, 200)
		})
	})
	t.Run("an entry cut off from its peers follows the log", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutPeer = true })
			time.Sleep(5 * time.Second)
			revision := w.publish(0, clusterDocument).Offset + 1
			is.True(w.inForceWithin(revision, 3*time.Second))
			is.Equal(w.nodes[3].read().status, 200)
		})
	})
	t.Run("an entry cut off from the log and its peers refuses requests after its view lease", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
			time.Sleep(viewLease + 2*time.Second) // a read that is already waiting ends first
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

func TestEntryResumesAfterPause(t *testing.T) {
	// Guards against a worker that gets a request ten seconds after it left, seen
	// with a process that was stopped and continued in the middle of a wave: the
	// entry resumes, reads the log and hears its peers, and serves before its view
	// is rebuilt because the freshness of the log is taken for that of the view.
	t.Run("the view is unusable until it is rebuilt", func(t *testing.T) {
		withCluster(t, 3, func(w *cluster) {
			is := is.New(w.t)
			e := w.nodes[0].entry
			w.nodes[0].set(func(n *node) { n.cutPeer = true })
			w.nodes[0].cancel() // stops its duties
			time.Sleep(10 * time.Second)
			is.True(!e.viewUsable())
			next := jayplatform.Record{Offset: e.store.From(), Data: nil}
			e.store.Apply(jayplatform.Page{Next: next.Offset + 1, Records: []jayplatform.Record{next}}, time.Now(), true)
			is.True(!e.viewUsable())
			e.router.rebuild()
			is.True(e.viewUsable())
		})
	})
	t.Run("the view is unusable while peers are ahead", func(t *testing.T) {
		withCluster(t, 3, func(w *cluster) {
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
	// Guards against an instance that reboots with requests in flight: an entry
	// without the log keeps serving with a majority of peers, and the planner
	// reboots an instance that this entry still routes to because it only regards
	// its own offset.
	withCluster(t, 4, func(w *cluster) {
		is := is.New(w.t)
		lowest := w.nodes[0].entry.members.MinRoutedOffset()
		var offset uint64
		w.nodes[0].entry.Read(func(s *jaystate.State) { offset = s.Offset })
		is.Equal(lowest, offset)
		w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
		time.Sleep(time.Second)
		outcome := w.publish(0, clusterDocument)
		time.Sleep(500 * time.Millisecond)
		is.True(w.nodes[0].entry.members.MinRoutedOffset() <= outcome.Offset) // the entry may still route by its old view
		time.Sleep(3 * viewLease)
		is.True(w.nodes[0].entry.members.MinRoutedOffset() > outcome.Offset) // its view lease has expired
		// A later drain waits as well, although the entry has long been silent: it
		// may hear other entries that have not applied the drain yet.
		outcome = w.publish(0, clusterDocument)
		time.Sleep(viewLease)
		is.True(w.nodes[0].entry.members.MinRoutedOffset() <= outcome.Offset)
		time.Sleep(2 * viewLease)
		is.True(w.nodes[0].entry.members.MinRoutedOffset() > outcome.Offset)
	})
}

func TestDrainWaitsForRebuiltView(t *testing.T) {
	// Guards against an instance that reboots with requests in flight: an entry
	// has applied a drain but rebuilds its view half a second later, as pace
	// allows. Entries must report the offset they route by, not the one they have
	// applied.
	withCluster(t, 2, func(w *cluster) {
		is := is.New(w.t)
		slow := w.nodes[1].entry.members
		behind := w.nodes[1].entry.router.Offset()
		slow.routedOffset = func() uint64 { return behind }
		outcome := w.publish(0, clusterDocument)
		w.settle()
		is.True(w.nodes[0].entry.members.MinRoutedOffset() <= outcome.Offset)
		is.Equal(w.nodes[0].entry.members.MinRoutedOffset(), behind)
	})
}

func TestMemberNeverHeardFrom(t *testing.T) {
	// Guards against waves and moves that make no progress after all entries were
	// replaced: one entry vanished and the new planner has never heard from it, so
	// the entry must count as silent without having been heard once.
	withCluster(t, 4, func(w *cluster) {
		is := is.New(w.t)
		w.nodes[3].set(func(n *node) { n.cutLog, n.cutPeer = true, true })
		for n := range 3 {
			w.nodes[n].kill()
			w.start()
			w.settle()
		}
		w.settle()
		outcome := w.publish(5, clusterDocument)
		time.Sleep(3 * viewLease)
		is.True(w.nodes[5].entry.members.MinRoutedOffset() > outcome.Offset)
	})
}

func TestPlannerLeaseAfterIsolation(t *testing.T) {
	// Guards against a step that is taken twice, and against a fleet without a
	// planner: the planner is isolated for longer than its lease term and returns
	// while another entry plans. Correctness must not depend on the lease.
	withCluster(t, 4, func(w *cluster) {
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
		is.Equal(planner(), now) // the former holder has read the log and accepts the new one
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
