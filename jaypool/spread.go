package jaypool

// Spread counts available instances by failure domain and maintains the largest count
// without scanning all domains.
type Spread struct {
	domains map[string]int
	// bySize is the number of domains by their count of instances.
	bySize []int
	worst  int
}

// NewSpread returns an empty spread.
func NewSpread() *Spread {
	return &Spread{domains: map[string]int{}, bySize: make([]int, 1)}
}

// Add adds n, which is 1 or -1, to the count of a domain.
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

// Count returns the number of available instances in a domain.
func (s *Spread) Count(domain string) int {
	return s.domains[domain]
}

// Worst returns the count of the largest domain.
func (s *Spread) Worst() int {
	return s.worst
}

// WorstWithout returns the count of the largest domain after one instance of the given
// domain has stopped.
func (s *Spread) WorstWithout(domain string) int {
	if s.domains[domain] == s.worst && s.bySize[s.worst] == 1 {
		return max(0, s.worst-1)
	}
	return s.worst
}
