package jayclaim

import (
	"bytes"
	"time"

	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// resendPoll is the interval at which an entry asks another one for the answer of
// a request that is still running there.
const resendPoll = 50 * time.Millisecond

// AnswerKnown answers a resend whose key this entry already knows, without taking a slot
// at an upstream. It returns nil if the key is new.
func (c *Claimer) AnswerKnown(key Key, fingerprint []byte, timeout time.Duration) (Decision, error) {
	c.mu.Lock()
	holder, held := c.table.Holder(key)
	c.mu.Unlock()
	if !held {
		return nil, nil
	}
	return c.answerResend(key, holder, fingerprint, c.now().Add(timeout))
}

// answerResend answers a resend with the stored answer, after waiting for the
// first run if it is still under way, or else with the verdict "may have run".
func (c *Claimer) answerResend(key Key, holder *jaywire.Claim, fingerprint []byte, deadline time.Time) (Decision, error) {
	if !bytes.Equal(holder.Fingerprint, fingerprint) {
		return nil, jayverdict.NewNotRun(422, "this Idempotency-Key was used for another request", 0)
	}
	if answer := c.ownAnswer(key, deadline); answer != nil {
		return c.replay(answer), nil
	}
	if c.wasReleased(key) {
		return nil, jayverdict.NewNotRun(503, "the first attempt did not run", time.Second)
	}
	if holder.Entry != c.self {
		if answer := c.peerAnswer(key, holder.Entry, deadline); answer != nil {
			return c.replay(answer), nil
		}
	}
	return nil, jayverdict.NewMayHaveRun(409, "an earlier request with this key may have run", nil)
}

func (c *Claimer) replay(a *Answer) Replay {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Replayed++
	return Replay{Answer: a}
}

// ownAnswer returns the answer stored at this entry. It waits for a run that is
// under way here until the deadline.
func (c *Claimer) ownAnswer(key Key, deadline time.Time) *Answer {
	c.mu.Lock()
	done, running := c.finished[key]
	c.mu.Unlock()
	left := deadline.Sub(c.now())
	if running && left > 0 {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, _ := c.table.Answer(key)
	return answer
}

func (c *Claimer) wasReleased(key Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, held := c.table.Holder(key)
	return !held
}

// peerAnswer requests the answer from the entry that ran the request, and then
// from the other members.
func (c *Claimer) peerAnswer(key Key, entry string, deadline time.Time) *Answer {
	others := rank(c.peers.Others(), key[:])
	for _, m := range others {
		if m.Entry != entry {
			continue
		}
		if answer := c.awaitPeer(m, key, deadline); answer != nil {
			return answer
		}
	}
	for _, m := range others {
		if m.Entry == entry {
			continue
		}
		if answer, _ := c.fetch(m, key); answer != nil {
			return answer
		}
	}
	return nil
}

func (c *Claimer) awaitPeer(m jaystate.Member, key Key, deadline time.Time) *Answer {
	for {
		answer, running := c.fetch(m, key)
		if answer != nil || !running || !c.now().Before(deadline) {
			return answer
		}
		time.Sleep(resendPoll)
	}
}

func (c *Claimer) fetch(m jaystate.Member, key Key) (answer *Answer, running bool) {
	response, err := c.peers.Ask(m, &jaywire.PeerRequest{
		Body: &jaywire.PeerRequest_FetchAnswer{FetchAnswer: &jaywire.FetchAnswer{Key: key[:]}},
	})
	if err != nil {
		return nil, false
	}
	stored := response.GetStoredAnswer()
	if !stored.GetFound() {
		return nil, stored.GetRunning()
	}
	return &Answer{Status: int(stored.Status), ContentType: stored.ContentType, Body: stored.Body}, false
}
