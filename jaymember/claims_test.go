package jaymember

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

func TestVacantDutyIsClaimedOnce(t *testing.T) {
	// Guards against a pool whose owner changes twice within milliseconds, with a wait
	// for the former owner's leases at each takeover. Two entries saw a vacant duty at
	// the same time and both claimed it, since a claim was appended regardless of claims
	// made since the view was read.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store := newMemoryStore()
		for _, name := range []string{"e1", "e2"} {
			m := newTestMembers(t, name, store, clock)
			m.publish()
			o := m.Owners
			view := o.table.Load()
			o.append(view, o.claimRecord(view, jayowner.Fleet, 0, clock()))
		}
		is.Equal(len(store.records[testFormats{}.Own(topicOwners, 0)]), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		// A new owner's term is one higher than the last one, so that its run numbers are
		// higher.
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		m := newTestMembers(t, "e1", newMemoryStore(), clock)
		m.publish(jayowner.Claim{Duty: jayowner.Fleet, Incarnation: "e2-00000000", Term: 4})
		table := jayowner.NewTable()
		is := is.New(t)
		is.NoErr(table.Apply(m.Owners.claimRecord(m.Owners.table.Load(), jayowner.Fleet, 0, clock())))
		claim, _ := table.Claim(jayowner.Fleet)
		is.Equal(claim.Term, int64(5))
	})
}

func TestEntriesRankAlike(t *testing.T) {
	// Guards against two entries that both claim a duty at once, since one ranks the other, or
	// itself, by a capacity that is not the announced one.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store, all, rankings := newMemoryStore(), []*Members{}, [][]string{}
		for name, megabits := range map[string]int64{"e1": 200, "e2": 10, "e3": 0} {
			m := newTestMembers(t, name, store, clock)
			m.ProcessorsMilli, m.LinkMegabits = 400, megabits
			m.Announcer.announce(t.Context())
			all = append(all, m)
		}
		for _, m := range all {
			for _, r := range store.records[testFormats{}.Own(topicEntries, 0)] {
				m.Entries.Apply(r)
			}
			ranking := jayowner.Rankings(m.Duties(), nil, m.Owners.candidates(clock()), 3)[jayowner.Fleet]
			is.Equal(EntryOf(ranking[2]), "e2") // has the slow link
			rankings = append(rankings, ranking)
		}
		is.Equal(len(slices.CompactFunc(rankings, slices.Equal)), 1)
	})
}

func TestLeavingEntryReleasesAllDuties(t *testing.T) {
	// Guards against a pool without an owner for seconds after its owner has left: the release
	// failed and was not repeated, or a claim was still under way when the duties were released.
	for _, c := range []struct {
		name  string
		owned bool
		// missed appends a record that the view lacks when the duties are released.
		missed func(o *Owners)
	}{
		{"another entry's record came first", true, func(o *Owners) {
			other := jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Incarnation: "e2-00000000", Term: 1}
			o.append(&View{next: 1}, other.Record())
		}},
		{"claim under way", false, func(o *Owners) {
			o.append(&View{}, o.claimRecord(o.View(), jayowner.Fleet, 0, o.members.Clock()))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newMemoryStore()
				m := newTestMembers(t, "e1", store, jayclock.Since(time.Now().Add(-time.Hour)))
				m.Stopping, m.OnClaimsRead = func() bool { return true }, func() {}
				o := m.Owners
				o.tail = m.newTail(topicOwners, jaytail.Options{}, claimsShare, o)
				is.NoErr(o.tail.Step(0))
				if c.owned {
					o.append(o.View(), o.claimRecord(o.View(), jayowner.Fleet, 0, m.Clock()))
					is.NoErr(o.tail.Step(0))
				}
				c.missed(o)
				o.Release()
				go o.claim(t.Context())
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					is.NoErr(o.tail.Step(0))
				}
				claim, claimed := o.View().Claim(jayowner.Fleet)
				is.True(claimed)
				is.Equal(claim.Incarnation, m.Incarnation)
				is.True(claim.Released)
			})
		})
	}
}

// Guards against two runs of a service task during an upgrade: a former owner of an earlier version has
// started it without a record, and the next owner takes the records for complete.
func TestClaimsTellSinceWhenPlacementsAreRecorded(t *testing.T) {
	for _, c := range []struct {
		name   string
		former jayowner.Claim
		want   int64
	}{
		{"the first claim", jayowner.Claim{}, 1},
		{"an earlier version", jayowner.Claim{Term: 3}, 4},
		{"the same version", jayowner.Claim{Term: 5, PlacementsSince: 4}, 4},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(placementsSince(c.former), c.want) })
	}
}

// vacancy is a membership with announced peers and a duty without an owner.
type vacancy struct {
	*Members
	records []jayport.Record
}

// newVacancy returns the membership of a strong entry that has run for a minute.
func newVacancy(t *testing.T) *vacancy {
	t.Helper()
	v := &vacancy{Members: newTestMembers(t, "observer", newMemoryStore(), jayclock.Since(time.Now().Add(-time.Hour)))}
	v.ProcessorsMilli = 800
	v.StartedAt = v.Clock() - time.Minute
	v.Started = time.Now().Add(-time.Minute)
	return v
}

// announce adds a peer and returns its incarnation.
func (v *vacancy) announce(t *testing.T, entry string, started time.Time) string {
	t.Helper()
	peer := &jaywire.EntryRecord{Incarnation: NewIncarnation(entry), PeerAddr: "127.0.0.1:1", ProcessorsMilli: 800, StartedUnixMillis: started.UnixMilli()}
	r, err := announcementRecord(entry, peer)
	is.New(t).NoErr(err)
	v.Entries.Apply(r)
	return peer.Incarnation
}

// apply applies a claim or a release and publishes the claims.
func (v *vacancy) apply(c jayowner.Claim) {
	r := c.Record()
	r.Offset = int64(len(v.records))
	v.records = append(v.records, r)
	v.Owners.Apply(r)
	v.Owners.Publish(&View{Table: v.Owners.working.Clone(), AsOf: v.Clock(), next: r.Offset + 1})
}

// release makes an incarnation claim and release a duty.
func (v *vacancy) release(incarnation string, term int64) {
	v.apply(jayowner.Claim{Duty: jayowner.Fleet, Incarnation: incarnation, Term: term})
	v.apply(jayowner.Claim{Duty: jayowner.Fleet, Incarnation: incarnation, Term: term, Released: true})
}

// claimedAfter returns how long the duty is vacant until the entry claims it.
func (v *vacancy) claimedAfter() time.Duration {
	o := v.Owners
	since := v.Clock()
	for {
		now := v.Clock()
		if records, _ := o.dueClaims(o.View(), o.vacant(o.View(), now), now); len(records) > 0 {
			return now - since
		}
		time.Sleep(claimInterval)
	}
}

// TestRestartedEntriesProlongVacancy guards against a pool that goes to a weak entry, 1.8 s after its owner
// was stopped: the strong entries that were restarted last rank first, although they are stopping or have ended.
func TestRestartedEntriesProlongVacancy(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(v *vacancy, incarnation string, term int64)
	}{
		{"released a duty", (*vacancy).release},
		{"answers that it stops", func(v *vacancy, incarnation string, _ int64) {
			v.Liveness.recordOther(incarnation, &jaywire.Pong{Stopping: true}, nil)
		}},
		{"port is closed", func(v *vacancy, incarnation string, _ int64) {
			v.Liveness.recordOther(incarnation, nil, jaypeer.ErrGone)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVacancy(t)
				for n, entry := range []string{"e1", "e2", "e3"} {
					c.stop(v, v.announce(t, entry, time.Now()), int64(n+1))
				}
				v.release(v.announce(t, "e4", time.Now()), 4)
				is.New(t).Equal(v.claimedAfter(), time.Duration(0))
			})
		})
	}
}

// TestStrongEntryClaimsBeforeWeakOnes guards against a pool that goes to a weak entry while a strong one answers:
// more candidates than are waited for have ended unnoticed, and the others claim in random order.
func TestStrongEntryClaimsBeforeWeakOnes(t *testing.T) {
	for _, ended := range []int{3, 5} {
		t.Run(fmt.Sprint(ended, " ended"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVacancy(t)
				for n := range ended {
					v.announce(t, fmt.Sprint("e", n), time.Now())
				}
				v.release(v.announce(t, "owner", time.Now().Add(-time.Hour)), 1)
				is.New(t).Equal(v.claimedAfter(), time.Duration(ended)*rankDelay)
			})
		})
	}
}

// TestWeakEntryWaitsWhileStoppingOwnerServes guards against a pool that a weak entry takes over from a strong
// one that still performs it for seconds, while another strong one is about to be ready again.
func TestWeakEntryWaitsWhileStoppingOwnerServes(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(v *vacancy, owner string)
		want time.Duration
	}{
		{"the owner serves", func(*vacancy, string) {}, stoppingOwnerDelay},
		{"the owner has ended", func(v *vacancy, owner string) {
			v.Liveness.RecordOutcome(owner, jaypeer.ErrGone)
			v.Liveness.checkHeartbeats()
			time.Sleep(refusedTimeout + time.Millisecond)
		}, 0},
		{"the owner was replaced", func(v *vacancy, owner string) {
			v.Liveness.RecordStopping(v.announce(t, EntryOf(owner), time.Now()))
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVacancy(t)
				v.ProcessorsMilli = 200
				owner := v.announce(t, "e1", time.Now().Add(-time.Minute))
				v.release(owner, 1)
				c.end(v, owner)
				is.New(t).Equal(v.claimedAfter(), c.want)
			})
		})
	}
}
