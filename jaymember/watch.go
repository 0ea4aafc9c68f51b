package jaymember

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaythread/jayowner"
	"jaythread/jaywire"
)

const (
	// watchersPerOwner is the number of entries that ping an owner in each round.
	watchersPerOwner = 32
	// rankedWatchers is the number of those that are chosen by rank, and that are chosen as if
	// all entries were starting.
	rankedWatchers = watchersPerOwner / 2
	// maxOthers is the number of entries that this entry pings in turn besides owners.
	maxOthers = 16
	// watchInterval is the least time between two computations of the watched owners while
	// only entries come and go.
	watchInterval = time.Second
)

// watch is the owners that this entry pings in each round, and the other entries that it pings in
// turn. The watchers of an owner are the candidates that would claim its duties, by their rank or,
// after a loss of all entries, by their share: they must notice its end first. All others ping it
// as often as together they make the pings of one more watcher in each round, so that its end is
// noticed when its watchers are lost with it.
//
// It handles this load: if every entry pinged every owner, an owner would answer thousands of
// pings a second, and each entry would keep a session with every other.
type watch struct {
	view    *View
	version int64
	at      time.Duration
	// owners is the set of the watched owners.
	owners map[string]bool
	others []*jaywire.EntryRecord
	// rounds is the number of rounds in which the owners that are not watched are pinged once,
	// and phase determines in which of them.
	rounds int
	phase  uint64
}

// update computes the watched owners if the claims or the announcements have changed.
func (w *watch) update(m *Members, view *View) {
	now, version := m.Clock(), m.Entries.Version()
	claimsChanged := w.view == nil || view.next != w.view.next
	if !claimsChanged && (version == w.version || now-w.at < watchInterval) {
		return
	}
	w.view, w.version, w.at = view, version, now
	all := m.Entries.All()
	w.rounds = max(1, (len(all)+watchersPerOwner-1)/watchersPerOwner)
	w.phase = xxhash.Sum64String(m.Incarnation)
	w.owners = watchedOwners(m.Entry, view, m.Entries.Names())
	w.others = othersOf(m.Incarnation, all)
}

// pings reports whether an owner is pinged in a round.
func (w *watch) pings(owner string, round int) bool {
	return w.rounds == 1 || w.owners[owner] || (uint64(round)+w.phase)%uint64(w.rounds) == 0
}

// watchedOwners returns the owners that an entry watches. An entry that was restarted counts as
// its former process as long as that one's announcement is the newest.
func watchedOwners(own string, view *View, entries map[string]*jaywire.EntryRecord) map[string]bool {
	var byRank, byName []jayowner.Candidate
	for name, e := range entries {
		byRank = append(byRank, jayowner.Candidate{Incarnation: e.Incarnation, Capacity: capacityOf(e), Started: e.StartedUnixMillis})
		byName = append(byName, jayowner.Candidate{Incarnation: name, Capacity: capacityOf(e)})
	}
	counts := dutyCounts(view)
	owners := map[string]bool{}
	for _, c := range view.Claims() {
		duty := []jayowner.Duty{c.Duty}
		ranked := jayowner.Rankings(duty, counts, byRank, rankedWatchers)[c.Duty]
		isOwn := func(incarnation string) bool { return EntryOf(incarnation) == own }
		if slices.ContainsFunc(ranked, isOwn) || slices.Contains(jayowner.Rankings(duty, nil, byName, rankedWatchers)[c.Duty], own) {
			owners[c.Incarnation] = true
		}
	}
	return owners
}

// othersOf returns up to maxOthers entries, other ones for each entry.
func othersOf(own string, all []*jaywire.EntryRecord) []*jaywire.EntryRecord {
	scores := make(map[*jaywire.EntryRecord]uint64, len(all))
	for _, e := range all {
		scores[e] = xxhash.Sum64String(own + "\x00" + e.Incarnation)
	}
	others := slices.SortedFunc(maps.Keys(scores), func(a, b *jaywire.EntryRecord) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), strings.Compare(a.Incarnation, b.Incarnation))
	})
	return others[:min(len(others), maxOthers)]
}
