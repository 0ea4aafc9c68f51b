package jayowner

import "time"

const (
	// taskProcessorTime and taskSentBytes are what the owner of a pool spends on one task in a
	// burst: the decision, the start order and the report of the end, as docs/CAPACITY.md states
	// them. The bytes include the headers below HTTP of two requests and of the
	// acknowledgements of two responses. Only their ratio matters.
	taskProcessorTime = 31 * time.Microsecond
	taskSentBytes     = 474 + 4*52

	bytesPerMegabit = 1_000_000 / 8
)

// Capacity returns the capacity of an entry for duties, in thousandths of a core: its
// processors, or those that serve as many tasks as its link carries in a burst, whichever are
// fewer. An entry without a known link counts with its processors only: it is of an earlier
// version, or its link was not announced.
//
// It handles this load: an entry with a slow link became the owner of a pool in a burst, since
// the other entries had duties already. Its starts waited for the link for seconds while hosts
// were idle.
func Capacity(processorsMilli, linkMegabits int64) int64 {
	if linkMegabits <= 0 {
		return processorsMilli
	}
	return min(processorsMilli, linkMegabits*bytesPerMegabit*taskProcessorTime.Microseconds()/taskSentBytes/1000)
}
