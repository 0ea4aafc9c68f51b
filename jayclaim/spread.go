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
	if !c.logUsable() {
		return false, errLogDown
	}
	first, err = c.committer.Commit(claim.Id, claim, c.options.LogTimeout)
	if err != nil {
		c.mu.Lock()
		c.suspected = c.now()
		c.mu.Unlock()
	}
	return first, err
}

// logUsable reports whether to wait for the log. After one claim has waited in
// vain the next ones do not, until the log was read again; each would hold an
// upstream's slot for the whole timeout.
func (c *Claimer) logUsable() bool {
	if c.options.LogAge == nil {
		return true
	}
	age := c.options.LogAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	return age < logStale && c.now().Add(-age).After(c.suspected)
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
