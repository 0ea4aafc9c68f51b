package jayentry

import (
	"fmt"
	"testing"
	"time"
)

func Example_pace() {
	fmt.Println(pace(10*time.Millisecond, 200*time.Millisecond))
	fmt.Println(pace(time.Millisecond, 200*time.Millisecond))
	// Output:
	// 490ms
	// 200ms
}

func TestPaceBoundsCPUShare(t *testing.T) {
	for _, took := range []time.Duration{time.Microsecond, time.Millisecond, time.Second} {
		share := float64(took) / float64(took+pace(took, 0))
		if share > controlShare+1e-6 {
			t.Errorf("%s gives a share of %f", took, share)
		}
	}
}
