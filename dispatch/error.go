package dispatch

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Causes of a failed call; compare them with errors.Is.
var (
	// ErrNoEndpoint means no endpoint could take the call.
	ErrNoEndpoint = errors.New("no endpoint can take the call")
	// ErrOverloaded means the call was refused to protect calls in progress, or
	// the retry budget is used up.
	ErrOverloaded = errors.New("overloaded")
	// ErrInterrupted means the work was interrupted and must not be repeated.
	ErrInterrupted = errors.New("work was interrupted")
	// ErrRevoked means the endpoint's home revoked the call's ticket; the tokens
	// received so far are valid.
	ErrRevoked = errors.New("ticket was revoked")
	// ErrQuarantined means the request must not run because it was found to crash
	// endpoints.
	ErrQuarantined = errors.New("request is quarantined")
	// ErrDeadline means the deadline passed or the caller's context ended.
	ErrDeadline = errors.New("deadline passed")
)

// Error describes a call that ended without a complete answer.
type Error struct {
	// Cause wraps one of the causes above, or is the sink's error.
	Cause    error
	RunState RunState
	// RetryAfter is the time after which the caller may retry; zero means that no
	// retry is advised.
	RetryAfter time.Duration
	// EndpointDied means that an endpoint's process died while it ran the call.
	EndpointDied bool
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Cause, e.RunState)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}
