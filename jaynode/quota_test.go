package jaynode

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jaycatalog"
	"jaythread/jayorg"
	"jaythread/jaypool"
	"jaythread/jaytail"
)

// Guards against a first quota that is lent without the word of a pool's owner whose claim, made
// before the quota was declared, is not known here yet.
func TestFirstQuotaWaitsForTheClaimsBeforeIt(t *testing.T) {
	is := is.New(t)
	now := 10 * time.Second
	n := &Node{}
	n.clock = func() time.Duration { return now }
	n.declarations = &declarations{logger: logr.Discard(), now: n.clock, homes: n.homes, tail: &jaytail.Tail{}, confirmer: &confirmer{tail: &jaytail.Tail{}}}
	duty := &fleetDuty{duty: duty{node: n}}
	declare := func(revision, milli int64) {
		now += time.Second
		quota := jayorg.Organisation{Name: "acme", Quota: jaypool.Resources{ProcessorsMilli: milli}}
		n.declarations.adopt(jaycatalog.New(revision, jaycatalog.Limits{}, nil, nil, jaycatalog.WithOrganisations([]jayorg.Organisation{quota})))
	}
	revision := func(claimsAsOf time.Duration) int64 { return duty.quotasToLend(claimsAsOf).Revision }

	declare(1, 0)
	is.Equal(revision(0), int64(1)) // it limits nothing
	declare(2, 100)
	is.Equal(revision(now-time.Millisecond), int64(1))
	is.Equal(revision(now), int64(2))
	declare(3, 50)
	is.Equal(revision(0), int64(3)) // it limits no more resources

	declare(4, 0)
	is.Equal(revision(0), int64(4))
	declare(5, 100)
	is.Equal(revision(0), int64(4))
	declare(6, 0)
	is.Equal(revision(0), int64(6)) // a removal is not passed over
	declare(7, 100)
	is.Equal(revision(0), int64(6))
	read := now
	declare(8, 100)
	is.Equal(revision(read), int64(7)) // newer declarations do not restart the delay

	duty.lendsBy, duty.nextQuotas = nil, nil
	is.True(duty.quotasToLend(0) == nil) // another owner of the fleet
	is.True(duty.quotasToLend(now) != nil)
}

func TestTurnToExceedAQuotaFollowsTheMoveTime(t *testing.T) {
	is := is.New(t)
	is.Equal(turnReports(0), minTurnReports)
	is.Equal(turnReports(1500*time.Millisecond), 20)
}
