package jayowner

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an entry that can own duties.
type Candidate struct {
	Incarnation string
	// Capacity measures how many tasks the entry can serve; see the function Capacity. Entries
	// with more capacity get duties first.
	Capacity int64
	// Started is when the entry was started, in milliseconds of its own time of day.
	Started int64
}

// Rankings returns for each vacant duty the candidates in the order in which they should
// claim it. All entries compute the same rankings from the same claims; dutyCounts is the
// number of duties of each owner. Duties are spread: a duty goes to the candidate with
// the fewest duties in relation to its capacity, and among equals to the one that was
// started last: while all entries are restarted in turn, that one has already been
// restarted and keeps the duty.
func Rankings(vacant []Duty, dutyCounts map[string]int, candidates []Candidate) map[Duty][]string {
	load := make(map[string]int, len(candidates))
	for id, n := range dutyCounts {
		load[id] = n
	}
	duties := slices.Clone(vacant)
	slices.Sort(duties)
	rankings := make(map[Duty][]string, len(duties))
	for _, d := range duties {
		ranked := slices.Clone(candidates)
		slices.SortFunc(ranked, func(a, b Candidate) int {
			return cmp.Or(
				// Compares (load+1)/capacity without division.
				cmp.Compare(int64(load[a.Incarnation]+1)*max(1, b.Capacity), int64(load[b.Incarnation]+1)*max(1, a.Capacity)),
				cmp.Compare(b.Started/startTimeResolution, a.Started/startTimeResolution),
				cmp.Compare(score(d, a.Incarnation), score(d, b.Incarnation)),
				strings.Compare(a.Incarnation, b.Incarnation),
			)
		})
		ids := make([]string, 0, len(ranked))
		for _, c := range ranked {
			ids = append(ids, c.Incarnation)
		}
		rankings[d] = ids
		if len(ids) > 0 {
			load[ids[0]]++
		}
	}
	return rankings
}

// Share returns the duties that are assigned to one candidate if no duty has an owner.
// The shares of all candidates are disjoint if they are computed from the same
// candidates.
func Share(duties []Duty, candidates []Candidate, own string) []Duty {
	var share []Duty
	for d, ranked := range Rankings(duties, nil, candidates) {
		if len(ranked) > 0 && ranked[0] == own {
			share = append(share, d)
		}
	}
	slices.Sort(share)
	return share
}

// startTimeResolution is the resolution, in milliseconds, at which start times are
// compared, so that entries that are started together are equal.
const startTimeResolution = 1000

func score(d Duty, incarnation string) uint64 {
	return xxhash.Sum64String(string(d) + "\x00" + incarnation)
}
