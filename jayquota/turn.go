package jayquota

const (
	// defaultTurnReports is the number of reports that a turn lasts at first, if the lender is not
	// told how long the move of a host takes. A host that the pool needs for its task should arrive
	// within a turn.
	defaultTurnReports = 20
	// maxTurnDoublings limits how often a pool's turn doubles: a pool that can start nothing keeps
	// the others waiting for at most 32 times the first turn.
	maxTurnDoublings = 5
)

// turnLength returns the number of reports that a pool's turn lasts while others wait. It doubles
// with each turn that the pool has not used: it may take long until a worker is empty enough.
func (l *Lender) turnLength(s *share) int {
	return l.turnReports << min(s.unusedTurns, maxTurnDoublings)
}

// SetPeriod sets the number of the present period between two regular reports. In each period one
// report counts for the length of a turn: while limits change, reports follow one another without
// delay, and a turn would be over before a host can arrive. Without periods every report counts.
func (l *Lender) SetPeriod(period int64) {
	l.period = period
}

// countTurns counts a report of a pool's owner if the limit that lets the pool exceed a quota is in
// force there.
func (l *Lender) countTurns(pool string, a *account) {
	for organisation, c := range l.chosen {
		if c.pool == pool && a.share(organisation).changed <= a.confirmed && (l.period == 0 || c.period != l.period) {
			c.reports++
			c.period = l.period
			l.chosen[organisation] = c
		}
	}
}

// passTurn ends the turn of a pool that has started nothing for as long as its turn lasts, if
// others wait: it may be unable to start its task, for lack of a worker.
func (l *Lender) passTurn(organisation string, quota vector, names []string, parts []Part) {
	c := l.chosen[organisation]
	for n, pool := range names {
		s := l.pools[pool].share(organisation)
		if parts[n].Turn != Chosen || c.reports < l.turnLength(s) || !othersWait(quota, n, parts) {
			continue
		}
		c.served, c.reports = true, 0
		s.unusedTurns++
		l.chosen[organisation] = c
		parts[n].Turn = Served
	}
}

// mayExceed reports whether a pool may get a turn to exceed a quota. After its turn the others
// come first for as long as that turn may have lasted.
func (l *Lender) mayExceed(organisation string, quota vector, n int, s *share, parts []Part) bool {
	return parts[n].Turn != Served || l.chosen[organisation].reports >= l.turnLength(s) || !othersWait(quota, n, parts)
}

// othersWait reports whether a pool other than the n-th has a waiting task that its limit keeps from
// starting.
func othersWait(quota vector, n int, parts []Part) bool {
	for m, p := range parts {
		if m == n {
			continue
		}
		for r, of := range quota {
			if of > 0 && p.Wanted[r] > 0 && p.Limit[r]-p.Used[r] < p.Largest[r] {
				return true
			}
		}
	}
	return false
}
