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
// claim it, the first ones up to the given number. All entries compute the same rankings from the
// same claims; dutyCounts is the number of duties of each owner. Duties are spread: a duty goes to
// the candidate with the fewest duties in relation to its capacity, and among equals to the one
// that was started last: while all entries are restarted in turn, that one has already been
// restarted and keeps the duty.
func Rankings(vacant []Duty, dutyCounts map[string]int, candidates []Candidate, most int) map[Duty][]string {
	load := make(map[string]int, len(dutyCounts))
	for id, n := range dutyCounts {
		load[id] = n
	}
	duties := slices.Clone(vacant)
	slices.Sort(duties)
	rankings := make(map[Duty][]string, len(duties))
	for _, d := range duties {
		ids := first(d, load, candidates, most)
		rankings[d] = ids
		if len(ids) > 0 {
			load[ids[0]]++
		}
	}
	return rankings
}

// ranked is a candidate with what it is compared by.
type ranked struct {
	Candidate
	load  int64
	score uint64
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(
		// Compares (load+1)/capacity without division.
		cmp.Compare((a.load+1)*max(1, b.Capacity), (b.load+1)*max(1, a.Capacity)),
		cmp.Compare(b.Started/startTimeResolution, a.Started/startTimeResolution),
		cmp.Compare(a.score, b.score),
		strings.Compare(a.Incarnation, b.Incarnation),
	)
}

// first returns the candidates that rank first for a duty, up to the given number. It does not
// sort the others, since there may be thousands.
func first(d Duty, load map[string]int, candidates []Candidate, most int) []string {
	var chosen []ranked
	for _, candidate := range candidates {
		c := ranked{Candidate: candidate, load: int64(load[candidate.Incarnation]), score: score(d, candidate.Incarnation)}
		if len(chosen) == most && c.compare(chosen[most-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(chosen, c, ranked.compare)
		chosen = slices.Insert(chosen, at, c)
		chosen = chosen[:min(len(chosen), most)]
	}
	ids := make([]string, 0, len(chosen))
	for _, c := range chosen {
		ids = append(ids, c.Incarnation)
	}
	return ids
}

// Share returns the duties that are assigned to one candidate if no duty has an owner.
// The shares of all candidates are disjoint if they are computed from the same
// candidates.
func Share(duties []Duty, candidates []Candidate, own string) []Duty {
	var share []Duty
	for d, ranked := range Rankings(duties, nil, candidates, 1) {
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
