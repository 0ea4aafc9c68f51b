package jaysched

import (
	"cmp"
	"slices"
)

// enqueue adds a job to the open jobs, which are kept in the order in which they are served:
// long-running jobs first, since they serve others all the time, and expired jobs last,
// otherwise by the priority of their queue, then by their deadline status, then those within their
// organisation's share before others, then by their target. The deadline status precedes the share
// because a late result is worth little to its caller: capacity that is spent on late jobs of one
// organisation while others can still be on time is lost to all.
//
// It handles this load: for some seconds a queue gets several times the work that its pool can
// do. While the pool does not count as overloaded, every job counts as on time, and those with
// the earliest target come first, so that no job is starved while the burst lasts;
// docs/notes/scheduling.md compares it with other orders.
//
// Because the queue is kept sorted, it need not be sorted for each decision.
func (p *Pool) enqueue(j *job) {
	j.beyondShare = p.beyondOnArrival(j)
	at, _ := slices.BinarySearchFunc(p.open, j, func(other, j *job) int {
		// Among equal jobs, the newest is the last.
		return cmp.Or(compareJobs(other, j), -1)
	})
	p.open = slices.Insert(p.open, at, j)
}

func compareJobs(a, b *job) int {
	return cmp.Or(
		compareBool(!a.longRunning, !b.longRunning),
		compareBool(a.deadlineStatus == expired, b.deadlineStatus == expired),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.deadlineStatus, b.deadlineStatus),
		compareBool(a.beyondShare, b.beyondShare),
		cmp.Compare(a.target-a.targetLead, b.target-b.targetLead),
	)
}
