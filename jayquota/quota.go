// Package jayquota keeps each organisation's quota over all pools, whose owners differ. It
// has no side effects.
//
// A lender, which is the owner of the fleet, lends each pool a limit of each organisation's
// quota. A pool starts a task only within its limit, without asking anybody. The lender
// moves what pools do not use to those that want it.
//
// No clock is involved. The lender counts against a quota, for each pool, the larger one of
// what it has lent and what it was told to be in use; it counts a lower limit only once the
// pool's owner has confirmed it. Messages may be lost, repeated and late:
//
//   - Each message of a lender has the fence of its ownership and a number; a pool ignores
//     those that are older than the latest one it has applied, those of lenders that were
//     replaced before its owner claimed it, and those for another owner.
//   - A new lender raises no limit before the owner of every pool has told it, under its
//     fence, all limits and all use. From then on these owners ignore the former lender. It
//     ignores owners that were replaced before it became the lender.
//   - When a quota is lowered, limits belong to the former quota until what is committed to all
//     pools fits the lower one: until then no owner that knows of the lower quota starts a task.
//     When it is raised, no more than the former quota is lent until all pools have confirmed
//     limits that belong to the raised one.
//   - An owner that does not know of a quota yet starts tasks without a limit. A lender tells it
//     the quota with its limits, and with the first request for a report. From then on the owner
//     keeps its limit, until it knows declarations that are as new. Nothing is lent of an
//     organisation's first quota before the owners of all pools have confirmed that.
//   - A new owner of a pool has no limits. It tells as in use also what the former owner may
//     have started, or may still start, on workers that have not answered the new one.
//     Workers that have answered it refuse the former owner.
//
// So the fences of lenders and owners must come from one sequence, and whoever claims a duty
// must know all claims before its own, and all quotas that were declared before. A lender must know
// all claims of pools that were made before it was given an organisation's first quota: their owners
// may have started tasks without a limit.
//
// One task may exceed a quota, as far as no other pool uses what is left of it. So the tasks that
// run need at most the quota and one task together. The pools take turns: see Turn.
package jayquota

import "jaythread/jaypool"

// resources is the number of resources that a quota may limit.
const resources = 3

// vector holds one amount for each resource.
type vector [resources]int64

func vectorOf(r jaypool.Resources) vector {
	return vector{r.ProcessorsMilli, r.MemoryMegabytes, r.Accelerators}
}

func (v vector) resources() jaypool.Resources {
	return jaypool.Resources{ProcessorsMilli: v[0], MemoryMegabytes: v[1], Accelerators: v[2]}
}

func (v vector) max(other vector) vector {
	for n := range v {
		v[n] = max(v[n], other[n])
	}
	return v
}

func (v vector) min(other vector) vector {
	for n := range v {
		v[n] = min(v[n], other[n])
	}
	return v
}

func (v vector) add(other vector) vector {
	for n := range v {
		v[n] += other[n]
	}
	return v
}

// Limited reports whether a quota limits any resource.
func Limited(quota jaypool.Resources) bool {
	return quota != jaypool.Resources{}
}

// LimitsMore reports whether quotas limit a resource of an organisation that former ones do not.
func LimitsMore(former, quotas map[string]jaypool.Resources) bool {
	for organisation, quota := range quotas {
		before := vectorOf(former[organisation])
		for n, of := range vectorOf(quota) {
			if of > 0 && before[n] == 0 {
				return true
			}
		}
	}
	return false
}

// Exceeds reports whether an amount is more than a quota allows.
func Exceeds(quota, amount jaypool.Resources) bool {
	used := vectorOf(amount)
	for n, of := range vectorOf(quota) {
		if of > 0 && used[n] > of {
			return true
		}
	}
	return false
}

// Number orders the messages of lenders: by the fence of the lender's ownership, then by
// the message.
type Number struct {
	Fence   int64
	Message int64
}

// Before reports whether a message is older than another one.
func (n Number) Before(other Number) bool {
	return n.Fence < other.Fence || n.Fence == other.Fence && n.Message < other.Message
}

// Limit is what a pool may use of the quota of one organisation.
type Limit struct {
	Organisation string
	Limit        jaypool.Resources
	// Quota is the quota by which the lender has decided on the limit, and Revision that of
	// the declarations that it is from.
	Quota    jaypool.Resources
	Revision int64
}

// Message tells the owner of a pool its limits.
type Message struct {
	Number Number
	// OwnerFence is the fence of the owner that the limits are for. Lenders of an earlier version
	// do not state it.
	OwnerFence int64
	// All asks for a report with the limits of all organisations.
	All bool
	// Limits replace those of the same organisations. With All they tell the quotas only and
	// replace no limit; owners of an earlier version have no limits then until they are lent anew.
	Limits []Limit
}

// Use is what a pool uses and wants of the quota of one organisation.
type Use struct {
	Organisation string
	// Used is the most that may be running, including what a former owner of the pool may
	// have started.
	Used jaypool.Resources
	// Wanted is what the waiting tasks need that could run now. Largest is the most that
	// those need together which can only start together, and Task the most that one needs.
	Wanted  jaypool.Resources
	Largest jaypool.Resources
	Task    jaypool.Resources
	// Limit is the limit in force, and Quota the one by which it was decided. They are set only
	// in a report with all limits.
	Limit jaypool.Resources
	Quota jaypool.Resources
}

// Report is the answer of a pool's owner to a message. An organisation that it does not
// name uses and wants nothing.
type Report struct {
	// OwnerFence is the fence of the owner of the pool.
	OwnerFence int64
	// Applied is the number of the latest message that the owner has applied.
	Applied Number
	// All states that the report has the limits of all organisations.
	All  bool
	Uses []Use
}
