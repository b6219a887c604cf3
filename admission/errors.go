package admission

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by a Client, to be matched with errors.Is.
var (
	// ErrHomeUnreachable means that the call to the endpoint's home failed or
	// exceeded the ticket timeout, that the home is not contacted for a while after
	// such a failure, or that the endpoint has no home.
	ErrHomeUnreachable = errors.New("home of the endpoint is silent")
	// ErrRefused means that the home refused the ticket. The error returned is
	// a *RefusedError.
	ErrRefused = errors.New("ticket was refused")
)

// RefusedError carries the reason for which a home refused a ticket, and when to
// retry.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", ErrRefused, e.Reason)
}

// Unwrap returns ErrRefused.
func (e *RefusedError) Unwrap() error {
	return ErrRefused
}
