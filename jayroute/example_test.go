package jayroute_test

import (
	"fmt"

	"jaythread/jayroute"
)

func ExampleShare() {
	members := []string{"entry-1", "entry-2", "entry-3"}
	sum := 0
	for _, m := range members {
		sum += jayroute.Share(8, "seats-04", m, members)
	}
	fmt.Println(sum)
	// Output: 8
}
