package jaypool

// Spread counts available instances by failure domain, and knows the worst
// domain without looking at all of them.
type Spread struct {
	domains map[string]int
	// bySize counts the domains of each size.
	bySize []int
	worst  int
}

// NewSpread returns an empty spread.
func NewSpread() *Spread {
	return &Spread{domains: map[string]int{}, bySize: make([]int, 1)}
}

// Add changes the count of a domain by one, up or down.
func (s *Spread) Add(domain string, n int) {
	before := s.domains[domain]
	after := before + n
	s.domains[domain] = after
	for len(s.bySize) <= after {
		s.bySize = append(s.bySize, 0)
	}
	if before > 0 {
		s.bySize[before]--
	}
	s.bySize[after]++
	s.worst = max(s.worst, after)
	for s.worst > 0 && s.bySize[s.worst] == 0 {
		s.worst--
	}
}

// Count returns the count of a domain.
func (s *Spread) Count(domain string) int {
	return s.domains[domain]
}

// Worst returns the largest count.
func (s *Spread) Worst() int {
	return s.worst
}

// WorstWithout returns the largest count after one instance of a domain has
// stopped.
func (s *Spread) WorstWithout(domain string) int {
	if s.domains[domain] == s.worst && s.bySize[s.worst] == 1 {
		return max(0, s.worst-1)
	}
	return s.worst
}
