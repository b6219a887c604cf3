package upstream

import "github.com/pkg/errors"

// Errors of a call, compared as values with errors.Is.
var (
	// ErrNotSent means that no byte of the request left this host.
	ErrNotSent = errors.New("endpoint not reached")
	// ErrNoAnswer means that the request was sent, in part or whole, and no
	// answer to it came; it may have run.
	ErrNoAnswer = errors.New("no answer from the endpoint")
	// ErrCut means that an answer ended before it was complete.
	ErrCut = errors.New("answer of the endpoint is cut")
	// ErrTooLong means that an endpoint sent more bytes than an answer's head, or an
	// answer to another request, may have.
	ErrTooLong = errors.New("endpoint sends more than an answer may have")
)
