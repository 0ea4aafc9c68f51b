package jayshare

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDivide(t *testing.T) {
	divided := func(name string, capacity int64, demands []Demand, expected ...int64) {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(Divide(capacity, demands), expected) })
	}
	divided("capacity for all", 100, []Demand{{1, 30}, {1, 70}}, 30, 70)
	divided("unused share goes to the others", 90, []Demand{{1, 10}, {1, 70}, {1, 70}}, 10, 39, 39) // rounded down
	divided("by weight", 401, []Demand{{3, 1000}, {1, 1000}}, 300, 100)
	divided("a weight that is not positive counts as one", 201, []Demand{{0, 1000}, {-2, 1000}}, 100, 100)
	divided("no capacity", 0, []Demand{{1, 10}}, 0)
	t.Run("random demands", func(t *testing.T) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			capacity, demands := random.Int64N(1e6), make([]Demand, 1+random.IntN(40))
			for n := range demands {
				demands[n] = Demand{Weight: random.Float64() * 10, Milli: random.Int64N(1e5)}
			}
			shares := Divide(capacity, demands)
			sum, wanted := int64(0), int64(0)
			for n, d := range demands {
				sum += shares[n]
				wanted += d.Milli
				is.True(shares[n] <= d.Milli) // nobody above wants
				for m, other := range demands {
					// Nobody unmet is below another's weighted share, apart from rounding.
					is.True(shares[n] == d.Milli || float64(shares[n]+1)/d.weight() >= float64(shares[m])/other.weight())
				}
			}
			is.True(sum <= capacity)
			is.True(sum >= min(capacity, wanted)-int64(len(demands))-1) // what one does not use goes to the others
		}
	})
}

func TestLedgerForgetsSilentPools(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Receive("a", []Use{{"x", 5, 1}}, 0)
	l.Receive("b", []Use{{"x", 7, 2}}, MaxAge)
	l.Receive("b", []Use{{"x", 70, 20}}, 0) // late
	is.Equal(l.Elsewhere("a", MaxAge), []Use{{"x", 7, 2}})
	is.Equal(l.Elsewhere("b", MaxAge), []Use{{"x", 5, 1}})
	is.Equal(len(l.Elsewhere("b", MaxAge+time.Nanosecond)), 0)
}
