// Package jayfleet decides which instance serves which pool and when each instance is
// maintained. It is the aggregate of all hosts, waves and demands of pools: it takes
// observations and the current time, and returns actions. It has no clock, no I/O and no
// goroutines, and is deterministic: the same observations give the same actions.
package jayfleet
