package jaywave_test

import (
	"fmt"
	"time"

	"jaythread/jaypool"
	"jaythread/jaywave"
)

func ExampleSimulate() {
	fleet := jaypool.NewFleet()
	for n := range 6 {
		_ = fleet.Attach(jaypool.Instance{ID: fmt.Sprint("seats-", n), Pool: "seats", Rack: fmt.Sprint(n)}, 0)
	}
	view := jaywave.View{
		Fleet:    fleet,
		Wave:     "kernel",
		Pools:    []jaywave.Pool{{Name: "seats", Budget: jaypool.Budget{MinAvailable: 3}}},
		StepTime: 10 * time.Minute,
	}
	bound := jaywave.LowerBound(view)
	result := jaywave.Simulate(view, jaywave.Packed{Slack: true})
	fmt.Println(len(result.Steps), result.RollOut, bound)
	// Output: 6 30m0s 30m0s
}
