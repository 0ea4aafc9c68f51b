package jaynode

import (
	"slices"
	"sync"
	"time"

	"jaythread/jaymember"
	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaywire"
)

const (
	// sharedReadWait limits how long a reader waits for records on behalf of others, so that one
	// that stops answering is noticed.
	sharedReadWait = time.Second
	// sharedReadMargin is the time that the answer may take beyond the wait.
	sharedReadMargin = 300 * time.Millisecond
	// avoidReaderTime is how long a reader that did not answer, or could not read the store, is
	// not asked again.
	avoidReaderTime = 5 * time.Second
)

// sharedReads reads the store through another entry of the data centre that reads it for many.
type sharedReads struct {
	node *Node
	link *jaypeer.Client

	mu sync.Mutex
	// readers are the readers of the data centre as of a version of the announcements, by name.
	readers []string
	version int64
	// avoidUntil is until when a reader is not asked, by name.
	avoidUntil map[string]time.Duration
	// answered reports whether a reader has answered since it was last asked in vain, by
	// incarnation. A reader is pinged first: one without power would hold up the read.
	answered map[string]bool
	pinging  map[string]bool
}

func newSharedReads(n *Node) *sharedReads {
	return &sharedReads{node: n, link: jaypeer.NewClient(n.incarnation, sharedReadWait+sharedReadMargin, nil), avoidUntil: map[string]time.Duration{}, answered: map[string]bool{}, pinging: map[string]bool{}}
}

// Read returns the records from an offset on, and by how much the read of the store that they
// come from was sent before this call. ok is false if this entry should read the store itself.
func (s *sharedReads) Read(p jayport.Partition, from int64, wait time.Duration) (page jayport.Page, lead time.Duration, ok bool) {
	if !s.node.store.Direct() {
		return jayport.Page{}, 0, false
	}
	own, reader := s.reader()
	if own {
		// Its reads serve others too.
		page, lead, err := s.node.relayServer.Read(p, from, min(wait, sharedReadWait), sharedReadMargin)
		return page, lead, err == nil
	}
	if reader == nil {
		return jayport.Page{}, 0, false
	}
	call := jayrelay.SharedReadCall(p, from, min(wait, sharedReadWait).Milliseconds(), sharedReadMargin.Milliseconds())
	response, err := s.link.Ask(reader.Incarnation, reader.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreCall{StoreCall: call}})
	if err == nil {
		err = jayrelay.DecodeError(response.GetStoreResult())
	}
	if err != nil {
		s.node.logger.V(1).Info("shared read failed", "reader", reader.Incarnation, "partition", p.String(), "error", err.Error())
		s.avoid(reader)
		return jayport.Page{}, 0, false
	}
	result := response.GetStoreResult()
	return jayrelay.PageOf(result), micros(result.LeadMicros), true
}

// ReadClaims is Read for the claims. An owner reads them itself, since it must know for certain
// that it was not replaced.
func (s *sharedReads) ReadClaims(p jayport.Partition, from int64, wait time.Duration) (page jayport.Page, lead time.Duration, ok bool) {
	if s.node.ownsAnyDuty() {
		return jayport.Page{}, 0, false
	}
	return s.Read(p, from, wait)
}

// reader returns whether this entry reads for others, or else the newest announcement of the
// entry that reads for it, or nil if there is none.
func (s *sharedReads) reader() (own bool, announced *jaywire.EntryRecord) {
	entries := s.node.members.Entries
	now := s.node.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version := entries.Version(); version != s.version {
		s.readers, s.version = jayrelay.Readers(relayMembers(entries), s.node.settings.DataCenter), version
	}
	if slices.Contains(s.readers, s.node.settings.Entry) {
		return true, nil
	}
	name, found := jayrelay.ReaderFor(s.node.settings.Entry, s.readers, func(r string) bool { return now < s.avoidUntil[r] })
	if !found {
		return false, nil
	}
	announced, _ = entries.Named(name)
	if announced != nil && !s.answered[announced.Incarnation] {
		s.ping(announced)
		return false, nil
	}
	return false, announced
}

// ping asks a reader in the background whether it runs. The caller holds the lock.
func (s *sharedReads) ping(reader *jaywire.EntryRecord) {
	if s.pinging[reader.Incarnation] {
		return
	}
	s.pinging[reader.Incarnation] = true
	go func() {
		_, err := s.link.Ask(reader.Incarnation, reader.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Ping{Ping: &jaywire.Ping{}}})
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pinging, reader.Incarnation)
		if err == nil {
			s.answered[reader.Incarnation] = true
			return
		}
		s.avoidUntil[jaymember.EntryOf(reader.Incarnation)] = s.node.clock() + avoidReaderTime
	}()
}

// avoid makes this entry ask other readers for a while.
func (s *sharedReads) avoid(reader *jaywire.EntryRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.answered, reader.Incarnation)
	s.avoidUntil[jaymember.EntryOf(reader.Incarnation)] = s.node.clock() + avoidReaderTime
}

func relayMembers(entries *jaymember.Entries) []jayrelay.Member {
	var members []jayrelay.Member
	for name, e := range entries.Names() {
		members = append(members, jayrelay.Member{Name: name, DataCenter: e.DataCenter, Capacity: jayowner.Capacity(e.ProcessorsMilli, e.LinkMegabits)})
	}
	return members
}
