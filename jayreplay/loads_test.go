package jayreplay

import (
	"time"

	"jaythread/jaypool"
	"jaythread/jayspec"
)

// warmUp is how long the pools are idle before the first jobs arrive.
const warmUp = 14 * time.Second

// instance is the capacity of each instance in these loads.
var instance = jaypool.Resources{ProcessorsMilli: 64_000, MemoryMegabytes: 262_144}

// policy is the policy of all queues in these loads.
var policy = jayspec.Policy{Attempts: 4, Stretch: 1.6, Objective: 600 * time.Millisecond}

// fourBursts returns a load of four queues on 49 instances, two with short jobs and two
// with large ones. Their bursts follow one another.
func fourBursts(seed uint64, changes ...func(*SequentialBursts, *Load)) Load {
	quick := QueueLoad{
		Steps: 1.6, Width: 6, MeanDuration: 800 * time.Millisecond, EstimateSpread: 0.9,
		Need: jaypool.Resources{ProcessorsMilli: 3_500, MemoryMegabytes: 13_000},
	}
	large := QueueLoad{
		Steps: 2, Width: 8, MeanDuration: 2100 * time.Millisecond, EstimateSpread: 0.2, Checkpoint: true,
		Need: jaypool.Resources{ProcessorsMilli: 7_700, MemoryMegabytes: 30_000},
	}
	of := func(l QueueLoad, queue string, rate float64) QueueLoad {
		l.Queue, l.Pool, l.Rate, l.Policy = queue, "pool-"+queue, rate, policy
		return l
	}
	bursts := SequentialBursts{
		QueueLoads: []QueueLoad{of(quick, "a", 9.07), of(large, "b", 1.06), of(quick, "c", 11.3), of(large, "d", 1.3)},
		Width:      7 * time.Second, BaseShare: 0.05, Begin: warmUp, For: 34 * time.Second, Seed: seed,
	}
	load := Load{
		Hosts: map[string]int{"pool-a": 9, "pool-b": 9, "pool-c": 11, "pool-d": 12}, StandbyHosts: 8,
		Size: instance, MoveTime: 1500 * time.Millisecond, MeasureFrom: warmUp, Until: warmUp + 48*time.Second,
	}
	for _, change := range changes {
		change(&bursts, &load)
	}
	load.Arrivals = append(load.Arrivals, bursts.Arrivals(instance)...)
	return load
}

// withRateFactor multiplies the arrival rates of all queues.
func withRateFactor(times float64) func(*SequentialBursts, *Load) {
	return func(b *SequentialBursts, l *Load) {
		for n := range b.QueueLoads {
			b.QueueLoads[n].Rate *= times
		}
		l.Until += 10 * time.Second
	}
}

// withLinkRate limits the links of the owners to a bandwidth in bytes per second.
func withLinkRate(rate float64) func(*SequentialBursts, *Load) {
	return func(_ *SequentialBursts, l *Load) { l.Link = rate }
}

// longRunningJob returns a job of long-running tasks.
func longRunningJob(id, pool string, at time.Duration, tasks int, need jaypool.Resources, apart int) Arrival {
	return Arrival{At: at, Job: &jayspec.Job{
		ID: id, Queue: "longRunning", Pool: pool, Text: "text", Policy: policy,
		Steps: []jayspec.Step{{Tasks: tasks, Need: need, LongRunning: true, MaxPerInstance: apart, MayMiss: 1}},
	}}
}
