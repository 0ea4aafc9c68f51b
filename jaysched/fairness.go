package jaysched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jaythread/jayshare"
)

// shortageEndsAfter is for how long there must have been no shortage until the shares are no
// longer in force. A decision that its limit of starts cuts short notices no lack of room, and the
// order of the queue must not change with each of them.
const shortageEndsAfter = 5 * reviewInterval

// fairness is what a pool knows of the organisations' shares.
type fairness struct {
	weights map[string]float64
	// elsewhere is what organisations use and want in the other pools, as of heardAt, by the
	// fleet's owner with the fence fleetFence.
	elsewhere  []jayshare.Use
	heardAt    time.Duration
	fleetFence int64
	// shortUntil is until when shares are in force if the shortage ends now.
	shortUntil time.Duration
	// participants are the organisations that use or want room, by name, while shares are in
	// force; jobs without an organisation are one more. Otherwise it is nil.
	participants map[string]*participant
	// level is the level of the latest division, see jayshare.Level.
	level float64
	// rows holds what the present review has found of each open job, in the order of the queue.
	rows []fairnessRow
}

// participant is an organisation that takes part in the division. All amounts are thousandths of
// a core.
type participant struct {
	// here is what the organisation uses and wants in this pool, elsewhere what it uses and wants
	// in the other pools.
	here, elsewhere jayshare.Use
	demand          jayshare.Demand
	// left is how much more the organisation's jobs may use within its share.
	left int64
	// beyondAt is the time of the latest review that found a job beyond the share. While logged
	// is set, the participant was reported as beyond its share, at beyondSince.
	beyondAt    time.Duration
	beyondSince time.Duration
	logged      bool
}

// entitlement returns the participant's entitlement at a level. It is never zero: one that uses
// nothing has its first job served, however small its weight, or it would starve while others use
// all of the capacity.
func (m *participant) entitlement(level float64) int64 {
	return max(1, m.demand.Entitlement(level))
}

// fairnessRow is what a review finds of one open job.
type fairnessRow struct {
	member *participant
	wants  int64
	begun  bool
}

// OrganisationShare is the share of an organisation while its pool lacks room, in thousandths of
// a core.
type OrganisationShare struct {
	Organisation string
	ShareMilli   int64
}

// SetWeights sets the declared weights of the organisations. Others have the weight one.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.fairness.weights = weights
}

// SetUsedElsewhere sets what organisations use and want in the other pools. Messages of replaced
// owners of the fleet are ignored.
func (p *Pool) SetUsedElsewhere(fence int64, uses []jayshare.Use, now time.Duration) {
	f := &p.fairness
	if fence < f.fleetFence {
		return
	}
	f.elsewhere, f.heardAt, f.fleetFence = uses, now, fence
}

// OrganisationUses returns what each organisation uses and wants in the pool, in the order of
// their names. Tasks of long-running jobs do not count: they are served first in any case, and
// the room that they take is not divided.
func (p *Pool) OrganisationUses(now time.Duration) []jayshare.Use {
	if !p.settings.FairShares {
		return nil
	}
	f := &p.fairness
	inForce := f.participants != nil
	if !inForce {
		p.countParticipants(now) // otherwise the latest review has counted them
	}
	uses := make([]jayshare.Use, 0, len(f.participants))
	for organisation, member := range f.participants {
		if u := member.here; u.UsedMilli > 0 || u.WantedMilli > 0 {
			u.Organisation = organisation
			uses = append(uses, u)
		}
	}
	if !inForce {
		f.participants = nil
	}
	slices.SortFunc(uses, func(a, b jayshare.Use) int { return strings.Compare(a.Organisation, b.Organisation) })
	return uses
}

// Shares returns the organisations' shares while they are in force, in the order of their names.
func (p *Pool) Shares() []OrganisationShare {
	shares := make([]OrganisationShare, 0, len(p.fairness.participants))
	for organisation, member := range p.fairness.participants {
		if member.demand.Milli > 0 {
			shares = append(shares, OrganisationShare{Organisation: organisation, ShareMilli: member.demand.Share(p.fairness.level)})
		}
	}
	slices.SortFunc(shares, func(a, b OrganisationShare) int { return strings.Compare(a.Organisation, b.Organisation) })
	return shares
}

// usedAndWanted returns what the tasks of a job that run need together, and what those need that
// wait and could run now, in thousandths of a core. Long-running jobs have neither, and the waiting
// tasks of expired jobs do not count, since all others are served before them.
func (j *job) usedAndWanted(now time.Duration) (used, wanted int64) {
	if j.longRunning {
		return 0, 0
	}
	for _, o := range j.occurrences {
		if now < o.due {
			continue
		}
		for _, s := range o.steps {
			if s.openPredecessors > 0 || s.open == 0 {
				continue
			}
			need := needOf(s).ProcessorsMilli
			used += need * int64(s.open-s.waiting)
			if j.deadlineStatus != expired {
				wanted += need * int64(s.waiting)
			}
		}
	}
	if _, due := j.unheld(now); due > 0 && j.deadlineStatus != expired {
		wanted += j.initialNeed().ProcessorsMilli * int64(due)
	}
	return used, wanted
}

// reviewShares determines which jobs are beyond their organisation's share during a shortage.
// It reports whether the order of the queue may have changed. An overloaded pool has a shortage
// in any case, which saves the calculation.
//
// It handles this load: some organisations send several times their usual work, more than the
// workers can do. Ordered by their targets, the jobs of all organisations become late by the same
// time. Jobs within the share of their organisation are served first, so that an organisation that
// sends no more than its share is served as if the others did the same.
func (p *Pool) reviewShares(overloaded bool, now time.Duration) (changed bool) {
	f := &p.fairness
	if !p.settings.FairShares {
		return false
	}
	if p.lackedRoom && (overloaded || p.exceedsSlack()) {
		f.shortUntil = now + shortageEndsAfter
	}
	if now >= f.shortUntil || p.sharedRoom() <= 0 {
		// A new owner knows no workers until they have reported.
		return p.endShares(now)
	}
	inForce := f.participants != nil
	if p.countParticipants(now) < 2 && !inForce {
		f.participants = nil
		return false
	}
	p.divideCapacity()
	for n, j := range p.open {
		row := f.rows[n]
		if row.wants == 0 {
			continue
		}
		was := j.beyondShare
		// A job that has begun within the share stays there: its own tasks, once they run, must
		// not put it behind others.
		j.beyondShare = row.member.left <= 0 && (was || !row.begun)
		row.member.left -= row.wants
		if j.beyondShare {
			row.member.beyondAt = now
		}
		changed = changed || j.beyondShare != was
	}
	p.recordShareChanges(false, now)
	return changed
}

// exceedsSlack reports whether the waiting work takes the pool's workers longer than its jobs can
// wait on average. Until then the order by target has nearly all of them done in time, and any
// other order makes some late without need.
func (p *Pool) exceedsSlack() bool {
	work, slack, count := 0.0, 0.0, 0.0
	for _, j := range p.open {
		if j.longRunning || j.spec.Schedule.Timed() || j.deadlineStatus == expired || j.waiting == 0 {
			continue
		}
		work += p.waitingWork(j)
		slack += j.slack.Seconds()
		count++
	}
	return work*count > slack*float64(max(1, p.sharedRoom()))
}

// countParticipants sums up what each organisation uses and wants, and returns how many want room
// in the pool.
func (p *Pool) countParticipants(now time.Duration) (wanting int) {
	f := &p.fairness
	if f.participants == nil {
		f.participants = map[string]*participant{}
	}
	for _, member := range f.participants {
		member.here, member.elsewhere = jayshare.Use{}, jayshare.Use{}
	}
	if now-f.heardAt <= jayshare.MaxAge {
		for _, u := range f.elsewhere {
			f.participant(u.Organisation).elsewhere = u
		}
	}
	f.rows = f.rows[:0]
	for _, j := range p.open {
		used, wanted := j.usedAndWanted(now)
		row := fairnessRow{wants: wanted, begun: j.started || used > 0}
		if used > 0 || wanted > 0 {
			row.member = f.participant(j.spec.Organisation)
			if row.member.here.WantedMilli == 0 && wanted > 0 {
				wanting++
			}
			row.member.here.UsedMilli += used
			row.member.here.WantedMilli += wanted
		}
		f.rows = append(f.rows, row)
	}
	return wanting
}

func (f *fairness) participant(organisation string) *participant {
	member, known := f.participants[organisation]
	if !known {
		member = &participant{demand: jayshare.Demand{Weight: f.weights[organisation]}}
		f.participants[organisation] = member
	}
	return member
}

// divideCapacity divides the capacity of all pools by what the participants use and want. Of the
// other pools, only what is used there is known; room that nobody uses there cannot serve this
// pool either before its hosts have moved.
func (p *Pool) divideCapacity() {
	f := &p.fairness
	capacity := p.sharedRoom()
	demands := make([]jayshare.Demand, 0, len(f.participants))
	for organisation, member := range f.participants {
		capacity += member.elsewhere.UsedMilli
		used := member.here.UsedMilli + member.elsewhere.UsedMilli
		member.demand.Milli = used + member.here.WantedMilli + member.elsewhere.WantedMilli
		if quota := p.quotas.declared.Of[organisation].ProcessorsMilli; quota > 0 {
			member.demand.Milli = max(used, min(member.demand.Milli, quota))
		}
		member.demand.Weight = f.weights[organisation]
		demands = append(demands, member.demand)
	}
	f.level = jayshare.Level(capacity, demands)
	for _, member := range f.participants {
		member.left = member.entitlement(f.level) - member.here.UsedMilli - member.elsewhere.UsedMilli
	}
}

// sharedRoom returns the pool's capacity without that of long-running tasks, in thousandths of a
// core. Workers that start no tasks count as far as they are in use.
func (p *Pool) sharedRoom() int64 {
	room := int64(0)
	for _, w := range p.sorted {
		room += w.roomBesideLongRuns().ProcessorsMilli
		if !w.usable() {
			room -= w.free.ProcessorsMilli
		}
	}
	return room
}

// beyondOnArrival reports whether a job that arrives between two reviews is beyond the share of
// its organisation: otherwise an organisation far beyond its share would have all its jobs that
// arrive before the next review served first.
func (p *Pool) beyondOnArrival(j *job) bool {
	f := &p.fairness
	if f.participants == nil || j.longRunning {
		return false
	}
	wants := int64(0)
	for _, s := range j.earliest().steps {
		if s.openPredecessors == 0 {
			wants += needOf(s).ProcessorsMilli * int64(s.waiting)
		}
	}
	if wants == 0 {
		return false // no review would place it again
	}
	member, known := f.participants[j.spec.Organisation]
	if !known {
		member = f.participant(j.spec.Organisation)
		member.left = member.entitlement(f.level)
	}
	beyond := member.left <= 0
	member.left -= wants
	return beyond
}

// endShares returns to the order without shares, and reports whether a job was beyond a share.
func (p *Pool) endShares(now time.Duration) (changed bool) {
	if p.fairness.participants == nil {
		return false
	}
	for _, j := range p.open {
		changed = changed || j.beyondShare
		j.beyondShare = false
	}
	p.recordShareChanges(true, now)
	p.fairness.participants = nil
	return changed
}

// recordShareChanges records which organisations have jobs beyond their share since this review,
// and which had none for shortageEndsAfter: an organisation at its share has some now and then. If
// ended is set, the shares are no longer in force and no organisation is beyond its share.
func (p *Pool) recordShareChanges(ended bool, now time.Duration) {
	f := &p.fairness
	for _, organisation := range sortedNames(f.participants) {
		member := f.participants[organisation]
		kind, since := BeyondShare, time.Duration(0)
		switch {
		case !member.logged && member.beyondAt == now:
			member.logged, member.beyondSince = true, now
		case member.logged && (now-member.beyondAt >= shortageEndsAfter || ended):
			member.logged, kind, since = false, WithinShare, now-member.beyondSince
		default:
			continue
		}
		detail := fmt.Sprintf("used here %d, used elsewhere %d, wanted here %d, wanted elsewhere %d, share %d, in thousandths of a core",
			member.here.UsedMilli, member.elsewhere.UsedMilli, member.here.WantedMilli, member.elsewhere.WantedMilli, member.demand.Share(f.level))
		if organisation == "" {
			detail = "jobs without an organisation, " + detail
		}
		p.recordEvent(Event{Kind: kind, Organisation: organisation, Waited: since, Detail: detail}, now)
	}
}

func sortedNames(participants map[string]*participant) []string {
	names := make([]string, 0, len(participants))
	for name := range participants {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
