package jaysched

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jaythread/jaypool"
	"jaythread/jayquota"
)

// Quotas are the organisations' quotas by the declarations that the owner knows.
type Quotas struct {
	Revision int64
	Of       map[string]jaypool.Resources
	// Current says that the declarations are recent enough to be applied. Otherwise no tasks of
	// organisations are started, since a lower quota may be in force.
	Current bool
}

// quotas is what a pool knows of the organisations' quotas and of their use.
type quotas struct {
	declared Quotas
	limits   *jayquota.Holder
	// used is what the runs of each organisation's tasks need together.
	used map[string]jaypool.Resources
	// possible is what runs of a former owner that no worker has reported may need together.
	possible map[string]jaypool.Resources
	// possibleAt is when possible was computed.
	possibleAt time.Duration
	// reached maps the organisations whose quota kept a task from starting in the present
	// decision to the reason, reachedSince those of earlier decisions to the time of the first.
	reached      map[string]string
	reachedSince map[string]time.Duration
}

// WithLender sets the fence of the newest owner of the fleet when the pool was claimed: earlier
// ones lend nothing any more.
func WithLender(fence int64) Option {
	return func(p *Pool) { p.quotas.limits = jayquota.NewHolder(fence) }
}

func newQuotas() quotas {
	return quotas{limits: jayquota.NewHolder(0), used: map[string]jaypool.Resources{}, reached: map[string]string{}, reachedSince: map[string]time.Duration{}}
}

// usedBy returns the most that an organisation's tasks may be using in the pool.
func (q *quotas) usedBy(organisation string) jaypool.Resources {
	return q.used[organisation].Add(q.possible[organisation])
}

// none reports whether no quota is known, from the declarations or from the fleet's owner.
func (q *quotas) none() bool {
	return len(q.declared.Of) == 0 && !q.limits.Told()
}

// of returns the quota of an organisation that is in force for the pool.
func (q *quotas) of(organisation string) jaypool.Resources {
	return q.limits.Quota(organisation, q.declared.Revision, q.declared.Of[organisation])
}

// outdated reports whether the declared quotas may no longer be those in force.
func (q *quotas) outdated() bool {
	return len(q.declared.Of) > 0 && !q.declared.Current
}

// countRun adds a run to what its organisation uses, or removes it.
func (q *quotas) countRun(r *run, sign int64) {
	organisation := r.task.step.job.spec.Organisation
	if organisation == "" {
		return
	}
	used := q.used[organisation].Add(r.task.step.decl.Need.Times(sign))
	if used == (jaypool.Resources{}) {
		delete(q.used, organisation)
		return
	}
	q.used[organisation] = used
}

// SetQuotas sets the quotas that are in force.
func (p *Pool) SetQuotas(declared Quotas) {
	p.quotas.declared = declared
}

// ApplyQuotaMessage applies the limits that the fleet's owner has lent to the pool.
func (p *Pool) ApplyQuotaMessage(m jayquota.Message) {
	p.quotas.limits.Apply(p.fence, m)
}

// quotaAllows reports whether the quota of a step's organisation lets some of its tasks start. If
// not, it records that the quota is reached.
func (p *Pool) quotaAllows(s *step, tasks int) bool {
	if p.withinQuota(s, tasks) {
		return true
	}
	p.noteQuotaReached(s, tasks)
	return false
}

// noteQuotaReached records that the quota of a step's organisation keeps some of its tasks from
// starting.
func (p *Pool) noteQuotaReached(s *step, tasks int) {
	q, organisation := &p.quotas, s.job.spec.Organisation
	if q.outdated() {
		q.reached[organisation] = "the declarations may be outdated"
	} else if _, known := q.reached[organisation]; !known {
		need := s.decl.Need.Times(int64(tasks))
		q.reached[organisation] = fmt.Sprintf("used here %+v, needed %+v, %s, quota %+v", q.usedBy(organisation), need, q.limits.Describe(organisation), q.of(organisation))
	}
}

// withinQuota reports whether the quota of a step's organisation lets some of its tasks start.
// Unlike quotaAllows, it records nothing.
func (p *Pool) withinQuota(s *step, tasks int) bool {
	q, organisation := &p.quotas, s.job.spec.Organisation
	if organisation == "" || q.none() {
		return true
	}
	need := s.decl.Need.Times(int64(tasks))
	return !q.outdated() && q.limits.Allows(organisation, q.declared.Revision, q.declared.Of[organisation], q.usedBy(organisation), need)
}

// recordReachedQuotas records the quotas that keep tasks from starting since this decision, and
// those that do not any more.
func (p *Pool) recordReachedQuotas(now time.Duration) {
	q := &p.quotas
	for _, organisation := range slices.Sorted(maps.Keys(q.reached)) {
		if _, before := q.reachedSince[organisation]; !before {
			q.reachedSince[organisation] = now
			p.recordEvent(Event{Kind: QuotaReached, Organisation: organisation, Detail: q.reached[organisation]}, now)
		}
	}
	for _, organisation := range slices.Sorted(maps.Keys(q.reachedSince)) {
		if _, still := q.reached[organisation]; !still {
			p.recordEvent(Event{Kind: QuotaFree, Organisation: organisation, Waited: now - q.reachedSince[organisation]}, now)
			delete(q.reachedSince, organisation)
		}
	}
	clear(q.reached)
}

// QuotaReport returns what the pool uses and wants of the organisations' quotas. The use of
// organisations without a quota is reported too: the fleet's owner may know of one that is not
// known here yet.
func (p *Pool) QuotaReport(all bool, now time.Duration) jayquota.Report {
	p.updatePossibleUse(now)
	uses := map[string]jayquota.Use{}
	for organisation := range p.quotas.used {
		uses[organisation] = jayquota.Use{Used: p.quotas.usedBy(organisation)}
	}
	for organisation := range p.quotas.possible {
		uses[organisation] = jayquota.Use{Used: p.quotas.usedBy(organisation)}
	}
	for _, j := range p.open {
		organisation := j.spec.Organisation
		if j.waiting == 0 || !jayquota.Limited(p.quotas.of(organisation)) {
			continue
		}
		use := uses[organisation]
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting > 0 && s.ready(now) && !s.exceedsQuota {
					use.Wanted = use.Wanted.Add(s.decl.Need.Times(int64(s.waiting)))
					use.Largest = use.Largest.Max(s.togetherNeed())
					use.Task = use.Task.Max(s.decl.Need)
				}
			}
		}
		if _, due := j.unheld(now); due > 0 {
			use.Wanted = use.Wanted.Add(j.initialNeed().Times(int64(due)))
		}
		uses[organisation] = use
	}
	return p.quotas.limits.Report(p.fence, all, uses)
}

// startsTogether returns how many tasks of a step can only start together.
func (s *step) startsTogether() int {
	if s.decl.Gang {
		return s.decl.Tasks
	}
	return 1
}

// togetherNeed returns what those tasks of a step need that can only start together.
func (s *step) togetherNeed() jaypool.Resources {
	return s.decl.Need.Times(int64(s.startsTogether()))
}

// exceedsQuota reports whether a gang is larger than the quota of its organisation lets start: its members
// start together, and only one task may exceed the quota. The gang waits, since another quota may be declared.
func (p *Pool) exceedsQuota(s *step) bool {
	organisation := s.job.spec.Organisation
	others := s.decl.Need.Times(int64(s.decl.Tasks - 1))
	return organisation != "" && jayquota.Exceeds(p.quotas.of(organisation), others)
}

// reviewGang determines whether a gang waits because it exceeds its quota, and records when that begins.
// Meanwhile it counts neither as wanted of the quota nor as demand: what it would keep from others it could
// not use.
func (p *Pool) reviewGang(s *step, now time.Duration) (waits bool) {
	before := s.exceedsQuota
	if s.exceedsQuota = p.exceedsQuota(s); !s.exceedsQuota {
		return false
	}
	organisation := s.job.spec.Organisation
	reason := fmt.Sprintf("step %d is a gang of %d tasks of %v, the quota of its organisation is %v", s.id.Step, s.decl.Tasks, sizeText(s.decl.Need), sizeText(p.quotas.of(organisation)))
	p.quotas.reached[organisation] = reason
	if !before {
		p.recordEvent(Event{Kind: GangExceedsQuota, Job: s.job.spec.ID, Organisation: organisation, Detail: reason}, now)
	}
	return true
}

// possibleUseInterval is the least time between two computations of what runs of a former owner
// may need. It decreases with each report, so that an older value counts too much; where it may
// increase it is computed again at once.
const possibleUseInterval = 100 * time.Millisecond

// updatePossibleUse determines what runs of a former owner may need that no worker has reported
// yet: no more than the tasks that it may have started, and no more than the workers can run that
// have not answered this owner.
//
// It handles this load: hundreds of workers report one after the other to a new owner that has
// restored more than a thousand jobs. Computed after each report, it took half of the owner's
// processor time, the reports waited, and the owner was presumed to have ended.
func (p *Pool) updatePossibleUse(now time.Duration) {
	if !p.formerRunsPossible(now) {
		p.quotas.possible = nil
		return
	}
	if p.quotas.possible != nil && now < p.quotas.possibleAt+possibleUseInterval {
		return
	}
	p.quotas.possibleAt = now
	possible := map[string]jaypool.Resources{}
	for _, j := range p.open {
		if organisation := j.spec.Organisation; organisation != "" && j.inherited {
			possible[organisation] = possible[organisation].Add(j.unreportedNeed())
		}
	}
	if room, bounded := p.unansweredRoom(); bounded {
		for organisation, need := range possible {
			possible[organisation] = lesser(need, room)
		}
	}
	p.quotas.possible = possible
}

// unreportedNeed returns what the tasks of a job need together that a former owner may have
// started.
func (j *job) unreportedNeed() jaypool.Resources {
	var total jaypool.Resources
	j.eachTask(func(t *task) {
		if (t.mayRunUnreported || t.formerPlacement != nil) && !t.done && len(t.runs) == 0 {
			total = total.Add(t.step.decl.Need)
		}
	})
	if !j.mayRunUnreported {
		return total
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			total = total.Add(s.decl.Need.Times(int64(s.unheld())))
		}
	}
	unheld, _ := j.unheld(0)
	for n := range j.spec.Steps {
		s := &j.spec.Steps[n]
		total = total.Add(s.Need.Times(int64(unheld * s.Tasks)))
	}
	return total
}

// unansweredRoom returns the capacity of the workers that have not answered this owner; it is
// not bounded while some workers may be unknown.
func (p *Pool) unansweredRoom() (room jaypool.Resources, bounded bool) {
	if !p.formerRuns.allListed() {
		return room, false
	}
	for _, w := range p.sorted {
		if p.mayHaveFormerRuns(w) {
			room = room.Add(w.Capacity)
		}
	}
	return room, true
}

func lesser(a, b jaypool.Resources) jaypool.Resources {
	return jaypool.Resources{
		ProcessorsMilli: min(a.ProcessorsMilli, b.ProcessorsMilli),
		MemoryMegabytes: min(a.MemoryMegabytes, b.MemoryMegabytes),
		Accelerators:    min(a.Accelerators, b.Accelerators),
	}
}
