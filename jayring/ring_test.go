package jayring

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func ExampleRing() {
	r := New[string](2)
	fmt.Println(r.Offer("a"), r.Offer("b"), r.Offer("c"))
	r.Push("d") // drops the oldest
	for item, ok := r.Take(); ok; item, ok = r.Take() {
		fmt.Println(item)
	}
	fmt.Println(r.Dropped())
	// Output:
	// true true false
	// b
	// d
	// 1
}

func TestReadySignalsOnceForSeveralItems(t *testing.T) {
	is := is.New(t)
	r := New[int](8)
	for n := range 5 {
		r.Push(n)
	}
	<-r.Ready()
	for n := range 5 {
		item, ok := r.Take()
		is.True(ok)
		is.Equal(item, n)
	}
	_, ok := r.Take()
	is.True(!ok)
	select {
	case <-r.Ready():
		t.Error("ready without a new item")
	default:
	}
}
