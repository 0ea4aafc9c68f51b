// Package jayverdict says of a request whether an upstream may have run it.
package jayverdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the response header that carries the verdict to the caller.
const Header = "Jaythread-Verdict"

// Verdict tells whether an upstream ran a request.
type Verdict uint8

const (
	// MayHaveRun is the zero value: without proof, nothing else may be claimed.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached an upstream, or that
	// the upstream refused it by contract. The request will not run later.
	NotRun
	// Ran means that an upstream answered the request.
	Ran
)

// String returns the verdict as it stands in the response header.
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

// Parse returns the verdict that a header value names; an unknown value is
// MayHaveRun.
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

// Error is a refusal or failure that the system itself answers with.
type Error struct {
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// Reason is a short phrase for the caller and the logs.
	Reason string
	// RetryAfter is sent only with NotRun; zero sends none.
	RetryAfter time.Duration
	// Err is the cause, if there is one.
	Err error
}

// NewNotRun returns a refusal that is certain not to have run.
func NewNotRun(status int, reason string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Status: status, Reason: reason, RetryAfter: retryAfter}
}

// NewMayHaveRun returns a failure after which the request may have run.
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

// Of returns the verdict of err; any error that is no *Error may have run.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
