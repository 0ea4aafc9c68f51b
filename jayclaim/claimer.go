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

// Peers are the other members, as the folded state has them.
type Peers interface {
	Others() []jaystate.Member
	Ask(m jaystate.Member, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error)
}

// Committer appends claims and tells whether one stands first in the log.
type Committer interface {
	Commit(id string, claim *jaywire.Claim, timeout time.Duration) (first bool, err error)
	Submit(id string, claim *jaywire.Claim) error
	Forget(id string)
}

// Decision is what to do with a keyed request: Run or Replay.
type Decision interface {
	isDecision()
}

// Run means that this entry holds the key and runs the request.
type Run struct {
	Claim *jaywire.Claim
}

// Replay means that the request ran before; this is its answer.
type Replay struct {
	Answer *Answer
}

func (Run) isDecision()    {}
func (Replay) isDecision() {}

// Options are the settings of a claimer.
type Options struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// Copies is how many peers must hold a claim besides the log.
	Copies int
	// LogTimeout is how long a claim waits for the log before it goes to all
	// peers instead.
	LogTimeout time.Duration
	// StoredBytes bounds an answer that is kept for a resend.
	StoredBytes int
	// LogAge returns how long ago the log was last read; nil means just now.
	// While that is long, a claim does not wait for the log.
	LogAge func() time.Duration
}

// logStale is the age from which the log is taken to be down.
const logStale = 2 * time.Second

// Claimer decides which entry runs a keyed request.
//
// A claim is held by the log and by Copies peers before the request runs.
// While the log is down it is held by every member that has not ended, and at
// most Copies-1 members may have ended: then one of the holders of any earlier
// claim is still among those that are asked, so a second run is always found.
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
	// suspected is when a claim last waited for the log in vain.
	suspected time.Time
}

// Counters count decisions.
type Counters struct {
	ByLog    uint64
	ByPeers  uint64
	Replayed uint64
	Refused  uint64
}

// NewClaimer returns a claimer that is not ready: it grants and takes nothing
// until SetReady.
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

// SetReady tells that this entry knows all earlier claims. Before it, an
// entry that has just started could grant a key that ran a minute ago.
func (c *Claimer) SetReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

// Ready reports whether keyed requests are taken.
func (c *Claimer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready
}

// Counters returns the decisions so far.
func (c *Claimer) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// Take decides on a request. An error is of type *jayverdict.Error.
func (c *Claimer) Take(key Key, fingerprint []byte, timeout time.Duration) (Decision, error) {
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
		holder, err = c.spread(key, claim)
	}
	if err != nil {
		return nil, err
	}
	if holder != nil {
		return c.existing(key, holder, fingerprint, deadline)
	}
	return Run{Claim: claim}, nil
}

// begin records the claim here, or returns the one that holds the key.
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

// Release gives a key back whose request has not run and will not.
func (c *Claimer) Release(claim *jaywire.Claim) {
	release := &jaywire.Claim{
		Kind:       jaywire.ClaimKind_CLAIM_KIND_RELEASE,
		Key:        claim.Key,
		Id:         claim.Id,
		Entry:      c.self,
		UnixMillis: c.now().UnixMilli(),
	}
	c.committer.Forget(claim.Id)
	c.mu.Lock()
	c.table.Release(claim, c.now())
	c.mu.Unlock()
	c.end(Key(claim.Key))
	if err := c.committer.Submit("release "+claim.Id, release); err != nil {
		c.logger.Info("release not appended", "error", err.Error())
	}
	for _, m := range c.peers.Others() {
		go c.askOne(m, release)
	}
}

// Finish stores the answer of a request that ran, here and at the peers that
// hold its copies.
func (c *Claimer) Finish(claim *jaywire.Claim, a *Answer) {
	key := Key(claim.Key)
	if a != nil && len(a.Body) <= c.options.StoredBytes {
		c.mu.Lock()
		c.table.Store(key, a, c.now())
		c.mu.Unlock()
		c.storeAtCopies(key, a)
	}
	c.end(key)
}

// storeAtCopies does not wait: the caller has its answer, and a resend that
// comes before the copy finds it here.
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

func (c *Claimer) end(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetRunning(key, false)
	if done, ok := c.finished[key]; ok {
		close(done)
		delete(c.finished, key)
	}
}
