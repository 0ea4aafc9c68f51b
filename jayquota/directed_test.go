package jayquota

func (m *model) poolsInAnyOrder() (pool, other string) {
	if m.random.IntN(2) == 0 {
		return "b", "a"
	}
	return "a", "b"
}

// directedMove makes a move that consists of several steps in an order in which faults show. Some
// of its messages are lost or overtaken by later ones.
func (m *model) directedMove() {
	pool, other := m.poolsInAnyOrder()
	lender := m.latestLender()
	switch move := m.random.IntN(100); {
	case move < 20:
		m.lend(m.mostly(lender), pool, m.mostlyLatestOwner(pool), m.mostlyLatestOwner(other))
	case move < 40:
		m.startMany(pool, m.mostlyLatestOwner(pool))
	case move < 44:
		m.reach(pool, m.latestOwner(pool))
	case move < 51:
		for _, w := range m.workers[pool] {
			w.running = w.running[m.random.IntN(len(w.running)+1):]
		}
	case move < 53:
		m.changeQuota()
		m.latestOwner(pool).revision, lender.revision = len(m.quotas)-1, len(m.quotas)-1
		m.oldest += m.random.IntN(len(m.quotas) - m.oldest)
	case move < 55:
		m.replaceOwner(pool)
		m.reach(pool, m.latestOwner(pool))
		m.lend(lender, pool, m.latestOwner(pool), m.latestOwner(other))
	case move < 57:
		m.askFormerOwner(pool, other)
	case move < 60:
		m.lowerQuotaDuringStarts(pool, other)
	case move < 63:
		m.replaceOwnerBeforeMessage(pool, other)
	case move < 66:
		m.askFormerLendersOwner(pool, other)
	case move < 69:
		m.overtakeMessage(pool, other)
	case move < 72:
		m.raiseQuotaAndLowerIt(pool, other)
	case move < 82:
		m.step()
	default:
		m.deliver()
	}
}

// askFormerOwner lets a new lender ask an owner of a pool that may be replaced, while the former
// lender goes on.
func (m *model) askFormerOwner(pool, other string) {
	lender, owner := m.latestLender(), m.latestOwner(pool)
	m.replaceLender()
	former := m.owners[pool][max(0, len(m.owners[pool])-2)]
	m.lend(m.latestLender(), other, m.latestOwner(other), former)
	m.lend(m.mostly(lender), pool, owner, m.latestOwner(other))
	m.lend(m.latestLender(), other, m.latestOwner(other), former)
	m.startMany(other, m.latestOwner(other))
}

// lowerQuotaDuringStarts lowers the quota while a pool's owner, which does not know of it, starts
// tasks by the former quota. The other pool's owner has its new limit earlier.
func (m *model) lowerQuotaDuringStarts(pool, other string) {
	lender, owner, others := m.latestLender(), m.latestOwner(pool), m.latestOwner(other)
	m.quotas = append(m.quotas, 150)
	former := len(m.quotas) - 1
	owner.revision, others.revision, lender.revision = former, former, former
	for range 3 {
		m.ask(lender, pool, owner, 0)
		m.ask(lender, other, others, 0)
	}
	m.changeQuota()
	m.startMany(pool, owner)
	others.revision, lender.revision, m.oldest = former+1, former+1, former+1
	m.ask(lender, other, others, 200)
	m.ask(lender, other, others, 200)
	m.startMany(other, others)
}

// raiseQuotaAndLowerIt raises the quota for a time, of which a pool's owner does not learn. At times
// the lender is replaced meanwhile.
func (m *model) raiseQuotaAndLowerIt(pool, other string) {
	lender, owner, others := m.latestLender(), m.latestOwner(pool), m.latestOwner(other)
	m.quotas = append(m.quotas, 70)
	former := len(m.quotas) - 1
	owner.revision, others.revision, lender.revision = former, former, former
	for range 3 {
		m.ask(lender, pool, owner, 0)
		m.ask(lender, other, others, 0)
	}
	if m.random.IntN(2) == 0 {
		m.replaceLender()
		lender = m.latestLender()
		m.ask(lender, pool, owner, 0)
	}
	m.quotas = append(m.quotas, 150)
	others.revision, lender.revision = former+1, former+1
	for range 3 {
		m.ask(lender, other, others, 200)
	}
	m.startMany(other, others)
	m.quotas = append(m.quotas, 70)
	owner.revision, m.oldest = former+2, former+2
	m.startMany(pool, owner)
}

// replaceOwnerBeforeMessage replaces the owner of a pool while a limit for the former one is on
// its way. It reaches the new owner once the former one has confirmed a lower limit.
func (m *model) replaceOwnerBeforeMessage(pool, other string) {
	lender, former, others := m.latestLender(), m.latestOwner(pool), m.latestOwner(other)
	m.lend(lender, other, others, former)
	m.replaceOwner(pool)
	m.ask(lender, pool, former, 200)
	m.ask(lender, other, others, 0)
	m.ask(lender, other, others, 0)
	m.exchange(lender, pool, m.latestOwner(pool), 200)
	arrive := m.hold()
	m.lend(lender, other, others, former)
	arrive()
	m.reach(pool, m.latestOwner(pool))
	m.startMany(other, others)
	m.startMany(pool, m.latestOwner(pool))
}

// askFormerLendersOwner lets a new lender ask the owner of one pool many times, while the former
// lender moves that pool's part of the quota to the other pool.
func (m *model) askFormerLendersOwner(pool, other string) {
	lender, owner, others := m.latestLender(), m.latestOwner(pool), m.latestOwner(other)
	m.lend(lender, pool, owner, others)
	m.replaceLender()
	m.latestLender().message += m.random.Int64N(2 * (lender.message + 1))
	m.ask(m.latestLender(), pool, owner, 0)
	m.lend(lender, other, others, owner)
	m.startMany(other, others)
	m.startMany(pool, owner)
}

// overtakeMessage lowers the limit of a pool while an earlier message to the pool is on its way.
func (m *model) overtakeMessage(pool, other string) {
	lender, owner, others := m.latestLender(), m.latestOwner(pool), m.latestOwner(other)
	m.lend(lender, pool, owner, others)
	m.exchange(lender, pool, owner, 0)
	arrive := m.hold()
	m.ask(lender, other, others, 200)
	m.ask(lender, other, others, 200)
	arrive()
	m.arriveLatest()
	m.ask(lender, other, others, 200)
	m.startMany(other, others)
	m.startMany(pool, owner)
}

func (m *model) latestLender() *modelLender {
	return m.lenders[len(m.lenders)-1]
}

func (m *model) latestOwner(pool string) *modelOwner {
	return m.owners[pool][len(m.owners[pool])-1]
}

// mostlyLatestOwner returns the latest owner of a pool, at times a former one.
func (m *model) mostlyLatestOwner(pool string) *modelOwner {
	if m.random.IntN(6) == 0 {
		return pick(m, m.owners[pool])
	}
	return m.latestOwner(pool)
}

// mostly returns the given lender, at times another one.
func (m *model) mostly(lender *modelLender) *modelLender {
	if m.random.IntN(4) == 0 {
		return pick(m, m.lenders)
	}
	return lender
}

// lend lets a lender ask an owner of a pool that wants much, and one of the other pool, which
// wants nothing, as often as it takes to move the quota.
func (m *model) lend(lender *modelLender, pool string, owner, others *modelOwner) {
	other := "a"
	if pool == "a" {
		other = "b"
	}
	for range 3 {
		m.ask(lender, other, others, 0)
		m.ask(lender, pool, owner, 200)
	}
}

// ask sends a lender's message and delivers it and the report on it, or leaves them on their way.
func (m *model) ask(lender *modelLender, pool string, owner *modelOwner, wanted int64) {
	m.exchange(lender, pool, owner, wanted)
	for range 2 {
		if m.random.IntN(10) == 0 {
			return
		}
		m.arriveLatest()
	}
}

// hold takes the latest message out of those on their way and returns what delivers it.
func (m *model) hold() func() {
	last := len(m.flights) - 1
	arrive := m.flights[last]
	m.flights = m.flights[:last]
	return arrive
}

// startMany lets an owner start tasks until its workers are full or nothing is left.
func (m *model) startMany(pool string, owner *modelOwner) {
	for _, w := range m.workers[pool] {
		for range 6 {
			m.start(pool, owner, w, 1+m.random.Int64N(modelLargest))
			if m.random.IntN(8) > 0 {
				m.arriveLatest()
			}
		}
	}
}

// reach lets all workers of a pool answer an owner, unless they know a later one.
func (m *model) reach(pool string, owner *modelOwner) {
	for _, w := range m.workers[pool] {
		if owner.fence >= w.fence {
			w.fence = owner.fence
			owner.reached[w] = true
		}
	}
}

// directedHistory plays a random history of directed moves and returns the first violation, or
// nothing.
func directedHistory(division Division, mutation mutation, seed uint64) string {
	m := newModel(division, mutation, seed)
	for range 100 {
		m.directedMove()
	}
	return m.violation
}

// firstQuotaHistory plays a random history in which the organisation has no quota at first and gets
// one while owners start tasks without a limit. It returns the first violation, or nothing.
func firstQuotaHistory(division Division, mutation mutation, seed uint64) string {
	m := newModel(division, mutation, seed)
	m.quotas = []int64{unlimited}
	for range m.random.IntN(20) {
		m.moveWithoutQuota()
	}
	m.firstQuota()
	for range 60 {
		m.directedMove()
	}
	return m.violation
}

// moveWithoutQuota makes a move that does not change the quota.
func (m *model) moveWithoutQuota() {
	pool, other := m.poolsInAnyOrder()
	switch move := m.random.IntN(10); {
	case move < 2:
		m.lend(m.mostly(m.latestLender()), pool, m.mostlyLatestOwner(pool), m.mostlyLatestOwner(other))
	case move < 4:
		m.startMany(pool, m.mostlyLatestOwner(pool))
	case move < 6:
		m.reach(pool, m.latestOwner(pool))
	case move < 7:
		m.replaceOwner(pool)
	case move < 8:
		m.replaceLender()
	default:
		m.deliver()
	}
}

// firstQuota declares the first quota. Lender and one owner learn of it, the other owner starts
// tasks without a limit until its declarations are too old. At times that one, or the lender, is
// asked or replaced meanwhile.
func (m *model) firstQuota() {
	pool, other := m.poolsInAnyOrder()
	owner, others := m.latestOwner(pool), m.latestOwner(other)
	m.reach(pool, owner)
	m.reach(other, others)
	if m.random.IntN(2) == 0 {
		m.replaceLender()
	}
	lender := m.latestLender()
	if m.random.IntN(2) == 0 {
		m.ask(lender, pool, owner, 0)
		m.ask(lender, other, others, 200)
	}
	asked := owner
	if m.random.IntN(3) == 0 {
		// The lender still asks the former owner, which does not know that it was replaced.
		m.replaceOwner(pool)
		owner = m.latestOwner(pool)
		m.reach(pool, owner)
	}
	m.ownersAtFirstQuota = map[string]int64{"a": m.latestOwner("a").fence, "b": m.latestOwner("b").fence}
	m.changeQuota()
	others.revision, lender.revision = len(m.quotas)-1, len(m.quotas)-1
	for range m.random.IntN(3) {
		m.ask(lender, pool, asked, 200)
	}
	m.startMany(pool, owner)
	m.oldest = len(m.quotas) - 1
	for range 1 + m.random.IntN(4) {
		m.ask(lender, other, others, 200)
		if m.random.IntN(3) == 0 {
			m.startMany(other, others)
		}
	}
	if m.random.IntN(2) == 0 {
		owner.revision = m.oldest
	}
	m.startMany(other, others)
}

// turnHistory plays a random history with a quota that is smaller than most tasks and with turns to
// exceed it that pass after one report. It returns the first violation, or nothing.
func turnHistory(division Division, mutation mutation, seed uint64) string {
	m := newModel(division, mutation, seed)
	m.quotas, m.shortTurns = []int64{10}, true
	m.latestLender().turnReports = 1
	for range 100 {
		for _, pool := range []string{"a", "b"} {
			m.ask(m.mostly(m.latestLender()), pool, m.mostlyLatestOwner(pool), 200)
		}
		m.directedMove()
	}
	return m.violation
}
