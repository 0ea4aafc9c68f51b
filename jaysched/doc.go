// Package jaysched decides for one pool which task runs on which worker and when. It holds the
// state of the pool's jobs, workers and runs: events and the time are its inputs, actions its
// outputs. It has no clock, no I/O and no goroutine, and the same events give the same actions.
package jaysched
