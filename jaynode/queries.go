package jaynode

import (
	"cmp"
	"errors"
	"time"

	"jaythread/jaycatalog"
	"jaythread/jayhome"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaystop"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

const (
	// ownerRetryAfter is the delay after which a caller is asked to retry while a pool
	// changes its owner.
	ownerRetryAfter = time.Second
	// queryRetryDelay is the delay before a query is repeated whose owner did not answer.
	queryRetryDelay = 30 * time.Millisecond
)

// JobState returns the state of a job; known is false if the job does not exist or belongs
// to another organisation than the caller. Its error is a *jayverdict.Error.
func (n *Node) JobState(queue jaycatalog.Queue, organisation, id string, deadline time.Duration) (state jaysched.State, known bool, err error) {
	began := n.clock()
	defer func() {
		n.countAnswer("state", began, err)
		if err != nil || !known {
			n.intake.logAnswer("query", id, known, n.clock()-began, err)
		}
	}()
	_, state, known, err = n.findJob(errCutQuery, queue, organisation, id, deadline)
	return state, known, err
}

// findJob returns the pool that has a job of a queue and the job's state. The job does not exist if no pool
// that may have it knows it; pool is then the queue's.
func (n *Node) findJob(cut error, queue jaycatalog.Queue, organisation, id string, deadline time.Duration) (pool string, state jaysched.State, known bool, err error) {
	type outcome struct {
		pool  string
		state jaysched.State
		known bool
		err   error
	}
	ask := func(pool string) outcome {
		o := outcome{pool: pool}
		o.state, o.known, o.err = n.askOwner(cut, pool, deadline, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskJob{
			AskJob: &jaywire.AskJob{Pool: pool, Job: id, Organisation: &organisation},
		}})
		return o
	}
	others, err := n.otherPools(queue, &deadline)
	if err != nil {
		return queue.Pool, jaysched.Queued, false, err
	}
	if len(others) == 0 {
		o := ask(queue.Pool)
		return o.pool, o.state, o.known, o.err
	}
	answers := make(chan outcome, 1+len(others))
	for _, pool := range append(others, queue.Pool) {
		go func() { answers <- ask(pool) }()
	}
	for range 1 + len(others) {
		o := <-answers
		if o.known {
			return o.pool, o.state, true, nil
		}
		err = cmp.Or(err, o.err)
	}
	return queue.Pool, jaysched.Queued, false, err
}

// CancelJob cancels a job; known is false if the job does not exist or belongs to another
// organisation than the caller. Its error is a *jayverdict.Error.
func (n *Node) CancelJob(queue jaycatalog.Queue, organisation, id string, deadline time.Duration) (known bool, err error) {
	began := n.clock()
	defer func() {
		n.countAnswer("cancel", began, err)
		n.intake.logAnswer("cancellation", id, known, n.clock()-began, err)
	}()
	pool, until := queue.Pool, began+deadline
	others, err := n.otherPools(queue, &deadline)
	if err != nil {
		return false, err
	}
	if len(others) > 0 {
		if pool, known, err = n.findForCancellation(queue, organisation, id, deadline); err != nil {
			return false, err
		}
	}
	_, known, err = n.askOwner(errCutCommand, pool, until-n.clock(), &jaywire.PeerRequest{Body: &jaywire.PeerRequest_CancelJob{
		CancelJob: &jaywire.CancelJob{Pool: pool, Job: id, Organisation: &organisation, Address: queue.Address()},
	}})
	return known, err
}

// otherPools returns the pools, except for a queue's own, that may have jobs of the queue. They are known once
// the claims have been read: it waits for that, and subtracts the time from the deadline.
func (n *Node) otherPools(queue jaycatalog.Queue, deadline *time.Duration) ([]string, error) {
	began := n.clock()
	for until := began + *deadline; !n.members.Owners.Known(); {
		if n.stopping.Load() || n.clock()+queryRetryDelay >= until {
			return nil, jayverdict.NewNotRun(statusUnavailable, "the owners of the pools are not known yet", ownerRetryAfter)
		}
		time.Sleep(queryRetryDelay)
	}
	*deadline -= n.clock() - began
	return n.homes.Others(queue.Address(), queue.Pool), nil
}

// findForCancellation returns the pool that has a job of a queue that several pools may have jobs of. If none
// has, the owners of the others ask the queue's pool from then on, where the cancellation is kept, before
// they begin a job whose record arrives later.
func (n *Node) findForCancellation(queue jaycatalog.Queue, organisation, id string, deadline time.Duration) (pool string, known bool, err error) {
	pool, _, known, err = n.findJob(errCutCommand, queue, organisation, id, deadline)
	if err != nil || known {
		return pool, known, err
	}
	elsewhere, clear := n.storedElsewhere(&jayspec.Job{ID: id, Organisation: organisation, Address: queue.Address(), Pool: queue.Pool})
	if elsewhere.GetCanceled() {
		return queue.Pool, false, nil
	}
	if elsewhere != nil || !clear {
		return "", false, jayverdict.NewNotRun(statusUnavailable, "another pool of the queue may have the job", ownerRetryAfter)
	}
	return queue.Pool, false, nil
}

// logAnswer logs the answer to a caller's query about a job.
func (i *intake) logAnswer(what, job string, known bool, took time.Duration, err error) {
	switch {
	case err != nil:
		i.logger.Info(what+" not answered", "job", job, "took", took.String(), "error", err.Error())
	case !known:
		i.logger.Info(what+" of an unknown job", "job", job, "took", took.String())
	default:
		i.logger.Info(what+" answered", "job", job, "took", took.String())
	}
}

// Pending returns the number of jobs of a queue that have not started, in all pools that may have any.
func (n *Node) Pending(queue jaycatalog.Queue, deadline time.Duration) (int, error) {
	type outcome struct {
		pending int
		err     error
	}
	began := n.clock()
	until := began + deadline
	o := jaystop.Until(n.cut, outcome{err: errCutQuery}, func() (o outcome) {
		others, err := n.otherPools(queue, &deadline)
		if err != nil {
			return outcome{err: err}
		}
		for _, pool := range append(others, queue.Pool) {
			request := &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskPending{
				AskPending: &jaywire.AskPending{Pool: pool, Queue: queue.Name, Address: queue.Address()},
			}}
			o.err = n.askUntilAnswered(pool, until-n.clock(), request, func(r *jaywire.PeerResponse) bool {
				answer := r.GetPending()
				if answer.GetOwned() {
					o.pending += int(answer.GetPending())
				}
				return answer.GetOwned()
			})
			if o.err != nil {
				return o
			}
		}
		return o
	})
	n.countAnswer("pending", began, o.err)
	return o.pending, o.err
}

// askOwner asks the owner of a pool about a job until it answers. The error is cut if requests are cut.
func (n *Node) askOwner(cut error, pool string, deadline time.Duration, request *jaywire.PeerRequest) (state jaysched.State, known bool, err error) {
	type outcome struct {
		state jaysched.State
		known bool
		err   error
	}
	o := jaystop.Until(n.cut, outcome{err: cut}, func() (o outcome) {
		o.err = n.askUntilAnswered(pool, deadline, request, func(r *jaywire.PeerResponse) bool {
			answer := r.GetJob()
			o.known = answer.GetKnown()
			o.state = stateOf(answer.GetState())
			return answer.GetOwned()
		})
		return o
	})
	return o.state, o.known, o.err
}

// askUntilAnswered repeats a query until the owner of the pool answers or the deadline
// has passed. The queries are idempotent.
func (n *Node) askUntilAnswered(pool string, deadline time.Duration, request *jaywire.PeerRequest, answered func(*jaywire.PeerResponse) bool) error {
	until := n.clock() + deadline
	for {
		if c, ok := n.members.Owners.OwnerOf(jayowner.PoolDuty(pool)); ok {
			response, err := n.askIncarnation(c, request)
			if err == nil && answered(response) {
				return nil
			}
		}
		if n.clock()+queryRetryDelay >= until {
			return jayverdict.NewNotRun(statusUnavailable, "the pool has no owner that answers", ownerRetryAfter)
		}
		time.Sleep(queryRetryDelay)
	}
}

// askIncarnation sends a request to an owner, which may be this entry itself.
func (n *Node) askIncarnation(c jayowner.Claim, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	if c.Incarnation == n.incarnation {
		return n.handlePeer(request), nil
	}
	response, err := n.peers.Ask(c.Incarnation, c.PeerAddr, request)
	if errors.Is(err, jaypeer.ErrGone) {
		return nil, err
	}
	return response, err
}

// askTimeout limits how long a query waits for a pool's goroutine.
const askTimeout = 300 * time.Millisecond

// askOwned answers a query for the state of a job if this entry owns its pool.
func (n *Node) askOwned(ask *jaywire.AskJob) *jaywire.JobAnswer {
	stateKnown := true
	answer := n.answerOwned(ask.Pool, func(p *jaysched.Pool, now time.Duration) (jaysched.State, bool) {
		if !visible(p, ask.Organisation, ask.Job) {
			return jaysched.Queued, false
		}
		stateKnown = p.StateKnown(ask.Job, now)
		return p.StateOf(ask.Job)
	})
	if !stateKnown {
		// The entry that asked retries after queryRetryDelay.
		return &jaywire.JobAnswer{}
	}
	return answer
}

// visible reports whether a caller may know of a job. The organisation is nil in a request
// of an entry of an earlier version, for which all jobs are visible.
func visible(p *jaysched.Pool, organisation *string, job string) bool {
	return organisation == nil || p.VisibleTo(*organisation, job)
}

// recordedPollInterval is the time between two checks whether a cancellation has been
// recorded.
const recordedPollInterval = 5 * time.Millisecond

// cancelOwned cancels a job if this entry owns its pool. It answers only after the end of
// the job has been recorded: if this owner failed before that, the next one would start
// the job's tasks again. The same holds for a job that is not known, since its record may still
// arrive in the store.
func (n *Node) cancelOwned(ask *jaywire.CancelJob) *jaywire.JobAnswer {
	duty := n.ownedPool(ask.Pool)
	if duty == nil || !duty.loaded.Load() {
		return &jaywire.JobAnswer{}
	}
	until := n.clock() + askTimeout
	for {
		var known, recorded, kept, unconfirmed bool
		asked := duty.ask(func() {
			now := n.clock()
			unconfirmed = duty.pool.OwnerUnconfirmed()
			if held, _ := duty.pool.HoldingOf(ask.Job, ask.GetOrganisation(), now); held == jayhome.Unclear || held == jayhome.Disputed {
				return // another pool may have it
			}
			if known = visible(duty.pool, ask.Organisation, ask.Job) && duty.pool.Cancel(ask.Job, now); known {
				recorded, kept = duty.pool.Recorded(ask.Job), true
				return
			}
			recorded, kept = duty.pool.CancelUnknown(ask.Job, ask.GetOrganisation(), now)
			if kept {
				duty.canceled.Store(ask.Job, true)
				recorded = duty.keepQueue(ask.Address) && recorded
			}
		}, askTimeout)
		switch {
		case !asked || unconfirmed || !kept:
			return &jaywire.JobAnswer{}
		case recorded:
			return &jaywire.JobAnswer{Owned: true, Known: known, State: jaywire.JobState_JOB_STATE_CANCELED}
		case n.clock() >= until:
			return &jaywire.JobAnswer{}
		}
		time.Sleep(recordedPollInterval)
	}
}

func (n *Node) answerOwned(pool string, query func(*jaysched.Pool, time.Duration) (jaysched.State, bool)) *jaywire.JobAnswer {
	answer := &jaywire.JobAnswer{}
	duty := n.ownedPool(pool)
	if duty == nil || !duty.loaded.Load() {
		return answer
	}
	current, unconfirmed := duty.current(), false
	asked := duty.ask(func() {
		unconfirmed = duty.pool.OwnerUnconfirmed()
		state, known := query(duty.pool, n.clock())
		answer.Known = known
		answer.State = jaywire.JobState(state) + jaywire.JobState_JOB_STATE_QUEUED
	}, askTimeout)
	if !asked || unconfirmed {
		return &jaywire.JobAnswer{}
	}
	// An unknown job may have been submitted a moment ago.
	answer.Owned = answer.Known || current
	return answer
}

// current reports whether the duty's data is recent enough to answer that a job does not
// exist: the claims and the submitted jobs have both been read within maxNotFoundAge. It must be called
// before the pool is asked.
func (d *poolDuty) current() bool {
	oldest := d.node.clock() - maxNotFoundAge
	return d.jobs.tail.AsOf() > oldest && d.node.members.Owners.View().AsOf > oldest
}

func (n *Node) pendingOwned(ask *jaywire.AskPending) *jaywire.PendingAnswer {
	duty := n.ownedPool(ask.Pool)
	if duty == nil || !duty.loaded.Load() {
		return &jaywire.PendingAnswer{}
	}
	current, pending := duty.current(), 0
	if !duty.ask(func() { pending = duty.pool.Pending(ask.Queue, ask.Address) }, askTimeout) {
		return &jaywire.PendingAnswer{}
	}
	return &jaywire.PendingAnswer{Owned: current, Pending: uint32(pending)}
}

func stateOf(state jaywire.JobState) jaysched.State {
	if state == jaywire.JobState_JOB_STATE_UNSPECIFIED {
		return jaysched.Queued
	}
	return jaysched.State(state - jaywire.JobState_JOB_STATE_QUEUED)
}
