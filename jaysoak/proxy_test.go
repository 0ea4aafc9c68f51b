package jaysoak

import (
	"context"
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"jaythread/jayaddress"
)

// linkFault is a fault that a proxy injects into its connections.
type linkFault int32

const (
	// linkHealthy forwards all data.
	linkHealthy linkFault = iota
	// linkSlow delays each chunk of data by slowDelay.
	linkSlow
	// linkReset resets all connections, new ones as soon as they are accepted.
	linkReset
	// linkSilent forwards nothing and leaves all connections open.
	linkSilent
	// linkOneWay forwards requests and holds back responses.
	linkOneWay
	// linkFaultCount is the number of the values above, which all entries see alike.
	linkFaultCount
	// linkStalled forwards nothing on every other connection.
	linkStalled
)

const (
	// slowDelay is the delay of each chunk with linkSlow, unless it is changed.
	slowDelay = 80 * time.Millisecond
	// chunkBytes is the largest size of a chunk.
	chunkBytes = 16 << 10
	// faultPollInterval is the interval at which the fault is checked again while a chunk
	// is held back.
	faultPollInterval = 20 * time.Millisecond
)

// everyEntry stands for all clients of a proxy, those of which the entry is not known included.
const everyEntry = 0

// proxy is a TCP proxy on the loopback interface with fault injection.
type proxy struct {
	port int
	// to is the address to which connections are forwarded, from the IP address from.
	to, from string
	// faults holds the current linkFault for all clients, and those for the entries by their numbers
	// plus one. A client is known by the IP address at which it reaches the proxy.
	faults [1 + soakEntries]atomic.Int32
	// delay is the delay of each chunk with linkSlow.
	delay atomic.Int64
	// accepted counts the connections.
	accepted atomic.Int32
	// translate makes data name addresses as their receiver reaches them.
	translate bool
	// bandwidth limits the responses of all connections together, in bytes per second.
	bandwidth *rate.Limiter

	mu        sync.Mutex
	listeners []net.Listener
	// conns holds the open connections with the number of the client plus one.
	conns map[net.Conn]int
}

// clientIP returns the IP address at which an entry, or everyEntry, reaches proxies, and from which its
// requests reach the store.
func clientIP(client int) string { return fmt.Sprintf("127.0.0.%d", 1+client) }

var loopbackAddress = regexp.MustCompile(`127\.0\.0\.\d:`)

// localise names the addresses in some data as a client reaches them. The length does not change.
func localise(ip string, data []byte) []byte {
	return loopbackAddress.ReplaceAllLiteral(data, []byte(ip+":"))
}

// newProxy returns a proxy for all clients that forwards connections from the IP address of one. Entries
// can reach it at an IP address of their own too if each is true.
func newProxy(to string, from int, each bool) (*proxy, error) {
	listener, err := jayaddress.Listen()
	if err != nil {
		return nil, err
	}
	p := newClosedProxy(to, from, listener.Addr().(*net.TCPAddr).Port)
	p.accept(listener, everyEntry)
	if each {
		err = p.open()
	}
	return p, err
}

// newClosedProxy returns a proxy at a port that accepts no connections yet.
func newClosedProxy(to string, from, port int) *proxy {
	p := &proxy{port: port, to: to, from: clientIP(from), bandwidth: rate.NewLimiter(rate.Inf, chunkBytes), conns: map[net.Conn]int{}}
	p.delay.Store(int64(slowDelay))
	return p
}

// open accepts connections of each entry at an IP address of its own.
func (p *proxy) open() error {
	for client := 1; client <= soakEntries; client++ {
		listener, err := net.Listen("tcp4", fmt.Sprint(clientIP(client), ":", p.port))
		if err != nil {
			return err
		}
		p.accept(listener, client)
	}
	return nil
}

func (p *proxy) accept(listener net.Listener, client int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener)
	go p.serve(listener, client)
}

func (p *proxy) addr() string { return fmt.Sprint(clientIP(everyEntry), ":", p.port) }

// close closes the listeners and all connections.
func (p *proxy) close() {
	p.mu.Lock()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.listeners = nil
	p.mu.Unlock()
	p.resetConnections(everyEntry)
}

// setFault sets the fault for a client. With linkReset, open connections are reset too.
func (p *proxy) setFault(client int, f linkFault) {
	p.faults[client].Store(int32(f))
	if f == linkReset {
		p.resetConnections(client)
	}
}

// faultFor sets the fault for a client for some time.
func (p *proxy) faultFor(client int, f linkFault, length time.Duration) {
	p.setFault(client, f)
	time.Sleep(length)
	p.setFault(client, linkHealthy)
}

// fault returns the fault for a client: that for all, or its own.
func (p *proxy) fault(client int) linkFault {
	if f := linkFault(p.faults[everyEntry].Load()); f != linkHealthy {
		return f
	}
	return linkFault(p.faults[client].Load())
}

func (p *proxy) resetConnections(client int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, of := range p.conns {
		if client == everyEntry || of == client {
			abort(c)
			delete(p.conns, c)
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve(listener net.Listener, client int) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(from, client)
	}
}

func (p *proxy) forward(from net.Conn, client int) {
	if p.fault(client) == linkReset {
		abort(from)
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.from)}}
	to, err := dialer.Dial("tcp4", p.to)
	if err != nil {
		abort(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = client, client
	p.mu.Unlock()
	odd := p.accepted.Add(1)%2 == 1
	go p.copyData(from, to, client, odd, false)
	p.copyData(to, from, client, odd, true)
}

// copyData forwards data in one direction until the connection is closed, subject to the
// fault.
func (p *proxy) copyData(from, to net.Conn, client int, odd, isResponse bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, from)
	}()
	receiver := p.from
	if isResponse {
		receiver = clientIP(client)
	}
	piece := make([]byte, chunkBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.awaitFault(client, odd, isResponse)
			if isResponse {
				_ = p.bandwidth.WaitN(context.Background(), n)
			}
			data := piece[:n]
			if p.translate {
				data = localise(receiver, data)
			}
			if _, err := to.Write(data); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// awaitFault waits while the fault holds back or delays data in this direction.
func (p *proxy) awaitFault(client int, odd, isResponse bool) {
	for {
		switch p.fault(client) {
		case linkSilent:
		case linkOneWay:
			if !isResponse {
				return
			}
		case linkStalled:
			if !odd {
				return
			}
		case linkSlow:
			time.Sleep(time.Duration(p.delay.Load()))
			return
		default:
			return
		}
		time.Sleep(faultPollInterval)
	}
}
