package jayquota

import (
	"maps"
	"slices"

	"jaythread/jaypool"
)

// Lender decides on the limits of all pools. It is not safe for concurrent use.
type Lender struct {
	fence    int64
	division Division
	message  int64
	pools    map[string]*account
	revision int64
	quotas   map[string]jaypool.Resources
}

// account is what a lender knows of one pool.
type account struct {
	// ownerFence is the fence of the pool's owner that has reported last.
	ownerFence int64
	// known says that this owner has reported all its limits to this lender.
	known bool
	// confirmed is the latest message that the owner has confirmed.
	confirmed int64
	shares    map[string]*share
}

// share is what a lender knows of one pool's part in one organisation's quota.
type share struct {
	limit vector
	quota jaypool.Resources
	// lent is the largest limit that may be in force at the pool.
	lent vector
	// changed is the number of the first message after the latest change of the limit or its
	// quota.
	changed int64
	used    vector
	wanted  vector
	largest vector
}

// committed returns what counts against the quota for a pool.
func (s *share) committed() vector {
	return s.lent.max(s.used)
}

func (a *account) share(organisation string) *share {
	s, known := a.shares[organisation]
	if !known {
		s = &share{}
		a.shares[organisation] = s
	}
	return s
}

// NewLender returns a lender that knows nothing of the pools yet. The fence is that of its
// ownership of the fleet.
func NewLender(fence int64, division Division) *Lender {
	return &Lender{fence: fence, division: division, pools: map[string]*account{}, quotas: map[string]jaypool.Resources{}}
}

// SetPools sets the pools that may run tasks. A pool that is not named any more is kept
// while tasks may run there.
func (l *Lender) SetPools(pools []string) {
	for _, pool := range pools {
		if l.pools[pool] == nil {
			l.pools[pool] = &account{shares: map[string]*share{}}
		}
	}
	maps.DeleteFunc(l.pools, func(pool string, a *account) bool { return !slices.Contains(pools, pool) && !a.inUse() })
}

func (a *account) inUse() bool {
	for _, s := range a.shares {
		if s.committed() != (vector{}) {
			return true
		}
	}
	return false
}

// SetQuotas sets the quotas that a revision of the declarations gives to the organisations.
func (l *Lender) SetQuotas(revision int64, quotas map[string]jaypool.Resources) {
	l.revision, l.quotas = revision, quotas
}

// Receive handles the report of a pool's owner.
func (l *Lender) Receive(pool string, r Report) {
	a := l.pools[pool]
	if a == nil || r.OwnerFence < a.ownerFence {
		return
	}
	if r.OwnerFence > a.ownerFence {
		// Another owner has no limits but those that it tells.
		*a = account{ownerFence: r.OwnerFence, shares: map[string]*share{}}
	}
	if r.Applied.Fence != l.fence || r.Applied.Message <= a.confirmed || !a.known && !r.All {
		// The owner may still apply a message of the former lender, the report is older
		// than the latest one, or it does not tell all limits.
		return
	}
	for _, s := range a.shares {
		s.used, s.wanted, s.largest = vector{}, vector{}, vector{}
	}
	for _, u := range r.Uses {
		s := a.share(u.Organisation)
		s.used, s.wanted, s.largest = vectorOf(u.Used), vectorOf(u.Wanted), vectorOf(u.Largest)
		if !a.known {
			s.limit = vectorOf(u.Limit)
			s.lent = s.limit
		}
	}
	a.known = true
	a.confirmed = r.Applied.Message
	for _, s := range a.shares {
		if s.changed <= a.confirmed {
			s.lent = s.limit
		}
	}
}

// Ignore handles the answer of an owner of an earlier version, which keeps no quotas: the
// others need not wait for it.
func (l *Lender) Ignore(pool string, ownerFence int64) {
	if a := l.pools[pool]; a != nil && ownerFence >= a.ownerFence {
		*a = account{ownerFence: ownerFence, known: true, shares: map[string]*share{}}
	}
}

// Decide changes the limits by the latest reports. It changes none before the owners of all
// pools have reported, since any of them may hold all of a quota.
func (l *Lender) Decide() {
	for _, a := range l.pools {
		if !a.known {
			return
		}
	}
	for organisation, quota := range l.quotas {
		l.divide(organisation, quota)
	}
}

// divide decides on the limits of one organisation. Limits are lowered first; what is free
// once all pools have confirmed lower limits is lent anew in a later round.
func (l *Lender) divide(organisation string, quota jaypool.Resources) {
	total, parts := vectorOf(quota), []Part{}
	names := slices.Sorted(maps.Keys(l.pools))
	for _, pool := range names {
		s := l.pools[pool].share(organisation)
		parts = append(parts, Part{Used: s.used, Wanted: s.wanted, Limit: s.limit})
	}
	targets := l.division.Divide(total, parts)
	free := total
	for n, pool := range names {
		s := l.pools[pool].share(organisation)
		lower := s.limit
		for r := range lower {
			lower[r] = min(lower[r], targets[n][r])
		}
		l.setLimit(s, lower, quota)
		for r, of := range s.committed() {
			free[r] -= of
		}
	}
	for n, pool := range names {
		s := l.pools[pool].share(organisation)
		before := s.committed()
		l.setLimit(s, s.raised(targets[n], free, total), quota)
		for r, of := range s.committed() {
			free[r] -= of - before[r]
		}
	}
}

// raised returns a limit that is raised towards a target by what is free of the quota. If
// less is free than the largest waiting task needs, the task may exceed the quota, as one
// task may: the smallest quota must not keep a task from ever running.
func (s *share) raised(target, free, quota vector) vector {
	limit, exceeds := s.limit, false
	for r := range limit {
		limit[r] = max(limit[r], min(target[r], s.committed()[r]+max(0, free[r])))
		short := quota[r] > 0 && s.used[r]+s.largest[r] > limit[r]
		if short && free[r] <= 0 {
			return limit
		}
		exceeds = exceeds || short
	}
	if exceeds {
		limit = limit.max(vectorOf(s.used.resources().Add(s.largest.resources())))
	}
	return limit
}

func (l *Lender) setLimit(s *share, limit vector, quota jaypool.Resources) {
	if s.limit == limit && s.quota == quota {
		return
	}
	s.limit, s.quota, s.changed = limit, quota, l.message+1
	s.lent = s.lent.max(limit)
}

// Message returns the message to a pool's owner: the limits that it has not confirmed.
func (l *Lender) Message(pool string) Message {
	l.message++
	m := Message{Number: Number{Fence: l.fence, Message: l.message}, Revision: l.revision}
	a := l.pools[pool]
	if a == nil {
		return m
	}
	m.All = !a.known
	if !a.known {
		return m
	}
	for _, organisation := range slices.Sorted(maps.Keys(a.shares)) {
		if s := a.shares[organisation]; s.changed > a.confirmed {
			m.Limits = append(m.Limits, Limit{Organisation: organisation, Limit: s.limit.resources(), Quota: s.quota})
		}
	}
	return m
}
