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

// carryTimeout bounds a call to the store that a peer makes for this entry.
const carryTimeout = 1500 * time.Millisecond

// carriers are the peers that may call the store for this entry.
type carriers struct {
	node *Node
	link *jaypeer.Client
}

// Incarnations returns the entries that are not known to have ended, in a
// fixed order.
func (c *carriers) Incarnations() []string {
	var ids []string
	for _, e := range c.node.entries.all() {
		if e.Incarnation != c.node.incarnation && !c.node.liveness.hasEnded(e.Incarnation, c.node.clock()) {
			ids = append(ids, e.Incarnation)
		}
	}
	slices.Sort(ids)
	return ids
}

// Carry asks a peer to make a call.
func (c *carriers) Carry(incarnation string, call *jaywire.StoreCall) (*jaywire.StoreResult, error) {
	addr := c.node.entries.addrOf(incarnation)
	response, err := c.link.Ask(incarnation, addr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_StoreCall{StoreCall: call}})
	if errors.Is(err, jaypeer.ErrGone) {
		// Nothing listens there for this incarnation: the call was not made.
		return nil, fmt.Errorf("%w: %w", jayport.ErrNotDone, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", jayport.ErrNoAnswer, err)
	}
	result := response.GetStoreResult()
	return result, jayrelay.ErrorOf(result)
}
