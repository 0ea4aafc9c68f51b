// Package jayoccurrence says which occurrences of a scheduled job are to come, have begun or have
// ended, without a list of them.
//
// It handles this load: hundreds of jobs are due once a minute for a day. With all their occurrences
// in memory, each owner of their pool exceeds its memory, one after the other, and each decision
// checks tasks that are due in hours.
package jayoccurrence

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Series is the series of a job's occurrences, which are numbered from zero. Its user holds those
// that have begun and not ended, and tells the series of each that ends. A job without a schedule has
// one occurrence. Series is not safe for concurrent use.
type Series struct {
	first    time.Duration
	interval time.Duration
	count    int
	// next is the number of the first occurrence that may not have begun. Those below it that are
	// not held have ended.
	next int
	// endedAhead are the numbers from next on of occurrences that have ended: another owner, whose
	// clock was ahead, has begun them.
	endedAhead map[int]bool
	// open counts the occurrences that have not ended.
	open int
}

// New returns a series of a number of occurrences. The first one is due at a time of the user's
// clock, each later one an interval, which is not negative, after the one before.
func New(first, interval time.Duration, count int) Series {
	return Series{first: first, interval: interval, count: count, open: count}
}

// Count returns the number of occurrences.
func (s *Series) Count() int {
	return s.count
}

// Next returns the number of the first occurrence that may not have begun.
func (s *Series) Next() int {
	return s.next
}

// EndedAhead returns the sorted numbers from Next on of occurrences that have ended.
func (s *Series) EndedAhead() []int {
	return slices.Sorted(maps.Keys(s.endedAhead))
}

// Open counts the occurrences that have not ended.
func (s *Series) Open() int {
	return s.open
}

// Due returns when an occurrence is due on the user's clock, or the largest time if that is beyond the
// clock's range.
func (s *Series) Due(number int) time.Duration {
	if s.interval > 0 && time.Duration(number) > (math.MaxInt64-max(0, s.first))/s.interval {
		return math.MaxInt64
	}
	return s.first + time.Duration(number)*s.interval
}

// Begin begins the occurrences that are due, the earliest first. It passes over those that have ended
// and those that are held, and calls hold for each other one until that returns false.
func (s *Series) Begin(now time.Duration, held, hold func(number int) bool) {
	for ; s.next < s.count; s.next++ {
		switch {
		case s.endedAhead[s.next]:
			delete(s.endedAhead, s.next)
		case held(s.next):
		case now < s.Due(s.next) || !hold(s.next):
			return
		}
	}
}

// End ends an occurrence that has not ended.
func (s *Series) End(number int) {
	s.open--
	if number < s.next {
		return
	}
	if s.endedAhead == nil {
		s.endedAhead = map[int]bool{}
	}
	s.endedAhead[number] = true
}

// Ended reports whether an occurrence that is not held has ended.
func (s *Series) Ended(number int) bool {
	return number < s.next || s.endedAhead[number]
}

// Unheld returns how many occurrences have not ended and are not among those that are held, and how
// many of them are due.
func (s *Series) Unheld(held int, now time.Duration) (all, due int) {
	all = s.open - held
	if all == 0 || now < s.Due(s.next) {
		return all, 0
	}
	if s.interval > 0 {
		passed := int64((now - s.Due(s.next)) / s.interval)
		return all, int(min(int64(all), 1+passed))
	}
	return all, all
}

// Restore restores a series from a record of Next, of the numbers below it that have not ended, and
// of EndedAhead. It calls hold for each of the occurrences that have begun and not ended. Numbers
// that contradict the rest are ignored.
func (s *Series) Restore(next int, open, endedAhead []uint32, hold func(number int)) {
	s.next = min(max(0, next), s.count)
	s.open = s.count - s.next
	begun := map[int]bool{}
	for _, n := range open {
		if number := int(n); number < s.next && !begun[number] {
			begun[number] = true
			s.open++
			hold(number)
		}
	}
	for _, n := range endedAhead {
		if number := int(n); number < s.count && !s.Ended(number) {
			s.End(number)
		}
	}
}
