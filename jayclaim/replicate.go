package jayclaim

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"jaythread/jaypeer"
	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// replicate records the claim at the log and at the peers that must hold it. It
// returns the claim of another entry that holds the key, or an error if the claim
// cannot be made safe. In both cases the claim is released.
func (c *Claimer) replicate(key Key, claim *jaywire.Claim) (*jaywire.Claim, error) {
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
		// The claim must also reach the log, for entries that start after the
		// outage.
		err = c.submitToLog(claim)
	}
	c.countDecision(logged, err)
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
	if !c.logUsable() {
		return false, errLogDown
	}
	first, err = c.committer.Commit(claim.Id, claim, c.options.LogTimeout)
	if err != nil {
		c.mu.Lock()
		c.logTimeoutAt = c.now()
		c.mu.Unlock()
	}
	return first, err
}

// logUsable reports whether a claim should wait for the log. Once a claim has
// waited without success, later claims do not wait until the log has been read
// again; each would occupy an upstream's slot for the whole timeout.
func (c *Claimer) logUsable() bool {
	if c.options.LogAge == nil {
		return true
	}
	age := c.options.LogAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	return age < logStale && c.now().Add(-age).After(c.logTimeoutAt)
}

func (c *Claimer) submitToLog(claim *jaywire.Claim) error {
	if err := c.committer.Submit(claim.Id, claim); err != nil {
		return refuse(err)
	}
	return nil
}

func (c *Claimer) countDecision(logged bool, err error) {
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
		// The other claim has been released in the meantime.
		return nil, jayverdict.NewNotRun(503, "another entry gave the key back", time.Second)
	}
	return holder, nil
}

// grantResult is a peer's decision on a claim, or the error of the request.
type grantResult struct {
	member  jaystate.Member
	outcome jaywire.ClaimOutcome
	holder  *jaywire.Claim
	err     error
}

func (c *Claimer) askOne(m jaystate.Member, claim *jaywire.Claim) grantResult {
	response, err := c.peers.Ask(m, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Claim{Claim: claim}})
	if err != nil {
		return grantResult{member: m, err: err}
	}
	answer := response.GetClaimAnswer()
	return grantResult{member: m, outcome: answer.GetOutcome(), holder: answer.GetHolder()}
}

func (c *Claimer) askMany(members []jaystate.Member, claim *jaywire.Claim) []grantResult {
	grants := make([]grantResult, len(members))
	var asked sync.WaitGroup
	for n, m := range members {
		asked.Go(func() { grants[n] = c.askOne(m, claim) })
	}
	asked.Wait()
	return grants
}

var errCopies = errors.New("too few peers hold the claim")

// askCopies asks peers to hold a claim that is the first in the log, so that they
// know it if the log goes down before they have read it.
func (c *Claimer) askCopies(claim *jaywire.Claim) (*jaywire.Claim, error) {
	claim = withAhead(claim)
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

var errPeerSilent = errors.New("a peer that may hold the key does not answer while the log is down")

// askAll asks every member to hold the claim while the log is down. It first asks
// the member that ranks first for the key, so that of several entries with the
// same payment one is granted the key and the others stop there.
func (c *Claimer) askAll(claim *jaywire.Claim) (*jaywire.Claim, error) {
	others := c.peers.Others()
	if first, ok := c.firstRanked(others, claim); ok {
		if g := c.askOne(first, claim); g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD {
			return g.holder, nil
		}
	}
	ended := 0
	var failure error
	for _, g := range c.askMany(others, withAhead(claim)) {
		switch {
		case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD:
			return g.holder, nil
		case g.outcome == jaywire.ClaimOutcome_CLAIM_OUTCOME_GRANTED:
		case errors.Is(g.err, jaypeer.ErrGone):
			ended++
		default:
			failure = errPeerSilent
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

// firstRanked returns the member that ranks first for the claim's key, and whether that
// is another entry.
func (c *Claimer) firstRanked(others []jaystate.Member, claim *jaywire.Claim) (jaystate.Member, bool) {
	all := rank(append(others, jaystate.Member{Entry: c.self}), claim.Key)
	return all[0], all[0].Entry != c.self
}

// withAhead returns a copy of the claim that takes precedence over undecided
// claims.
func withAhead(claim *jaywire.Claim) *jaywire.Claim {
	first := proto.Clone(claim).(*jaywire.Claim)
	first.Ahead = true
	return first
}

func refuse(err error) *jayverdict.Error {
	e := jayverdict.NewNotRun(503, err.Error(), time.Second)
	e.Err = err
	return e
}

// rank orders the members by a hash of member and key, so that all entries choose
// the same peers for the copies of a key.
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
