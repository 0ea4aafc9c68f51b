package jaynode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaycatalog"
	"jaythread/jaysched"
	"jaythread/jaywire"
)

// Guards against a job that is shown as done and runs again: the pool's duty ended by itself, and the store
// took the record of the end for a repetition of an append of its former self.
func TestEndThatARestartedDutyShowsIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMemberFixture(t)
		is.True(w.entry.node.cancelOwned(&jaywire.CancelJob{Pool: "seats", Job: "00000000000000ff"}).Owned)
		w.restart()
		w.endSteps(2)
		state, known, err := w.entry.node.JobState(jaycatalog.Queue{Pool: "seats"}, "", testID, time.Second)
		is.NoErr(err)
		is.True(known)
		is.Equal(state, jaysched.StateDone)
		record := &jaywire.JobProgress{}
		is.NoErr(proto.Unmarshal(newestOf(w, topicProgress, jobKey("seats", testID)), record))
		is.Equal(jaysched.OutcomeOf(record), jaysched.Done)
	})
}
