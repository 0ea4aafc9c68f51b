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
	// limitedSince is, by organisation and resource, the number of the first message since which
	// the quota has limited the resource without a break, or 0.
	limitedSince map[string]vector
	// turnReports is the number of reports that a pool's turn to exceed a quota lasts at first.
	turnReports int
	// period is the number of the present period between two regular reports, 0 if unknown.
	period int64
	// turns counts the turns that were given.
	turns int64
	// chosen is the latest pool that may exceed the quota by a task, by organisation.
	chosen map[string]chosen
}

// chosen is a pool that may exceed a quota, with what it used when it was chosen.
type chosen struct {
	pool string
	used vector
	// served says that the turn has ended: what the pool uses has changed since, or the turn has
	// passed to the others unused.
	served bool
	// reports counts the pool's reports since it was chosen, or since its turn has ended, at most one
	// in each period; period is that of the latest one.
	reports int
	period  int64
}

// account is what a lender knows of one pool.
type account struct {
	// ownerFence is the fence of the newest owner of the pool that is known.
	ownerFence int64
	// known says that this owner has reported all its limits to this lender.
	known bool
	// confirmed is the latest message that the owner has confirmed.
	confirmed int64
	// exempt says that the owner keeps no quotas, unnamed that the pool is not to run tasks any more,
	// so that its owner is sent no messages.
	exempt  bool
	unnamed bool
	shares  map[string]*share
}

// share is what a lender knows of one pool's part in one organisation's quota.
type share struct {
	limit vector
	// quota is the quota by which the limit was decided, of that revision.
	quota    jaypool.Resources
	revision int64
	// lent is the largest limit that may be in force at the pool, and basis the lowest quota by
	// which one that may be in force there was decided.
	lent  vector
	basis vector
	// bound says for each resource that the pool's owner starts nothing beyond its limit, whether
	// it knows of the quota from the declarations or not.
	bound [resources]bool
	// unusedTurns counts the latest turns to exceed the quota that the pool has not used.
	unusedTurns int
	// lastTurn is the number of the pool's latest turn, of those that this lender has given.
	lastTurn int64
	// changed is the number of the first message after the latest change of the limit or its
	// quota.
	changed int64
	used    vector
	wanted  vector
	largest vector
	task    vector
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

// Option configures a lender.
type Option func(*Lender)

// WithTurn sets the number of reports that a pool's turn to exceed a quota lasts at first, while
// others wait and it starts nothing.
func WithTurn(reports int) Option {
	return func(l *Lender) { l.turnReports = reports }
}

// NewLender returns a lender that knows nothing of the pools yet. The fence is that of its
// ownership of the fleet.
func NewLender(fence int64, division Division, options ...Option) *Lender {
	l := &Lender{
		fence: fence, division: division, pools: map[string]*account{}, quotas: map[string]jaypool.Resources{},
		limitedSince: map[string]vector{}, turnReports: defaultTurnReports, chosen: map[string]chosen{},
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetPools sets the pools that may run tasks, with the fences of their newest owners that are
// known here. A pool that is not named any more is kept while tasks may run there.
func (l *Lender) SetPools(owners map[string]int64) {
	for pool, fence := range owners {
		a := l.pools[pool]
		if a == nil {
			a = newAccount(fence)
			l.pools[pool] = a
		}
		if fence > a.ownerFence {
			*a = *newAccount(fence)
		}
	}
	maps.DeleteFunc(l.pools, func(pool string, a *account) bool {
		_, named := owners[pool]
		a.unnamed = !named
		return !named && !a.inUse()
	})
}

// newAccount returns the account of a pool whose owner has reported nothing yet.
func newAccount(ownerFence int64) *account {
	return &account{ownerFence: ownerFence, shares: map[string]*share{}}
}

// inUse reports whether tasks may run in the pool.
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
	for organisation := range l.limitedSince {
		if _, still := quotas[organisation]; !still {
			l.noteLimited(organisation, vector{})
		}
	}
	for organisation, quota := range quotas {
		l.noteLimited(organisation, vectorOf(quota))
	}
}

// noteLimited records since when a quota limits each resource. An owner may start tasks without a
// limit once the quota does not limit the resource.
func (l *Lender) noteLimited(organisation string, quota vector) {
	since, changed := l.limitedSince[organisation], false
	for r, of := range quota {
		switch {
		case of == 0 && since[r] > 0:
			since[r], changed = 0, true
			for _, a := range l.pools {
				if s := a.shares[organisation]; s != nil {
					s.bound[r] = false
				}
			}
		case of > 0 && since[r] == 0:
			// A number is left out, so that changes which were decided before have lower ones.
			l.message++
			since[r], changed = l.message+1, true
		}
	}
	switch {
	case since == (vector{}):
		delete(l.limitedSince, organisation)
	case changed:
		l.limitedSince[organisation] = since
	}
}

// Receive handles the report of a pool's owner.
func (l *Lender) Receive(pool string, r Report) {
	a := l.pools[pool]
	if a == nil || r.OwnerFence < a.ownerFence {
		return
	}
	if r.OwnerFence > a.ownerFence {
		// Another owner has no limits but those that it tells.
		*a = *newAccount(r.OwnerFence)
	}
	if r.Applied.Fence != l.fence || r.Applied.Message <= a.confirmed || !a.known && !r.All {
		// The owner may still apply a message of the former lender, the report is older
		// than the latest one, or it does not tell all limits.
		return
	}
	for _, s := range a.shares {
		s.used, s.wanted, s.largest, s.task = vector{}, vector{}, vector{}, vector{}
	}
	for _, u := range r.Uses {
		s := a.share(u.Organisation)
		s.used, s.wanted, s.largest, s.task = vectorOf(u.Used), vectorOf(u.Wanted), vectorOf(u.Largest), vectorOf(u.Task)
		if !a.known {
			s.limit, s.quota = vectorOf(u.Limit), u.Quota
		}
	}
	first := !a.known
	a.known = true
	a.confirmed = r.Applied.Message
	for organisation, s := range a.shares {
		if s.changed <= a.confirmed {
			s.confirm(l.limitedSince[organisation])
		}
	}
	if first {
		l.bindTold(a)
	}
	l.countTurns(pool, a)
}

// confirm handles a report by which the latest change is in force at the pool. The change binds the
// owner if it was decided after the quota last began to limit the resource: by an earlier one the owner
// may have started tasks without a limit since.
func (s *share) confirm(limitedSince vector) {
	s.lent, s.basis = s.limit, vectorOf(s.quota)
	for r, since := range limitedSince {
		s.bound[r] = s.bound[r] || since > 0 && since <= s.changed && s.basis[r] > 0
	}
}

// bindTold records which quotas the owner of a pool knows from the message that it has confirmed
// first.
func (l *Lender) bindTold(a *account) {
	for organisation, since := range l.limitedSince {
		s := a.share(organisation)
		for r := range since {
			s.bound[r] = since[r] > 0 && since[r] <= a.confirmed
		}
	}
}

// Ignore handles the answer of an owner of an earlier version, which keeps no quotas: the
// others need not wait for it.
func (l *Lender) Ignore(pool string, ownerFence int64) {
	if a := l.pools[pool]; a != nil && ownerFence >= a.ownerFence {
		*a = *newAccount(ownerFence)
		a.known, a.exempt = true, true
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
	l.release()
	for organisation, quota := range l.quotas {
		if l.bind(organisation, quota) {
			l.divide(organisation, quota)
		}
	}
}

// release tells the owners that limits by quotas that are not declared any more must not be used if
// a quota is declared again: until then what other pools use is not limited.
func (l *Lender) release() {
	for _, a := range l.pools {
		for organisation, s := range a.shares {
			if !Limited(l.quotas[organisation]) {
				l.setLimit(s, s.limit, jaypool.Resources{}, true)
			}
		}
	}
}

// bind reports whether the owners of all pools keep their limits of a quota. The others may have
// started tasks without a limit since their latest report: they are told the quota, with limits of
// nothing, and the report that confirms this tells what they use. Owners of removed pools are not
// asked any more: what they used by their latest report counts.
func (l *Lender) bind(organisation string, quota jaypool.Resources) bool {
	all := true
	for _, a := range l.pools {
		s := a.share(organisation)
		if a.exempt || a.unnamed || s.isBound(vectorOf(quota)) {
			continue
		}
		all = false
		if pending := s.changed > a.confirmed; !pending || s.limit != (vector{}) || s.quota != quota {
			l.changeLimit(s, vector{}, quota, l.revision)
		}
	}
	return all
}

// isBound reports whether the owner keeps its limits of all resources of a quota.
func (s *share) isBound(quota vector) bool {
	for r, of := range quota {
		if of > 0 && !s.bound[r] {
			return false
		}
	}
	return true
}

// divide decides on the limits of one organisation. Limits are lowered first; what is free
// once all pools have confirmed lower limits is lent anew in a later round.
func (l *Lender) divide(organisation string, quota jaypool.Resources) {
	total, parts := vectorOf(quota), []Part{}
	names := slices.Sorted(maps.Keys(l.pools))
	for _, pool := range names {
		s := l.pools[pool].share(organisation)
		parts = append(parts, Part{Used: s.used, Wanted: s.wanted, Largest: s.largest, Limit: s.limit, Turn: l.turn(organisation, pool, s), LastTurn: s.lastTurn})
	}
	l.passTurn(organisation, total, names, parts)
	targets := l.division.Divide(total, parts)
	capTargets(total, parts, targets)
	fits := l.fits(organisation, total)
	free := l.lowestBasis(organisation, total)
	for n, pool := range names {
		s := l.pools[pool].share(organisation)
		lower := s.limit
		for r := range lower {
			lower[r] = min(lower[r], targets[n][r])
		}
		if parts[n].Turn == Chosen && s.wanted != (vector{}) && s.quota == quota && !exceeded(total, parts) {
			// The task that may exceed the quota has not been started yet.
			lower = lower.max(s.limit.min(s.used.add(s.largest)))
		}
		l.setLimit(s, lower, quota, fits)
		for r, of := range s.committed() {
			free[r] -= of
		}
	}
	for n, pool := range names {
		s := l.pools[pool].share(organisation)
		before := s.committed()
		limit, exceeds := s.raised(targets[n], free, total, l.mayExceed(organisation, total, n, s, parts))
		l.setLimit(s, limit, quota, fits)
		if exceeds {
			l.turns++
			s.lastTurn = l.turns
			l.chosen[organisation] = chosen{pool: pool, used: s.used}
		}
		for r, of := range s.committed() {
			free[r] -= of - before[r]
		}
	}
}

// exceeded reports whether more is in use than the quota.
func exceeded(quota vector, parts []Part) bool {
	var used vector
	for _, p := range parts {
		used = used.add(p.Used)
	}
	for r, of := range quota {
		if of > 0 && used[r] > of {
			return true
		}
	}
	return false
}

// fits reports whether what is committed to all pools is within a quota. It is not when the quota
// was lowered, until the pools have confirmed lower limits.
func (l *Lender) fits(organisation string, quota vector) bool {
	var committed vector
	for _, a := range l.pools {
		committed = committed.add(a.share(organisation).committed())
	}
	for r, of := range quota {
		if of > 0 && committed[r] > of {
			return false
		}
	}
	return true
}

// lowestBasis returns the lowest one of a quota and those by which limits were decided that may
// be in force. More is not lent: a limit is used as long as the quota is not lower than its basis,
// and so must not let the pools use more than that together.
func (l *Lender) lowestBasis(organisation string, quota vector) vector {
	for _, a := range l.pools {
		quota = lowerQuota(quota, a.share(organisation).basis)
	}
	return quota
}

// lowerQuota returns the lower one of two quotas. A quota of 0 limits nothing.
func lowerQuota(a, b vector) vector {
	for r := range a {
		if a[r] == 0 || b[r] > 0 && b[r] < a[r] {
			a[r] = b[r]
		}
	}
	return a
}

// capTargets lowers targets that could not all be used beside what is in use already. While
// more is in use than the quota, no pool may start a task, not even in place of one that has
// ended.
func capTargets(quota vector, parts []Part, targets []vector) {
	stop := exceeded(quota, parts)
	for r, of := range quota {
		sum := int64(0)
		for n, p := range parts {
			sum += max(targets[n][r], p.Used[r])
		}
		for n, p := range parts {
			switch {
			case stop:
				targets[n][r] = 0
			case of > 0 && sum > of:
				targets[n][r] = min(targets[n][r], p.Used[r])
			}
		}
	}
}

// turn returns a pool's turn among those whose share of a quota is too small for a task.
func (l *Lender) turn(organisation, pool string, s *share) Turn {
	c := l.chosen[organisation]
	if c.pool != pool {
		return Waiting
	}
	if !c.served && c.used != s.used {
		c.served, c.reports, s.unusedTurns = true, 0, 0
		l.chosen[organisation] = c
	}
	if c.served {
		return Served
	}
	return Chosen
}

// raised returns a limit that is raised towards a target by what is free of the quota. While
// more is committed than the quota, no limit is raised, not even to what is in use: what is
// in use ends, and the limit would remain.
//
// If less is free than the largest waiting task needs, the task may exceed the quota, as one
// task may: the smallest quota must not keep a task from ever running. Something of the quota must be
// left beside what the other pools are lent and this one uses.
func (s *share) raised(target, free, quota vector, mayExceed bool) (limit vector, exceeds bool) {
	limit = s.limit
	for r := range limit {
		if free[r] >= 0 {
			limit[r] = max(limit[r], min(target[r], s.committed()[r]+free[r]))
		}
		over := s.used[r] + s.largest[r] - limit[r]
		short := quota[r] > 0 && over > 0
		if short && (!mayExceed || free[r]+s.committed()[r]-s.used[r] <= 0 || target[r] <= s.used[r] || over > s.task[r]) {
			return limit, false
		}
		exceeds = exceeds || short
	}
	if exceeds {
		limit = limit.max(s.used.add(s.largest))
	}
	return limit, exceeds
}

// setLimit changes a limit. The former one counts as lent until the pool's owner has confirmed
// the change. While what is committed does not fit the quota, the limit remains one of the former
// quota, by which the owners that know of the lower quota start nothing.
func (l *Lender) setLimit(s *share, limit vector, quota jaypool.Resources, fits bool) {
	revision := l.revision
	if !fits {
		quota, revision = s.quota, s.revision
	}
	if s.limit == limit && s.quota == quota {
		return
	}
	l.changeLimit(s, limit, quota, revision)
}

// changeLimit changes a limit and the quota that it is decided by.
func (l *Lender) changeLimit(s *share, limit vector, quota jaypool.Resources, revision int64) {
	s.limit, s.quota, s.revision, s.changed = limit, quota, revision, l.message+1
	s.lent, s.basis = s.lent.max(limit), lowerQuota(s.basis, vectorOf(quota))
}

// Pending reports whether a pool's owner has not reported yet, or has limits to confirm: a
// message should then be sent without delay.
func (l *Lender) Pending(pool string) bool {
	a := l.pools[pool]
	if a == nil || len(l.quotas) == 0 {
		return false
	}
	if !a.known {
		return true
	}
	for _, s := range a.shares {
		if s.changed > a.confirmed {
			return true
		}
	}
	return false
}

// Message returns the message to a pool's owner: the limits that it has not confirmed, or the
// quotas if it has not reported all its limits.
func (l *Lender) Message(pool string) Message {
	l.message++
	m := Message{Number: Number{Fence: l.fence, Message: l.message}}
	a := l.pools[pool]
	if a == nil {
		return m
	}
	if !a.known {
		m.All, m.Limits = true, l.toldQuotas()
		return m
	}
	m.OwnerFence = a.ownerFence
	for _, organisation := range slices.Sorted(maps.Keys(a.shares)) {
		if s := a.shares[organisation]; s.changed > a.confirmed {
			m.Limits = append(m.Limits, Limit{Organisation: organisation, Limit: s.limit.resources(), Quota: s.quota, Revision: s.revision})
		}
	}
	return m
}

// toldQuotas returns limits of nothing that tell all quotas.
func (l *Lender) toldQuotas() (told []Limit) {
	for _, organisation := range slices.Sorted(maps.Keys(l.limitedSince)) {
		told = append(told, Limit{Organisation: organisation, Quota: l.quotas[organisation], Revision: l.revision})
	}
	return told
}
