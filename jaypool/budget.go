package jaypool

// DomainKind says which kind of failure domain a budget must survive.
type DomainKind uint8

const (
	// RackDomain is the default.
	RackDomain DomainKind = iota
	// DataCenterDomain asks for more reserve.
	DataCenterDomain
)

// Budget is a pool's promise: MinAvailable instances stay available, also when
// the worst single failure domain of the given kind is lost.
type Budget struct {
	MinAvailable int
	Survive      DomainKind
}

// Standing is how a pool stands against its budget.
type Standing struct {
	Members   int
	Available int
	// WorstLoss is how many available instances the worst failure domain has.
	WorstLoss int
	// MinAvailable repeats the budget.
	MinAvailable int
}

// Holds reports whether the budget holds now.
func (s Standing) Holds() bool {
	return s.Available >= s.MinAvailable
}

// Slack is how many more instances may stop before the loss of the worst
// failure domain would break the budget. It is negative when one would.
func (s Standing) Slack() int {
	return s.Available - s.WorstLoss - s.MinAvailable
}

// Pool counts the members of one pool.
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

// Standing returns how the pool stands against a budget.
func (p *Pool) Standing(b Budget) Standing {
	return Standing{
		Members:      p.members,
		Available:    p.available,
		WorstLoss:    p.spread(b).Worst(),
		MinAvailable: b.MinAvailable,
	}
}

func (p *Pool) spread(b Budget) *Spread {
	if b.Survive == DataCenterDomain {
		return p.centers
	}
	return p.racks
}

// StandingWithout returns the standing after one available member has stopped.
func (p *Pool) StandingWithout(i *Instance, b Budget) Standing {
	if !i.Available() || i.Pool != p.Name {
		return p.Standing(b)
	}
	s := p.Standing(b)
	s.Available--
	s.WorstLoss = p.spread(b).WorstWithout(i.Domain(b.Survive))
	return s
}

func (p *Pool) count(i *Instance, n int) {
	p.available += n
	p.racks.Add(i.Domain(RackDomain), n)
	p.centers.Add(i.Domain(DataCenterDomain), n)
}
