package jaywave

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaythread/jaypool"
)

// size describes a fleet for simulated waves.
type size struct {
	name    string
	workers int
	pools   int
	centers int
	rack    int
	// minimum is the minimum availability of a pool in percent of its members.
	minimum int
	// concurrent is the maximum number of steps in progress in the fleet; zero means no
	// limit.
	concurrent int
}

var sizes = []size{
	{name: "mesob", workers: 50, pools: 5, centers: 3, rack: 4, minimum: 70},
	{name: "qalam", workers: 50, pools: 5, centers: 3, rack: 4, minimum: 60},
	{name: "560", workers: 560, pools: 34, centers: 10, rack: 4, minimum: 70},
	{name: "5600", workers: 5600, pools: 34, centers: 10, rack: 4, minimum: 80, concurrent: 400},
}

// view returns a fleet of this size. In fleets with more than five pools, pools differ in
// size: the first is 1.5 times as large as the mean, the last half as large.
func (s size) view() View {
	f := jaypool.NewFleet()
	v := View{Fleet: f, Wave: "w", StepTime: 10 * time.Minute, MaxConcurrent: s.concurrent, Busy: map[string]bool{}}
	members := make([]int, s.pools)
	for n := range s.workers {
		pool := n % s.pools
		if s.pools > 5 && n%4 == 3 {
			pool = (n / 4) % (s.pools / 2)
		}
		members[pool]++
		center := n % s.centers
		f.Restore(jaypool.Instance{
			ID:         fmt.Sprintf("p%02d-%04d", pool, n),
			Pool:       fmt.Sprintf("p%02d", pool),
			DataCenter: fmt.Sprintf("dc%02d", center),
			Rack:       fmt.Sprintf("r%04d", n/s.centers/s.rack),
			Version:    1,
		})
		if n%3 == 0 {
			v.Busy[fmt.Sprintf("p%02d-%04d", pool, n)] = true
		}
	}
	for p := range s.pools {
		v.Pools = append(v.Pools, Pool{
			Name:   fmt.Sprintf("p%02d", p),
			Budget: jaypool.Budget{MinAvailable: members[p] * s.minimum / 100},
		})
	}
	return v
}

// rackFailure returns the failure of a rack for half an hour in the middle of the wave.
func (s size) rackFailure(v View) []Failure {
	var failures []Failure
	for _, id := range v.Fleet.IDs() {
		i, _ := v.Fleet.Instance(id)
		if i.DataCenter == "dc01" && i.Rack == "r0001" {
			failures = append(failures, Failure{Instance: id, At: 25 * time.Minute, Until: 55 * time.Minute})
		}
	}
	return failures
}

var policies = []struct {
	name   string
	policy Policy
}{
	{"sequential", Sequential{}},
	{"rackByRack", RackByRack{}},
	{"packed", Packed{}},
	{"packedSlack", Packed{Slack: true}},
}

func TestPoliciesKeepBudgets(t *testing.T) {
	for _, s := range sizes[:3] {
		for _, p := range policies {
			t.Run(s.name+" "+p.name, func(t *testing.T) {
				is := is.New(t)
				v := s.view()
				result := Simulate(v, p.policy, s.rackFailure(v)...)
				is.Equal(result.Breaches, 0)
				is.Equal(result.Stuck, nil)
				is.Equal(len(result.Steps), s.workers)
			})
		}
	}
}

func TestPackedNearLowerBound(t *testing.T) {
	for _, s := range sizes[:3] {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			bound := LowerBound(s.view())
			result := Simulate(s.view(), Packed{Slack: true})
			is.True(result.RollOut >= bound)
			is.True(float64(result.RollOut) <= 1.3*float64(bound))
			is.True(result.MostMoves <= 1)
		})
	}
}

func TestWaveLimits(t *testing.T) {
	t.Run("a paused pool starts nothing", func(t *testing.T) {
		v := sizes[0].view()
		v.Pools[0].Paused = true
		for _, id := range Next(v, Packed{}) {
			i, _ := v.Fleet.Instance(id)
			is.New(t).True(i.Pool != v.Pools[0].Name)
		}
	})
	t.Run("a share bounds the steps under way", func(t *testing.T) {
		v := sizes[0].view()
		for n := range v.Pools {
			v.Pools[n].MaxShare = 0.1
		}
		is.New(t).Equal(len(Next(v, Packed{})), 5)
	})
	t.Run("a failed instance is left out", func(t *testing.T) {
		is := is.New(t)
		v := sizes[0].view()
		id := v.Fleet.IDs()[0]
		is.NoErr(v.Fleet.SetFailed(id, true))
		result := Simulate(v, Packed{})
		is.Equal(result.Stuck, []string{id})
	})
}

// TestNextKeepsBudgets generates fleets in arbitrary states and checks that all steps of a
// decision together keep the budget of the first pool, including the reserve.
func TestNextKeepsBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := size{workers: rapid.IntRange(4, 40).Draw(t, "workers"), pools: 2, centers: 2, rack: 3, minimum: rapid.IntRange(0, 100).Draw(t, "minimum")}
		v := s.view()
		for _, id := range v.Fleet.IDs() {
			if rapid.IntRange(0, 9).Draw(t, "failed") == 0 {
				_ = v.Fleet.SetFailed(id, true)
			}
		}
		before := map[string]int{}
		for _, p := range v.Pools {
			before[p.Name] = v.Fleet.Pool(p.Name).BudgetStatus(p.Budget).Slack()
		}
		policy := rapid.SampledFrom(policies).Draw(t, "policy")
		for _, id := range Next(v, policy.policy) {
			i, _ := v.Fleet.Instance(id)
			if err := v.Fleet.BeginDrain(id, i.Version, v.Pools[0].Budget); err != nil && i.Pool == v.Pools[0].Name {
				t.Fatalf("%s chose %s: %v", policy.name, id, err)
			}
		}
	})
}

// BenchmarkPolicies reports for each size and policy the roll-out time, its ratio to the
// lower bound, the task moves, the breaches with a rack failure during the wave, and the
// time of a whole simulation.
func BenchmarkPolicies(b *testing.B) {
	for _, s := range sizes {
		for _, p := range policies {
			if s.workers > 1000 && p.name == "sequential" {
				continue // 5,600 sequential steps show nothing beyond 560
			}
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var result SimulationResult
				for b.Loop() {
					result = Simulate(s.view(), p.policy, s.rackFailure(s.view())...)
				}
				bound := LowerBound(s.view())
				b.ReportMetric(result.RollOut.Minutes(), "rollOutMinutes")
				b.ReportMetric(float64(result.RollOut)/float64(bound), "timesBound")
				b.ReportMetric(float64(result.TaskMoves), "taskMoves")
				b.ReportMetric(float64(result.MostMoves), "mostMovesOfOne")
				b.ReportMetric(float64(result.Breaches), "breaches")
				b.ReportMetric(float64(len(result.Stuck)), "stuck")
				b.ReportMetric(result.BufferCost, "bufferCost")
			})
		}
	}
}

// BenchmarkReserve reports the reserve required to survive the loss of two domains in
// succession, kept per pool and shared.
func BenchmarkReserve(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			var own, shared Reserve
			for b.Loop() {
				own, shared = PerPoolReserve(s.view()), SharedReserve(s.view())
			}
			b.ReportMetric(float64(own.Spare()), "perPoolSpare")
			b.ReportMetric(float64(shared.Spare()), "sharedSpare")
			b.ReportMetric(100*(1-float64(shared.Spare())/float64(own.Spare())), "savedPercent")
			b.ReportMetric(own.BufferCost(), "perPoolBufferCost")
			b.ReportMetric(shared.BufferCost(), "sharedBufferCost")
		})
	}
}

// BenchmarkCapacityNext measures the time of one decision by fleet size.
func BenchmarkCapacityNext(b *testing.B) {
	for _, s := range []size{sizes[0], sizes[2], sizes[3]} {
		b.Run(fmt.Sprint(s.workers), func(b *testing.B) {
			v := s.view()
			for b.Loop() {
				Next(v, Packed{Slack: true})
			}
		})
	}
}
