package jaynode

import (
	"jaythread/jayverdict"
)

// Cut answers all requests of callers that are in progress at once, and later ones when they arrive:
// the entry stops, and its process ends a moment later. Their work goes on in the background.
func (n *Node) Cut() {
	n.cutOnce.Do(func() { close(n.cut) })
}

// untilCut returns the result of a request, or the given one once requests are cut.
func untilCut[T any](n *Node, cut T, do func() T) T {
	select {
	case <-n.cut:
		return cut
	default:
	}
	done := make(chan T, 1)
	go func() { done <- do() }()
	select {
	case result := <-done:
		return result
	case <-n.cut:
		return cut
	}
}

// errCutQuery is the answer to a query that is cut.
var errCutQuery = jayverdict.NewNotRun(statusUnavailable, "the entry stops", ownerRetryAfter)

// errCutCommand is the answer to a submission or a cancellation that is cut.
var errCutCommand = jayverdict.NewMayHaveRun(statusTimeout, "the entry stops; the request may have been carried out", nil)
