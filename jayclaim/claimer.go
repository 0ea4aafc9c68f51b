package jayclaim

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"jaythread/jaypeer"
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
	// LogFresh reports whether the log was read a moment ago; nil means yes.
	// While it was not, a claim does not wait for it.
	LogFresh func() bool
}

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

// spread makes the claim hold everywhere that it must. It returns the claim
// of another entry that came first, or an error if this one cannot be made
// safe; in both cases the claim is released.
func (c *Claimer) spread(key Key, claim *jaywire.Claim) (*jaywire.Claim, error) {
	first, err := c.commit(claim)
	if err == nil && !first {
		c.Release(claim)
		return c.holder(key)
	}
	logged := err == nil
	var holder *jaywire.Claim
	if logged {
		holder, err = c.askCopies(claim)
	} else {
		holder, err = c.askAll(claim)
	}
	if !logged && holder == nil && err == nil {
		// The log must come to hold the claim too, for entries that start
		// after the outage.
		err = c.submitLate(claim)
	}
	c.count(logged, err)
	if holder == nil && err == nil && c.decide(claim) {
		return nil, nil
	}
	c.Release(claim)
	if holder == nil && err == nil {
		return c.holder(key)
	}
	return holder, err
}

func (c *Claimer) decide(claim *jaywire.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Decide(claim)
}

var errLogDown = errors.New("the log does not answer")

func (c *Claimer) commit(claim *jaywire.Claim) (first bool, err error) {
	if c.options.LogFresh != nil && !c.options.LogFresh() {
		return false, errLogDown
	}
	return c.committer.Commit(claim.Id, claim, c.options.LogTimeout)
}

func (c *Claimer) submitLate(claim *jaywire.Claim) error {
	if err := c.committer.Submit(claim.Id, claim); err != nil {
		return refuse(err)
	}
	return nil
}

func (c *Claimer) count(logged bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.counters.Refused++
	case logged:
		c.counters.ByLog++
	default:
		c.counters.ByPeers++
	}
}

func (c *Claimer) holder(key Key) (*jaywire.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, held := c.table.Holder(key)
	if !held {
		// The other claim was released in between.
		return nil, jayverdict.NewNotRun(503, "another entry gave the key back", time.Second)
	}
	return holder, nil
}

// grant is the answer of one peer.
type grant struct {
	member  jaystate.Member
	outcome jaywire.ClaimOutcome
	holder  *jaywire.Claim
	err     error
}

func (c *Claimer) askOne(m jaystate.Member, claim *jaywire.Claim) grant {
	response, err := c.peers.Ask(m, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Claim{Claim: claim}})
	if err != nil {
		return grant{member: m, err: err}
	}
	answer := response.GetClaimAnswer()
	return grant{member: m, outcome: answer.GetOutcome(), holder: answer.GetHolder()}
}

func (c *Claimer) askMany(members []jaystate.Member, claim *jaywire.Claim) []grant {
	grants := make([]grant, len(members))
	var asked sync.WaitGroup
	for n, m := range members {
		asked.Go(func() { grants[n] = c.askOne(m, claim) })
	}
	asked.Wait()
	return grants
}

var errCopies = errors.New("too few peers hold the claim")

// askCopies has peers hold a claim that stands first in the log, so that it is
// known to them if the log goes down before they have read it.
func (c *Claimer) askCopies(claim *jaywire.Claim) (*jaywire.Claim, error) {
	claim = ahead(claim)
	ranked := rank(c.peers.Others(), claim.Key)
	need := min(c.options.Copies, len(ranked))
	held, ended := 0, 0
	for len(ranked) > 0 && held < need {
		n := min(need-held, len(ranked))
		for _, g := range c.askMany(ranked[:n], claim) {
			switch {
			case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD:
				return g.holder, nil
			case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
				held++
			case errors.Is(g.err, jaypeer.ErrGone):
				ended++
			}
		}
		ranked = ranked[n:]
		need = min(need, len(c.peers.Others())-ended)
	}
	if held < need {
		return nil, refuse(errCopies)
	}
	return nil, nil
}

var errSilent = errors.New("a peer that may hold the key does not answer while the log is down")

// askAll asks every member while the log does not answer: first the one that
// ranks first for the key, so that of several entries with the same payment
// one gets ahead and the others stop there.
func (c *Claimer) askAll(claim *jaywire.Claim) (*jaywire.Claim, error) {
	others := c.peers.Others()
	if leader, ok := c.leader(others, claim); ok {
		if g := c.askOne(leader, claim); g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD {
			return g.holder, nil
		}
	}
	ended := 0
	var failure error
	for _, g := range c.askMany(others, ahead(claim)) {
		switch {
		case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD:
			return g.holder, nil
		case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		case errors.Is(g.err, jaypeer.ErrGone):
			ended++
		default:
			failure = errSilent
		}
	}
	if ended >= max(1, c.options.Copies) {
		failure = errCopies
	}
	if failure != nil {
		return nil, refuse(failure)
	}
	return nil, nil
}

// leader returns the member that ranks first, unless it is this entry.
func (c *Claimer) leader(others []jaystate.Member, claim *jaywire.Claim) (jaystate.Member, bool) {
	all := rank(append(others, jaystate.Member{Entry: c.self}), claim.Key)
	return all[0], all[0].Entry != c.self
}

// ahead returns a copy of a claim that others' undecided claims give way to.
func ahead(claim *jaywire.Claim) *jaywire.Claim {
	first := proto.Clone(claim).(*jaywire.Claim)
	first.Ahead = true
	return first
}

func refuse(err error) *jayverdict.Error {
	e := jayverdict.NewNotRun(503, err.Error(), time.Second)
	e.Err = err
	return e
}

// rank orders members for a key, so that the same peers hold its copies.
func rank(members []jaystate.Member, key []byte) []jaystate.Member {
	ranked := slices.Clone(members)
	score := func(m jaystate.Member) uint64 { return xxhash.Sum64String(m.Entry + "\x00" + string(key)) }
	slices.SortFunc(ranked, func(a, b jaystate.Member) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return ranked
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
