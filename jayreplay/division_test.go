package jayreplay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
)

// sharedBursts returns the load of a deployment with four pools: bursts that follow one another,
// all multiplied by a factor, and a few tasks that take much longer than the others.
func sharedBursts(seed uint64, factor, longShare float64) Load {
	const hosts, standbyHosts = 36, 28
	size := jaypool.Resources{ProcessorsMilli: 16_000, MemoryMegabytes: 65_536}
	short := QueueLoad{
		Steps: 1.6, Width: 8, MeanDuration: 540 * time.Millisecond, EstimateSpread: 0.2, LongShare: longShare, Policy: policy,
		Need: jaypool.Resources{ProcessorsMilli: 1_500, MemoryMegabytes: 5_000},
	}
	large := QueueLoad{
		Steps: 2, Width: 8, MeanDuration: 1700 * time.Millisecond, EstimateSpread: 0.2, LongShare: longShare, Checkpoint: true, Policy: policy,
		Need: jaypool.Resources{ProcessorsMilli: 3_300, MemoryMegabytes: 12_000},
	}
	scale := factor * float64(4*hosts+standbyHosts) / 350 // the deployment has that many hosts
	of := func(l QueueLoad, queue string, rate float64) QueueLoad {
		l.Queue, l.Pool, l.Rate = queue, "pool-"+queue, rate*scale
		return l
	}
	bursts := SequentialBursts{
		QueueLoads: []QueueLoad{of(short, "a", 33), of(large, "b", 4.5), of(short, "c", 36), of(large, "d", 5)},
		Width:      4500 * time.Millisecond, BaseShare: 0.05, Begin: 3 * time.Second, For: 22 * time.Second, Seed: seed,
	}
	load := Load{
		Hosts: map[string]int{"pool-a": hosts, "pool-b": hosts, "pool-c": hosts, "pool-d": hosts}, StandbyHosts: standbyHosts,
		Size: size, MoveTime: 1500 * time.Millisecond, MeasureFrom: 3 * time.Second, Until: 52 * time.Second,
	}
	load.Arrivals = bursts.Arrivals(size)
	return load
}

func TestPoolsThatAllLackHostsDivideThem(t *testing.T) {
	// Guards against a pool that gets almost no hosts while its burst lasts: the pools before it
	// have a backlog and keep theirs, of which nearly every one has a task that takes long.
	worst := func(divide bool) float64 {
		lowest := 1.0
		for seed := range uint64(2) {
			load := sharedBursts(seed, 3, 0.03)
			load.DivideHosts = divide
			r := Play(load)
			for _, queue := range []string{"a", "b", "c", "d"} {
				lowest = min(lowest, r.Of(queue).InTime())
			}
		}
		return lowest
	}
	is := is.New(t)
	is.True(worst(false) < 0.35)
	is.True(worst(true) > 0.45)
}
