package jayrelay

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jayclock"
	"jaythread/jayport"
	"jaythread/jaywire"
)

const (
	// sharedReadWait limits how long a reader waits for records on behalf of others, so that one
	// that stops answering is noticed.
	sharedReadWait = time.Second
	// sharedReadMargin is the time that the answer may take beyond the wait.
	sharedReadMargin = 300 * time.Millisecond
	// SharedReadTimeout is the longest time that a reader takes for an answer.
	SharedReadTimeout = sharedReadWait + sharedReadMargin
	// avoidReaderTime is how long a reader that did not answer, or could not read the store, is
	// not asked again.
	avoidReaderTime = 5 * time.Second
)

// ReaderPeers are the entries that may read the store for this one.
type ReaderPeers interface {
	// Members returns the known entries, and MembersVersion a number that changes with them.
	Members() []Member
	MembersVersion() int64
	// Named returns the newest announcement of an entry.
	Named(entry string) (*jaywire.EntryRecord, bool)
	// AskReader sends a request to a reader. Any error means that there is no answer.
	AskReader(reader *jaywire.EntryRecord, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error)
}

// SharedReads reads the store through another entry of the data centre that reads it for many.
type SharedReads struct {
	entry, dataCenter string
	store             *Store
	server            *Server
	peers             ReaderPeers
	clock             jayclock.Clock
	logger            logr.Logger

	mu sync.Mutex
	// readers are the names of the data centre's readers as of a version of the members.
	readers []string
	version int64
	// avoidUntil is until when a reader is not asked, by name.
	avoidUntil map[string]time.Duration
	// answered is the incarnation of a reader that has answered since it was last asked in vain,
	// by name. A reader is pinged first: one without power would hold up the read.
	answered map[string]string
	pinging  map[string]bool
}

// NewSharedReads returns the shared reads of an entry in a data centre. It makes calls for others
// through the server.
func NewSharedReads(entry, dataCenter string, store *Store, server *Server, peers ReaderPeers, clock jayclock.Clock, logger logr.Logger) *SharedReads {
	return &SharedReads{
		entry: entry, dataCenter: dataCenter, store: store, server: server, peers: peers, clock: clock, logger: logger,
		avoidUntil: map[string]time.Duration{}, answered: map[string]string{}, pinging: map[string]bool{},
	}
}

// Read returns the records from an offset on, and by how much the read of the store that they
// come from was sent before this call. ok is false if this entry should read the store itself.
func (s *SharedReads) Read(p jayport.Partition, from int64, wait time.Duration) (page jayport.Page, lead time.Duration, ok bool) {
	if !s.store.Direct() {
		return jayport.Page{}, 0, false
	}
	own, reader := s.reader()
	if own {
		// Its reads serve others too.
		page, lead, err := s.server.Read(p, from, min(wait, sharedReadWait), sharedReadMargin)
		return page, lead, err == nil
	}
	if reader == nil {
		return jayport.Page{}, 0, false
	}
	call := SharedReadCall(p, from, min(wait, sharedReadWait).Milliseconds(), sharedReadMargin.Milliseconds())
	response, err := s.peers.AskReader(reader, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreCall{StoreCall: call}})
	result := response.GetStoreResult()
	if err == nil {
		err = DecodeError(result)
	}
	if err != nil {
		s.logger.V(1).Info("shared read failed", "reader", reader.Incarnation, "partition", p.String(), "error", err.Error())
		s.avoid(reader)
		return jayport.Page{}, 0, false
	}
	return PageOf(result), time.Duration(result.LeadMicros) * time.Microsecond, true
}

// reader returns whether this entry reads for others, or else the newest announcement of the
// entry that reads for it, or nil if there is none.
func (s *SharedReads) reader() (own bool, announced *jaywire.EntryRecord) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := s.peers.MembersVersion(); version != s.version {
		s.readers, s.version = Readers(s.peers.Members(), s.dataCenter), version
	}
	if slices.Contains(s.readers, s.entry) {
		return true, nil
	}
	name, found := ReaderFor(s.entry, s.readers, func(r string) bool { return now < s.avoidUntil[r] })
	if !found {
		return false, nil
	}
	announced, known := s.peers.Named(name)
	if known && s.answered[name] != announced.Incarnation {
		s.ping(name, announced)
		return false, nil
	}
	return false, announced
}

// ping asks a reader in the background whether it runs. The caller holds the lock.
func (s *SharedReads) ping(name string, reader *jaywire.EntryRecord) {
	if s.pinging[name] {
		return
	}
	s.pinging[name] = true
	go func() {
		_, err := s.peers.AskReader(reader, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Ping{Ping: &jaywire.Ping{}}})
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pinging, name)
		if err == nil {
			s.answered[name] = reader.Incarnation
			return
		}
		s.avoidUntil[name] = s.clock() + avoidReaderTime
	}()
}

// avoid makes this entry ask other readers for a while.
func (s *SharedReads) avoid(reader *jaywire.EntryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, incarnation := range s.answered {
		if incarnation == reader.Incarnation {
			delete(s.answered, name)
			s.avoidUntil[name] = s.clock() + avoidReaderTime
		}
	}
}
