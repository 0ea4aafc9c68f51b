package jaysched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"jaythread/jayreturn"
	"jaythread/jayspec"
	"jaythread/jaysupply"
)

const (
	// outlookTTL is how long the outlook relies on the latest request of the fleet's owner.
	// Without one, the hosts on their way are unknown and the pool decides as if the outlook
	// did not exist.
	outlookTTL = time.Second
	// newOwnerTime is how long a new owner rejects nothing: it learns of workers and jobs.
	newOwnerTime = time.Second
	// orderHold is how long the order by what can be on time stays in force after the outlook
	// has last required it, so that a short gap in a burst does not reorder the queue twice.
	orderHold = 500 * time.Millisecond
	// spreadsInSlack is how many times the residual spread of a queue's durations must fit in
	// the slack of its jobs. With less, the deadline status of many jobs is wrong, and serving
	// by target is better.
	spreadsInSlack = 3.5
	// spreadsToLeave takes the place of spreadsInSlack for a queue that counts as predictable, so
	// that the queue does not change between the two orders at each review.
	spreadsToLeave = 2.7
	// spreadsToReorder is by how many spreads of its prediction a job must be late for the order to
	// change, so that a pool whose hosts are about to arrive keeps its order.
	spreadsToReorder = 2.0
	// minObservations is the number of observed durations from which a queue is known.
	minObservations = 20
	// unansweredTTL is how long a job whose append had no answer counts as possibly stored.
	unansweredTTL = 30 * time.Second
	// expiryInterval is the time between two searches for unused places and for jobs that do not
	// count as possibly stored any more.
	expiryInterval = time.Second
)

// Arriving is the capacity of hosts that a pool can use after the time In.
type Arriving struct {
	CapacityMilli int64
	In            time.Duration
}

// outlook is what a pool knows about when its waiting work can be done. It is computed with each
// review of the deadlines, so that a decision on an arriving job only looks it up.
//
// It handles this load: for some seconds more work arrives than all hosts can do. Served by their
// targets alone, all jobs become slightly late, and jobs are accepted whose results come too late
// for their callers.
type outlook struct {
	// beganAt is the time of the first review, or zero.
	beganAt time.Duration
	// reviewedAt is when the waiting work was summed up.
	reviewedAt time.Duration
	arriving   []Arriving
	arrivingAt time.Duration
	supply     jaysupply.Supply
	// totals are the present and arriving capacities of the recent past.
	totals []sample
	// queues holds the outlook of the queues with open jobs, by name.
	queues map[string]*queueOutlook
	// lateAt is the latest time at which the waiting work made a job late, and lateSince when this
	// began.
	lateAt    time.Duration
	lateSince time.Duration
	// byStatus says that jobs that can be on time are served first in predictable queues.
	byStatus bool
	// overloaded says that jobs that can be on time are served first in all queues.
	overloaded bool
	// arrivingWork is the work that arrives, in thousandths of a core, of the jobs of a priority
	// and more urgent ones. It is computed once between two reviews, when it is first needed.
	arrivingWork map[int]float64
	// waiting is the useful waiting work, by priority.
	waiting map[int]*waitingWork
	// waitingMilli is the sum of waiting, in thousandths of a core times seconds.
	waitingMilli float64
	// admitted are the jobs that were accepted and are not known to be stored.
	admitted map[string]admittedJob
	// recent are the admitted jobs that the waiting work does not contain yet.
	recent []admittedJob
	// places are the places of rejected jobs. expireAt is when unused places and outdated admitted
	// jobs are searched for next.
	places   *jayreturn.Queue
	expireAt time.Duration
	// left is a buffer of forecastOf for the remaining time from each step of a job.
	left []time.Duration
}

// queueOutlook tells whether the deadline status of a queue's jobs can be predicted.
type queueOutlook struct {
	jobs         int
	chain, slack time.Duration
	spread       float64
	predictable  bool
}

// admittedJob is a job that was accepted and is not known to be stored.
type admittedJob struct {
	priority int
	target   time.Duration
	work     float64
	// requests counts the requests in flight that may store the job; until is when it does not
	// count any more.
	requests int
	until    time.Duration
}

func newOutlook() *outlook {
	return &outlook{
		queues:       map[string]*queueOutlook{},
		arrivingWork: map[int]float64{},
		waiting:      map[int]*waitingWork{},
		admitted:     map[string]admittedJob{},
		places:       jayreturn.New(),
	}
}

// SetArriving sets the hosts that are on their way to the pool, as the fleet's owner knows them.
func (p *Pool) SetArriving(arriving []Arriving, now time.Duration) {
	p.outlook.arriving, p.outlook.arrivingAt = arriving, now
}

// current reports whether the outlook may be relied on.
func (o *outlook) current(now time.Duration) bool {
	return o.arrivingAt > 0 && now-o.arrivingAt <= outlookTTL
}

// reviewOutlook computes the outlook and returns whether the jobs of predictable queues are
// served by their deadline status now. The queue is in the order of the latest review.
func (p *Pool) reviewOutlook(now time.Duration) (byStatus bool) {
	o := p.outlook
	if !p.settings.RejectHopeless {
		return false
	}
	if o.beganAt == 0 {
		o.beganAt = now
	}
	if now >= o.expireAt {
		o.expireAt = now + expiryInterval
		o.places.Expire(now)
		maps.DeleteFunc(o.admitted, func(_ string, a admittedJob) bool { return now >= a.until })
	}
	if !o.current(now) {
		o.byStatus, o.totals = false, nil
		return false
	}
	p.reviewSupply(now)
	p.reviewQueues(now)
	if p.lackedRoom && o.waitingMakesLate(p.open, now) {
		if !o.byStatus {
			o.lateSince = now
		}
		o.lateAt = now
	}
	o.byStatus = o.lateAt > 0 && now-o.lateAt <= orderHold
	return o.byStatus
}

// reviewSupply computes the capacity from now on. The fleet may bring further hosts within a
// move time; as many are expected as were added within the last one.
func (p *Pool) reviewSupply(now time.Duration) {
	o := p.outlook
	milli := int64(0)
	for _, w := range p.sorted {
		if w.usable() {
			milli += max(0, w.roomBesideLongRuns().ProcessorsMilli)
		}
	}
	elapsed := now - o.arrivingAt
	o.supply = jaysupply.New(milli)
	total := milli
	for _, a := range o.arriving {
		o.supply.Add(max(0, a.In-elapsed), a.CapacityMilli)
		total += a.CapacityMilli
	}
	lead := p.settings.MoveTime + reportDelay
	o.totals = slices.DeleteFunc(o.totals, func(s sample) bool { return s.at < now-lead })
	if len(o.totals) > 0 {
		o.supply.Add(lead, max(0, total-o.totals[0].milli))
	}
	o.totals = append(o.totals, sample{at: now, milli: total})
}

// reviewQueues determines for each queue whether its durations are predicted well enough, and the
// forecast of each job.
func (p *Pool) reviewQueues(now time.Duration) {
	o := p.outlook
	for _, q := range o.queues {
		q.jobs, q.chain, q.slack = 0, 0, 0
	}
	for _, j := range p.open {
		if j.hasTarget() {
			q := p.queueOutlook(j.spec.Queue)
			j.forecast = p.forecastOf(j, q.spread, now)
			j.forecast.at, j.forecast.queue = now, q
			q.jobs++
			q.chain += j.chain
			q.slack += j.target - j.submittedAt - j.chain
		}
	}
	for name, q := range o.queues {
		if q.jobs == 0 {
			delete(o.queues, name)
			continue
		}
		spread, known := p.durations.spread(name)
		factor := spreadsInSlack
		if q.predictable {
			factor = spreadsToLeave
		}
		q.spread = spread
		q.predictable = known && factor*spread*q.chain.Seconds() <= q.slack.Seconds()
	}
}

func (p *Pool) queueOutlook(name string) *queueOutlook {
	q, known := p.outlook.queues[name]
	if !known {
		q = &queueOutlook{}
		q.spread, _ = p.durations.spread(name)
		p.outlook.queues[name] = q
	}
	return q
}

// servedByOutlook reports whether the deadline status of a job is set by the outlook of this review.
func (j *job) servedByOutlook(now time.Duration) bool {
	return j.forecast.at == now && j.forecast.queue.predictable
}

// hasTarget reports whether a job is neither long-running nor timed: only other jobs have a target
// that counts.
func (j *job) hasTarget() bool {
	return !j.longRunning && !j.spec.Schedule.Timed()
}

// waitingMakesLate reports whether a job of a predictable queue that could be on time is late
// because of the waiting work ahead of it, or whether late jobs wait.
func (o *outlook) waitingMakesLate(open []*job, now time.Duration) bool {
	ahead := 0.0
	for _, j := range open {
		if j.forecast.at != now || j.waiting == 0 {
			continue
		}
		q, f := j.forecast.queue, &j.forecast
		margin := time.Duration(spreadsToReorder * q.spread * float64(f.takes))
		if q.predictable && f.takes <= j.target-now && f.takes+o.supply.TimeFor(ahead) > j.target-now+margin {
			return true
		}
		if q.predictable && o.byStatus && j.deadlineStatus != onTime {
			// Ahead of the others again, these jobs would make them late.
			return true
		}
		ahead += f.work
	}
	return false
}

// jobForecast is how long a job takes if it is served from now on, and the work that waits.
type jobForecast struct {
	// at is the time of the review, and queue what was known about the job's queue.
	at    time.Duration
	queue *queueOutlook
	takes time.Duration
	work  float64
	// mostlyDone says that more than half of the tasks are done.
	mostlyDone bool
}

// forecastOf returns the forecast of a job that has a target. A run that has exceeded its
// prediction is expected to end within the spread of the durations, so that a job is not given
// up for a task that is about to end.
func (p *Pool) forecastOf(j *job, spread float64, now time.Duration) jobForecast {
	o := p.outlook
	steps := j.earliest().steps
	o.left = append(o.left[:0], make([]time.Duration, len(steps))...)
	var f jobForecast
	open, all := 0, 0
	for n := len(steps) - 1; n >= 0; n-- {
		s := steps[n]
		open += s.open
		all += s.decl.Tasks
		if s.open == 0 {
			continue
		}
		for _, next := range s.successors {
			o.left[n] = max(o.left[n], o.left[next.id.Step])
		}
		takes := p.durations.predict(j.spec.Queue, s.decl.Estimate)
		f.work += float64(s.waiting) * float64(needOf(s).ProcessorsMilli) * takes.Seconds()
		if s.waiting == 0 {
			takes = s.remainingTime(takes, spread, now)
		}
		o.left[n] += takes
		f.takes = max(f.takes, o.left[n])
	}
	f.mostlyDone = 2*open < all
	return f
}

// remainingTime returns the expected remaining time of a step none of whose tasks wait.
func (s *step) remainingTime(takes time.Duration, spread float64, now time.Duration) time.Duration {
	bound := time.Duration(spread * float64(takes))
	rest := time.Duration(0)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			left := takes - (now - r.orderedAt)
			if left < 0 {
				left = min(-left, bound)
			}
			rest = max(rest, left)
		}
	}
	return rest
}

// reviewByOutlook sets the deadline status of a job by the outlook. A job that is late or expired
// regains the better status only at an earlier predicted end, by the spread of the prediction or
// twice the spread, so that no job changes its status at each review. A job most of whose tasks are
// done may exceed its target by the spread and is served as if its target were earlier by as much:
// if the job were given up, the work already done would be lost.
func (p *Pool) reviewByOutlook(j *job, now time.Duration) {
	f := &j.forecast
	margin := time.Duration(f.queue.spread * float64(f.takes))
	j.targetLead = 0
	if f.mostlyDone {
		j.targetLead = margin
	}
	ends := now + f.takes
	target, useful := j.target+j.targetLead, j.submittedAt+maxLateFactor*(j.target-j.submittedAt)+margin
	if j.deadlineStatus != onTime {
		target -= margin
	}
	if j.deadlineStatus == expired {
		useful -= 2 * margin
	}
	switch {
	case ends <= target:
		j.deadlineStatus = onTime
	case ends <= useful:
		j.deadlineStatus = late
	default:
		j.deadlineStatus = expired
	}
}

// waitingWork is the useful waiting work of the jobs of one priority, by their targets.
type waitingWork struct {
	byStatus [expired]cumulated
}

// cumulated is waiting work summed up over jobs in the order of their targets.
type cumulated struct {
	targets []time.Duration
	work    []float64
}

func (c *cumulated) add(target time.Duration, work float64) {
	c.targets = append(c.targets, target)
	c.work = append(c.work, c.total()+work)
}

func (c *cumulated) total() float64 {
	if len(c.work) == 0 {
		return 0
	}
	return c.work[len(c.work)-1]
}

// until returns the work of the jobs with a target up to the given one.
func (c *cumulated) until(target time.Duration) float64 {
	n, _ := slices.BinarySearchFunc(c.targets, target, func(other, target time.Duration) int {
		// Among equal targets, the new job is served last.
		return cmp.Or(cmp.Compare(other, target), -1)
	})
	if n == 0 {
		return 0
	}
	return c.work[n-1]
}

// sumWaiting sums up the useful waiting work, once the queue is in its order. Work that waits
// for a quota of its organisation is left out: it takes no capacity from others.
func (p *Pool) sumWaiting(now time.Duration) {
	o := p.outlook
	if !p.settings.RejectHopeless || !o.current(now) {
		return
	}
	for _, w := range o.waiting {
		for n := range w.byStatus {
			c := &w.byStatus[n]
			c.targets, c.work = c.targets[:0], c.work[:0]
		}
	}
	o.waitingMilli, o.reviewedAt = 0, now
	clear(o.arrivingWork)
	for _, j := range p.open {
		if j.forecast.at != now || j.waiting == 0 || j.deadlineStatus == expired || p.waitsForQuota(j, now) || p.waitsForLargerWorker(j, now) {
			continue
		}
		w, known := o.waiting[j.priority]
		if !known {
			w = &waitingWork{}
			o.waiting[j.priority] = w
		}
		w.byStatus[j.deadlineStatus].add(j.target-j.targetLead, j.forecast.work)
		o.waitingMilli += j.forecast.work
	}
	o.recent = o.recent[:0]
	for _, a := range o.admitted {
		o.recent = append(o.recent, a)
	}
}

// waitsForQuota reports whether a task of the job that could start now waits for a quota, and
// records a reached quota as quotaAllows does.
func (p *Pool) waitsForQuota(j *job, now time.Duration) bool {
	if p.quotas.none() {
		return false
	}
	for _, s := range j.earliest().steps {
		if s.waiting > 0 && s.ready(now) {
			return s.exceedsQuota || !p.quotaAllows(s, s.startsTogether())
		}
	}
	return false
}

// Admission is the decision on a job that is to be stored.
type Admission struct {
	// Rejected says that the job cannot be done while its result is of use. RetryAfter is the time
	// until the job's turn is likely to come.
	Rejected   bool
	RetryAfter time.Duration
}

// Admit decides whether a job is to be stored. An accepted job counts as waiting until it is
// declared, or until AppendEnded. A job that is stored, or that may be stored by a request in
// flight, is never rejected.
func (p *Pool) Admit(spec *jayspec.Job, now time.Duration) Admission {
	o := p.outlook
	if _, stored := p.jobs[spec.ID]; stored || !p.settings.RejectHopeless {
		return Admission{}
	}
	if o.admitAgain(spec.ID, now) {
		return Admission{}
	}
	candidate, takes := p.candidate(spec, now)
	if !p.mayReject(spec, now) {
		o.places.Remove(spec.ID)
		o.admitted[spec.ID] = candidate
		return Admission{}
	}
	spread, known := p.durations.spread(spec.Queue)
	due, hasPlace := o.places.Due(spec.ID)
	inTurn := hasPlace && due <= now
	allowed := candidate.target - now
	overload := p.overload(spec.Queue, candidate.priority, now)
	onTimeWork, usefulWork := o.ahead(candidate, overload)
	promisedAll := 0.0
	if !inTurn {
		until := now + maxLateFactor*allowed
		if hasPlace {
			until = due - time.Second
		}
		onTimeWork += o.places.Promised(candidate.priority, min(until, candidate.target))
		promisedAll = o.places.Promised(candidate.priority, until)
	}
	begins := o.supply.TimeBehind(usefulWork+promisedAll, overload)
	within := func(begins, bound time.Duration) bool {
		return float64(begins+takes) <= (1+spread)*float64(bound)
	}
	if !known || within(o.supply.TimeFor(onTimeWork), allowed) || within(begins, maxLateFactor*allowed) {
		o.places.Remove(spec.ID)
		o.admitted[spec.ID] = candidate
		o.recent = append(o.recent, candidate)
		if inTurn {
			p.recordEvent(Event{Kind: JobReturned, Job: spec.ID, Since: now - due}, now)
		}
		return Admission{}
	}
	wait := o.supply.TimeBehind(usefulWork, overload)
	if !inTurn {
		wait = o.supply.TimeBehind(usefulWork+o.places.Promised(candidate.priority, MaxDuration), overload)
	}
	retryAfter := o.places.Give(spec.ID, candidate.priority, candidate.work, min(wait, maxRetryAfter), now)
	p.recordRejection(spec, overload, begins+takes, retryAfter, now)
	return Admission{Rejected: true, RetryAfter: retryAfter}
}

// AdmitUndecided handles a job that is stored although Admit was not asked in time.
func (p *Pool) AdmitUndecided(spec *jayspec.Job, now time.Duration) {
	o := p.outlook
	if _, stored := p.jobs[spec.ID]; stored || !p.settings.RejectHopeless || o.admitAgain(spec.ID, now) {
		return
	}
	o.places.Remove(spec.ID)
	o.admitted[spec.ID], _ = p.candidate(spec, now)
}

// admitAgain counts a further request for a job that was admitted already.
func (o *outlook) admitAgain(id string, now time.Duration) (admitted bool) {
	a, admitted := o.admitted[id]
	if admitted {
		a.requests++
		a.until = now + unansweredTTL
		o.admitted[id] = a
	}
	return admitted
}

// maxRetryAfter limits how far ahead a place may be: the present rate of finished work does not
// predict a later time.
const maxRetryAfter = 10 * time.Minute

// recordRejection records a rejection with the outlook behind it.
func (p *Pool) recordRejection(spec *jayspec.Job, overload jaysupply.Overload, ends, retryAfter, now time.Duration) {
	o := p.outlook
	arriving := int64(0)
	for _, a := range o.arriving {
		arriving += a.CapacityMilli
	}
	detail := fmt.Sprintf("queue %s, backlog %.0fm·s, capacity %dm, arriving %dm, arriving work %.0fm, overload remaining %v, expected end %v, retry after %v, places %d",
		spec.Queue, o.waitingMilli, o.supply.Milli(), arriving, overload.ArrivingMilli, overload.Remaining.Round(time.Millisecond), min(ends, maxRetryAfter).Round(time.Millisecond), retryAfter, o.places.Len())
	p.recordEvent(Event{Kind: JobRejected, Job: spec.ID, Organisation: spec.Organisation, Detail: detail}, now)
}

// mayReject reports whether a job may be rejected at all: the outlook is known, and no request in
// flight is known that may store the job. Until tasks have lacked room for the time in which the
// fleet moves a host, hosts may be on their way that are not known yet.
func (p *Pool) mayReject(spec *jayspec.Job, now time.Duration) bool {
	o := p.outlook
	if spec.LongRunning() || spec.Schedule.Timed() {
		return false
	}
	if o.beganAt == 0 || now-o.beganAt < newOwnerTime || !o.current(now) || p.OwnerUnconfirmed() || p.formerRunsPossible(now) {
		return false
	}
	if now-o.reviewedAt > outlookTTL || o.supply.Milli() == 0 || now-p.overloadedSince() < p.settings.MoveTime+reportDelay {
		return false
	}
	_, expected := p.expected[spec.ID]
	return !expected
}

// candidate returns the entry of a job that is to be stored, and its longest chain of tasks.
func (p *Pool) candidate(spec *jayspec.Job, now time.Duration) (a admittedJob, chain time.Duration) {
	policy := p.policy(spec)
	chain = p.longestChain(spec)
	a = admittedJob{priority: policy.Priority, target: now + time.Duration(policy.Stretch*float64(chain)) + policy.Objective, requests: 1, until: now + unansweredTTL}
	if spec.LongRunning() || spec.Schedule.Timed() {
		return a, chain
	}
	for n := range spec.Steps {
		s := &spec.Steps[n]
		if !s.Fills && !p.fitsNoWorker(s.Need) {
			a.work += float64(s.Tasks) * float64(s.Need.ProcessorsMilli) * p.durations.predict(spec.Queue, s.Estimate).Seconds()
		}
	}
	return a, chain
}

// overload returns the work that arrives and is served before a late job of a queue. Where jobs
// are served by their targets, none is: later jobs have later targets. Without recent arrivals, the
// waiting work alone counts.
func (p *Pool) overload(queue string, priority int, now time.Duration) jaysupply.Overload {
	o := p.outlook
	q, known := o.queues[queue]
	if !o.overloaded && !(o.byStatus && known && q.predictable) {
		return jaysupply.Overload{}
	}
	arriving, known := o.arrivingWork[priority]
	if !known {
		arriving = p.offeredWork.overtaking(priority, now)
		o.arrivingWork[priority] = arriving
	}
	return jaysupply.Lasting(now-p.overloadedSince(), arriving)
}

// overloadedSince returns when the present overload began. A task that no worker may run lacks room
// for as long as it waits, so the overload is at most as old as the order by what can be on time.
func (p *Pool) overloadedSince() time.Duration {
	o := p.outlook
	since := max(p.lastRoomAt, o.beganAt)
	if o.byStatus {
		since = max(since, o.lateSince)
	}
	return since
}

// ahead returns the waiting work that is served before a new job while it can be on time, and
// once it is late. In an overload, a late job is served after all that can be on time.
func (o *outlook) ahead(a admittedJob, overload jaysupply.Overload) (onTimeWork, usefulWork float64) {
	for priority, w := range o.waiting {
		switch {
		case priority < a.priority:
			onTimeWork += w.byStatus[onTime].total() + w.byStatus[late].total()
			usefulWork += w.byStatus[onTime].total() + w.byStatus[late].total()
		case priority == a.priority:
			first := w.byStatus[onTime].until(a.target)
			onTimeWork += first
			usefulWork += first + w.byStatus[late].until(a.target)
			if overload.ArrivingMilli > 0 {
				usefulWork += w.byStatus[onTime].total() - first
			}
		}
	}
	for _, other := range o.recent {
		if other.priority < a.priority || other.priority == a.priority && other.target <= a.target {
			onTimeWork += other.work
			usefulWork += other.work
		}
	}
	return onTimeWork, usefulWork
}

// stored removes the place and the admission of a job that is known to be stored: the job itself
// counts from then on.
func (o *outlook) stored(id string) {
	o.places.Remove(id)
	delete(o.admitted, id)
}

// AppendEnded handles the end of a request that did not store its admitted job. The job no longer
// counts as waiting once all its requests have ended.
func (p *Pool) AppendEnded(id string) {
	a, admitted := p.outlook.admitted[id]
	if !admitted {
		return
	}
	if a.requests--; a.requests > 0 {
		p.outlook.admitted[id] = a
		return
	}
	delete(p.outlook.admitted, id)
}

// Places returns the number of places of rejected jobs that are to return.
func (p *Pool) Places() int {
	return p.outlook.places.Len()
}
