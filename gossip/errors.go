package gossip

import "github.com/pkg/errors"

// Errors of an exchange, compared as values with errors.Is.
var (
	// ErrUnreachable means the peer gave no answer.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrMalformed means a message was not understood or is too large.
	ErrMalformed = errors.New("malformed gossip message")
)
