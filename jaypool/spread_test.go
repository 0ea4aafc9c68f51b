package jaypool

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestSpread compares the counters with counts over all domains.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, plain := NewSpread(), map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			domain := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "domain"))
			n := rapid.SampledFrom([]int{1, 1, -1}).Draw(t, "n")
			if plain[domain]+n < 0 {
				continue
			}
			plain[domain] += n
			s.Add(domain, n)
			worst, without := 0, 0
			for d, count := range plain {
				worst = max(worst, count)
				if d == domain && count > 0 {
					count--
				}
				without = max(without, count)
			}
			if s.Worst() != worst {
				t.Fatalf("worst is %d, want %d", s.Worst(), worst)
			}
			if plain[domain] > 0 && s.WorstWithout(domain) != without {
				t.Fatalf("worst without one of %s is %d, want %d", domain, s.WorstWithout(domain), without)
			}
		}
	})
}
