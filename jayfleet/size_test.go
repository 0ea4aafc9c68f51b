package jayfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jayport"
)

// sizedFleet returns a fleet of pools of equal size that all report their demand.
func sizedFleet(pools, hostsPerPool int) *Fleet {
	f := New(Settings{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second})
	var working []string
	var list []jayport.Host
	for p := range pools {
		pool := fmt.Sprint("p", p)
		working = append(working, pool)
		d := Demand{NeedMilli: int64(hostsPerPool) * hostMilli, Loads: map[string]Load{}, At: time.Minute}
		for n := range hostsPerPool {
			name := fmt.Sprint(pool, "-", n)
			list = append(list, jayport.Host{Name: name, Pool: pool, State: jayport.HostUp, Worker: "w" + name, Capacity: jaypool.Resources{ProcessorsMilli: hostMilli}})
			d.Loads["w"+name] = Load{Runs: 1}
		}
		f.SetDemand(pool, d)
	}
	f.SetPools(working, []string{"standby"})
	f.ApplyInventory(list, time.Minute)
	return f
}

// TestEachHostIsComparedOnce guards against a decision whose cost is the product of hosts and
// pools: each pool looked at the hosts of all pools.
func TestEachHostIsComparedOnce(t *testing.T) {
	for _, pools := range []int{5, 34} {
		is := is.New(t)
		f := sizedFleet(pools, 100)
		f.sorted[0].vacate("p3", false, time.Minute) // on its way to another pool: listed twice
		visited := 0
		for _, hosts := range f.byDestination() {
			visited += len(hosts)
		}
		is.Equal(visited, pools*100+1)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ pools, hosts int }{{5, 300}, {5, 6000}, {5, 12000}, {34, 12000}} {
		b.Run(fmt.Sprint(size.hosts, " hosts in ", size.pools, " pools"), func(b *testing.B) {
			f := sizedFleet(size.pools, size.hosts/size.pools)
			for b.Loop() {
				f.Decide(time.Minute + 100*time.Millisecond)
			}
		})
	}
}
