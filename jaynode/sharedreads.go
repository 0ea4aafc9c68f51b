package jaynode

import (
	"time"

	"jaythread/jayowner"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaywire"
)

// readerPeers are the entries that may read the store for this one.
type readerPeers struct {
	node *Node
	link *jaypeer.Client
}

func newReaderPeers(n *Node) *readerPeers {
	return &readerPeers{node: n, link: jaypeer.NewClient(n.incarnation, jayrelay.SharedReadTimeout, nil)}
}

// Members returns the known entries.
func (r *readerPeers) Members() []jayrelay.Member {
	var members []jayrelay.Member
	for name, e := range r.node.members.Entries.Names() {
		members = append(members, jayrelay.Member{Name: name, DataCenter: e.DataCenter, Capacity: jayowner.Capacity(e.ProcessorsMilli, e.LinkMegabits)})
	}
	return members
}

// MembersVersion returns a number that changes with the known entries.
func (r *readerPeers) MembersVersion() int64 {
	return r.node.members.Entries.Version()
}

// Named returns the newest announcement of an entry.
func (r *readerPeers) Named(entry string) (*jaywire.EntryRecord, bool) {
	return r.node.members.Entries.Named(entry)
}

// AskReader sends a request to a reader.
func (r *readerPeers) AskReader(reader *jaywire.EntryRecord, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	return r.link.Ask(reader.Incarnation, reader.PeerAddr, request)
}

// readClaims reads the claims through another entry. An owner reads them itself, since it must
// know for certain that it was not replaced.
func (n *Node) readClaims(p jayport.Partition, from int64, wait time.Duration) (page jayport.Page, lead time.Duration, ok bool) {
	if n.ownsAnyDuty() {
		return jayport.Page{}, 0, false
	}
	return n.sharedReads.Read(p, from, wait)
}
