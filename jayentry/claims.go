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

// claimAppendsPerSecond limits the rate at which all entries together append
// claims. The log service accepts several hundred appends a second in total. The
// members share this rate evenly, and one append can carry many claims.
const claimAppendsPerSecond = 240

// claimLog appends claims to the claim stream and applies the claims read from it.
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

// Commit appends a claim and reports whether it is the first one for its key in
// the log.
func (c *claimLog) Commit(id string, claim *jaywire.Claim, timeout time.Duration) (bool, error) {
	return c.committer.Commit(id, claim, timeout)
}

// Submit appends a claim without waiting for the result.
func (c *claimLog) Submit(id string, claim *jaywire.Claim) error {
	return c.committer.Submit(id, claim)
}

// Cancel drops a queued claim whose append has not begun.
func (c *claimLog) Cancel(id string) {
	c.committer.Cancel(id)
}

// From returns the offset of the next record to apply.
func (c *claimLog) From() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from
}

// CaughtUp reports whether the end of the stream has been reached at least once.
func (c *claimLog) CaughtUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.caughtUp
}

// Apply applies a page of claims.
func (c *claimLog) Apply(page jayplatform.Page, readBegan time.Time, caughtUp bool) {
	for _, record := range page.Records {
		batch := &jaywire.ClaimBatch{}
		if err := proto.Unmarshal(record.Data, batch); err != nil {
			c.logger.Info("skipping unreadable claim record", "offset", record.Offset, "error", err.Error())
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
	first := c.claimer.Apply(claim)
	id := claim.Id
	if claim.Kind == jaywire.ClaimKind_CLAIM_KIND_RELEASE {
		id = releaseID(id)
	}
	c.committer.Observe(id, first)
}

func releaseID(claim string) string {
	return strings.Join([]string{"release", claim}, " ")
}

// Expired continues from the oldest record that the log service still keeps.
// Earlier claims can be skipped because the log service's retention must exceed
// the claim window.
func (c *claimLog) Expired(first uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from = first
}

// claimSyncPause is the delay between two attempts to load earlier claims.
const claimSyncPause = 200 * time.Millisecond

// syncClaims marks the claimer as ready once this entry knows all earlier claims:
// those in the log, or those of the peers while the log is down.
func (e *Entry) syncClaims(ctx context.Context) {
	for ctx.Err() == nil {
		if e.loadEarlierClaims() {
			e.claimer.SetReady()
			e.logger.Info("earlier claims loaded", "keys", e.claimer.Keys())
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimSyncPause):
		}
	}
}

// loadEarlierClaims asks every member for its claims, since claims made while the
// log was down are stored only at members. It reports whether all earlier claims
// are known: a member that neither answers nor has ended may hold one.
func (e *Entry) loadEarlierClaims() bool {
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
