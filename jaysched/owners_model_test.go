package jaysched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

const (
	modelOwnerTimeout = 5 * time.Second
	modelFormerWait   = modelOwnerTimeout + modelLease + modelLease/20
	modelCallTimeout  = 600 * time.Millisecond
	// modelSlowTakeover limits how long an owner takes to restore what it has read.
	modelSlowTakeover = 3 * modelLease
	modelPauseLimit   = 500 * time.Millisecond
	modelTick         = 100 * time.Millisecond
	// modelSlowClock is the rate of the clock of every second worker.
	modelSlowClock = 0.98
	maxModelOwners = 3
	modelMaxPause  = 8 * time.Second
)

// ownersModel is an installation in which up to three owners of one pool are alive at the same time:
// the former ones do not know that they were replaced. They are fed as jaynode's poolDuty feeds them.
type ownersModel struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	timers []modelTimer
	trace  []string
	// healed says that there are no faults any more.
	healed  bool
	workers map[string]*ownersWorker
	owners  []*modelOwner
	// ends are the successful ends of each task whose worker's lease has not lapsed since.
	ends map[jayport.TaskID][]*modelEnd
	// startedAt is when the latest run of each task began.
	startedAt map[jayport.TaskID]time.Duration
	// claims is the number of claims, which is the fence of the newest; epoch is the highest epoch that
	// the store has seen.
	claims, epoch int64
	// takeoverDelay is how long each owner waits before its first order, and what the former one relies on.
	takeoverDelay time.Duration
	// placementsSince is the first term from which on the owners are known to record placements.
	placementsSince int64
	jobs            []*jayspec.Job
	submitted       int
	progress        map[string]*jaywire.JobProgress
}

type modelTimer struct {
	at time.Duration
	do func()
}

// ownersWorker is a worker with the requests that wait for an end.
type ownersWorker struct {
	*modelWorker
	rate     float64
	unlisted bool
	waiting  []func()
}

// modelEnd is a run that has ended as done.
type modelEnd struct {
	worker                  *ownersWorker
	number                  int64
	acknowledged, restarted bool
}

// modelOwner is one owner's duty with its entry's links.
type modelOwner struct {
	m     *ownersModel
	fence int64
	pool  *Pool
	ended bool
	// loaded says that the takeover is complete, stepping that a step is scheduled.
	loaded, stepping, flushing bool
	inbox                      []func()
	journal                    []*modelAppend
	lastActiveAt               time.Duration
	claimsAsOf, jobsAsOf       time.Duration
	jobsRead                   int
	pausedUntil                time.Duration
	// stall is how long the process is paused between its next decision and the calls.
	stall time.Duration
	// faults are those of the links to the workers and the parts of the store.
	faults map[string]modelFault
}

type modelAppend struct {
	records map[string]*jaywire.JobProgress
	stored  bool
	done    func()
}

// modelFault is a set of faults of a link.
type modelFault int

const (
	requestsLost modelFault = 1 << iota
	answersLost
	slowLink
	// cutOff links lose all requests and answers, also late ones.
	cutOff
)

// modelStoreParts are the parts of the store, and the inventory: each may fail by itself.
var modelStoreParts = []string{"claims", "append", "jobs", "progress", "list", "inventory"}

func newOwnersModel(t *rapid.T) *ownersModel {
	delay := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 800 * time.Millisecond}).Draw(t, "delay")
	m := &ownersModel{t: t, takeoverDelay: delay, now: time.Minute, random: rand.New(rand.NewPCG(0, 0)), workers: map[string]*ownersWorker{}, ends: map[jayport.TaskID][]*modelEnd{}, startedAt: map[jayport.TaskID]time.Duration{}, progress: map[string]*jaywire.JobProgress{}}
	m.placementsSince = rapid.SampledFrom([]int64{1, 1, 3, 0}).Draw(t, "placementsSince")
	m.jobs = []*jayspec.Job{newSpec("j", 2), modelService("s")}
	m.join()
	m.join()
	m.join()
	m.claim()
	return m
}

// modelService returns a service of two tasks that fit beside any others.
func modelService(id string) *jayspec.Job {
	return newSpec(id, 1, longRunning, func(s *jayspec.Step) { s.Need = jaypool.Resources{MemoryMegabytes: 10} })
}

// isService reports whether a job of the model runs until it is cancelled.
func (m *ownersModel) isService(id string) bool {
	return slices.ContainsFunc(m.jobs, func(j *jayspec.Job) bool { return j.ID == id && j.LongRunning() })
}

func (m *ownersModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, m.now.String()+" "+fmt.Sprintf(format, args...))
}

func (m *ownersModel) fatalf(format string, args ...any) {
	m.t.Fatalf("%s\n%v "+format, append([]any{strings.Join(m.trace, "\n"), m.now}, args...)...)
}

// upTo returns a random duration.
func (m *ownersModel) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

func (m *ownersModel) after(d time.Duration, do func()) {
	at, n := m.now+d, len(m.timers)
	for n > 0 && m.timers[n-1].at < at {
		n--
	}
	m.timers = slices.Insert(m.timers, n, modelTimer{at: at, do: do})
}

// pass lets time pass.
func (m *ownersModel) pass(d time.Duration) {
	until := m.now + d
	for n := len(m.timers) - 1; n >= 0 && m.timers[n].at <= until; n = len(m.timers) - 1 {
		next := m.timers[n]
		m.timers = m.timers[:n]
		m.now = next.at
		next.do()
	}
	m.now = until
}

// transit returns how long a request or its answer takes, and whether it arrives at all. A request
// that counts as lost may arrive seconds later.
func (m *ownersModel) transit(o *modelOwner, to string, lost modelFault) (takes time.Duration, arrives bool) {
	fault := o.faults[to]
	takes = m.upTo(3 * time.Millisecond)
	if m.healed {
		return takes, true
	}
	if fault&slowLink != 0 {
		takes += m.upTo(modelCallTimeout)
	}
	if m.random.IntN(30) == 0 || fault&lost != 0 {
		takes += m.upTo(2 * modelLease)
	}
	return takes, fault&cutOff == 0 && (fault&lost == 0 || lost == requestsLost && m.random.IntN(4) == 0)
}

// call sends a request, which do carries out where it arrives. The owner gets the answer that do
// passes to reply, or lost is called.
func (m *ownersModel) call(o *modelOwner, to string, timeout time.Duration, do func(reply func(answer func())), lost func()) {
	over := false
	finish := func(answer func()) func() {
		return func() {
			o.resumed(func() {
				if !over {
					over = true
					answer()
				}
			})
		}
	}
	m.after(timeout, finish(lost))
	if takes, arrives := m.transit(o, to, requestsLost); arrives {
		m.after(takes, func() {
			do(func(answer func()) {
				if takes, arrives := m.transit(o, to, answersLost); arrives {
					m.after(takes, finish(answer))
				}
			})
		})
	}
}

// join starts a worker.
func (m *ownersModel) join() (id string) {
	id = fmt.Sprint("w", len(m.workers))
	w := &ownersWorker{rate: 1, modelWorker: &modelWorker{
		info: jayport.Worker{
			ID: id, Addr: id + ":1", Pool: "seats", Rack: "r" + id, Incarnation: jayport.Incarnation(len(m.workers) + 1),
			Capacity: jaypool.Resources{ProcessorsMilli: 1000 * int64(1+len(m.workers)%2), MemoryMegabytes: 1000},
		},
		up: true, started: m.now - time.Second, next: 1, active: map[jayport.RunRef]bool{}, refuse: map[jayport.TaskID]int64{},
	}}
	if len(m.workers)%2 == 1 {
		w.rate = modelSlowClock
	}
	m.workers[id] = w
	m.tracef("%s joins", id)
	return id
}

// inventory returns the workers that are up.
func (m *ownersModel) inventory() (ids []string) {
	for _, id := range sortedKeys(m.workers) {
		if m.workers[id].up {
			ids = append(ids, id)
		}
	}
	return ids
}

// listed returns the workers on the list.
func (m *ownersModel) listed() (list []jayport.Worker) {
	for _, id := range sortedKeys(m.workers) {
		if w := m.workers[id]; w.up && !w.unlisted {
			list = append(list, w.info)
		}
	}
	return list
}

// local returns the time at which a worker without drift would have the same clock.
func (m *ownersModel) local(w *ownersWorker) time.Duration {
	return w.started + time.Duration(w.rate*float64(m.now-w.started))
}

func (m *ownersModel) report(w *ownersWorker) jayport.Report {
	return (&model{now: m.local(w)}).reportOf(w.modelWorker)
}

// carryOut carries out an owner's call on a worker and answers it, possibly later.
func (m *ownersModel) carryOut(fence int64, a Action, answer func(jayport.Report, error)) {
	to, _ := calledWorker(a)
	w := m.workers[to.ID]
	if !w.up {
		return
	}
	w.lapse(m.local(w))
	if fence < w.fence {
		answer(jayport.Report{}, &jayport.RefusedError{Reason: jayport.RefusedFenced})
		return
	}
	w.fence = fence
	switch a := a.(type) {
	case StartRun:
		err := m.startRun(w, fence, a.Order)
		answer(m.report(w), err)
	case StopRun:
		w.refuse[a.Run.Task] = max(w.refuse[a.Run.Task], a.Run.Number)
		if w.active[a.Run] {
			m.tracef("owner %d stops %v on %s", fence, a.Run, to.ID)
			m.end(w, a.Run, jayport.EndedStopped)
		}
		answer(m.report(w), nil)
	case RenewLease:
		w.lease = max(w.lease, a.Order.LeaseUntil)
		m.acknowledge(w, fence, a.Order.Acknowledged)
		if a.Order.Wait == 0 || len(w.ended) > 0 {
			answer(m.report(w), nil)
			return
		}
		answered := false
		reply := func() {
			if !answered && w.up {
				answered = true
				w.lapse(m.local(w))
				answer(m.report(w), nil)
			}
		}
		w.waiting = append(w.waiting, reply)
		m.after(a.Order.Wait, reply)
	}
}

func (m *ownersModel) startRun(w *ownersWorker, fence int64, o jayport.StartOrder) error {
	clock := w.clock(m.local(w))
	refused := func(reason jayport.Reason) error { return &jayport.RefusedError{Reason: reason, Clock: clock} }
	switch {
	case w.active[o.Run]:
		return nil
	case o.Run.Number <= w.refuse[o.Run.Task]:
		w.lease = max(w.lease, o.LeaseUntil)
		return refused(jayport.RefusedOutdated)
	case o.LeaseUntil <= clock:
		return refused(jayport.RefusedLate)
	}
	w.lease = max(w.lease, o.LeaseUntil)
	m.tracef("owner %d starts %v on %s", fence, o.Run, w.info.ID)
	m.checkStart(o.Run)
	m.startedAt[o.Run.Task] = m.now
	w.active[o.Run] = true
	m.after(m.upTo([]time.Duration{30 * time.Millisecond, 500 * time.Millisecond, 2 * modelLease, 2 * modelFormerWait}[m.random.IntN(4)]), func() {
		if w.lapse(m.local(w)); w.up && w.active[o.Run] {
			how := jayport.EndedDone
			if m.isService(o.Run.Task.Job) {
				how = jayport.EndedFailed
			}
			m.end(w, o.Run, how)
		}
	})
	return nil
}

// checkStart fails the test if a task runs already, or has ended and that is acknowledged.
func (m *ownersModel) checkStart(run jayport.RunRef) {
	for _, id := range sortedKeys(m.workers) {
		w := m.workers[id]
		w.lapse(m.local(w))
		for _, other := range w.runs() {
			if w.up && other.Task == run.Task {
				m.fatalf("%v is started while %v runs on %s", run, other, id)
			}
		}
	}
	for _, e := range m.ends[run.Task] {
		if e.acknowledged {
			m.fatalf("%v is started after its end on %s was acknowledged", run, e.worker.info.ID)
		}
		e.restarted = true
	}
}

func (m *ownersModel) end(w *ownersWorker, run jayport.RunRef, how jayport.Ending) {
	if how == jayport.EndedDone {
		m.tracef("%v is done on %s", run, w.info.ID)
		m.ends[run.Task] = append(m.ends[run.Task], &modelEnd{worker: w, number: w.next})
	}
	w.end(run, how)
	waiting := w.waiting
	w.waiting = nil
	for _, reply := range waiting {
		reply()
	}
}

// acknowledge fails the test if an end is forgotten whose task was started again, or that is not
// recorded, unless the worker's lease has lapsed since.
func (m *ownersModel) acknowledge(w *ownersWorker, fence, upTo int64) {
	for ; len(w.ended) > 0 && w.ended[0].Number <= upTo; w.ended = w.ended[1:] {
		end := w.ended[0]
		if end.Ending != jayport.EndedDone || end.Number <= w.lapsed {
			continue
		}
		m.tracef("owner %d acknowledges the end of %v on %s", fence, end.Run, w.info.ID)
		for _, e := range m.ends[end.Run.Task] {
			if e.worker != w || e.number != end.Number {
				continue
			}
			if e.acknowledged = true; e.restarted {
				m.fatalf("the end of %v on %s is acknowledged, and the task was started again", end.Run, w.info.ID)
			}
		}
		if !(&model{stored: m.progress}).recorded(end.Run.Task) {
			m.fatalf("%s forgot the end of %v, which is not recorded", w.info.ID, end.Run)
		}
	}
}

// claim makes another entry the owner.
func (m *ownersModel) claim() *modelOwner {
	m.claims++
	o := &modelOwner{m: m, fence: m.claims, faults: map[string]modelFault{}}
	o.pool = NewPool("seats", Settings{Lease: modelLease, Stop: 200 * time.Millisecond, MoveTime: time.Second, FarFactor: 1.5}, WithFence(o.fence, o.fence), WithReplaceableOwner(0, modelOwnerTimeout), WithPlacementsSince(m.placementsSince))
	m.owners = append(m.owners, o)
	m.tracef("owner %d claims", o.fence)
	surveyed, asked := m.inventory(), m.now
	o.post(func() { o.pool.InventoryRead(surveyed, asked, m.now) }) // by the fleet's owner
	m.after(m.upTo(time.Millisecond), func() { o.append(nil, o.takeOver) })
	return o
}

// resumed calls a function now, or once the process is not paused any more.
func (o *modelOwner) resumed(do func()) {
	if o.pausedUntil <= o.m.now {
		do()
		return
	}
	o.m.after(o.pausedUntil-o.m.now+o.m.upTo(3*time.Millisecond), func() { o.resumed(do) })
}

func (o *modelOwner) end(why string) {
	if !o.ended {
		o.m.tracef("owner %d ends: %s", o.fence, why)
	}
	o.ended = true
}

// append appends records to the store, or only checks the epoch, in order; an append without an answer
// is repeated, and answered like the first time if it was stored.
func (o *modelOwner) append(records map[string]*jaywire.JobProgress, done func()) {
	o.journal = append(o.journal, &modelAppend{records: records, done: done})
	if len(o.journal) == 1 {
		o.sendAppend()
	}
}

func (o *modelOwner) sendAppend() {
	if o.ended || len(o.journal) == 0 {
		return
	}
	m, e := o.m, o.journal[0]
	m.call(o, "append", modelCallTimeout, func(reply func(func())) {
		if !e.stored && m.epoch <= o.fence {
			m.epoch, e.stored = o.fence, true
			maps.Copy(m.progress, e.records)
		}
		stored := e.stored
		reply(func() {
			if !stored {
				o.end("its append is fenced")
				return
			}
			o.journal = o.journal[1:]
			e.done()
			o.sendAppend()
		})
	}, o.sendAppend)
}

// read reads a part of the store. look sees it when the request arrives; what it returns is called with
// the time at which the request was sent. The read is repeated if it has no answer, or if again is
// not zero.
func (o *modelOwner) read(part string, again time.Duration, look func() (use func(asked time.Duration))) {
	if o.ended {
		return
	}
	repeat := func() { o.m.after(max(again, modelTick), func() { o.resumed(func() { o.read(part, again, look) }) }) }
	if part == "inventory" && !o.pool.NeedsInventory(o.m.now) {
		repeat()
		return
	}
	asked := o.m.now
	o.m.call(o, part, modelCallTimeout, func(reply func(func())) {
		use := look()
		reply(func() {
			use(asked)
			if again > 0 {
				repeat()
			}
		})
	}, repeat)
}

// takeOver reads the progress and the jobs, and begins.
func (o *modelOwner) takeOver() {
	m, fencedAt := o.m, o.m.now
	if o.fence > 1 {
		o.pool.HoldFormerRuns(fencedAt, fencedAt+modelFormerWait)
	}
	o.pool.SetTakeoverDelay(m.takeoverDelay)
	leases := o.renewDuringTakeover(fencedAt)
	slow := time.Duration(0)
	if m.random.IntN(3) == 0 {
		slow = m.upTo(modelSlowTakeover)
	}
	var progress map[string]*jaywire.JobProgress
	var jobs []*jayspec.Job
	restore := func() {
		if progress == nil || jobs == nil {
			return
		}
		for _, spec := range jobs {
			if outcome := OutcomeOf(progress[spec.ID]); outcome != Open {
				o.pool.RestoreEnded(spec.ID, "", outcome, m.now)
			} else {
				o.pool.Restore(spec, progress[spec.ID], m.now)
			}
		}
		o.jobsRead, o.loaded = len(jobs), true
		o.pool.TakenOver(m.now)
		o.pool.Listed(m.listed(), m.now)
		o.pool.JobsKnown(o.jobsAsOf)
		o.pool.TakeoverLeases(leases.finish(), m.now)
		m.tracef("owner %d has taken over %d jobs", o.fence, len(jobs))
		o.poll()
		o.tick()
	}
	o.read("progress", 0, func() func(time.Duration) {
		stored := maps.Clone(m.progress)
		return func(time.Duration) {
			m.after(slow, func() { o.resumed(func() { progress = stored; restore() }) })
		}
	})
	// The former owner may begin jobs that are stored during the delay.
	m.after(max(0, fencedAt+m.takeoverDelay-m.now), func() {
		o.resumed(func() {
			o.read("jobs", 0, func() func(time.Duration) {
				stored := m.jobs
				return func(asked time.Duration) { jobs, o.jobsAsOf = stored, asked; restore() }
			})
		})
	})
}

// poll reads what the owner needs, again and again.
func (o *modelOwner) poll() {
	m := o.m
	o.read("claims", 2*modelTick, func() func(time.Duration) {
		newest := m.claims
		return func(asked time.Duration) {
			if newest != o.fence {
				o.end("it reads another claim")
				return
			}
			o.claimsAsOf = asked
		}
	})
	o.read("jobs", modelTick, func() func(time.Duration) {
		stored := m.jobs
		return func(asked time.Duration) {
			for _, spec := range stored[o.jobsRead:] {
				o.post(func() { o.pool.DeclareFound(spec, m.now) })
			}
			o.jobsRead, o.jobsAsOf = len(stored), asked
		}
	})
	o.read("list", 2*modelTick, func() func(time.Duration) {
		list := m.listed()
		return func(time.Duration) { o.post(func() { o.pool.Listed(list, m.now) }) }
	})
	o.read("inventory", 5*modelTick, func() func(time.Duration) {
		ids := m.inventory()
		return func(asked time.Duration) { o.post(func() { o.pool.InventoryRead(ids, asked, m.now) }) }
	})
}

func (o *modelOwner) tick() {
	if o.ended {
		return
	}
	o.wake()
	o.m.after(modelTick, o.tick)
}

func (o *modelOwner) post(event func()) {
	o.inbox = append(o.inbox, event)
	o.wake()
}

func (o *modelOwner) wake() {
	if o.stepping || !o.loaded {
		return
	}
	o.stepping = true
	o.m.after(o.m.upTo(time.Millisecond), func() {
		o.resumed(func() {
			if o.stepping = false; !o.ended {
				o.step()
			}
		})
	})
}

func (o *modelOwner) detectPause() {
	if o.lastActiveAt > 0 && o.m.now-o.lastActiveAt > modelPauseLimit {
		o.pool.OwnerPaused(o.m.now)
	}
	o.lastActiveAt = o.m.now
}

// step processes the events that have arrived, decides and makes the calls. As in jaynode, a step in which
// the duty ends is completed.
func (o *modelOwner) step() {
	jobsAsOf := o.jobsAsOf
	for len(o.inbox) > 0 {
		event := o.inbox[0]
		o.inbox = o.inbox[1:]
		o.detectPause()
		event()
	}
	o.detectPause()
	o.pool.SetConfirmedAt(o.claimsAsOf)
	o.pool.JobsKnown(jobsAsOf)
	actions := o.pool.Decide(o.m.now)
	if o.stall > 0 {
		o.pausedUntil, o.stall = o.m.now+o.stall, 0
	}
	for _, a := range actions {
		o.resumed(func() { o.perform(a) })
	}
	o.resumed(o.flush)
}

func (o *modelOwner) perform(a Action) {
	m, asked, timeout := o.m, o.m.now, modelCallTimeout
	if _, confirm := a.(ConfirmOwner); confirm {
		o.append(nil, func() { o.post(func() { o.pool.OwnerConfirmed(asked, nil, m.now) }) })
		return
	}
	to, called := calledWorker(a)
	if !called {
		return
	}
	if renewal, ok := a.(RenewLease); ok {
		timeout += renewal.Order.Wait
	}
	answered := func(report jayport.Report, err error) { o.post(func() { o.answered(a, asked, report, err) }) }
	m.call(o, to.ID, timeout, func(reply func(func())) {
		m.carryOut(o.fence, a, func(report jayport.Report, err error) { reply(func() { answered(report, err) }) })
	}, func() { answered(jayport.Report{}, jayport.ErrNoAnswer) })
}

// answered passes the answer to a call to the pool.
func (o *modelOwner) answered(a Action, asked time.Duration, report jayport.Report, err error) {
	if refused, ok := err.(*jayport.RefusedError); ok && refused.Reason == jayport.RefusedFenced {
		o.end("a worker has seen a higher fence")
		return
	}
	(&model{now: o.m.now, pool: o.pool}).answerOf(modelCall{owner: o.pool, action: a, asked: asked}, report, err)()
}

func (o *modelOwner) flush() {
	if o.flushing || !o.pool.Recordable(o.m.now) {
		return
	}
	batch, asked := o.pool.TakeBatch(), o.m.now
	switch {
	case batch == nil:
	case len(batch.Progress) == 0:
		o.pool.BatchRecorded(batch, o.m.now)
	default:
		o.flushing = true
		o.append(batch.Progress, func() {
			o.post(func() {
				o.flushing = false
				o.pool.SetConfirmedAt(asked)
				o.pool.BatchRecorded(batch, o.m.now)
			})
		})
	}
}

// happen lets time pass and a random event happen.
func (m *ownersModel) happen() {
	m.pass(m.upTo([]time.Duration{5 * time.Millisecond, 100 * time.Millisecond, time.Second, 3 * time.Second}[m.random.IntN(4)]))
	var up []*ownersWorker
	for _, id := range sortedKeys(m.workers) {
		if m.workers[id].up {
			up = append(up, m.workers[id])
		}
	}
	var present []*modelOwner
	for _, o := range m.owners {
		if !o.ended {
			present = append(present, o)
		}
	}
	w, o := up[m.random.IntN(len(up))], m.owners[len(m.owners)-1]
	if len(present) > 0 && m.random.IntN(2) == 0 {
		o = present[m.random.IntN(len(present))]
	}
	switch m.random.IntN(14) {
	case 0, 1:
		if len(present) < maxModelOwners {
			m.replace(up)
		}
	case 2:
		m.tracef("owner %d is paused", o.fence)
		o.pausedUntil = m.now + m.upTo(modelMaxPause)
	case 3:
		o.stall = m.upTo(modelMaxPause)
	case 4:
		m.tracef("owner %d: links are healed", o.fence)
		clear(o.faults)
	case 5, 6:
		o.fail(w.info.ID)
	case 7:
		o.fail(modelStoreParts[m.random.IntN(len(modelStoreParts))])
	case 8, 9:
		if len(up) < 5 {
			id := m.join()
			if m.random.IntN(2) == 0 {
				o.fail(id)
			}
		}
	case 10:
		m.leave(w, len(up))
	case 11, 12:
		o.store()
	case 13:
		if len(present) < maxModelOwners-1 {
			m.replaceTwice(w)
		}
	}
}

// replaceTwice makes two entries the owner, one after the other. A worker, one with a run of a service if there is
// one, is all that the former owner reaches, then all that the first of them reaches, and not reached by the second.
func (m *ownersModel) replaceTwice(w *ownersWorker) {
	for _, id := range sortedKeys(m.workers) {
		other := m.workers[id]
		if other.up && slices.ContainsFunc(other.runs(), func(r jayport.RunRef) bool { return m.isService(r.Task.Job) }) {
			w = other
		}
	}
	id, former := w.info.ID, m.owners[len(m.owners)-1]
	reachOnly := func(o *modelOwner) {
		for _, to := range append(sortedKeys(m.workers), "claims", "append") {
			o.faults[to] = cutOff
		}
		delete(o.faults, id)
	}
	reachOnly(former)
	first := m.claim()
	first.faults[id] = cutOff
	m.after(time.Second+m.upTo(2*modelLease), func() {
		if first.ended || m.healed {
			return
		}
		reachOnly(first)
		m.after(m.upTo(time.Second), func() {
			if first.ended || m.healed {
				return
			}
			second := m.claim()
			second.faults[id] = cutOff
			m.after(m.upTo(2*modelFormerWait), func() { delete(second.faults, id) })
		})
	})
}

// replace makes another entry the owner while the newest owner gets no confirmation. Both may be cut
// off from some workers.
func (m *ownersModel) replace(workers []*ownersWorker) {
	former := m.owners[len(m.owners)-1]
	if m.random.IntN(4) > 0 {
		former.fail("claims")
		m.after(m.upTo(modelLease), func() { former.fail("append") })
	}
	next := m.claim()
	if m.random.IntN(4) == 0 {
		next.faults["append"] = requestsLost
		m.after(m.upTo(2*modelLease), func() { delete(next.faults, "append") })
	}
	m.after(m.upTo(time.Second), func() { next.fail("jobs") })
	m.after(m.upTo(3*time.Second), func() {
		former.store()
		m.after(m.upTo(300*time.Millisecond), next.store)
	})
	for _, w := range workers {
		switch m.random.IntN(4) {
		case 0:
			former.fail(w.info.ID)
		case 1:
			next.fail(w.info.ID)
		}
	}
}

// leave removes a worker from the list, returns it there, or ends it.
func (m *ownersModel) leave(w *ownersWorker, up int) {
	if m.random.IntN(3) > 0 && len(m.workers)-up < maxCrashes-1 && up > 1 {
		w.up = false
		m.tracef("%s crashes", w.info.ID)
		return
	}
	w.unlisted = !w.unlisted
	m.tracef("%s unlisted: %v", w.info.ID, w.unlisted)
}

// fail makes a link of the owner fail.
func (o *modelOwner) fail(to string) {
	if o.m.healed {
		return
	}
	o.faults[to] = modelFault(1 + o.m.random.IntN(7))
	o.m.tracef("owner %d: fault %d on %s", o.fence, o.faults[to], to)
}

// store stores a job, or one that its caller submits again.
func (o *modelOwner) store() {
	m := o.m
	if m.healed {
		return
	}
	repeated := m.submitted > 0 && m.random.IntN(2) == 0
	if !repeated && m.submitted == 6 {
		return
	}
	if !repeated {
		m.submitted++
	}
	spec := newSpec(fmt.Sprint("k", m.submitted), 1)
	if m.submitted%2 == 0 {
		spec = modelService(spec.ID)
	}
	if _, known := o.pool.jobs[spec.ID]; known {
		return
	}
	m.call(o, "append", 2*time.Second, func(reply func(func())) {
		m.tracef("owner %d stores %s", o.fence, spec.ID)
		m.jobs = append(m.jobs[:len(m.jobs):len(m.jobs)], spec)
		reply(func() { o.post(func() { o.pool.Declare(spec, m.now) }) })
	}, func() {})
}

// settle continues without faults and checks that all jobs end, and all owners but the newest.
func (m *ownersModel) settle() {
	m.healed = true
	m.tracef("no more faults")
	for _, o := range m.owners {
		o.stall, o.pausedUntil = 0, m.now
		clear(o.faults)
	}
	for _, w := range m.workers {
		w.unlisted = false
	}
	m.join()
	m.pass(modelMaxPause + modelSlowTakeover + 2*modelCallTimeout)
	if m.owners[len(m.owners)-1].ended {
		m.claim()
	}
	for range 60 {
		m.pass(time.Second)
		open := slices.ContainsFunc(m.jobs, func(j *jayspec.Job) bool { return !j.LongRunning() && OutcomeOf(m.progress[j.ID]) == Open })
		if !open {
			break
		}
	}
	m.pass(2 * modelCallTimeout)
	for _, j := range m.jobs {
		if j.LongRunning() {
			m.checkServes(j)
		} else if OutcomeOf(m.progress[j.ID]) == Open {
			m.fatalf("job %s has not ended", j.ID)
		}
	}
	for _, o := range m.owners[:len(m.owners)-1] {
		if !o.ended {
			m.fatalf("owner %d has not ended", o.fence)
		}
	}
}

// checkServes fails the test if a task of a service stays without a run.
func (m *ownersModel) checkServes(service *jayspec.Job) {
	for n := range service.Steps[0].Tasks {
		id, waited, began := jayport.TaskID{Job: service.ID, Index: n}, time.Duration(0), m.now
		for !m.runs(id) && m.startedAt[id] < began {
			if waited >= maxServiceInterruption {
				m.fatalf("%v has no run", id)
			}
			m.pass(modelTick)
			waited += modelTick
		}
	}
}

// runs reports whether a task runs on some worker.
func (m *ownersModel) runs(id jayport.TaskID) bool {
	for _, name := range sortedKeys(m.workers) {
		w := m.workers[name]
		w.lapse(m.local(w))
		if w.up && slices.ContainsFunc(w.runs(), func(r jayport.RunRef) bool { return r.Task == id }) {
			return true
		}
	}
	return false
}

// Guards against second starts, and ends that are lost, of owners that do not know that they were
// replaced, whatever calls and answers are late or lost.
func TestOwnersThatWereReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnersModel(t)
		salt := rapid.Uint64().Draw(t, "salt")
		for _, seed := range rapid.SliceOfN(rapid.Uint64(), 10, 40).Draw(t, "events") {
			if seed > 0 {
				m.random = rand.New(rand.NewPCG(seed, salt))
				m.happen()
			}
		}
		m.settle()
	})
}
