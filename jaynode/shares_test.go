package jaynode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaythread/jaymetric"
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

func TestEndedDutyShowsNoShares(t *testing.T) {
	// Guards against shares of a former owner that stay in its metrics beside those of the next one.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newPoolFixture(t, 1)
		metrics := w.entry.node.metrics
		shown := func() bool {
			page := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, jaymetric.Path, nil))
			return strings.Contains(page.Body.String(), "jaythread_organisation_share_cores{")
		}
		metrics.SetShares("seats", map[string]float64{"x": 1})
		w.refreshClaimsFor(time.Second)
		is.True(shown())
		w.duty.cancel()
		time.Sleep(time.Second)
		is.True(!shown())
	})
}
