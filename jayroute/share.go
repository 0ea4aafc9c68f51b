package jayroute

import "github.com/cespare/xxhash/v2"

// Share returns how many of an upstream's slots belong to the entry self. The
// slots are divided evenly among the members. The remainder goes to the members
// that rank first for this upstream, so that the shares of all members add up to
// the slots without any coordination.
func Share(slots int, upstream, self string, members []string) int {
	n := len(members)
	if n <= 1 {
		return slots
	}
	share, left := slots/n, slots%n
	if left == 0 {
		return share
	}
	rank := 0
	mine := score(upstream, self)
	for _, m := range members {
		if m == self {
			continue
		}
		s := score(upstream, m)
		if s > mine || s == mine && m < self {
			rank++
		}
	}
	if rank < left {
		return share + 1
	}
	return share
}

func score(upstream, member string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + member)
}
