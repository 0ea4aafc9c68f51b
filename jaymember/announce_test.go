package jaymember

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jaywire"
)

// TestAnnouncementsAreStoredTogether guards against a start of hundreds of entries in which each
// appends its announcement to one partition, which takes seconds, and repeats it after a timeout.
func TestAnnouncementsAreStoredTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store := newMemoryStore()
		owner := newTestMembers(t, "e0", store, clock)
		go owner.Announcer.store(t.Context())
		taken := 0
		for range 583 {
			if owner.Announcer.Take(&jaywire.EntryRecord{Incarnation: NewIncarnation("e1")}) {
				taken++
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(taken, 583)
		is.Equal(len(store.records[testFormats{}.Own(topicEntries, 0)]), 583)
		is.True(store.appends <= 2)
	})
}

// TestEntryAnnouncesItselfWithoutOwners checks that an entry that finds no owner appends its own
// announcement.
func TestEntryAnnouncesItselfWithoutOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store := newMemoryStore()
		m := newTestMembers(t, "e0", store, clock)
		m.Announcer.announce(t.Context())
		is.New(t).Equal(len(store.records[testFormats{}.Own(topicEntries, 0)]), 1)
	})
}

// TestRestartedEntriesAnnounceThemselvesSoon guards against a restart of all entries of a small
// system after which none knows another for a second, so that none can reach the store for
// another.
func TestRestartedEntriesAnnounceThemselvesSoon(t *testing.T) {
	for _, entries := range []int{4, 583} {
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		m := newTestMembers(t, "e0", newMemoryStore(), clock)
		m.StartedAt = clock()
		known := func(name string) {
			r, err := announcementRecord(name, &jaywire.EntryRecord{Incarnation: NewIncarnation(name)})
			if err != nil {
				t.Fatal(err)
			}
			m.Entries.Apply(r)
		}
		alone := m.Announcer.appendAt() - m.StartedAt
		for n := range entries - 1 {
			known(fmt.Sprint("e", n+1))
		}
		is := is.New(t)
		is.Equal(m.Announcer.appendAt()-m.StartedAt, alone) // it starts for the first time
		known("e0")
		is.True(m.Announcer.appendAt()-m.StartedAt <= min(alone, time.Duration(entries)*assumedLatency))
	}
}
