package jaysched

import (
	"cmp"
	"slices"
)

// queue returns the open jobs in the order in which they are served: those that
// last, which serve others all the while, then by the time at which each should
// be done.
//
// The load that it answers: for some seconds a queue is handed several times
// what its pool can do. Among the orders that were measured this one earns
// most; see docs/notes/scheduling.md. Jobs that are late already come first in
// it, so that none is lost altogether while the rush goes on.
func (p *Pool) queue() []*job {
	order := slices.Clone(p.open)
	slices.SortStableFunc(order, func(a, b *job) int {
		return cmp.Or(
			compareBool(!a.lasting, !b.lasting),
			cmp.Compare(a.target, b.target),
		)
	})
	return order
}
