// Package jayaddress finds free loopback addresses for stand-ins, demos and tests.
package jayaddress

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and portCount define the range of ports that are used. It lies
	// below the kernel's range for outgoing connections. Otherwise the kernel could
	// assign a port that was found free, or whose listener is closed for a moment,
	// to a connection of any process, and the port could not be listened on.
	firstPort = 10_240
	portCount = 20_000
	// portStride separates the first ports of processes that run at the same time,
	// even if their process IDs differ only by some dozens.
	portStride = 12_361
)

// attempts counts the ports that were tried.
var attempts atomic.Uint32

var errNoPort = errors.New("no free loopback port")

// Listen opens a listener on a free loopback port. Within a process, each call uses
// a different port: if two servers used the same port one after the other, requests
// for one of them could be answered by the other.
func Listen() (net.Listener, error) {
	for range portCount {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", portFor(os.Getpid(), attempts.Add(1))))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errNoPort
}

// portFor returns the port that a process tries at the given attempt.
func portFor(process int, attempt uint32) uint32 {
	return firstPort + (uint32(process)*portStride+attempt)%portCount
}

// Free returns a loopback address on which nothing listens.
func Free() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
