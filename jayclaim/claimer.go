package jayclaim

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// Peers gives access to the other members in the replicated state.
type Peers interface {
	Others() []jaystate.Member
	Ask(m jaystate.Member, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error)
}

// Committer appends claims to the log and reports whether a claim is the first one
// for its key there.
type Committer interface {
	Commit(id string, claim *jaywire.Claim, timeout time.Duration) (first bool, err error)
	Submit(id string, claim *jaywire.Claim) error
	Cancel(id string)
}

// Decision is the decision on a keyed request: Run or Replay.
type Decision interface {
	isDecision()
}

// Run means that this entry holds the key and must run the request.
type Run struct {
	Claim *jaywire.Claim
}

// Replay means that the request has run before and is answered with its stored
// answer.
type Replay struct {
	Answer *Answer
}

func (Run) isDecision()    {}
func (Replay) isDecision() {}

// Options are the settings of a Claimer.
type Options struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// Copies is the number of peers that must hold a claim in addition to the log.
	Copies int
	// LogTimeout limits how long a claim waits for the log. After it, the claim is
	// sent to all peers instead.
	LogTimeout time.Duration
	// StoredBytes is the largest body size of an answer that is stored for
	// resends.
	StoredBytes int
	// LogAge returns the time since the log was last read; if it is nil, the log
	// counts as just read. A claim does not wait for a log that was not read
	// recently.
	LogAge func() time.Duration
}

// logStale is the age of the last log read from which the log is considered down.
const logStale = 2 * time.Second

// Claimer decides which entry runs a keyed request.
//
// Before a request runs, its claim is held by the log and by Copies peers. While
// the log is down, the claim must be held by every member that has not ended, and
// at most Copies-1 members may have ended. At least one holder of any earlier
// claim is then among the members asked, so a second run is always detected.
type Claimer struct {
	self      string
	options   Options
	committer Committer
	peers     Peers
	logger    logr.Logger
	now       func() time.Time

	mu       sync.Mutex
	table    *Table
	finished map[Key]chan struct{}
	ready    bool
	counters Counters
	// logTimeoutAt is when a claim last waited for the log without success.
	logTimeoutAt time.Time
}

// Counters counts the decisions by kind.
type Counters struct {
	ByLog    uint64
	ByPeers  uint64
	Replayed uint64
	Refused  uint64
}

// NewClaimer returns a Claimer that is not ready: it refuses keyed requests and
// the claims of peers until SetReady is called.
func NewClaimer(self string, options Options, committer Committer, peers Peers, logger logr.Logger) *Claimer {
	return &Claimer{
		self:      self,
		options:   options,
		committer: committer,
		peers:     peers,
		logger:    logger,
		now:       time.Now,
		table:     NewTable(options.Window),
		finished:  map[Key]chan struct{}{},
	}
}

// SetReady declares that this entry knows all earlier claims. Without this step,
// an entry that has just started could grant a key whose request ran shortly
// before.
func (c *Claimer) SetReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

// Ready reports whether keyed requests are accepted.
func (c *Claimer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Counters returns the numbers of decisions so far.
func (c *Claimer) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// Claim claims the key and decides on the request. A returned error is of type
// *jayverdict.Error.
func (c *Claimer) Claim(key Key, fingerprint []byte, timeout time.Duration) (Decision, error) {
	deadline := c.now().Add(timeout)
	claim := &jaywire.Claim{
		Kind:        jaywire.ClaimKind_CLAIM_KIND_TAKE,
		Key:         key[:],
		Id:          uuid.NewString(),
		Entry:       c.self,
		UnixMillis:  c.now().UnixMilli(),
		Fingerprint: fingerprint,
	}
	holder, err := c.begin(key, claim)
	if err != nil {
		return nil, err
	}
	if holder == nil {
		holder, err = c.replicate(key, claim)
	}
	if err != nil {
		return nil, err
	}
	if holder != nil {
		return c.answerResend(key, holder, fingerprint, deadline)
	}
	return Run{Claim: claim}, nil
}

// begin records the claim locally, or returns the claim that holds the key.
func (c *Claimer) begin(key Key, claim *jaywire.Claim) (*jaywire.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, jayverdict.NewNotRun(503, "earlier claims are not known yet", time.Second)
	}
	now := c.now()
	c.table.Expire(now)
	if holder, held := c.table.Holder(key); held {
		return holder, nil
	}
	c.table.Begin(claim, now)
	c.table.SetRunning(key, true)
	c.finished[key] = make(chan struct{})
	return nil, nil
}

// Release gives up the claim of a request that has not run and will not run.
func (c *Claimer) Release(claim *jaywire.Claim) {
	release := &jaywire.Claim{
		Kind:       jaywire.ClaimKind_CLAIM_KIND_RELEASE,
		Key:        claim.Key,
		Id:         claim.Id,
		Entry:      c.self,
		UnixMillis: c.now().UnixMilli(),
	}
	c.committer.Cancel(claim.Id)
	c.mu.Lock()
	c.table.Release(claim, c.now())
	c.mu.Unlock()
	c.markFinished(Key(claim.Key))
	if err := c.committer.Submit("release "+claim.Id, release); err != nil {
		c.logger.Info("release not appended", "error", err.Error())
	}
	for _, m := range c.peers.Others() {
		go c.askOne(m, release)
	}
}

// Finish stores the answer of a request that has run, here and at the peers that
// hold its copies.
func (c *Claimer) Finish(claim *jaywire.Claim, a *Answer) {
	key := Key(claim.Key)
	if a != nil && len(a.Body) <= c.options.StoredBytes {
		c.mu.Lock()
		c.table.Store(key, a, c.now())
		c.mu.Unlock()
		c.storeAtCopies(key, a)
	}
	c.markFinished(key)
}

// storeAtCopies sends the answer to the peers without waiting. The caller already
// has its answer, and a resend that arrives before the copies do is answered from
// this entry.
func (c *Claimer) storeAtCopies(key Key, a *Answer) {
	request := &jaywire.StoredAnswer{
		Key: key[:], Found: true, Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body,
	}
	members := rank(c.peers.Others(), key[:])
	for _, m := range members[:min(len(members), c.options.Copies)] {
		go func() {
			_, err := c.peers.Ask(m, &jaywire.PeerRequest{
				Body: &jaywire.PeerRequest_StoreAnswer{StoreAnswer: &jaywire.StoreAnswer{Answer: request}},
			})
			if err != nil {
				c.logger.V(1).Info("answer not copied", "peer", m.Entry, "error", err.Error())
			}
		}()
	}
}

func (c *Claimer) markFinished(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetRunning(key, false)
	if done, ok := c.finished[key]; ok {
		close(done)
		delete(c.finished, key)
	}
}
