package jayjob

import (
	"slices"

	"jaythread/jaypool"
)

const (
	// learnAfter is how many reports outweigh a declaration.
	learnAfter = 2
	// headroomPercent is kept on top of the largest use that was reported,
	// since reports lag.
	headroomPercent = 20
)

// Usage is what one running task was last reported to use.
type Usage struct {
	ProcessorsMilli int64
	MemoryMegabytes int64
}

// Learn returns the size to place tasks of a job with: the largest reported
// use with headroom, or the declared size until enough is reported. Declared
// accelerators stay, since they are allotted whole.
func Learn(declared jaypool.Resources, reports []Usage) jaypool.Resources {
	if len(reports) < learnAfter {
		return declared
	}
	processors := slices.MaxFunc(reports, func(a, b Usage) int { return int(a.ProcessorsMilli - b.ProcessorsMilli) })
	memory := slices.MaxFunc(reports, func(a, b Usage) int { return int(a.MemoryMegabytes - b.MemoryMegabytes) })
	return jaypool.Resources{
		ProcessorsMilli: withHeadroom(processors.ProcessorsMilli),
		MemoryMegabytes: withHeadroom(memory.MemoryMegabytes),
		Accelerators:    declared.Accelerators,
	}
}

func withHeadroom(n int64) int64 {
	return n + n*headroomPercent/100
}
