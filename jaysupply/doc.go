// Package jaysupply computes when a pool can have done some work: from the capacity that it has
// and gets, and from the work that arrives while an overload lasts. It has no input or output.
package jaysupply
