package jaypool

// DomainKind is a kind of failure domain.
type DomainKind uint8

const (
	// RackDomain is a rack. It is the default.
	RackDomain DomainKind = iota
	// DataCenterDomain is a whole data centre. Surviving its loss requires more reserve.
	DataCenterDomain
)

// Budget is a pool's availability budget: at least MinAvailable instances remain
// available, even if the worst single failure domain of kind FailureDomain is lost.
type Budget struct {
	MinAvailable  int
	FailureDomain DomainKind
}

// BudgetStatus is the state of a pool relative to its budget.
type BudgetStatus struct {
	Members   int
	Available int
	// WorstLoss is the largest number of available instances in one failure domain.
	WorstLoss int
	// MinAvailable is the minimum of the budget.
	MinAvailable int
}

// Holds reports whether the minimum is available now.
func (s BudgetStatus) Holds() bool {
	return s.Available >= s.MinAvailable
}

// Slack returns the number of instances that may still stop before the loss of the worst
// failure domain would break the budget. It is negative if that loss would break the
// budget already.
func (s BudgetStatus) Slack() int {
	return s.Available - s.WorstLoss - s.MinAvailable
}

// Pool holds the counters of one pool.
type Pool struct {
	Name      string
	members   int
	available int
	racks     *Spread
	centers   *Spread
}

func newPool(name string) *Pool {
	return &Pool{Name: name, racks: NewSpread(), centers: NewSpread()}
}

// BudgetStatus returns the state of the pool relative to a budget.
func (p *Pool) BudgetStatus(b Budget) BudgetStatus {
	return BudgetStatus{
		Members:      p.members,
		Available:    p.available,
		WorstLoss:    p.spread(b).Worst(),
		MinAvailable: b.MinAvailable,
	}
}

func (p *Pool) spread(b Budget) *Spread {
	if b.FailureDomain == DataCenterDomain {
		return p.centers
	}
	return p.racks
}

// BudgetStatusWithout returns the status after the given available member has stopped.
func (p *Pool) BudgetStatusWithout(i *Instance, b Budget) BudgetStatus {
	if !i.Available() || i.Pool != p.Name {
		return p.BudgetStatus(b)
	}
	s := p.BudgetStatus(b)
	s.Available--
	s.WorstLoss = p.spread(b).WorstWithout(i.Domain(b.FailureDomain))
	return s
}

func (p *Pool) count(i *Instance, n int) {
	p.available += n
	p.racks.Add(i.Domain(RackDomain), n)
	p.centers.Add(i.Domain(DataCenterDomain), n)
}
