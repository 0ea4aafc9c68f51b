// Package jayfleet decides which instance serves which pool and when each is
// maintained. It is the aggregate of all hosts, waves and pools' demands:
// observations and the time come in, actions go out. It has no clock, no I/O
// and no goroutine, and the same observations give the same actions.
package jayfleet
