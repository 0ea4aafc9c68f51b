package jayquota

import (
	"fmt"
	"maps"
	"slices"

	"jaythread/jaypool"
)

// Holder holds the limits of one pool. It is not safe for concurrent use.
type Holder struct {
	applied Number
	limits  map[string]Limit
	// told holds, by organisation, the quota by the newest declarations that a lender has told.
	told map[string]toldQuota
}

// toldQuota is a quota by a revision of the declarations.
type toldQuota struct {
	quota    vector
	revision int64
}

// NewHolder returns a holder without limits, which ignores lenders with a lower fence.
func NewHolder(lenderFence int64) *Holder {
	return &Holder{applied: Number{Fence: lenderFence}, limits: map[string]Limit{}, told: map[string]toldQuota{}}
}

// Apply applies a lender's message, unless a newer one was applied or it is for an owner of the
// pool with another fence.
func (h *Holder) Apply(ownerFence int64, m Message) {
	if m.Number.Before(h.applied) || m.OwnerFence != 0 && m.OwnerFence != ownerFence {
		return
	}
	h.applied = m.Number
	for _, l := range m.Limits {
		if told := h.told[l.Organisation]; l.Revision > told.revision {
			h.told[l.Organisation] = toldQuota{quota: vectorOf(l.Quota), revision: l.Revision}
		}
		if !m.All {
			h.limits[l.Organisation] = l
		}
	}
}

// Told reports whether a lender has told any quota.
func (h *Holder) Told() bool {
	return len(h.told) > 0
}

// Quota returns the quota of an organisation that is in force for the pool, if the organisation has
// the declared quota by the given revision of the declarations. A resource that is not limited by
// these may be limited by newer declarations, of which the lender has told.
func (h *Holder) Quota(organisation string, revision int64, declared jaypool.Resources) jaypool.Resources {
	told, quota := h.told[organisation], vectorOf(declared)
	if told.revision <= revision {
		return declared
	}
	for n, of := range told.quota {
		if quota[n] == 0 {
			quota[n] = of
		}
	}
	return quota.resources()
}

// Allows reports whether a task of an organisation may start beside what the pool uses, if
// the organisation has the given quota by the given revision of the declarations. A limit
// that the lender has decided by an earlier revision with a higher quota does not count: only
// the lender knows what all pools use together. If the lender has told a quota by later
// declarations for a resource that the given quota does not limit, that one counts.
func (h *Holder) Allows(organisation string, revision int64, quota, used, need jaypool.Resources) bool {
	limit, declared := h.limits[organisation], vectorOf(quota)
	most, basis := vectorOf(limit.Limit), vectorOf(limit.Quota)
	after := vectorOf(used.Add(need))
	for n, of := range vectorOf(h.Quota(organisation, revision, quota)) {
		if of == 0 {
			continue
		}
		known := revision
		if declared[n] == 0 {
			known = h.told[organisation].revision
		}
		outdated := limit.Revision < known
		if after[n] > most[n] || outdated && (basis[n] == 0 || basis[n] > of) {
			return false
		}
	}
	return true
}

// Describe describes the limit of an organisation for the log.
func (h *Holder) Describe(organisation string) string {
	l, known := h.limits[organisation]
	if !known {
		return "nothing is lent yet"
	}
	return fmt.Sprintf("lent %+v by a quota of %+v of revision %d", l.Limit, l.Quota, l.Revision)
}

// Left returns how much more of an organisation's quota the pool may use, and whether that
// is limited at all.
func (h *Holder) Left(organisation string, quota, used jaypool.Resources) (left jaypool.Resources, limited bool) {
	if !Limited(quota) {
		return left, false
	}
	most := vectorOf(h.limits[organisation].Limit)
	for n, u := range vectorOf(used) {
		most[n] = max(0, most[n]-u)
	}
	return most.resources(), true
}

// Report returns the report on the pool's uses, which replace the limits in it.
func (h *Holder) Report(ownerFence int64, all bool, uses map[string]Use) Report {
	r := Report{OwnerFence: ownerFence, Applied: h.applied, All: all}
	names := slices.Collect(maps.Keys(uses))
	if all {
		for name := range h.limits {
			if _, used := uses[name]; !used {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	for _, name := range names {
		u := uses[name]
		u.Organisation = name
		if all {
			u.Limit, u.Quota = h.limits[name].Limit, h.limits[name].Quota
		}
		r.Uses = append(r.Uses, u)
	}
	return r
}
