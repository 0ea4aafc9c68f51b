package jayoccurrence_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaythread/jayoccurrence"
)

// A job that is due each minute, of which the first two occurrences have begun and one has ended.
func ExampleSeries() {
	s := jayoccurrence.New(time.Hour, time.Minute, 1440)
	held := map[int]bool{}
	s.Begin(time.Hour+time.Minute, func(number int) bool { return held[number] }, func(number int) bool {
		held[number] = true
		return true
	})
	delete(held, 0)
	s.End(0)
	all, due := s.Unheld(len(held), time.Hour+3*time.Minute)
	fmt.Println(s.Next(), s.Open(), all, due)
	// Output: 2 1439 1438 2
}

// TestSeriesAgreesWithAList guards against occurrences that are lost or begin twice: a series is
// compared with a list of all occurrences, also after it was restored from its record.
func TestSeriesAgreesWithAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const count = 12
		first := time.Duration(rapid.IntRange(-3, 3).Draw(t, "first")) * time.Second
		interval := time.Duration(rapid.IntRange(0, 2).Draw(t, "interval")) * time.Second
		s := jayoccurrence.New(first, interval, count)
		held, ended := map[int]bool{}, map[int]bool{}
		isHeld := func(number int) bool { return held[number] }
		hold := func(number int) bool {
			if held[number] || ended[number] {
				t.Fatalf("occurrence %d begins twice", number)
			}
			held[number] = true
			return true
		}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes")) * time.Second
				s.Begin(now, isHeld, hold)
			},
			"hold early": func(t *rapid.T) {
				if number := rapid.IntRange(0, count-1).Draw(t, "number"); !held[number] && !s.Ended(number) {
					hold(number)
				}
			},
			"end": func(t *rapid.T) {
				number := rapid.IntRange(0, count-1).Draw(t, "number")
				if held[number] {
					delete(held, number)
					ended[number] = true
					s.End(number)
				}
			},
			"restore": func(t *rapid.T) {
				var open, ahead []uint32
				for number := range held {
					if number < s.Next() {
						open = append(open, uint32(number))
					}
				}
				for _, number := range s.EndedAhead() {
					ahead = append(ahead, uint32(number))
				}
				next := s.Next()
				s, held = jayoccurrence.New(first, interval, count), map[int]bool{}
				s.Restore(next, open, ahead, func(number int) { hold(number) })
			},
			"": func(t *rapid.T) {
				for number := range count {
					if s.Ended(number) != ended[number] && !held[number] {
						t.Fatalf("occurrence %d: ended %v, want %v", number, s.Ended(number), ended[number])
					}
				}
				all, due := s.Unheld(len(held), now)
				if s.Open() != count-len(ended) || all != count-len(ended)-len(held) || due < 0 || due > all {
					t.Fatalf("%d are open, %d of them not held, %d due", s.Open(), all, due)
				}
			},
		})
		s.Begin(math.MaxInt64, isHeld, hold)
		if len(held)+len(ended) != count {
			t.Fatalf("%d occurrences have begun", len(held)+len(ended))
		}
	})
}

// TestDueDoesNotOverflow guards against occurrences that are due at once since their time is beyond the
// clock's range.
func TestDueDoesNotOverflow(t *testing.T) {
	s := jayoccurrence.New(math.MaxInt64/2, math.MaxInt64/2, 4)
	is.New(t).Equal(s.Due(3), time.Duration(math.MaxInt64))
}

// TestContradictingRecordsAreRestored guards against a pool that cannot be taken over for one record.
func TestContradictingRecordsAreRestored(t *testing.T) {
	is := is.New(t)
	s := jayoccurrence.New(0, 0, 4)
	var held []int
	s.Restore(2, []uint32{1, 1, 3, 9}, []uint32{0, 3, 3, 9}, func(number int) { held = append(held, number) })
	is.Equal(held, []int{1})
	is.Equal(s.Open(), 2) // occurrences 1 and 2
	is.Equal(s.EndedAhead(), []int{3})
}
