package jaynode

import "jaythread/jayverdict"

// Cut answers all requests of callers that are in progress at once, and later ones when they arrive:
// the entry stops, and its process ends a moment later. Their work goes on in the background.
func (n *Node) Cut() {
	n.cut.Do()
}

// errCutQuery is the answer to a query that is cut.
var errCutQuery = jayverdict.NewNotRun(statusUnavailable, "the entry stops", ownerRetryAfter)

// errCutCommand is the answer to a submission or a cancellation that is cut.
var errCutCommand = jayverdict.NewMayHaveRun(statusTimeout, "the entry stops; the request may have been carried out", nil)
