// Package jayburst detects bursts of arriving work in several pools and predicts the next
// ones from their recurrence. It has no input or output and is not safe for concurrent use.
package jayburst
