package jaynode

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jayclock"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jayspec"
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

// Guards against an owner that is lost when the store is back: the progress of all jobs that have changed
// meanwhile is more than one append may hold.
func TestProgressOfALongOutageIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = topicProgress })
		const jobs, tasks = 150, 1000
		var ended []jayport.EndedRun
		w.duty.post(func(now time.Duration) {
			for n := range jobs {
				job := jobOf(fmt.Sprintf("%016x", n+1), time.Second)
				job.Policy.Attempts = 3
				job.Steps = []jayspec.Step{{Tasks: tasks, Need: jaypool.Resources{ProcessorsMilli: 1 << 30}}}
				w.duty.pool.Declare(job, now)
				for index := range tasks {
					run := jayport.RunRef{Task: jayport.TaskID{Job: job.ID, Index: index}, Number: 1 << 40}
					ended = append(ended, jayport.EndedRun{Number: int64(len(ended) + 1), Run: run, Ending: jayport.EndedFailed})
				}
			}
			w.duty.pool.Reported(jayport.WorkerRef{ID: "w0"}, jayport.Report{Clock: now, Ended: ended}, now, now)
		})
		w.refreshClaimsFor(time.Second)
		w.entry.store.set(func(s *faultyStore) { s.refuseTopic = "" })
		w.refreshClaimsFor(2 * time.Second)
		is.NoErr(w.duty.ctx.Err())
		is.True(newestOf(w, topicProgress, jobKey("seats", fmt.Sprintf("%016x", jobs))) != nil)
	})
}
