// Package jayverdict defines the verdict on a request: whether an upstream ran it,
// did not run it, or may have run it.
package jayverdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Jaythread-Verdict"

// Verdict states whether an upstream ran a request.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran. It is the zero
	// value, because the other verdicts require proof.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached an upstream, or that the
	// upstream refused the request and guarantees not to have run it. The request
	// will not run later either.
	NotRun
	// Ran means that an upstream responded to the request.
	Ran
)

// String returns the verdict as written in the response header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "notRun"
	case Ran:
		return "ran"
	default:
		return "mayHaveRun"
	}
}

// Parse returns the verdict for a header value. An unknown value yields MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case NotRun.String():
		return NotRun
	case Ran.String():
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is a refusal or failure with which the system itself responds to a request.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status of the response.
	Status int
	// Reason is a short phrase for the caller and the logs.
	Reason string
	// RetryAfter is the delay after which the caller may retry. It is sent only
	// with NotRun, and only if it is not zero.
	RetryAfter time.Duration
	// Err is the underlying error, or nil.
	Err error
}

// NewNotRun returns an error with the verdict NotRun. A retryAfter of zero is not
// sent.
func NewNotRun(status int, reason string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// NewMayHaveRun returns an error with the verdict MayHaveRun and its cause.
func NewMayHaveRun(status int, reason string, err error) *Error {
	return &Error{Verdict: MayHaveRun, Status: status, Reason: reason, Err: err}
}

// Error returns the reason, the verdict and the cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Of returns the verdict of an error. An error that does not wrap an *Error yields
// MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
