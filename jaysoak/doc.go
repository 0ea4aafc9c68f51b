// Package jaysoak holds the soak test. It runs the program as separate processes on one
// machine, injects faults from outside, and checks the system's guarantees against what
// callers and workers observe. See docs/SOAK.md.
package jaysoak
