package jayaddress

import (
	"fmt"
	"net"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func TestFreeReturnsEachAddressOnce(t *testing.T) {
	// In a soak run, accepted jobs were unknown to all entries. One entry's caller
	// address and another entry's readiness address had the same port: the first
	// entry could not listen and exited, and callers took the empty responses of
	// the other for acceptances. A port that was found free had been closed and
	// found free a second time.
	is := is.New(t)
	seen := map[string]bool{}
	for range 2_000 {
		addr, err := Free()
		is.NoErr(err)
		if seen[addr] {
			t.Fatalf("%s twice after %d", addr, len(seen))
		}
		seen[addr] = true
	}
}

func TestFreeAvoidsEphemeralPorts(t *testing.T) {
	// An entry of a test or demo could not listen because its address was in use.
	// The port had been found free, but before the entry listened on it, the kernel
	// assigned it to an outgoing connection of another process. By default the
	// kernel assigns ports from 32768 on.
	is := is.New(t)
	addr, err := Free()
	is.NoErr(err)
	_, port, err := net.SplitHostPort(addr)
	is.NoErr(err)
	number, err := strconv.Atoi(port)
	is.NoErr(err)
	is.True(number < 32768)
}

// TestProcessesUseDistantPorts checks that two processes do not find the same port
// free. The process IDs of tests that run at the same time often differ only by
// some dozens.
func TestProcessesUseDistantPorts(t *testing.T) {
	const addresses = 200 // the most addresses that an installation of a test or demo uses
	for apart := 1; apart <= 40; apart++ {
		first, second := int(portFor(1, 0)), int(portFor(1+apart, 0))
		between := max(first, second) - min(first, second)
		if min(between, portCount-between) < addresses {
			t.Errorf("processes %d apart begin %d ports apart", apart, between)
		}
	}
}

func ExampleListen() {
	listener, err := Listen()
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = listener.Close() }()
	host, _, _ := net.SplitHostPort(listener.Addr().String())
	fmt.Println(host)
	// Output: 127.0.0.1
}
