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
}

// NewServer returns a server of a store.
func NewServer(direct jayport.Store, clock jayclock.Clock) *Server {
	return &Server{direct: direct, clock: clock, reads: map[position]*sharedRead{}}
}

// Serve executes a peer's call.
func (s *Server) Serve(call *jaywire.StoreCall) *jaywire.StoreResult {
	body, isRead := call.Call.(*jaywire.StoreCall_Read)
	if !isRead || !body.Read.Shared {
		return Serve(s.direct, call)
	}
	wait, timeout := time.Duration(body.Read.WaitMillis)*time.Millisecond, time.Duration(call.TimeoutMillis)*time.Millisecond
	page, lead, err := s.Read(jayport.Partition{Topic: call.Topic, Number: int(call.Partition)}, body.Read.From, wait, timeout)
	if err != nil {
		return resultOf(err)
	}
	result := pageResult(page)
	result.LeadMicros = lead.Microseconds()
	return result
}

// Read returns the records from an offset on, from a read of the store that may have been sent
// before this call, by the time lead. Its errors are those of the store.
func (s *Server) Read(p jayport.Partition, from int64, wait, timeout time.Duration) (page jayport.Page, lead time.Duration, err error) {
	began := s.clock()
	at := position{p, from}
	s.mu.Lock()
	read, waiting := s.reads[at]
	if !waiting {
		read = &sharedRead{sentAt: began, done: make(chan struct{})}
		s.reads[at] = read
	}
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
	return read.page, began - read.sentAt, read.err
}
