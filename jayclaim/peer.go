package jayclaim

import (
	"jaythread/jaywire"
)

// HandleClaim answers a peer's request to hold or release a claim.
func (c *Claimer) HandleClaim(claim *jaywire.Claim) *jaywire.ClaimAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(claim.GetKey()) != len(Key{}) {
		return &jaywire.ClaimAnswer{Outcome: jaywire.ClaimOutcome_CLAIM_OUTCOME_UNREADY}
	}
	now := c.now()
	if claim.Kind == jaywire.ClaimKind_CLAIM_KIND_RELEASE {
		c.table.Release(claim, now)
		return &jaywire.ClaimAnswer{Outcome: jaywire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
	}
	if !c.ready {
		return &jaywire.ClaimAnswer{Outcome: jaywire.ClaimOutcome_CLAIM_OUTCOME_UNREADY}
	}
	c.table.Expire(now)
	holder, granted := c.table.Grant(claim, now)
	if !granted {
		return &jaywire.ClaimAnswer{Outcome: jaywire.ClaimOutcome_CLAIM_OUTCOME_HELD, Holder: holder}
	}
	return &jaywire.ClaimAnswer{Outcome: jaywire.ClaimOutcome_CLAIM_OUTCOME_GRANTED}
}

// HandleFetch answers a peer's request for a stored answer.
func (c *Claimer) HandleFetch(f *jaywire.FetchAnswer) *jaywire.StoredAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(f.GetKey()) != len(Key{}) {
		return &jaywire.StoredAnswer{}
	}
	key := Key(f.Key)
	answer, found := c.table.Answer(key)
	if !found {
		return &jaywire.StoredAnswer{Key: f.Key, Running: c.table.Running(key)}
	}
	return &jaywire.StoredAnswer{
		Key: f.Key, Found: true, Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body,
	}
}

// HandleStore stores a copy of an answer for a peer.
func (c *Claimer) HandleStore(s *jaywire.StoreAnswer) {
	stored := s.GetAnswer()
	if len(stored.GetKey()) != len(Key{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Store(Key(stored.Key), &Answer{
		Status: int(stored.Status), ContentType: stored.ContentType, Body: stored.Body,
	}, c.now())
}

// HandleFetchClaims returns all known claims to a peer that has just started.
func (c *Claimer) HandleFetchClaims() *jaywire.ClaimBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &jaywire.ClaimBatch{Claims: c.table.Claims()}
}

// Learn records claims from a peer or the log before this entry is ready.
func (c *Claimer) Learn(claims []*jaywire.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, claim := range claims {
		if len(claim.Key) == len(Key{}) {
			c.table.Grant(claim, now)
		}
	}
}

// Apply records a claim read from the log and reports whether it is the first one
// for its key there.
func (c *Claimer) Apply(claim *jaywire.Claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Apply(claim, c.now())
}

// Keys returns the number of remembered keys.
func (c *Claimer) Keys() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len()
}
