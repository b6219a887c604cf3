package ledger

import "github.com/pkg/errors"

// Errors returned by this package; compare them with errors.Is.
var (
	// ErrMalformed means that the bytes are not a valid record of this format.
	// Every reader ignores such a record.
	ErrMalformed = errors.New("malformed ledger record")
	// ErrSnapshot means that the bytes are not a valid snapshot of this format.
	ErrSnapshot = errors.New("malformed ledger snapshot")
)
