package jayfootprint_test

import (
	"fmt"

	"jaythread/jayfootprint"
	"jaythread/jayspec"
)

// The occurrences to come of a job add nothing, the members of a gang each their own state.
func ExampleOf() {
	daily := &jayspec.Job{Steps: []jayspec.Step{{Tasks: 10}}, Schedule: jayspec.Schedule{Occurrences: 1440}}
	longer := &jayspec.Job{Steps: []jayspec.Step{{Tasks: 10}}, Schedule: jayspec.Schedule{Occurrences: 99000}}
	gang := &jayspec.Job{Steps: []jayspec.Step{{Tasks: 10_000, Gang: true}}}
	fmt.Println(jayfootprint.Of(daily, 64) == jayfootprint.Of(longer, 64), jayfootprint.Of(gang, 64) > 2_000_000)
	// Output: true true
}

// The last entry of five pools with 284 MB.
func ExampleLimit() {
	fmt.Println(jayfootprint.Limit(284<<20, 5) >> 20)
	// Output: 22
}
