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
	"jaythread/jayowner"
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

// Guards against a pool without an owner: the progress of a job whose tasks have saved is larger than the store's
// records, and each owner gives the pool up.
func TestProgressOfAWideJobIsRecordedInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		w.refreshClaimsFor(time.Second)
		const tasks = 10_000
		job := jobOf(fmt.Sprintf("%016x", 1), time.Second)
		job.Steps = []jayspec.Step{{Tasks: tasks, Checkpoint: true, Need: jaypool.Resources{ProcessorsMilli: 1 << 30}}}
		var ended []jayport.EndedRun
		for index := range tasks {
			run := jayport.RunRef{Task: jayport.TaskID{Job: job.ID, Index: index}, Number: 1 << 40}
			ended = append(ended, jayport.EndedRun{Number: int64(index + 1), Run: run, Ending: jayport.EndedStopped, Checkpoint: "00000bb87a21d94b"})
		}
		w.duty.post(func(now time.Duration) {
			w.duty.pool.Declare(job, now)
			w.duty.pool.Reported(jayport.WorkerRef{ID: "w0"}, jayport.Report{Clock: now, Ended: ended}, now, now)
			ended = append(ended, jayport.EndedRun{Number: tasks + 1, Run: jayport.RunRef{Task: jayport.TaskID{Job: job.ID}, Number: 1<<40 + 1}, Ending: jayport.EndedFailed})
			job.Policy.Attempts = 3
			w.duty.pool.Reported(jayport.WorkerRef{ID: "w0"}, jayport.Report{Clock: now, Ended: ended[tasks:]}, now, now)
		})
		w.refreshClaimsFor(2 * time.Second)
		is.NoErr(w.duty.ctx.Err())
		is.True(newestOf(w, topicProgress, jobKey("seats", job.ID+"#1")) != nil)
		next := newPoolDuty(w.entry.node, "seats", w.entry.claim(jayowner.PoolDuty("seats"), w.claim.Fence+1, 2))
		progress := next.loadProgress()[job.ID]
		is.Equal(len(progress.GetSteps()), 1)
		is.Equal(len(progress.Steps[0].Tasks), tasks)
		is.Equal(progress.Steps[0].Tasks[tasks-1].Checkpoint, "00000bb87a21d94b")
		is.Equal(next.parts[job.ID], int(progress.Parts))
	})
}
