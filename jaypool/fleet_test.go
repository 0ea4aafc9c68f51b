package jaypool

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var budget = Budget{MinAvailable: 3}

// newTestFleet returns a fleet with one pool of six instances in three racks of two.
func newTestFleet(t testing.TB) *Fleet {
	t.Helper()
	f := NewFleet()
	for n := range 6 {
		err := f.Attach(Instance{ID: fmt.Sprintf("w%d", n), Pool: "seats", Rack: fmt.Sprint(n / 2), DataCenter: "dc"}, 0)
		if err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func TestBudget(t *testing.T) {
	t.Run("counts the worst rack on top of the minimum", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		s := f.Pool("seats").BudgetStatus(budget)
		is.Equal(s, BudgetStatus{Members: 6, Available: 6, WorstLoss: 2, MinAvailable: 3})
		is.Equal(s.Slack(), 1)
	})
	t.Run("a step is rejected if the loss of the worst rack would break the budget", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		is.NoErr(f.BeginDrain("w0", 1, budget))
		err := f.BeginDrain("w2", 1, budget)
		is.True(errors.Is(err, ErrBudget))
	})
	t.Run("the failure domain is a data centre if the budget requires it", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		s := f.Pool("seats").BudgetStatus(Budget{MinAvailable: 3, FailureDomain: DataCenterDomain})
		is.Equal(s.WorstLoss, 6)
	})
	t.Run("quarantine counts against the budget", func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(t)
		is.NoErr(f.SetQuarantined("w0", true, 1, budget))
		err := f.SetQuarantined("w2", true, 1, budget)
		is.True(errors.Is(err, ErrBudget))
	})
}

func TestStaleCommand(t *testing.T) {
	// Guards against a command that was decided on outdated state: a planner reads version
	// 1, the instance fails and recovers, which makes it version 3, and then the planner's
	// command to drain it arrives.
	is := is.New(t)
	f := newTestFleet(t)
	is.NoErr(f.SetFailed("w0", true))
	is.NoErr(f.SetFailed("w0", false))
	err := f.BeginDrain("w0", 1, budget)
	is.True(errors.Is(err, ErrStaleVersion))
}

func TestMove(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	is.True(errors.Is(f.Attach(Instance{ID: "w0", Pool: "fees"}, 1), ErrAttached))
	is.NoErr(f.DrainForMove("w0", Move{ToPool: "fees", Fence: 9}, 1, budget))
	is.True(errors.Is(f.Attach(Instance{ID: "w0", Pool: "fees"}, 2), ErrAttached)) // it is still draining
	is.NoErr(f.Detach("w0", 2))
	is.Equal(f.Pool("seats").BudgetStatus(budget).Members, 5)
	is.NoErr(f.Attach(Instance{ID: "w0", Pool: "fees"}, 3))
	is.Equal(f.Pool("fees").BudgetStatus(budget).Members, 1)
}

// TestFleetInvariants applies random commands and checks after each that no accepted
// command broke the budget and that the counters match the instances.
func TestFleetInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet()
		for n := range 6 {
			_ = f.Attach(Instance{ID: fmt.Sprintf("w%d", n), Pool: "seats", Rack: fmt.Sprint(n / 2)}, 0)
		}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "instance"))
			i, _ := f.Instance(id)
			base := i.Version - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
			planned := true
			var err error
			switch rapid.IntRange(0, 7).Draw(t, "command") {
			case 0:
				err = f.BeginDrain(id, base, budget)
			case 1:
				err = f.Advance(id, base, Draining, Rebooting)
			case 2:
				err = f.Advance(id, base, Rebooting, Settling)
			case 3:
				err = f.Return(id, base, "wave")
			case 4:
				err = f.DrainForMove(id, Move{ToPool: "fees"}, base, budget)
			case 5:
				err = f.Detach(id, base)
			case 6:
				err = f.Attach(Instance{ID: id, Pool: "fees"}, base)
			case 7:
				planned = false
				err = f.SetFailed(id, rapid.Bool().Draw(t, "failed"))
			}
			checkCounters(t, f)
			took := planned && err == nil && !i.Available()
			if took && i.Phase != Rebooting && i.Phase != Settling && i.Phase != Detached && !i.Failed {
				if f.Pool("seats").BudgetStatus(budget).Slack() < 0 && i.Pool == "seats" {
					t.Fatalf("%s was accepted as %s with a slack of %d", id, i.Phase, f.Pool("seats").BudgetStatus(budget).Slack())
				}
			}
		}
	})
}

func checkCounters(t *rapid.T, f *Fleet) {
	t.Helper()
	for _, pool := range []string{"seats", "fees"} {
		members, available := 0, 0
		for _, id := range f.IDs() {
			i, _ := f.Instance(id)
			if i.Pool != pool || i.Phase == Detached {
				continue
			}
			members++
			if i.Available() {
				available++
			}
		}
		s := f.Pool(pool).BudgetStatus(budget)
		if s.Members != members || s.Available != available {
			t.Fatalf("pool %s counts %d of %d, its instances are %d of %d", pool, s.Available, s.Members, available, members)
		}
	}
}
