package jaysoak

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Symptom: the race detector would end a soak that has broken no promise. Sequence:
// an entry moves a machine, and its worker's new proxy is written into the map of
// the proxies while a fault looks one up. Cause: a map without a lock.
func TestLinksAreFoundWhileMachinesMove(t *testing.T) {
	is := is.New(t)
	var l links
	first := &proxy{}
	l.put("m0", first)
	var both sync.WaitGroup
	both.Go(func() {
		for range 1000 {
			l.put("m1", &proxy{})
		}
	})
	both.Go(func() {
		for range 1000 {
			_ = l.of("m0")
		}
	})
	both.Wait()
	is.Equal(l.of("m0"), first)
}
