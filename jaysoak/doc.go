// Package jaysoak is the project's fault soak. Its tests run the real program
// as separate processes on one machine, inject faults from outside, and check
// the promises from what callers and workers see. See docs/SOAK.md.
package jaysoak
