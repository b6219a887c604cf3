package httpjson

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrTooLong means that the body of an answer exceeded the limit.
var ErrTooLong = errors.New("answer is too long")

// StatusError is an answer with an HTTP status of 400 or more.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// StatusOf returns the HTTP status that err carries, or 0.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}
