package jaymember

import (
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
