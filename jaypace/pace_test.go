package jaypace

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func Example() {
	entries := 300
	pace := New(2000, func() int { return entries })
	fmt.Println(pace.Interval(0.25))
	entries = 8
	fmt.Println(pace.Interval(0.25))
	// Output:
	// 600ms
	// 16ms
}

func TestIntervalWithoutRate(t *testing.T) {
	is.New(t).Equal(New(0, func() int { return 300 }).Interval(0.25), time.Duration(0))
}

func TestJitter(t *testing.T) {
	is := is.New(t)
	is.Equal(Jitter(0), time.Duration(0))
	for range 1000 {
		got := Jitter(time.Second)
		is.True(got >= 500*time.Millisecond && got < 1500*time.Millisecond)
	}
}
