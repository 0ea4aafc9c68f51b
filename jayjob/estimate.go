package jayjob

import (
	"slices"

	"jaythread/jaypool"
)

const (
	// minReports is the number of usage reports required to replace the declared size.
	minReports = 2
	// headroomPercent is the margin above the largest reported use, because reports lag
	// behind the actual use.
	headroomPercent = 20
)

// Usage is the last reported resource usage of a running task.
type Usage struct {
	ProcessorsMilli int64
	MemoryMegabytes int64
}

// EstimateNeed returns the size to be used for placing tasks of a job: the largest reported use
// with headroom, or the declared size while there are too few reports. Accelerators are
// always as declared, because they are allocated whole.
func EstimateNeed(declared jaypool.Resources, reports []Usage) jaypool.Resources {
	if len(reports) < minReports {
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
