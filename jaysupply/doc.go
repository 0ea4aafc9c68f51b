// Package jaysupply computes when a pool can complete some work, from its present and arriving
// capacity and from the work that arrives while an overload lasts. It has no input or output.
package jaysupply
