package jaynode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaypool"
	"jaythread/jaysched"
	"jaythread/jayshare"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

func TestUsePassesFromPoolToPool(t *testing.T) {
	for _, on := range []bool{true, false} {
		is := is.New(t)
		n := &Node{settings: Settings{Overload: Overload{FairShares: on}}}
		pool := &poolDuty{duty: duty{node: n}, pool: jaysched.NewPool("a", jaysched.Settings{FairShares: on})}
		fleet := &fleetDuty{duty: duty{node: n}, uses: jayshare.NewLedger()}
		pool.pool.Declare(&jayspec.Job{ID: "j", Organisation: "x", Steps: []jayspec.Step{{Tasks: 2, Need: jaypool.Resources{ProcessorsMilli: 500}}}}, 0)
		report := &jaywire.DemandReport{}
		pool.exchangeUses(&jaywire.AskDemand{Pool: "a", Fence: 1}, report, time.Second)
		fleet.receiveUses("a", report, time.Second)
		fleet.receiveUses("b", &jaywire.DemandReport{}, time.Second) // of an earlier version
		is.Equal(len(fleet.usedElsewhere("a", time.Second)), 0)
		elsewhere := fleet.usedElsewhere("b", time.Second)
		is.Equal(len(elsewhere) == 1, on)
		if on {
			is.Equal(decodeUses(elsewhere), []jayshare.Use{{Organisation: "x", WantedMilli: 1000}})
		}
	}
}
