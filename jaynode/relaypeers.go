package jaynode

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaywire"
)

// relayTimeout limits the duration of a store call that a peer makes for this entry.
const relayTimeout = 1500 * time.Millisecond

// relayPeers sends store calls through peers.
type relayPeers struct {
	node *Node
	link *jaypeer.Client
}

// Incarnations returns the sorted incarnations of the other entries that are not presumed
// to have ended.
func (r *relayPeers) Incarnations() []string {
	var ids []string
	for _, e := range r.node.members.Entries.All() {
		if e.Incarnation != r.node.incarnation && !r.node.members.Liveness.PresumedEnded(e.Incarnation, r.node.clock()) {
			ids = append(ids, e.Incarnation)
		}
	}
	slices.Sort(ids)
	return ids
}

// Relay asks a peer to make a store call.
func (r *relayPeers) Relay(incarnation string, call *jaywire.StoreCall) (*jaywire.StoreResult, error) {
	addr := r.node.members.Entries.AddrOf(incarnation)
	response, err := r.link.Ask(incarnation, addr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreCall{StoreCall: call}})
	if errors.Is(err, jaypeer.ErrGone) {
		// No process of this incarnation listens at the address, so the call was not
		// made.
		return nil, fmt.Errorf("%w: %w", jayport.ErrRejected, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", jayport.ErrNoAnswer, err)
	}
	result := response.GetStoreResult()
	return result, jayrelay.DecodeError(result)
}
