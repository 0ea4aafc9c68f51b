package jaywave

import "jaythread/jaypool"

// Reserve is the spare capacity that a promise needs, in instances.
type Reserve struct {
	// Needed is the sum of the pools' minimums.
	Needed int
	// FirstLoss covers, in each pool by itself, the loss of its worst failure
	// domain: an instance that has to come from elsewhere comes too late.
	FirstLoss int
	// SecondLoss covers the loss of one more domain after the first.
	SecondLoss int
	// Maintenance lets each pool stop one instance at a time.
	Maintenance int
}

// Spare is the whole reserve.
func (r Reserve) Spare() int {
	return r.FirstLoss + r.SecondLoss + r.Maintenance
}

// BufferCost is spare over needed capacity.
func (r Reserve) BufferCost() float64 {
	return float64(r.Spare()) / float64(max(1, r.Needed))
}

// PerPoolReserve returns what it takes if every pool keeps all of it.
func PerPoolReserve(v View) Reserve {
	var r Reserve
	for _, p := range v.Pools {
		loss := v.Fleet.Pool(p.Name).Standing(p.Budget).WorstLoss
		r.Needed += p.Budget.MinAvailable
		r.FirstLoss += loss
		r.SecondLoss += loss
		r.Maintenance++
	}
	return r
}

// SharedReserve returns what it takes if pools lend each other instances
// between a first loss and a second. No single domain takes the worst from
// all pools at once, so the reserve for the second loss is that of the domain
// which takes most in sum.
func SharedReserve(v View) Reserve {
	r := PerPoolReserve(v)
	r.SecondLoss = 0
	lost := map[string]int{}
	for _, p := range v.Pools {
		for domain, n := range available(v, p) {
			lost[domain] += n
			r.SecondLoss = max(r.SecondLoss, lost[domain])
		}
	}
	return r
}

func available(v View, p Pool) map[string]int {
	domains := map[string]int{}
	for _, id := range v.Fleet.IDs() {
		i, _ := v.Fleet.Instance(id)
		if i.Pool == p.Name && i.Available() {
			domains[i.Domain(jaypool.RackDomain)]++
		}
	}
	return domains
}
