package jayentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jaypeer"
	"jaythread/jaystandin"
	"jaythread/jaywire"
)

// Guards against an upstream that gets no more requests: entries that learned of a notice later
// pass it on after the others have dropped it, and these take it for a new one.
func TestLeavingNoticeExpires(t *testing.T) {
	const (
		heartbeatEvery = 500 * time.Millisecond
		// heartbeatDelay is how much longer a round of heartbeats takes, per entry.
		heartbeatDelay = 3 * time.Millisecond
		// noticeTime is the longest time in which each entry hears from each other one.
		noticeTime = 2 * time.Second
	)
	for _, entries := range []int{3, 6, 24} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			now := start
			members := make([]*Membership, entries)
			due := make([]time.Time, entries)
			for n := range members {
				id := fmt.Sprint("entry-", n)
				members[n] = NewMembership(id, jaypeer.NewClient(id, time.Second, nil), NewStore(id, jaystandin.NewLogService(), 1000, logr.Discard()), heartbeatEvery, logr.Discard())
				members[n].now = func() time.Time { return now }
				due[n] = start.Add(heartbeatEvery * time.Duration(n) / time.Duration(entries))
			}
			noted := 0
			var lastNoted time.Time
			note := func(noteLeaving func(string) bool) func(string) {
				return func(upstream string) {
					if noteLeaving(upstream) {
						noted++
						lastNoted = now
					}
				}
			}
			note(members[0].NoteLeaving)("fees-0")
			next := make([]int, entries)
			for ; now.Before(start.Add(2 * time.Minute)); now = now.Add(time.Millisecond) {
				for n, from := range members {
					if now.Before(due[n]) {
						continue
					}
					due[n] = due[n].Add(heartbeatEvery + heartbeatDelay*time.Duration(1+n%3))
					for range min(heartbeatsPerTick, entries-1) {
						to := members[(n+1+next[n]%(entries-1))%entries]
						next[n]++
						if from.heardRecently(to.self) {
							continue
						}
						ack := to.HandleHeartbeat(from.self, &jaywire.Heartbeat{Leaving: from.leavingList()}, 0, note(to.NotePeerLeaving))
						for _, upstream := range ack.Leaving {
							note(from.NotePeerLeaving)(upstream)
						}
					}
				}
			}
			is.Equal(noted, entries)
			is.True(lastNoted.Sub(start) <= noticeTime)
			for _, m := range members {
				is.Equal(len(m.leavingList()), 0)
			}
		})
	}
}

// Guards against an upstream without requests after its notice has expired: while the log cannot be
// read, nothing rebuilds the view.
func TestHeldUpstreamReturnsWithoutALog(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		is := is.New(w.t)
		w.log.SetFaults(jaystandin.LogFaults{Down: true})
		time.Sleep(3 * time.Second)
		w.nodes[0].entry.NoteLeaving("fees-0")
		time.Sleep(2 * time.Second)
		for _, n := range w.nodes {
			is.Equal(n.entry.router.View().Pools["fees"].Size(), 3)
		}
		time.Sleep(leavingHoldTime + 2*time.Second)
		for _, n := range w.nodes {
			is.Equal(n.entry.router.View().Pools["fees"].Size(), 4)
		}
	})
}
