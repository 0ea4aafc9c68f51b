package jaypeer

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"jaythread/jaytransfer"
	"jaythread/jaywire"
)

// Handler returns the response to a peer's request.
type Handler func(*jaywire.PeerRequest) *jaywire.PeerResponse

// Server accepts connections of peers and responds to their requests.
type Server struct {
	self    string
	handler Handler
	timeout time.Duration

	mu       sync.Mutex
	listener net.Listener
	sessions map[*yamux.Session]struct{}
	closed   bool
	// handling holds the requests that are being handled and when that began.
	handling map[*jaywire.PeerRequest]time.Time
	done     sync.WaitGroup
}

// NewServer returns a server for the entry with the ID self. The timeout is how long the writing of
// a response may go without progress.
func NewServer(self string, timeout time.Duration, handler Handler) *Server {
	return &Server{self: self, handler: handler, timeout: timeout, sessions: map[*yamux.Session]struct{}{}, handling: map[*jaywire.PeerRequest]time.Time{}}
}

// Serve accepts connections until Close. If config is nil, connections are not
// encrypted; this is for loopback only.
func (s *Server) Serve(listener net.Listener, config *tls.Config) {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	if !s.setListener(listener) {
		_ = listener.Close()
		return
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil || !s.add(session) {
			_ = conn.Close()
			continue
		}
		go s.serveSession(session)
	}
}

// Close closes the listener and all sessions, and waits until all requests are processed. That takes
// as long as their handlers take; Pending may be called meanwhile.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	sessions := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	for _, session := range sessions {
		_ = session.Close()
	}
	s.done.Wait()
}

// Pending describes the requests that are being handled: their number, and the kind, the sender and
// the age of the oldest one. It is empty if there is none.
func (s *Server) Pending() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *jaywire.PeerRequest
	for request, began := range s.handling {
		if oldest == nil || began.Before(s.handling[oldest]) {
			oldest = request
		}
	}
	if oldest == nil {
		return ""
	}
	kind := strings.TrimPrefix(fmt.Sprintf("%T", oldest.Body), "*jaywire.PeerRequest_")
	return fmt.Sprintf("%d requests, %s of %s for %v", len(s.handling), kind, oldest.From, time.Since(s.handling[oldest]).Round(time.Millisecond))
}

// setListener sets the listener that Close closes, unless the server is closed.
func (s *Server) setListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return !s.closed
}

// add adds a session that Close waits for, unless the server is closed.
func (s *Server) add(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	s.done.Add(1)
	return true
}

func (s *Server) serveSession(session *yamux.Session) {
	defer s.done.Done()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			break
		}
		s.done.Add(1)
		go s.serveStream(stream)
	}
	s.mu.Lock()
	delete(s.sessions, session)
	s.mu.Unlock()
	_ = session.Close()
}

// streamIdleTimeout is the time without a request after which a stream is closed.
const streamIdleTimeout = time.Minute

func (s *Server) serveStream(stream *yamux.Stream) {
	defer s.done.Done()
	defer func() { _ = stream.Close() }()
	conn := jaytransfer.New(stream, s.timeout)
	in := bufio.NewReader(conn)
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	for {
		_ = conn.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		request := &jaywire.PeerRequest{}
		if err := options.UnmarshalFrom(in, request); err != nil {
			return
		}
		if !s.respond(conn, request) {
			return
		}
	}
}

// respond handles a request and writes the response. It reports whether the response
// was written.
func (s *Server) respond(conn net.Conn, request *jaywire.PeerRequest) bool {
	response := &jaywire.PeerResponse{}
	// A request to an earlier incarnation at this address gets an empty response:
	// this incarnation does not have the state of that one.
	if request.To == "" || request.To == s.self {
		response = s.handle(request)
	}
	response.From = s.self
	_ = conn.SetWriteDeadline(time.Now().Add(s.timeout))
	_, err := protodelim.MarshalTo(conn, response)
	return err == nil
}

// handle calls the handler.
func (s *Server) handle(request *jaywire.PeerRequest) *jaywire.PeerResponse {
	s.mu.Lock()
	s.handling[request] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.handling, request)
		s.mu.Unlock()
	}()
	return s.handler(request)
}
