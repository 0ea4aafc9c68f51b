package jayowner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jaythread/jayport"
)

// at returns the record of a claim at an offset.
func at(c Claim, offset int64) jayport.Record {
	r := c.Record()
	r.Offset = offset
	return r
}

func TestTable(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "a", Term: 1}, 0)))
	is.NoErr(table.Apply(at(Claim{Duty: PoolDuty("seats"), Incarnation: "a", Term: 1}, 1)))
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "b", Term: 2}, 2)))
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "a", Term: 1}, 0))) // duplicate
	c, ok := table.Claim(Fleet)
	is.True(ok)
	is.Equal(c.Incarnation, "b")
	is.Equal(c.Fence, int64(3)) // higher than all earlier fences
	is.Equal(table.End(), int64(3))
	is.Equal(len(table.Claims()), 2)
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "b", Term: 2, Released: true}, 3)))
	c, _ = table.Claim(Fleet)
	is.True(c.Released)
	is.Equal(c.Fence, int64(3)) // the owner keeps its fence until the next claim
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "a", Term: 1, Released: true}, 4)))
	c, _ = table.Claim(Fleet)
	is.Equal(c.Incarnation, "b") // a late release of a former owner is ignored
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "c", Term: 3, PlacementsSince: 2}, 5)))
	is.NoErr(table.Apply(at(Claim{Duty: Fleet, Incarnation: "b", Term: 2, Released: true}, 6)))
	c, _ = table.Claim(Fleet)
	is.Equal(c.Incarnation, "c")
	is.Equal(c.PlacementsSince, int64(2))
	is.True(!c.Released) // a former owner's release does not affect the new owner
	is.True(table.Apply(jayport.Record{Key: "fleet", Value: []byte{0xff}, Offset: 9}) != nil)
	clone := table.Clone()
	table.Reset()
	is.Equal(len(clone.Claims()), 2)
}

func TestPoolDuty(t *testing.T) {
	is := is.New(t)
	pool, ok := PoolDuty("seats").Pool()
	is.True(ok)
	is.Equal(pool, "seats")
	_, ok = Fleet.Pool()
	is.True(!ok)
}

func TestShares(t *testing.T) {
	// Guards against pools that are not served for a second after the loss of all
	// entries. The entries were restarted at once, and each waited until the others were
	// announced, since the first one would have taken all duties. Shares are computed
	// from the known names of entries instead of the running ones.
	is := is.New(t)
	names := []Candidate{{Incarnation: "a", Capacity: 800}, {Incarnation: "b", Capacity: 800}, {Incarnation: "c", Capacity: 800}, {Incarnation: "weak", Capacity: 192}}
	duties := []Duty{Fleet, PoolDuty("seats"), PoolDuty("fees"), PoolDuty("registry"), PoolDuty("catalogue")}
	taken := map[Duty]string{}
	for _, name := range names {
		for _, d := range Share(duties, names, name.Incarnation) {
			is.Equal(taken[d], "")
			taken[d] = name.Incarnation
		}
	}
	is.Equal(len(taken), len(duties))
	is.Equal(len(Share(duties, names, "weak")), 0)
	is.Equal(len(Share(duties, names, "unknown")), 0)
}

func TestRankings(t *testing.T) {
	candidates := []Candidate{{Incarnation: "a", Capacity: 400}, {Incarnation: "b", Capacity: 400}, {Incarnation: "c", Capacity: 800}, {Incarnation: "d", Capacity: 400}}
	t.Run("duties are spread by strength", func(t *testing.T) {
		is := is.New(t)
		var duties []Duty
		for n := range 5 {
			duties = append(duties, PoolDuty(fmt.Sprint(n)))
		}
		first := map[string]int{}
		for _, ranking := range Rankings(duties, nil, candidates, 9) {
			is.Equal(len(ranking), 4)
			first[ranking[0]]++
		}
		is.Equal(first["c"], 2)
		is.Equal(first["a"]+first["b"]+first["d"], 3)
	})
	t.Run("entries with fewer duties are preferred", func(t *testing.T) {
		ranking := Rankings([]Duty{Fleet}, map[string]int{"a": 1, "b": 1, "c": 2}, candidates, 9)[Fleet]
		is.New(t).Equal(ranking[0], "d")
	})
	t.Run("the entry that was started last is preferred among equals", func(t *testing.T) {
		restarted := append([]Candidate{}, candidates...)
		restarted[3].Started = 90_000
		ranking := Rankings([]Duty{Fleet}, map[string]int{"c": 2}, restarted, 9)[Fleet]
		is.New(t).Equal(ranking[0], "d")
	})
	t.Run("rankings do not depend on the order of duties and candidates", func(t *testing.T) {
		is := is.New(t)
		duties := []Duty{Fleet, PoolDuty("x"), PoolDuty("y")}
		want := fmt.Sprint(Rankings(duties, nil, candidates, 9))
		turned := []Candidate{candidates[3], candidates[1], candidates[0], candidates[2]}
		is.Equal(fmt.Sprint(Rankings([]Duty{PoolDuty("y"), Fleet, PoolDuty("x")}, nil, turned, 9)), want)
	})
}

func TestCapacity(t *testing.T) {
	// Guards against hosts that are idle for seconds in a burst, since the owner of their pool has
	// a twentieth of the link of an entry with four duties.
	is := is.New(t)
	candidates := []Candidate{{Incarnation: "large", Capacity: Capacity(800, 200)}, {Incarnation: "small", Capacity: Capacity(400, 10)}}
	is.Equal(Rankings([]Duty{Fleet}, map[string]int{"large": 4}, candidates, 9)[Fleet], []string{"large", "small"})
	is.Equal(Capacity(800, 10), Capacity(192, 10))                             // the link is scarcer
	is.Equal([]int64{Capacity(192, 200), Capacity(192, 0)}, []int64{192, 192}) // the processors are scarcer, the link is unknown
}

func ExampleFenceOf() {
	fmt.Println(FenceOf(0), FenceOf(41))
	// Output: 1 42
}

func BenchmarkRankings(b *testing.B) {
	duties := []Duty{Fleet, PoolDuty("a"), PoolDuty("b"), PoolDuty("c"), PoolDuty("d")}
	for _, n := range []int{30, 583, 1166} {
		b.Run(fmt.Sprint(n, " entries"), func(b *testing.B) {
			var candidates []Candidate
			for i := range n {
				candidates = append(candidates, Candidate{Incarnation: fmt.Sprint("entry-", i), Capacity: 113 << (i % 4)})
			}
			for b.Loop() {
				Rankings(duties, nil, candidates, 3)
			}
		})
	}
}
