package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// Guards against takeovers that stay long: an owner was lost before it had removed the declarations of ended jobs,
// and the next one leaves them in the store.
func TestNextOwnerRemovesDeclarationsOfEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newIdlePoolFixture(t, 2)
		value, err := proto.Marshal(&jaywire.JobProgress{Outcome: jaywire.JobOutcome(jaysched.Canceled), EndedUnixMillis: time.Now().UnixMilli()})
		is.NoErr(err)
		_, err = w.entry.store.store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, Records: []jayport.Record{{Key: jobKey("seats", testID), Value: value}}, AsOf: jayport.AnyOffset})
		is.NoErr(err)
		w.startIntake(t)
		w.start(t)
		w.refreshClaimsFor(2 * declarationsInterval)
		is.Equal(w.storedKeys(topicJobs), 0)
		assertEnded(t, w, testID)
	})
}
