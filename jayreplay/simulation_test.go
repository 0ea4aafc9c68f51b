package jayreplay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
)

func TestResultIsDeterministic(t *testing.T) {
	is := is.New(t)
	once, again := Play(fourBursts(1)), Play(fourBursts(1))
	is.Equal(once, again)
	is.True(len(once.Jobs) > 500)
}

func TestInstancesFollowBursts(t *testing.T) {
	// Four queues have their bursts one after the other. Each burst needs several times
	// the instances of its pool, and a move takes a fifth of a burst.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Play(fourBursts(seed))
			is.True(r.InTime() >= 0.95)
			is.Equal(r.Served(), 1.0)
			// With all instances on all the time, it would be 2352.
			is.True(r.InstanceSeconds < 1600)
		})
	}
}

func TestLeasesAreRenewedOverSlowLink(t *testing.T) {
	// Guards against leases that expire because the link of the pool's owner is saturated.
	// During a burst, starts and reports need more bandwidth than the link has. Responses
	// then arrive after their timeout, orders and requests are sent again, and renewals of
	// leases wait behind starts. The workers count as silent though they are healthy, their
	// runs end and are repeated, and the pool never catches up. It happened with a fixed
	// bound on timeouts, a report for every end of a run, and all starts sent at once.
	behind := func(rate, served float64) {
		t.Run(fmt.Sprintf("%.0f bytes per second", rate), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Play(fourBursts(1, withLinkRate(rate)))
			is.Equal(r.Lapsed, 0)
			is.True(r.Served() >= served)
		})
	}
	behind(250e3, 0.99) // the mean bandwidth that the bursts need
	behind(125e3, 0.8)
	behind(80e3, 0)
}

func TestInstanceIsAddedForTaskThatFitsNoWorker(t *testing.T) {
	// Guards against a pool that has enough cores in total but no worker with enough memory
	// for a task. Long-running tasks use half of the memory of each of its instances, then
	// a job arrives whose tasks need most of an instance. The demand was computed from cores
	// only, so the tasks waited for twenty seconds while instances were off.
	is := is.New(t)
	half := jaypool.Resources{ProcessorsMilli: 5_000, MemoryMegabytes: instance.MemoryMegabytes / 2}
	most := jaypool.Resources{ProcessorsMilli: 5_000, MemoryMegabytes: instance.MemoryMegabytes * 4 / 5}
	load := Load{
		Hosts: map[string]int{"seats": 2}, StandbyHosts: 20, Size: instance, MoveTime: 1500 * time.Millisecond, Until: 20 * time.Second,
		Arrivals: []Arrival{
			longRunningJob("half", "seats", time.Second, 6, half, 1),
			longRunningJob("most", "seats", 5*time.Second, 4, most, 0),
		},
	}
	s := newSimulation(load)
	s.run()
	is.True(s.longestWait("half") <= 2*load.MoveTime)
	is.True(s.longestWait("most") <= 2*load.MoveTime)
}

func TestOverload(t *testing.T) {
	// The bursts of the queues follow one another. While they last, they need a tenth
	// more than the capacity of all instances, including the time lost to moves.
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Play(fourBursts(seed, withRateFactor(3)))
			is.True(r.InTime() > 0.5) // lower if jobs are ordered by their targets alone
		})
	}
}

func TestHeavyOverloadStarvesNoQueue(t *testing.T) {
	// With half as many jobs again as in TestOverload, all instances together can serve two
	// of the four queues. No queue may be starved.
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := Play(fourBursts(seed, withRateFactor(4.5)))
			for _, queue := range []string{"a", "b", "c", "d"} {
				is.True(r.Of(queue).Served() > 0.25)
			}
		})
	}
}

func TestLongRunningTaskStartsUnderOverload(t *testing.T) {
	// Guards against the starvation of a large long-running task, such as one that lost its
	// worker. Its pool has more short tasks than its instances can run, and no instance is
	// off. The short tasks fill each gap that is too small for the large task, which waited
	// for half a minute: a task was started only where it fitted at that moment.
	is := is.New(t)
	load := fourBursts(1, func(bursts *SequentialBursts, l *Load) {
		bursts.QueueLoads, bursts.Width = bursts.QueueLoads[:1], 20*time.Second
		bursts.QueueLoads[0].Rate *= 3
		l.Hosts, l.StandbyHosts = map[string]int{"pool-a": 6}, 0
	})
	most := jaypool.Resources{ProcessorsMilli: 5_000, MemoryMegabytes: instance.MemoryMegabytes * 4 / 5}
	load.Arrivals = append(load.Arrivals, longRunningJob("most", "pool-a", warmUp+15*time.Second, 3, most, 1))
	s := newSimulation(load)
	s.run()
	is.True(s.longestWait("most") <= 3*load.MoveTime)
}

// longestWait returns the longest time that a task of a long-running job waited for its
// first start, or the end of the simulation if one never started.
func (s *simulation) longestWait(job string) time.Duration {
	longest := time.Duration(0)
	for _, a := range s.load.Arrivals {
		if a.Job.ID != job {
			continue
		}
		for index := range a.Job.Steps[0].Tasks {
			began := s.tasks[taskID(job, 0, index)].startedAt
			if began == 0 {
				return s.load.Until
			}
			longest = max(longest, began-a.At)
		}
	}
	return longest
}
