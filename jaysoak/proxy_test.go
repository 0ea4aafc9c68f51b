package jaysoak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is what a proxy does to what passes through it.
type linkFault int32

const (
	linkWell linkFault = iota
	// linkSlow delays each piece by slowBy.
	linkSlow
	// linkReset closes every connection, and each new one at once.
	linkReset
	// linkSilent passes nothing on and closes nothing.
	linkSilent
	// linkOneWay passes requests on and keeps the answers.
	linkOneWay
	linkFaults
)

const (
	slowBy     = 80 * time.Millisecond
	pieceBytes = 16 << 10
	silentLook = 20 * time.Millisecond
)

// proxy is a loopback proxy in front of one address.
type proxy struct {
	listener net.Listener
	to       string
	fault    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

// set changes the fault. A reset strikes open connections too.
func (p *proxy) set(f linkFault) {
	p.fault.Store(int32(f))
	if f == linkReset {
		p.reset()
	}
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
	clear(p.conns)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(from)
	}
}

func (p *proxy) join(from net.Conn) {
	if linkFault(p.fault.Load()) == linkReset {
		abort(from)
		return
	}
	to, err := net.Dial("tcp4", p.to)
	if err != nil {
		abort(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	go p.pass(from, to, false)
	p.pass(to, from, true)
}

// pass copies one direction, as far as the fault lets it.
func (p *proxy) pass(from, to net.Conn, answers bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(answers)
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// hold waits while the fault keeps this direction back.
func (p *proxy) hold(answers bool) {
	for {
		switch linkFault(p.fault.Load()) {
		case linkSilent:
		case linkOneWay:
			if !answers {
				return
			}
		case linkSlow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
		time.Sleep(silentLook)
	}
}
