package jayshare

import "time"

// MaxAge is how long a report is valid. The owner of the fleet and the owners of the pools
// exchange several messages in that time.
const MaxAge = time.Second

// Use is what the tasks of an organisation use, and what its waiting tasks could use, in
// thousandths of a core. Jobs without an organisation have an empty name.
type Use struct {
	Organisation string
	UsedMilli    int64
	WantedMilli  int64
}

func (u Use) add(other Use, sign int64) Use {
	u.UsedMilli += sign * other.UsedMilli
	u.WantedMilli += sign * other.WantedMilli
	return u
}

// Ledger sums up what organisations use in all pools. It keeps the totals up to date, so that a
// message to one of many pools costs no sum over all of them. It is not safe for concurrent use.
type Ledger struct {
	reports map[string]report
	totals  map[string]Use
}

// report is the latest report of a pool, and the time at which it was asked for.
type report struct {
	at   time.Duration
	uses map[string]Use
}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger {
	return &Ledger{reports: map[string]report{}, totals: map[string]Use{}}
}

// Receive replaces the report of a pool by one that was asked for at the given time.
func (l *Ledger) Receive(pool string, uses []Use, at time.Duration) {
	if known, ok := l.reports[pool]; ok && at < known.at {
		return
	}
	l.remove(pool)
	r := report{at: at, uses: make(map[string]Use, len(uses))}
	for _, u := range uses {
		r.uses[u.Organisation] = r.uses[u.Organisation].add(u, 1)
		l.count(u, 1)
	}
	l.reports[pool] = r
}

// Elsewhere returns what each organisation uses and wants in all pools but one, without those
// that neither use nor want anything. Reports older than MaxAge are removed and do not count.
func (l *Ledger) Elsewhere(pool string, now time.Duration) []Use {
	for other, r := range l.reports {
		if now-r.at > MaxAge {
			l.remove(other)
		}
	}
	own := l.reports[pool].uses
	var uses []Use
	for organisation, total := range l.totals {
		u := total.add(own[organisation], -1)
		if u.UsedMilli > 0 || u.WantedMilli > 0 {
			u.Organisation = organisation
			uses = append(uses, u)
		}
	}
	return uses
}

// remove removes the report of a pool.
func (l *Ledger) remove(pool string) {
	for organisation, u := range l.reports[pool].uses {
		u.Organisation = organisation
		l.count(u, -1)
	}
	delete(l.reports, pool)
}

// count adds a use to the total of its organisation, or subtracts it if the sign is negative.
func (l *Ledger) count(u Use, sign int64) {
	total := l.totals[u.Organisation].add(u, sign)
	if total.UsedMilli == 0 && total.WantedMilli == 0 {
		delete(l.totals, u.Organisation)
		return
	}
	l.totals[u.Organisation] = total
}
