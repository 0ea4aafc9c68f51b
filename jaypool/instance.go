// Package jaypool implements pools and their instances: the members of each pool, their
// phases, and whether the pool's availability budget holds. It has no clock, no I/O and no
// goroutines.
package jaypool

// Phase is the state of an instance in its pool.
type Phase uint8

const (
	// Serving instances receive new work.
	Serving Phase = iota
	// Draining instances finish their work before a reboot.
	Draining
	// Rebooting instances are under maintenance.
	Rebooting
	// Settling instances are back but do not yet count as available.
	Settling
	// Leaving instances finish their work before they move to another pool.
	Leaving
	// Detached instances belong to no pool.
	Detached
)

var phaseNames = [...]string{"serving", "draining", "rebooting", "settling", "leaving", "detached"}

// String returns the name of the phase in lower case.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Resources is the capacity of an instance or the demand of a task.
type Resources struct {
	ProcessorsMilli int64
	MemoryMegabytes int64
	Accelerators    int64
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.ProcessorsMilli <= r.ProcessorsMilli &&
		need.MemoryMegabytes <= r.MemoryMegabytes &&
		need.Accelerators <= r.Accelerators
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		ProcessorsMilli: r.ProcessorsMilli + other.ProcessorsMilli,
		MemoryMegabytes: r.MemoryMegabytes + other.MemoryMegabytes,
		Accelerators:    r.Accelerators + other.Accelerators,
	}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{
		ProcessorsMilli: r.ProcessorsMilli * n,
		MemoryMegabytes: r.MemoryMegabytes * n,
		Accelerators:    r.Accelerators * n,
	}
}

// Max returns the element-wise maximum of r and other.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		ProcessorsMilli: max(r.ProcessorsMilli, other.ProcessorsMilli),
		MemoryMegabytes: max(r.MemoryMegabytes, other.MemoryMegabytes),
		Accelerators:    max(r.Accelerators, other.Accelerators),
	}
}

// Sub returns r minus other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		ProcessorsMilli: r.ProcessorsMilli - other.ProcessorsMilli,
		MemoryMegabytes: r.MemoryMegabytes - other.MemoryMegabytes,
		Accelerators:    r.Accelerators - other.Accelerators,
	}
}

// Instance is a worker and its state in the fleet.
type Instance struct {
	ID          string
	Pool        string
	Rack        string
	DataCenter  string
	Phase       Phase
	Failed      bool
	Quarantined bool
	// Version is incremented by each accepted change of the instance.
	Version uint64
	// MoveTo is the destination pool of a leaving or detached instance.
	MoveTo string
	// MaintainedIn is the last wave that maintained the instance.
	MaintainedIn string
	Capacity     Resources
	// Fence is the offset of the last command to drain the instance for a move.
	Fence uint64
	// Home is the pool that a lent instance returns to.
	Home string

	// rackDomain caches the rack domain, because Domain is called very often.
	rackDomain string
}

// Available reports whether the instance counts towards its pool's budget.
func (i *Instance) Available() bool {
	return i.Phase == Serving && !i.Failed && !i.Quarantined
}

// Domain returns the instance's failure domain of the given kind.
func (i *Instance) Domain(kind DomainKind) string {
	if kind == DataCenterDomain {
		return i.DataCenter
	}
	if i.rackDomain == "" {
		i.rackDomain = i.DataCenter + "/" + i.Rack
	}
	return i.rackDomain
}
