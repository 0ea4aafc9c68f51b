package jayrelay

import (
	"sync"
	"time"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

// Server executes the calls of peers on the store that this entry reaches directly. Reads that
// wait for the same records share one read of the store.
type Server struct {
	direct jayport.Store
	clock  jayclock.Clock
	// linkMegabits is the bandwidth of this entry's link per second, or zero if it is unknown.
	linkMegabits int64

	mu    sync.Mutex
	reads map[position]*sharedRead
}

// position is where a read begins.
type position struct {
	partition jayport.Partition
	from      int64
}

// sharedRead is a read of the store whose result several peers wait for. page and err are set
// before done is closed.
type sharedRead struct {
	sentAt time.Duration
	done   chan struct{}
	page   jayport.Page
	err    error
	// callers is the number of calls that wait for it, guarded by the server's lock.
	callers int
}

// ServerOption configures a new server.
type ServerOption func(*Server)

// WithLink sets the bandwidth of this entry's link in megabits per second. Zero is unknown.
func WithLink(megabits int64) ServerOption {
	return func(s *Server) { s.linkMegabits = megabits }
}

// NewServer returns a server of a store.
func NewServer(direct jayport.Store, clock jayclock.Clock, options ...ServerOption) *Server {
	s := &Server{direct: direct, clock: clock, reads: map[position]*sharedRead{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// Serve executes a peer's call.
func (s *Server) Serve(call *jaywire.StoreCall) *jaywire.StoreResult {
	body, isRead := call.Call.(*jaywire.StoreCall_Read)
	if !isRead || !body.Read.Shared {
		return Serve(s.direct, call)
	}
	wait, timeout := time.Duration(body.Read.WaitMillis)*time.Millisecond, time.Duration(call.TimeoutMillis)*time.Millisecond
	read, lead := s.share(jayport.Partition{Topic: call.Topic, Number: int(call.Partition)}, body.Read.From, wait, timeout)
	if read.err != nil {
		return resultOf(read.err)
	}
	if !passesOn(pageBytes(read.page), read.callers, s.linkMegabits) {
		return resultOf(jayport.ErrRejected)
	}
	result := pageResult(read.page)
	result.LeadMicros = lead.Microseconds()
	return result
}

// maxPassOnTime is the longest time for which a reader's link may be occupied by one page.
const maxPassOnTime = 1500 * time.Millisecond

const bytesPerMegabit = 1_000_000 / 8

// passesOn reports whether a reader sends a page of some bytes to the entries that wait for it, or
// lets each of them read the store. Zero megabits per second are a link of unknown bandwidth.
//
// It handles this load: a large configuration changes. A reader with a weak link would need many
// seconds to send it to all its followers, while each of them receives it from the store in one.
func passesOn(bytes, followers int, linkMegabits int64) bool {
	if linkMegabits <= 0 {
		return true
	}
	seconds := float64(bytes) * float64(followers) / float64(linkMegabits*bytesPerMegabit)
	return seconds <= maxPassOnTime.Seconds()
}

// pageBytes returns the size of a page's records.
func pageBytes(page jayport.Page) int {
	size := 0
	for _, r := range page.Records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// Read returns the records from an offset on, from a read of the store that may have been sent
// before this call, by the time lead. Its errors are those of the store.
func (s *Server) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (page jayport.Page, lead time.Duration, err error) {
	read, lead := s.share(p, from, wait, timeout)
	return read.page, lead, read.err
}

// share waits for a read of the store that other calls may wait for too. It was sent before this
// call by the time lead.
func (s *Server) share(p jayport.Partition, from int64, wait, timeout time.Duration) (read *sharedRead, lead time.Duration) {
	began := s.clock()
	at := position{p, from}
	s.mu.Lock()
	read, waiting := s.reads[at]
	if !waiting {
		read = &sharedRead{sentAt: began, done: make(chan struct{})}
		s.reads[at] = read
	}
	read.callers++
	s.mu.Unlock()
	if waiting {
		<-read.done
	} else {
		read.page, read.err = s.direct.Read(p, from, wait, timeout)
		s.mu.Lock()
		delete(s.reads, at)
		s.mu.Unlock()
		close(read.done)
	}
	return read, began - read.sentAt
}
