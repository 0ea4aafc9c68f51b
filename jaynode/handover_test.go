package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jayport"
	"jaythread/jaywire"
)

// handOver lets an entry that owns the fleet and a pool stop, and returns the claims
// that stand in the store afterwards.
func handOver(t *testing.T, trouble func(*storeWay), ready ...string) (claims *jayowner.Table, took time.Duration) {
	t.Helper()
	clock := jayclock.Since(time.Now().Add(-time.Hour))
	store := newSharedStore()
	e := newTestEntry(t, "e1", store, newSharedHosts(clock, nil), clock)
	e.node.owners.ready = func([]jayowner.Candidate) []jayowner.Candidate {
		var candidates []jayowner.Candidate
		for _, incarnation := range ready {
			candidates = append(candidates, jayowner.Candidate{Incarnation: incarnation, Strength: 400})
		}
		return candidates
	}
	for _, incarnation := range ready {
		value, err := proto.Marshal(&jaywire.EntryRecord{Incarnation: incarnation, PeerAddr: "10.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		e.node.entries.Apply(jayport.Record{Key: entryOf(incarnation), Value: value})
	}
	read := func() *jayowner.Table {
		table := jayowner.NewTable()
		page := store.read(jayport.Partition{Topic: topicOwners}, 0)
		for _, r := range page.Records {
			_ = table.Apply(r)
		}
		e.node.owners.table.Store(&ownerView{Table: table, next: page.End, asOf: clock()})
		return table
	}
	for _, duty := range []jayowner.Duty{jayowner.Fleet, jayowner.PoolDuty("seats")} {
		_, _ = store.append(jayport.Append{Partition: jayport.Partition{Topic: topicOwners}, Records: []jayport.Record{e.claim(duty, 0, 1).Record()}, AsOf: jayport.AnyOffset})
	}
	read()
	e.store.set(trouble)
	began := clock()
	done := make(chan struct{})
	go func() { e.node.owners.handOver(); close(done) }()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(20 * time.Millisecond):
			read()
		}
	}
	took = clock() - began
	e.store.set(func(w *storeWay) { w.cut, w.deaf = false, false })
	time.Sleep(10 * time.Second) // what is under way comes to its end
	return read(), took
}

func TestDutiesAreHandedOver(t *testing.T) {
	well := func(*storeWay) {}
	t.Run("to others at once", func(t *testing.T) {
		// Symptom: a pool in its rush is without owner for more than a second while
		// entries are restarted in turn and the store is slow.
		// Sequence: an entry gives its duties up; the candidates wait for one another,
		// the first of which is about to stop too; then each append takes its time.
		// Cause: nobody was named.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			claims, took := handOver(t, well, "e2-00000001", "e3-00000001")
			is.True(took < 50*time.Millisecond)
			owners := map[string]bool{}
			for _, c := range claims.Claims() {
				is.True(!c.Released)
				is.Equal(c.Term, int64(2))
				is.Equal(c.PeerAddr, "10.0.0.1:1")
				owners[c.Entry] = true
			}
			is.Equal(owners, map[string]bool{"e2": true, "e3": true}) // one each
		})
	})
	t.Run("given up if nobody is ready", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			claims, _ := handOver(t, well)
			for _, c := range claims.Claims() {
				is.True(c.Released)
				is.Equal(c.Entry, "e1")
			}
		})
	})
	t.Run("once, though the answer is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			claims, took := handOver(t, func(w *storeWay) { w.deaf = true }, "e2-00000001")
			is.True(took < time.Second)
			is.Equal(claims.End(), int64(4))
			c, _ := claims.Claim(jayowner.Fleet)
			is.Equal(c.Entry, "e2")
		})
	})
	t.Run("a store that is away holds the stop up for a moment only", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, took := handOver(t, func(w *storeWay) { w.cut = true }, "e2-00000001")
			is.New(t).True(took < handOverTime+time.Second)
		})
	})
}
