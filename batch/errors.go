package batch

import "github.com/pkg/errors"

// Errors of the ledger, to be compared with errors.Is.
var (
	// ErrNotWritten means that the records are not in the ledger and will never be.
	ErrNotWritten = errors.New("ledger not written")
	// ErrOutcomeUnknown means that the records may be in the ledger already, or may appear
	// later.
	ErrOutcomeUnknown = errors.New("outcome of the write to the ledger is unknown")
	// ErrUnreadable means that an input or output can't be read from the store.
	ErrUnreadable = errors.New("payload not read")
)
