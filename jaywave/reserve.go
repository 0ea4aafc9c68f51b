package jaywave

import "jaythread/jaypool"

// Reserve is the spare capacity, in instances, that is required to keep the budgets during
// failures and maintenance.
type Reserve struct {
	// Needed is the sum of the pools' minimums.
	Needed int
	// FirstLoss covers the loss of the worst failure domain of each pool. Each pool must
	// have this reserve itself, because an instance from another pool would arrive too
	// late.
	FirstLoss int
	// SecondLoss covers the loss of another domain after the first.
	SecondLoss int
	// Maintenance allows each pool to stop one instance at a time.
	Maintenance int
}

// Spare returns the total reserve.
func (r Reserve) Spare() int {
	return r.FirstLoss + r.SecondLoss + r.Maintenance
}

// BufferCost returns the ratio of spare to needed capacity.
func (r Reserve) BufferCost() float64 {
	return float64(r.Spare()) / float64(max(1, r.Needed))
}

// PerPoolReserve returns the reserve required if each pool keeps all of its reserve
// itself.
func PerPoolReserve(v View) Reserve {
	var r Reserve
	for _, p := range v.Pools {
		loss := v.Fleet.Pool(p.Name).BudgetStatus(p.Budget).WorstLoss
		r.Needed += p.Budget.MinAvailable
		r.FirstLoss += loss
		r.SecondLoss += loss
		r.Maintenance++
	}
	return r
}

// SharedReserve returns the reserve required if pools lend each other instances between a
// first loss and a second one. No single domain is the worst domain of all pools at once,
// so that the reserve for the second loss is the largest number of instances in one domain
// across all pools.
func SharedReserve(v View) Reserve {
	r := PerPoolReserve(v)
	r.SecondLoss = 0
	lost := map[string]int{}
	for _, p := range v.Pools {
		for domain, n := range availableByDomain(v, p) {
			lost[domain] += n
			r.SecondLoss = max(r.SecondLoss, lost[domain])
		}
	}
	return r
}

func availableByDomain(v View, p Pool) map[string]int {
	domains := map[string]int{}
	for _, id := range v.Fleet.IDs() {
		i, _ := v.Fleet.Instance(id)
		if i.Pool == p.Name && i.Available() {
			domains[i.Domain(jaypool.RackDomain)]++
		}
	}
	return domains
}
