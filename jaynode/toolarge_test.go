package jaynode

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
)

// Guards against an entry that stores no jobs any more: one caller has submitted a job whose declaration is
// larger than the store's records.
func TestJobThatIsTooLargeBlocksNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		e := newTestEntry(t, "e1", newSharedStore(), newSharedHosts(clock, nil), clock)
		e.setClaims()
		ctx, cancel := context.WithCancel(context.Background())
		e.node.intake.start(ctx)
		large := jobOf("00000000000000aa", time.Second)
		large.Steps[0].Image = strings.Repeat("a", recordBytes)
		is.True(e.node.Submit(large, 2*time.Second) != nil)
		is.NoErr(e.node.Submit(jobOf(testID, time.Second), 2*time.Second))
		time.Sleep(20 * time.Second) // lets pending calls return
		cancel()
		e.node.duties.Wait()
	})
}
