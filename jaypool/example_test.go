package jaypool_test

import (
	"errors"
	"fmt"

	"jaythread/jaypool"
)

func ExampleFleet_BeginDrain() {
	fleet := jaypool.NewFleet()
	for _, rack := range []string{"r1", "r2", "r3"} {
		_ = fleet.Attach(jaypool.Instance{ID: "seats-" + rack, Pool: "seats", Rack: rack}, 0)
	}
	budget := jaypool.Budget{MinAvailable: 1}
	fmt.Println(fleet.BeginDrain("seats-r1", 1, budget))
	// The loss of another rack would leave no instance available.
	err := fleet.BeginDrain("seats-r2", 1, budget)
	fmt.Println(errors.Is(err, jaypool.ErrBudget))
	// Output:
	// <nil>
	// true
}
