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
)
