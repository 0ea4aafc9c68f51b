// Package jaysched decides for one pool which task runs on which worker and
// when. It is the aggregate of the pool's jobs, workers and runs: events and
// the time come in, actions go out. It has no clock, no I/O and no goroutine,
// and the same events give the same actions.
package jaysched
