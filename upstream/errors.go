package upstream

import "github.com/pkg/errors"

// Errors of a call, to be compared with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent, so it did not run.
	ErrNotSent = errors.New("endpoint not reached")
	// ErrNoResponse means that the request was sent at least in part, and no response
	// to it arrived. The request may have run.
	ErrNoResponse = errors.New("no answer from the endpoint")
	// ErrTruncated means that a response ended before it was complete.
	ErrTruncated = errors.New("response of the endpoint ended early")
	// ErrTooLong means that an endpoint sent more bytes than the limit for the head of
	// a response, or for the body of a response to another request.
	ErrTooLong = errors.New("response of the endpoint exceeds the size limit")
)
