package jayentry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclaim"
	"jaythread/jaylog"
	"jaythread/jaypeer"
	"jaythread/jayplatform"
	"jaythread/jaywire"
)

// claimAppendsPerSecond is what all entries together may append for claims, of
// the several hundred appends a second that the log service takes. The members
// share it evenly; many claims share an append.
const claimAppendsPerSecond = 240

// claimLog carries claims to and from their stream.
type claimLog struct {
	committer *jaylog.Committer[*jaywire.Claim, bool]
	claimer   *jayclaim.Claimer
	logger    logr.Logger

	mu       sync.Mutex
	from     uint64
	caughtUp bool
}

func newClaimLog(log jayplatform.Log, logger logr.Logger) *claimLog {
	return &claimLog{
		committer: jaylog.NewCommitter[*jaywire.Claim, bool](log, ClaimStream, claimAppendsPerSecond, encodeClaims, logger),
		logger:    logger,
	}
}

func encodeClaims(claims []*jaywire.Claim) ([]byte, error) {
	return proto.Marshal(&jaywire.ClaimBatch{Claims: claims})
}

// Commit appends a claim and reports whether it stands first for its key.
func (c *claimLog) Commit(id string, claim *jaywire.Claim, timeout time.Duration) (bool, error) {
	return c.committer.Commit(id, claim, timeout)
}

// Submit appends a claim without waiting.
func (c *claimLog) Submit(id string, claim *jaywire.Claim) error {
	return c.committer.Submit(id, claim)
}

// Forget gives up an append that is not under way.
func (c *claimLog) Forget(id string) {
	c.committer.Forget(id)
}

// From is the offset to fold next.
func (c *claimLog) From() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from
}

// CaughtUp reports whether the stream's end was reached once.
func (c *claimLog) CaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.caughtUp
}

// Take folds a page of claims.
func (c *claimLog) Take(page jayplatform.Page, readBegan time.Time, caughtUp bool) {
	for _, record := range page.Records {
		batch := &jaywire.ClaimBatch{}
		if err := proto.Unmarshal(record.Data, batch); err != nil {
			c.logger.Info("record passed over", "offset", record.Offset, "error", err.Error())
			continue
		}
		for _, claim := range batch.Claims {
			c.observe(claim)
		}
	}
	c.mu.Lock()
	if n := len(page.Records); n > 0 {
		c.from = page.Records[n-1].Offset + 1
	}
	c.caughtUp = c.caughtUp || caughtUp
	c.mu.Unlock()
	if caughtUp {
		c.committer.CaughtUp(readBegan)
	}
}

func (c *claimLog) observe(claim *jaywire.Claim) {
	first := c.claimer.Fold(claim)
	id := claim.Id
	if claim.Kind == jaywire.ClaimKind_CLAIM_KIND_RELEASE {
		id = releaseID(id)
	}
	c.committer.Observe(id, first)
}

func releaseID(claim string) string {
	return strings.Join([]string{"release", claim}, " ")
}

// Expired goes on from the oldest claim that is kept. The claims before it are
// older than the log service's retention, which must exceed the claim window.
func (c *claimLog) Expired(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from = first
}

const claimSyncPause = 200 * time.Millisecond

// syncClaims makes the claimer ready once this entry knows all earlier claims:
// those of the log, or while the log is down those of the peers.
func (e *Entry) syncClaims(ctx context.Context) {
	for ctx.Err() == nil {
		if e.claimsKnown() {
			e.claimer.SetReady()
			e.logger.Info("earlier claims are known", "keys", e.claimer.Keys())
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimSyncPause):
		}
	}
}

// claimsKnown asks every member for its claims: those made while the log was
// down stand nowhere else. One that neither answers nor has ended may know
// one, so the entry is not ready without it.
func (e *Entry) claimsKnown() bool {
	if !e.store.CaughtUp() {
		return false
	}
	ended := 0
	for _, m := range e.members.Others() {
		response, err := e.members.Ask(m, &jaywire.PeerRequest{
			Body: &jaywire.PeerRequest_FetchClaims{FetchClaims: &jaywire.FetchClaims{}},
		})
		switch {
		case errors.Is(err, jaypeer.ErrGone):
			ended++
		case err != nil:
			return false
		default:
			e.claimer.Learn(response.GetClaims().GetClaims())
		}
	}
	return e.claimLog.CaughtUp() || ended < e.options.ClaimCopies && len(e.members.Others()) > ended
}
