package jayowner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start is a model of entries that start together, claim the duties without knowing each other,
// and learn of each other's claims from a store.
type start struct {
	random  *rand.Rand
	entries []starting
	// freeAt is when the store has taken the appends so far, one after the other.
	freeAt  time.Duration
	appends int
	claims  []startClaim
}

type starting struct {
	id       string
	capacity int64
	// at is when it starts, and next when it checks for duties to claim.
	at, next time.Duration
}

type startClaim struct {
	duties []Duty
	by     int
	at     time.Duration
	// learned is when each entry reads the claim.
	learned []time.Duration
}

// event is a check of an entry for duties to claim.
type event struct {
	at    time.Duration
	entry int
}

const (
	modelAppend   = 4 * time.Millisecond
	modelRead     = 4 * time.Millisecond
	modelReads    = 16_000 // reads per second that the store serves
	modelStart    = 300 * time.Millisecond
	modelInterval = 50 * time.Millisecond
)

// runStart plays the start of n entries, a tenth of them strong, for three seconds.
func runStart(seed uint64, n int, duties []Duty) *start {
	s := &start{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		e := starting{id: fmt.Sprint("e", i), capacity: 113, at: time.Duration(s.random.Int64N(int64(modelStart)))}
		if i%10 == 0 || n < 100 && i%2 == 0 {
			e.capacity = 1600
		}
		e.next = e.at
		s.entries = append(s.entries, e)
	}
	for now := time.Duration(0); now < 3*time.Second; now += time.Millisecond {
		for i := range s.entries {
			if e := &s.entries[i]; e.next <= now {
				e.next = s.check(event{at: now, entry: i}, duties) + modelInterval
			}
		}
	}
	return s
}

// check makes an entry claim the duties that are due, and returns when it is done.
func (s *start) check(e event, duties []Duty) time.Duration {
	known, claimed, owned := s.known(e)
	entry := s.entries[e.entry]
	var due []Duty
	for _, d := range duties {
		if !claimed[d] && e.at >= entry.at+900*time.Millisecond+ClaimDelay(d, entry.id, entry.capacity, owned+len(due)) {
			due = append(due, d)
		}
	}
	if len(due) == 0 {
		return e.at
	}
	// It reads the claims once more before it appends.
	read := event{at: e.at + modelRead, entry: e.entry}
	s.learnAll(read)
	if now, _, _ := s.known(read); now != known {
		return read.at
	}
	return s.append(read, known, due)
}

// known returns the number of claims that an entry has read, the duties that they claim and how
// many of these it owns.
func (s *start) known(e event) (claims int, claimed map[Duty]bool, owned int) {
	claimed = map[Duty]bool{}
	for _, c := range s.claims {
		if c.learned[e.entry] > e.at {
			continue
		}
		claims++
		for _, d := range c.duties {
			claimed[d] = true
		}
		if c.by == e.entry {
			owned += len(c.duties)
		}
	}
	return claims, claimed, owned
}

// learnAll makes an entry know the claims that the store has taken.
func (s *start) learnAll(e event) {
	for _, c := range s.claims {
		if c.at <= e.at {
			c.learned[e.entry] = min(c.learned[e.entry], e.at)
		}
	}
}

// append appends a claim that is accepted if its entry knows all earlier ones.
func (s *start) append(e event, known int, due []Duty) (answered time.Duration) {
	s.appends++
	s.freeAt = max(s.freeAt, e.at) + modelAppend
	if known == len(s.claims) {
		c := startClaim{duties: due, by: e.entry, at: s.freeAt}
		for range s.entries {
			delay := s.random.Float64() * float64(len(s.entries)) / modelReads
			c.learned = append(c.learned, s.freeAt+2*time.Millisecond+time.Duration(delay*float64(time.Second)))
		}
		s.claims = append(s.claims, c)
	}
	return s.freeAt
}

// TestManyEntriesClaimEachDutyOnce guards against duties that go to weak entries and change hands
// at a start of hundreds of entries: each entry ranked itself among those that it had heard of,
// and the announcements of the others took seconds.
func TestManyEntriesClaimEachDutyOnce(t *testing.T) {
	duties := []Duty{Fleet, PoolDuty("a"), PoolDuty("b"), PoolDuty("c"), PoolDuty("d")}
	for n, mostAppends := range map[int]int{8: 20, 583: 20, 5627: 20} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(n, " entries, seed ", seed), func(t *testing.T) {
				is := is.New(t)
				s := runStart(seed, n, duties)
				var claimed []Duty
				for _, c := range s.claims {
					claimed = append(claimed, c.duties...)
					is.Equal(s.entries[c.by].capacity, int64(1600))
					is.True(c.at < 3*time.Second)
				}
				slices.Sort(claimed)
				is.Equal(claimed, slices.Sorted(slices.Values(duties)))
				is.True(s.appends <= mostAppends)
			})
		}
	}
}

// TestFirstCandidatesWithoutSort checks the ranking against a sort of all candidates.
func TestFirstCandidatesWithoutSort(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var candidates []Candidate
		load := map[string]int{}
		for i := range 1 + random.IntN(80) {
			c := Candidate{Incarnation: fmt.Sprint(i), Capacity: 100 << random.IntN(4), Started: random.Int64N(3000)}
			load[c.Incarnation] = random.IntN(3)
			candidates = append(candidates, c)
		}
		var all []ranked
		for _, c := range candidates {
			all = append(all, ranked{Candidate: c, load: int64(load[c.Incarnation]), score: score(Fleet, c.Incarnation)})
		}
		slices.SortFunc(all, ranked.compare)
		most := 1 + random.IntN(len(all))
		for i, id := range first(Fleet, load, candidates, most) {
			is.Equal(id, all[i].Incarnation)
		}
	}
}
