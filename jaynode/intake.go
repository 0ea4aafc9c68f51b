package jaynode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayfootprint"
	"jaythread/jayjournal"
	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jayspec"
	"jaythread/jaystop"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// HTTP status codes of the intake's own errors.
const (
	statusBadRequest   = 400
	statusUnauthorized = 401
	statusNotFound     = 404
	statusConflict     = 409
	statusTooMany      = 429
	statusUnavailable  = 503
	statusTimeout      = 504
)

const (
	// stuckAfter is the least time that an append may wait for its answer before new jobs
	// are rejected at once.
	stuckAfter = 600 * time.Millisecond
	// stuckLatencies is the same limit as a multiple of the store's append latency. The
	// larger of the two applies, so that a slow store does not count as stuck.
	stuckLatencies = 4
)

// maxAppendAge limits how long after its submission a job's record may take effect. It is shorter than
// the time for which a cancellation of an unknown job is kept, and no caller waits that long.
const maxAppendAge = time.Minute

// intake accepts jobs from callers and writes them to the store.
type intake struct {
	node     *Node
	logger   logr.Logger
	journals []*jayjournal.Journal
	link     *jaypeer.Client
}

func newIntake(n *Node) *intake {
	i := &intake{node: n, logger: n.logger.WithName("intake"), link: jaypeer.NewClient(n.incarnation, storeJobTimeout, nil)}
	for number := range n.ports.Formats.OwnPartitions() {
		p := n.ports.Formats.Own(topicJobs, number)
		i.journals = append(i.journals, jayjournal.New(n.store, p, n.incarnation, 1, n.clock, i.logger, jayjournal.WithFailOnReject(), jayjournal.WithMaxAge(maxAppendAge), jayjournal.WithLatency(n.store.Latency), jayjournal.WithLink(n.settings.LinkMegabits)))
	}
	return i
}

func (i *intake) start(ctx context.Context) {
	for _, j := range i.journals {
		i.node.duties.Go(func() {
			// A job that the store rejects as malformed does not prevent others from being stored.
			for errors.Is(j.Run(ctx), jayport.ErrMalformed) {
			}
		})
	}
}

// Submit accepts a job and returns nil once the job is stored. Its error is a
// *jayverdict.Error.
func (n *Node) Submit(job *jayspec.Job, deadline time.Duration) error {
	started := n.clock()
	err := jaystop.Until(n.cut, error(errCutCommand), func() error { return n.intake.submit(job, deadline) })
	n.countAnswer("submit", started, err)
	took := n.clock() - started
	if err != nil {
		n.intake.logger.Info("job not accepted", "job", job.ID, "queue", job.Queue, "pool", job.Pool, "organisation", job.Organisation, "took", took.String(), "error", err.Error())
		return err
	}
	n.intake.logger.Info("job accepted", "job", job.ID, "queue", job.Queue, "pool", job.Pool, "organisation", job.Organisation, "took", took.String())
	return nil
}

// submit stores a job through the owner of its pool, or directly if the owner cannot be
// reached. The owner groups the jobs of all entries into few appends: the store processes
// the appends to a partition one after the other, so that with a slow store and eight
// entries that append by themselves, each would have only every eighth append. Storing a
// job twice is harmless, since the records have the same key.
func (i *intake) submit(job *jayspec.Job, deadline time.Duration) error {
	if err := job.Check(); err != nil {
		return jayverdict.NewNotRun(statusBadRequest, err.Error(), 0)
	}
	value, err := encodeJob(job)
	if err != nil {
		return jayverdict.NewNotRun(statusBadRequest, err.Error(), 0)
	}
	until := i.node.clock() + deadline
	elsewhere, clear := i.node.storedElsewhere(job)
	switch holder := elsewhere.GetOrganisation(); {
	case elsewhere.GetCanceled():
		return i.submitError(errCanceled)
	case elsewhere != nil && holder != "" && holder != job.Organisation:
		return i.submitError(errTaken)
	case elsewhere != nil:
		return nil
	case !clear:
		return mayBeElsewhere(i.submitHere(job, value, until))
	}
	return i.submitHere(job, value, until)
}

// submitHere stores a job in its pool until the caller's deadline.
func (i *intake) submitHere(job *jayspec.Job, value []byte, until time.Duration) error {
	deadline := until - i.node.clock()
	outageWait := outageWaitOf(job, deadline)
	final, outcome := i.storeAtOwner(job, value, deadline, outageWait)
	if final || i.node.clock() >= until || i.storeUnreachable() {
		return i.submitError(outcome)
	}
	own := i.store(job.Pool, job.ID, job.Organisation, value, until-i.node.clock(), outageWait)
	if errors.Is(outcome, jayport.ErrNoAnswer) && own != nil {
		// The owner may have stored the job, although this entry's own append failed.
		return i.submitError(outcome)
	}
	return i.submitError(own)
}

// storeAtOwner asks the owner of a job's pool to store the job. Its errors are
// jayport.ErrRejected, jayport.ErrNoAnswer, errTaken, errCanceled, *hopelessError and
// *jayfootprint.FullError.
//
// The outcome is final if this entry should not append the job itself. An owner that can
// reach the store and still rejects a job does so because the store is slow. If all
// entries then appended as well, the partition, which processes appends one by one, would
// reject the appends of all of them.
func (i *intake) storeAtOwner(job *jayspec.Job, value []byte, deadline, outageWait time.Duration) (final bool, err error) {
	c, owned := i.node.members.Owners.OwnerOf(jayowner.PoolDuty(job.Pool))
	if !owned {
		return false, jayport.ErrRejected
	}
	if c.Incarnation == i.node.incarnation {
		return true, i.store(job.Pool, job.ID, job.Organisation, value, deadline, outageWait)
	}
	if i.node.members.Liveness.Suspects(c.Incarnation) {
		// A request to an owner that does not answer pings would block the caller until
		// the request times out. The job can be stored without the owner.
		return false, jayport.ErrRejected
	}
	// The rest of the deadline is left for an append by this entry.
	timeout := min(deadline*ownerShare/100, storeJobTimeout)
	request := &jaywire.StoreJob{Pool: job.Pool, Job: job.ID, Declaration: value, TimeoutMillis: timeout.Milliseconds(), OutageWaitMillis: outageWait.Milliseconds()}
	response, err := i.askOwner(c, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreJob{StoreJob: request}})
	switch {
	case errors.Is(err, jaypeer.ErrGone):
		return false, jayport.ErrRejected
	case err != nil:
		return false, jayport.ErrNoAnswer
	}
	stored := response.GetJobStored()
	if stored.GetTaken() {
		return true, errTaken
	}
	if stored.GetCanceled() {
		return true, errCanceled
	}
	if stored.GetMaxHeldBytes() > 0 {
		return true, &jayfootprint.FullError{Held: stored.GetHeldBytes(), Limit: stored.GetMaxHeldBytes()}
	}
	if stored.GetHopeless() {
		return true, &hopelessError{retryAfter: millis(stored.GetRetryAfterMillis())}
	}
	err = jayrelay.DecodeError(&jaywire.StoreResult{Outcome: stored.GetOutcome()})
	return err == nil || !stored.GetStoreAway(), err
}

// errTaken is returned for a job whose ID belongs to a job of another organisation.
var errTaken = errors.New("a job of another organisation has the ID")

// errCanceled is returned for a job that was cancelled before this request for it arrived, and is not
// stored.
var errCanceled = errors.New("the job was cancelled before")

// errOwnerSuspected is returned for a request to an owner that no longer answers pings.
var errOwnerSuspected = fmt.Errorf("%w: the owner of the pool does not answer pings", jayport.ErrNoAnswer)

// suspectPollInterval is the time between two checks whether the owner that a request was
// sent to is suspected.
const suspectPollInterval = 20 * time.Millisecond

// askOwner sends a request to an owner and returns early once the owner is suspected. The
// caller then stores the job itself; storing it twice is harmless. Waiting for the
// request to time out would leave no time for that, and callers would get no answer when
// an owner loses power.
func (i *intake) askOwner(c jayowner.Claim, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	type outcome struct {
		response *jaywire.PeerResponse
		err      error
	}
	answered := make(chan outcome, 1)
	go func() {
		response, err := i.link.Ask(c.Incarnation, c.PeerAddr, request)
		i.node.members.Liveness.RecordOutcome(c.Incarnation, err)
		answered <- outcome{response, err}
	}()
	poll := time.NewTicker(suspectPollInterval)
	defer poll.Stop()
	for {
		select {
		case o := <-answered:
			return o.response, o.err
		case <-poll.C:
			if i.node.members.Liveness.Suspects(c.Incarnation) {
				return nil, errOwnerSuspected
			}
		}
	}
}

// store appends a job and passes it to the pool's duty, if this entry owns the pool.
// While the store accepts no jobs, it retries for as long as the job may wait. Its errors
// are jayport.ErrRejected, jayport.ErrNoAnswer, errTaken, errCanceled, *hopelessError and
// *jayfootprint.FullError.
//
// The owner also reads all jobs from the store, but a read can be blocked while appends
// go on. Jobs that were accepted would then start only after that read had timed out.
func (i *intake) store(pool, id, organisation string, value []byte, timeout, outageWait time.Duration) error {
	if stored, holder := i.node.isStored(pool, id); stored {
		if holder != "" && holder != organisation {
			return errTaken
		}
		// The store already has the job: the caller repeats a request that was accepted,
		// or whose answer was lost. Rejecting it while the store accepts no appends would
		// claim that the job never runs, and another append would make a slow store
		// slower.
		return nil
	}
	if i.node.canceledBefore(pool, id, organisation) {
		return errCanceled
	}
	if err := i.admit(pool, id, value); err != nil {
		return err
	}
	began := i.node.clock()
	i.node.expect(pool, id, value)
	waitUntil := began + remainingWait(i.outage(pool), outageWait)
	for {
		err := i.append(pool, id, value, timeout-(i.node.clock()-began), waitUntil)
		if err == nil {
			i.node.declareStored(pool, id, value)
		}
		if !errors.Is(err, jayport.ErrRejected) || i.node.clock()+rejectedRetryDelay >= waitUntil {
			i.appendEnded(pool, id, err)
			return err
		}
		time.Sleep(rejectedRetryDelay)
	}
}

// rejectedRetryDelay is the delay before a job that the store rejected is appended again.
const rejectedRetryDelay = 100 * time.Millisecond

// outage returns for how long the store has accepted no jobs of a pool, as far as this
// entry knows.
func (i *intake) outage(pool string) time.Duration {
	return max(i.journals[i.node.partitionOf(pool)].AppendAge(), i.node.store.LostFor())
}

// append appends a job. Behind an append that is stuck, the job waits until waitUntil.
// Its errors are those of store.
func (i *intake) append(pool, id string, value []byte, timeout, waitUntil time.Duration) error {
	journal := i.journals[i.node.partitionOf(pool)]
	if i.stuck(journal) && i.node.clock() >= waitUntil {
		return jayport.ErrRejected
	}
	answered := make(chan error, 1)
	entry := jayjournal.NewEntry([]jayport.Record{{Key: jobKey(pool, id), Value: value}}, func(err error) { answered <- err })
	if journal.Add(entry) != nil {
		return jayport.ErrRejected
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	poll := time.NewTicker(stuckPollInterval)
	defer poll.Stop()
	for {
		select {
		case err := <-answered:
			if err == nil || errors.Is(err, jayport.ErrRejected) || errors.Is(err, jayport.ErrMalformed) {
				return err
			}
			return jayport.ErrNoAnswer
		case <-poll.C:
			// A job behind a stuck append is rejected once it cannot be done in time any
			// more, instead of keeping its caller waiting.
			if i.stuck(journal) && i.node.clock() >= waitUntil && entry.Withdraw() {
				return jayport.ErrRejected
			}
		case <-timer.C:
			if entry.Withdraw() {
				return jayport.ErrRejected
			}
			return jayport.ErrNoAnswer
		}
	}
}

// stuckPollInterval is the time between two checks whether an append is stuck.
const stuckPollInterval = 50 * time.Millisecond

// stuck reports whether the current append of a journal has waited for its answer for
// longer than appends take at present.
func (i *intake) stuck(journal *jayjournal.Journal) bool {
	return journal.AppendAge() > max(stuckAfter, stuckLatencies*i.node.store.Latency())
}

// storeSilenceLimit is how long this entry may be without an answer from the store before
// it stops appending jobs itself. The entry reads the claims continuously, and such a
// read is answered after at most jaymember.ClaimsWait.
const storeSilenceLimit = jaymember.ClaimsWait + 800*time.Millisecond

// storeUnreachable reports whether this entry has had no answer from the store for too
// long. An append without an answer would leave the caller without one until its
// deadline.
func (i *intake) storeUnreachable() bool {
	view := i.node.members.Owners.View()
	if view == nil {
		return true
	}
	lastAnswer := max(view.AnsweredAt, i.node.store.RegainedAt())
	return i.node.clock()-lastAnswer > storeSilenceLimit
}

// storeFor stores a job on behalf of a peer.
func (i *intake) storeFor(ask *jaywire.StoreJob) *jaywire.JobStored {
	declaration := &jaywire.JobDeclaration{}
	if err := proto.Unmarshal(ask.Declaration, declaration); err != nil {
		return &jaywire.JobStored{Outcome: jaywire.StoreOutcome_STORE_OUTCOME_MALFORMED}
	}
	err := i.store(ask.Pool, ask.Job, declaration.Organisation, ask.Declaration, millis(ask.TimeoutMillis), millis(ask.OutageWaitMillis))
	stored := &jaywire.JobStored{Outcome: jayrelay.OutcomeOf(err), StoreAway: i.storeUnreachable(), Taken: errors.Is(err, errTaken), Canceled: errors.Is(err, errCanceled)}
	writeRejection(stored, err)
	return stored
}

const (
	// storeJobTimeout limits the duration of a request to an owner to store a job. If the
	// store is slow, the job waits for the append before its own.
	storeJobTimeout = 2200 * time.Millisecond
	// ownerShare is the share of a caller's deadline, in percent, for the request to the
	// owner.
	ownerShare = 70
)

func (i *intake) submitError(err error) error {
	if verdict := hopelessVerdict(err); verdict != nil {
		return verdict
	}
	var full *jayfootprint.FullError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &full):
		return jayverdict.NewNotRun(statusUnavailable, full.Error(), jayfootprint.RetryAfter)
	case errors.Is(err, errTaken):
		return jayverdict.NewNotRun(statusConflict, "the job ID is taken", 0)
	case errors.Is(err, errCanceled):
		return jayverdict.NewNotRun(statusConflict, "the job was cancelled before it was submitted", 0)
	case errors.Is(err, jayport.ErrRejected), errors.Is(err, jayport.ErrMalformed):
		return jayverdict.NewNotRun(statusUnavailable, "the store does not take the job", retryAfter(i.node.store.LostFor()))
	default:
		return jayverdict.NewMayHaveRun(statusTimeout, "the job may be stored", err)
	}
}
