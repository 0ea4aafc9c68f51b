package jayclaim

import (
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// isolated implements Committer and Peers for an entry without a log and without
// peers.
type isolated struct{}

var errNoLog = errors.New("no log")

func (isolated) Commit(string, *jaywire.Claim, time.Duration) (bool, error) { return false, errNoLog }
func (isolated) Submit(string, *jaywire.Claim) error                        { return nil }
func (isolated) Cancel(string)                                              {}
func (isolated) Others() []jaystate.Member                                  { return nil }
func (isolated) Ask(jaystate.Member, *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	return nil, errNoLog
}

func newIsolated() *Claimer {
	return NewClaimer("a", Options{Window: time.Minute, Copies: 3, StoredBytes: 10}, isolated{}, isolated{}, logr.Discard())
}

func newClaim(id string, key Key, ahead bool) *jaywire.Claim {
	return &jaywire.Claim{Kind: jaywire.ClaimKind_CLAIM_KIND_TAKE, Key: key[:], Id: id, Entry: id, Ahead: ahead}
}

func TestUnreadyEntryRefusesClaims(t *testing.T) {
	// Guards against a payment that runs twice after an entry was replaced: the
	// new entry takes the payment before it has read the earlier claims, and its
	// empty table looks as if the key had never been used.
	is := is.New(t)
	c := newIsolated()
	key := NewKey("caller", "k")
	_, err := c.Claim(key, nil, time.Second)
	is.Equal(jayverdict.Of(err), jayverdict.NotRun)
	is.Equal(c.HandleClaim(newClaim("b", key, true)).Outcome, jaywire.ClaimOutcome_CLAIM_OUTCOME_UNREADY)
	c.SetReady()
	_, err = c.Claim(key, nil, time.Second)
	is.NoErr(err)
}

func TestTable(t *testing.T) {
	now := time.Unix(0, 0)
	key := NewKey("caller", "k")
	t.Run("an undecided claim is replaced by a claim that is ahead", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(time.Minute)
		mine := newClaim("a", key, false)
		table.Begin(mine, now)
		_, granted := table.Grant(newClaim("b", key, false), now)
		is.True(!granted)
		_, granted = table.Grant(newClaim("b", key, true), now)
		is.True(granted)
		is.True(!table.Decide(mine))
	})
	t.Run("a decided claim is not replaced", func(t *testing.T) {
		// Guards against a payment that runs twice: an entry runs it under a claim
		// that all peers granted, another entry's claim becomes the first in the
		// log, and the running claim is withdrawn as if it were still undecided.
		is := is.New(t)
		table := NewTable(time.Minute)
		mine := newClaim("a", key, false)
		table.Begin(mine, now)
		is.True(table.Decide(mine))
		holder, granted := table.Grant(newClaim("b", key, true), now)
		is.True(!granted)
		is.Equal(holder.Id, "a")
	})
	t.Run("the first claim in the log holds the key", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(time.Minute)
		is.True(table.Apply(newClaim("a", key, false), now))
		is.True(!table.Apply(newClaim("b", key, false), now))
		holder, _ := table.Holder(key)
		is.Equal(holder.Id, "a")
	})
	t.Run("a claim that arrives after its release does not hold the key", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(time.Minute)
		table.Release(newClaim("a", key, false), now)
		table.Grant(newClaim("a", key, false), now)
		is.True(!table.Apply(newClaim("a", key, false), now))
		_, held := table.Holder(key)
		is.True(!held)
	})
	t.Run("keys expire after the window", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(time.Minute)
		table.Apply(newClaim("a", key, false), now)
		table.Expire(now.Add(time.Minute))
		is.Equal(table.Len(), 1)
		table.Expire(now.Add(time.Minute + 1))
		is.Equal(table.Len(), 0)
	})
	t.Run("callers do not share keys", func(t *testing.T) {
		is.New(t).True(NewKey("a", "k") != NewKey("b", "k"))
	})
}
