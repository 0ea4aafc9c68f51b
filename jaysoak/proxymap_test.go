package jaysoak

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a data race in the test itself, for which the race detector would end a
// soak in which no check has failed. When an entry moves a machine, the new proxy of its
// worker is added to the map of proxies while a fault looks up another one. The map had no
// lock.
func TestProxyMapIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	var l proxyMap
	first := &proxy{}
	l.set("m0", first)
	var both sync.WaitGroup
	both.Go(func() {
		for range 1000 {
			l.set("m1", &proxy{})
		}
	})
	both.Go(func() {
		for range 1000 {
			_ = l.get("m0")
		}
	})
	both.Wait()
	is.Equal(l.get("m0"), first)
}
