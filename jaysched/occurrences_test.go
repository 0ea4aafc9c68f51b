package jaysched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayport"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// timed returns a job whose occurrences are due from some time on.
func timed(id string, occurrences int, first, interval time.Duration, change ...func(*jayspec.Step)) *jayspec.Job {
	spec := newSpec(id, 2, change...)
	spec.Schedule = jayspec.Schedule{Occurrences: occurrences, First: time.Unix(0, 0).Add(first), Interval: interval}
	return spec
}

// heldTasks counts the tasks that a pool has in memory.
func heldTasks(p *Pool) int {
	count := 0
	for _, j := range p.jobs {
		j.eachTask(func(*task) { count++ })
	}
	return count
}

func TestOccurrencesThatAreNotDueTakeNoMemory(t *testing.T) {
	// Guards against owners that end one after the other: 120 jobs that are due once a minute for a
	// day took 494 MB, more than an entry has, and each decision walked through all of it.
	declareDay := func(declare func(p *Pool, spec *jayspec.Job, now time.Duration)) *Pool {
		p := NewPool("seats", Settings{}, WithDueTimes(modelTime))
		for n := range 120 {
			declare(p, timed(fmt.Sprint(n), 1440, time.Hour, time.Minute), time.Second)
		}
		p.Decide(time.Second)
		return p
	}
	t.Run("of a new job", func(t *testing.T) {
		p := declareDay(func(p *Pool, spec *jayspec.Job, now time.Duration) { p.Declare(spec, now) })
		is.New(t).Equal(heldTasks(p), 0)
	})
	t.Run("of a restored job", func(t *testing.T) {
		p := declareDay(func(p *Pool, spec *jayspec.Job, now time.Duration) { p.Restore(spec, nil, now) })
		is.New(t).Equal(heldTasks(p), 0)
	})
	t.Run("of a job whose progress cannot be read", func(t *testing.T) {
		p := declareDay(func(p *Pool, spec *jayspec.Job, now time.Duration) { p.RestoreUnreadable(spec, now) })
		is.New(t).Equal(heldTasks(p), 0)
	})
}

func TestWaitingTasksTakeNoMemory(t *testing.T) {
	// Guards against an owner that exceeds its memory by tasks that wait: those of occurrences that
	// are all due at once, and of steps with thousands of tasks.
	wide := func(s *jayspec.Step) { s.Tasks = jayspec.MaxTasks / 2 }
	check := func(name string, spec *jayspec.Job) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, 2)
			declare(w, spec)
			is.True(len(w.running()) > 0)
			is.True(heldTasks(w.pool) <= len(w.running())+maxHeldWaiting+2)
			room := len(w.running())
			w.pool.Decide(w.now)
			need := w.pool.Demand(w.now).NeedMilli
			is.True(need >= int64(1000*room)) // what is not held counts as demand
		})
	}
	check("all occurrences are due", timed("j", 100_000, 0, 0, tasks(1, 1000, 100)))
	check("occurrences of 1 ms", timed("j", 50_000, 0, time.Millisecond, tasks(1, 1000, 100)))
	check("wide steps", newSpec("j", 2, wide))
}

func TestDueOccurrencesCountAsDemand(t *testing.T) {
	// Guards against a pool that requests no hosts for occurrences that are due and not held.
	is := is.New(t)
	p := NewPool("seats", Settings{}, WithDueTimes(modelTime))
	p.Declare(timed("j", 1000, 0, time.Second, tasks(2, 1000, 100)), 500*time.Second)
	is.Equal(p.jobs["j"].usage(500*time.Second).ProcessorsMilli, int64(501*2*1000))
	used, wanted := p.jobs["j"].usedAndWanted(500 * time.Second)
	is.Equal(used, int64(0))
	is.Equal(wanted, int64(501*2*1000))
}

func TestProgressRecordDoesNotGrowWithThePast(t *testing.T) {
	// Guards against a record of progress that the store refuses for its size, so that the owner ends
	// and other jobs of the pool never start: it listed the steps of all occurrences that had ended.
	is := is.New(t)
	w := newHarness(t, 1)
	declare(w, timed("j", 2000, 0, time.Millisecond))
	largest := 0
	for w.pool.jobs["j"].outcome == Open {
		w.finish("j", 0, jayport.EndedDone)
		w.finish("j", 1, jayport.EndedDone)
		largest = max(largest, proto.Size(w.pool.jobs["j"].progress()))
		w.record()
	}
	wantState(t, w, "j", StateDone)
	is.True(largest <= 1000)
}

func TestStateOfRestoredJobIsKnownOnceItsRunsAreReported(t *testing.T) {
	// Guards against callers without an answer after a takeover: tasks that are done, and are not in
	// memory, counted as tasks of which no worker has reported a run.
	is := is.New(t)
	p := NewPool("seats", Settings{}, WithFence(2, 2), WithFormerOwner(time.Hour))
	record := &jaywire.JobProgress{Steps: []*jaywire.StepProgress{{Done: []byte{0xfe, 0b11}}, {Step: 1, Done: []byte{0b01}}}}
	spec := newSpec("j", 2)
	spec.Steps[0].Tasks = 10
	p.Restore(spec, record, time.Second)
	j := p.jobs["j"]
	is.Equal(j.unheldTasks(), 0)
	j.eachTask(func(t *task) { t.mayRunUnreported = false }) // as a report does
	is.True(p.StateKnown("j", time.Second))
}

func TestProgressOfEarlierVersionsIsRestored(t *testing.T) {
	// Guards against tasks that run twice after an upgrade: records of earlier versions list the
	// steps of all occurrences.
	is := is.New(t)
	done := []byte{0b11}
	record := &jaywire.JobProgress{Started: true}
	for _, occurrence := range []uint32{0, 1, 3} {
		record.Steps = append(record.Steps, &jaywire.StepProgress{Occurrence: occurrence, Step: 0, Done: done})
		if occurrence != 1 {
			record.Steps = append(record.Steps, &jaywire.StepProgress{Occurrence: occurrence, Step: 1, Done: done})
		}
	}
	p := NewPool("seats", Settings{}, WithDueTimes(modelTime))
	p.Restore(timed("j", 5, 0, time.Minute), record, time.Minute)
	j := p.jobs["j"]
	is.Equal(j.series.Open(), 3)
	is.Equal(j.series.Next(), 2)
	is.True(j.series.Ended(0) && j.series.Ended(3))
	is.Equal(len(j.occurrences), 1) // the third one is not due
	is.Equal(j.stepOf(jayport.StepID{Job: "j", Occurrence: 1, Step: 0}).open, 0)
	is.Equal(j.stepOf(jayport.StepID{Job: "j", Occurrence: 1, Step: 1}).open, 2)
	again := j.progress()
	is.Equal(again.NextOccurrence, uint32(2))
	is.Equal(again.OpenOccurrences, []uint32{1})
	is.Equal(again.EndedAhead, []uint32{3})
}
